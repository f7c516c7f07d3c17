"""Limits of workspaces, held over all entries by shares that they exchange."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from primrosesaddle.core import rendezvous, verdict

__all__ = ('Bucket', 'WorkspaceLimiter', 'DemandReport')

REPORT_INTERVAL_S = 1.0
LOST_S = 3.0
IDLE_POOL = 0.08
BURST_S = 0.05
MAX_DELAY_S = 0.25
DEMAND_WEIGHT = 0.5
QUIET_DEMAND = 0.01
FORGET_S = 60.0
ENTRIES_PER_WORKSPACE = 4


@dataclasses.dataclass
class Bucket:
    """A rate limiter that hands out points in time; rate is in units a second.

    `free_at` is when all that was taken so far has had its time, so a change of
    rate never lets what is held pass together with what comes after it.
    """

    rate: float
    free_at: float = 0.0

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next amount may pass."""
        return max(0.0, self.free_at - now)

    def take(self, amount: float, now: float) -> None:
        """Take an amount."""
        self.free_at = max(self.free_at, now - BURST_S) + amount / self.rate

    def give(self, amount: float) -> None:
        """Give back an amount that was not used, or take more when negative."""
        self.free_at -= amount / self.rate


@dataclasses.dataclass(frozen=True)
class DemandReport:
    """What one entry tells the others: by workspace, demand and share held."""

    demand: Mapping[str, tuple[float, float]]


@dataclasses.dataclass
class _Remote:
    demand: Mapping[str, tuple[float, float]]
    heard: float


@dataclasses.dataclass
class _Flow:
    """The use of one workspace as this entry sees it."""

    share: float
    requests: Bucket
    tokens: Bucket
    offered: float = 0
    demand: float = 0
    announced: bool = False


WorkspaceRates = tuple[float, float]


