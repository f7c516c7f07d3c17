"""Rate limits of workspaces over all entries, which exchange their shares of them."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from primrosesaddle.core import rendezvous, verdict

__all__ = ('Bucket', 'DemandReport', 'WorkspaceLimiter')

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 3.0
IDLE_SHARE = 0.08
BURST_S = 0.05
MAX_DELAY_S = 0.25
DEMAND_SMOOTHING = 0.5
FORGOTTEN_CALLS = 0.01
FORGOTTEN_AFTER_S = 60.0
ENTRIES_PER_WORKSPACE = 4


@dataclasses.dataclass
class Bucket:
    """A rate limiter that spaces amounts in time; `rate` is in units a second.

    `free_at` is the time at which everything charged so far has passed. A change of
    rate therefore never lets delayed calls pass together with later ones.
    """

    rate: float
    free_at: float = 0.0

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next amount may pass."""
        return max(0.0, self.free_at - now)

    def charge(self, amount: float, now: float) -> None:
        """Charge an amount, in units."""
        self.free_at = max(self.free_at, now - BURST_S) + amount / self.rate

    def refund(self, amount: float) -> None:
        """Return an unused amount, or charge more if it is negative."""
        self.free_at -= amount / self.rate


@dataclasses.dataclass(frozen=True)
class DemandReport:
    """Report of an entry to the others.

    `demand` maps a workspace to its demand in calls a second at that entry and the
    share of the limit that the entry holds.
    """

    demand: Mapping[str, tuple[float, float]]


@dataclasses.dataclass
class _PeerReport:
    demand: Mapping[str, tuple[float, float]]
    received_at: float


@dataclasses.dataclass
class _Flow:
    """The use of a workspace at this entry.

    `offered_calls` counts the calls since the last update, `demand` is their smoothed
    rate a second. `is_reported` is false until the others were sent the demand.
    """

    share: float
    requests: Bucket
    tokens: Bucket
    offered_calls: float = 0
    demand: float = 0
    is_reported: bool = False


WorkspaceRates = tuple[float, float]