class WorkspaceLimiter:
    """Admit calls within this entry's share of each workspace's limit.

    A workspace's limit is held by a few entries, the ones that its callers are told
    to use. Shares move towards demand. An entry raises its share only into what the
    others do not hold, a part of it at a time; entries that lost touch leave
    their equal share alone, so that parted groups do not add up to more.
    """

    def __init__(self, name: str, limits: Callable[[str], WorkspaceRates]) -> None:
        """Create the limiter of an entry.

        `limits` returns requests and tokens a second of a workspace.
        """
        self._name = name
        self._limits = limits
        self._remotes: dict[str, _Remote] = {}
        self._members: set[str] = {name}
        self._shards: dict[str, list[str]] = {}
        self._flows: dict[str, _Flow] = {}
        self._stepped = 0.0

    def set_members(self, names: Iterable[str]) -> None:
        """Take the names of all entries that may be admitting calls."""
        members = {self._name, *names}
        if members != self._members:
            self._members = members
            self._shards.clear()
        for name in list(self._remotes):
            if name not in self._members:
                self._remotes.pop(name)

    def update_from_report(self, name: str, report: DemandReport, now: float) -> None:
        """Take another entry's report."""
        if name not in self._members:
            self._members.add(name)
            self._shards.clear()
        self._remotes[name] = _Remote(report.demand, now)

    def shard_peers(self) -> set[str]:
        """Return the other entries that hold a limit with this one."""
        found = {
            name for workspace in self._flows for name in self.entries_of(workspace)
        }
        return found - {self._name}

    def make_report(self) -> DemandReport:
        """Return what this entry tells the others."""
        return DemandReport(
            {
                name: (round(flow.demand, 3), round(flow.share, 5))
                for name, flow in self._flows.items()
            }
        )

    def admit(self, workspace: str, cost: float, now: float) -> float:
        """Admit a call, and return the seconds to hold it so that bursts are spread.

        Raises `Refusal` with `not_run` when it would be held for too long.
        """
        if self._name not in self.entries_of(workspace):
            raise verdict.not_run('workspace_belongs_to_other_entries', 421)
        flow = self._flow(workspace, now)
        flow.offered += 1
        delay_s = max(flow.requests.delay_s(now), flow.tokens.delay_s(now))
        if delay_s > MAX_DELAY_S:
            raise verdict.not_run('workspace_rate_limit', 429, delay_s)
        flow.requests.take(1, now)
        flow.tokens.take(cost, now)
        return delay_s

    def is_flooded(self, workspace: str, now: float) -> bool:
        """Tell whether any call of a workspace would be refused now.

        A refusal without a look at the call counts as demand all the same.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return False
        flooded = flow.requests.delay_s(now) > MAX_DELAY_S
        flow.offered += flooded
        return flooded

    def replace_estimate(self, workspace: str, estimate: float, actual: float) -> None:
        """Charge what a call cost in place of the estimate."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.tokens.give(estimate - actual)

    def update_shares(self, now: float) -> None:
        """Measure demand and move the shares; called once each `REPORT_S`."""
        elapsed = now - self._stepped if self._stepped else REPORT_INTERVAL_S
        self._stepped = now
        for workspace, flow in list(self._flows.items()):
            seen = flow.offered / max(elapsed, 0.001)
            flow.offered = 0
            flow.demand += DEMAND_WEIGHT * (seen - flow.demand)
            if flow.demand < QUIET_DEMAND / FORGET_S:
                self._flows.pop(workspace)
                continue
            self._set_share(workspace, flow, self._next_share(workspace, flow, now))
            flow.announced = True

    def share_of(self, workspace: str) -> float:
        """Return the share of a workspace's limit that this entry holds."""
        flow = self._flows.get(workspace)
        return flow.share if flow else self._equal(workspace)

    def entries_of(self, workspace: str) -> list[str]:
        """Return the entries that hold a workspace's limit together."""
        found = self._shards.get(workspace)
        if found is None:
            found = rendezvous.order(workspace, self._members)[:ENTRIES_PER_WORKSPACE]
            self._shards[workspace] = found
        return found

    def _equal(self, workspace: str) -> float:
        return 1 / len(self.entries_of(workspace))

    def _touch(self, workspace: str, now: float) -> list[str]:
        return [
            name
            for name in self.entries_of(workspace)
            if name in self._remotes and now - self._remotes[name].heard < LOST_S
        ]

    def _next_share(self, workspace: str, flow: _Flow, now: float) -> float:
        touch = self._touch(workspace, now)
        count = len(self.entries_of(workspace))
        budget = (len(touch) + 1) / count
        told = {
            name: self._remotes[name].demand.get(workspace, (0.0, 0.0))
            for name in touch
        }
        if not touch:
            return self._equal(workspace)
        least = IDLE_POOL * budget / (len(touch) + 1)
        spread = budget - IDLE_POOL * budget
        total = flow.demand + sum(demand for demand, _ in told.values())
        target = least + spread * (
            flow.demand / total if total else self._equal(workspace)
        )
        others = sum(max(held, least) for _, held in told.values())
        if target <= flow.share:
            return max(target, 0.0)
        if not flow.announced:
            return flow.share
        slack = max(0.0, budget - others - flow.share)
        claimants = 1 + sum(demand > 0 for demand, _ in told.values())
        return min(target, flow.share + slack / claimants)

    def _flow(self, workspace: str, now: float) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            flow = _Flow(0.0, Bucket(1.0), Bucket(1.0))
            self._set_share(workspace, flow, self._first_share(workspace, now))
            self._flows[workspace] = flow
        return flow

    def _first_share(self, workspace: str, now: float) -> float:
        """Return the equal share, or the least one where others hold the limit."""
        used = any(
            self._remotes[name].demand.get(workspace, (0.0, 0.0))[1]
            for name in self._touch(workspace, now)
        )
        return IDLE_POOL * self._equal(workspace) if used else self._equal(workspace)

    def _set_share(self, workspace: str, flow: _Flow, share: float) -> None:
        requests_per_s, tokens_per_s = self._limits(workspace)
        flow.share = share
        flow.requests.rate = requests_per_s * share
        flow.tokens.rate = tokens_per_s * share