class WorkspaceLimiter:
    """Admit calls within this entry's share of each workspace's limit.

    A workspace's limit is divided among a few entries, the ones that its callers are
    told to use. Shares follow demand. An entry raises its share only by what the
    others do not hold, and by a part of that at a time. An equal share is left to each
    entry whose reports are missing, so that the entries on both sides of a network
    partition do not exceed the limit together.
    """

    def __init__(self, name: str, get_rates: Callable[[str], WorkspaceRates]) -> None:
        """Create the limiter of an entry.

        `get_rates` returns the requests and tokens a second of a workspace.
        """
        self._name = name
        self._get_rates = get_rates
        self._peer_reports: dict[str, _PeerReport] = {}
        self._members: set[str] = {name}
        self._entries_by_workspace: dict[str, list[str]] = {}
        self._flows: dict[str, _Flow] = {}
        self._updated_at = 0.0

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of all entries that may be admitting calls."""
        members = {self._name, *names}
        if members != self._members:
            self._members = members
            self._entries_by_workspace.clear()
        for name in list(self._peer_reports):
            if name not in self._members:
                self._peer_reports.pop(name)

    def update_from_report(self, name: str, report: DemandReport, now: float) -> None:
        """Record the report of another entry."""
        if name not in self._members:
            self._members.add(name)
            self._entries_by_workspace.clear()
        self._peer_reports[name] = _PeerReport(report.demand, now)

    def shard_peers(self) -> set[str]:
        """Return the other entries that share a limit with this one."""
        entries = {
            name for workspace in self._flows for name in self.entries_of(workspace)
        }
        return entries - {self._name}

    def make_report(self) -> DemandReport:
        """Return the report of this entry for the others."""
        return DemandReport(
            {
                name: (round(flow.demand, 3), round(flow.share, 5))
                for name, flow in self._flows.items()
            }
        )

    def admit(self, workspace: str, cost: float, now: float) -> float:
        """Admit a call; return the seconds to delay it, which spreads bursts.

        Raises `Refusal` with `not_run` if the delay would be above `MAX_DELAY_S`.
        """
        if self._name not in self.entries_of(workspace):
            raise verdict.not_run('workspace_belongs_to_other_entries', 421)
        flow = self._get_flow(workspace, now)
        flow.offered_calls += 1
        delay_s = max(flow.requests.delay_s(now), flow.tokens.delay_s(now))
        if delay_s > MAX_DELAY_S:
            raise verdict.not_run('workspace_rate_limit', 429, delay_s)
        flow.requests.charge(1, now)
        flow.tokens.charge(cost, now)
        return delay_s

    def is_flooded(self, workspace: str, now: float) -> bool:
        """Tell whether any call of a workspace would be refused now.

        Such a call counts as demand although its contents are not read.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return False
        flooded = flow.requests.delay_s(now) > MAX_DELAY_S
        flow.offered_calls += flooded
        return flooded

    def replace_estimate(self, workspace: str, estimate: float, actual: float) -> None:
        """Charge the actual cost of a call in place of its estimate, in tokens."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.tokens.refund(estimate - actual)

    def update_shares(self, now: float) -> None:
        """Update demand and shares; to be called each `REPORT_INTERVAL_S`."""
        elapsed_s = now - self._updated_at if self._updated_at else REPORT_INTERVAL_S
        self._updated_at = now
        for workspace, flow in list(self._flows.items()):
            rate = flow.offered_calls / max(elapsed_s, 0.001)
            flow.offered_calls = 0
            flow.demand += DEMAND_SMOOTHING * (rate - flow.demand)
            if flow.demand < FORGOTTEN_CALLS / FORGOTTEN_AFTER_S:
                self._flows.pop(workspace)
                continue
            self._set_share(workspace, flow, self._next_share(workspace, flow, now))
            flow.is_reported = True

    def share_of(self, workspace: str) -> float:
        """Return the share of a workspace's limit that this entry holds."""
        flow = self._flows.get(workspace)
        return flow.share if flow else self._equal_share(workspace)

    def entries_of(self, workspace: str) -> list[str]:
        """Return the entries that share a workspace's limit."""
        entries = self._entries_by_workspace.get(workspace)
        if entries is None:
            entries = rendezvous.order(workspace, self._members)[:ENTRIES_PER_WORKSPACE]
            self._entries_by_workspace[workspace] = entries
        return entries

    def _equal_share(self, workspace: str) -> float:
        """Return the share of an entry if all of a workspace hold the same."""
        return 1 / len(self.entries_of(workspace))

    def _reporting_peers(self, workspace: str, now: float) -> list[str]:
        """Return the other entries of a workspace that reported in time."""
        return [
            name
            for name in self.entries_of(workspace)
            if name in self._peer_reports
            and now - self._peer_reports[name].received_at < REPORT_TIMEOUT_S
        ]

    def _next_share(self, workspace: str, flow: _Flow, now: float) -> float:
        """Return the share that this entry may hold until the next update.

        The total of all shares is bounded by the parts of this entry and of those
        whose reports arrive. A share is not raised before the own demand was reported.
        """
        reporting = self._reporting_peers(workspace, now)
        entry_count = len(self.entries_of(workspace))
        budget = (len(reporting) + 1) / entry_count
        reports = {
            name: self._peer_reports[name].demand.get(workspace, (0.0, 0.0))
            for name in reporting
        }
        if not reporting:
            return self._equal_share(workspace)
        least_share = IDLE_SHARE * budget / (len(reporting) + 1)
        divisible = budget - IDLE_SHARE * budget
        total = flow.demand + sum(demand for demand, _ in reports.values())
        target = least_share + divisible * (
            flow.demand / total if total else self._equal_share(workspace)
        )
        held_by_others = sum(max(held, least_share) for _, held in reports.values())
        if target <= flow.share:
            return max(target, 0.0)
        if not flow.is_reported:
            return flow.share
        unheld = max(0.0, budget - held_by_others - flow.share)
        claimants = 1 + sum(demand > 0 for demand, _ in reports.values())
        return min(target, flow.share + unheld / claimants)

    def _get_flow(self, workspace: str, now: float) -> _Flow:
        """Return the use of a workspace, created with its first share if new."""
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(0.0, Bucket(1.0), Bucket(1.0))
            self._set_share(workspace, flow, self._first_share(workspace, now))
            self._flows[workspace] = flow
        return flow

    def _first_share(self, workspace: str, now: float) -> float:
        """Return the equal share, or the least one if others hold the limit."""
        held_elsewhere = any(
            self._peer_reports[name].demand.get(workspace, (0.0, 0.0))[1]
            for name in self._reporting_peers(workspace, now)
        )
        return (
            IDLE_SHARE * self._equal_share(workspace)
            if held_elsewhere
            else self._equal_share(workspace)
        )

    def _set_share(self, workspace: str, flow: _Flow, share: float) -> None:
        requests_per_s, tokens_per_s = self._get_rates(workspace)
        flow.share = share
        flow.requests.rate = requests_per_s * share
        flow.tokens.rate = tokens_per_s * share
