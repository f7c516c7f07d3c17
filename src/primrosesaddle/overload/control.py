"""Control of an entry's part in the room of a service that all entries share.

It takes effect while half or more of the slots that agents report are in use. Without
fresh reports, as at a plain service or at an entry that is cut off, the entry decides
by its own counts alone. Nothing but the figures of the moment keeps a limit up.
"""

import dataclasses
import random
from collections.abc import Callable

from primrosesaddle.calls import backends, request
from primrosesaddle.overload import comeback, floors, ranks, shares
from primrosesaddle.telemetry import metrics

__all__ = ('Control',)

# Below this use of the slots no call is held back. Callers are not refused while half
# of the places are free.
ENGAGED_USE = 0.5
# Calls that cannot be in time run only where this part of the slots is enough for all:
# they take no room from a call that can be.
LATE_USE = 0.5
USE_INTERVAL_S = 0.05  # the use of a service is added up again after this


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What is known of a service: its use as of `added_at`, and recent calls."""

    fleet: shares.FleetUse = dataclasses.field(default_factory=shares.FleetUse)
    added_at: float = -1.0
    recent: ranks.RecentCalls = dataclasses.field(default_factory=ranks.RecentCalls)
    outcomes: floors.Floors = dataclasses.field(default_factory=floors.Floors)


@dataclasses.dataclass(frozen=True, slots=True)
class _Drawn:
    """A report, this entry's calls as it came, and the number drawn for it."""

    report: backends.Report
    own: int
    draw: float


class Control:
    """Limits the calls of this entry at each server while entries compete for slots."""

    def __init__(
        self,
        known_backends: backends.Backends,
        count_entries: Callable[[], int],
        rand: random.Random,
        clock: Callable[[], float],
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Create a control; `count_entries` returns how many entries share the room."""
        self._backends = known_backends
        self._count_entries = count_entries
        self._rand = rand
        self._clock = clock
        self._counters = counters
        self._services: dict[str, _ServiceState] = {}
        self._drawn: dict[str, _Drawn] = {}
        known_backends.removal_listeners.append(self._forget_server)

    def limit_own_calls(
        self, call: request.Call, backend: backends.Backend
    ) -> int | None:
        """Return how many calls this entry may have at a server, one more included.

        Returns None while there is no competition for its service, or no fresh report.
        """
        now = self._clock()
        report = backend.get_fresh_report(now)
        service = backend.record.service
        if report is None or not self.is_engaged(service):
            return None
        rank = self.find_rank(call, service)
        slots = backend.record.slots or 1
        total = report.active + report.queued
        if rank >= ranks.LATE and total > LATE_USE * slots:
            return 0
        state = self._get_state(service)
        drawn = self._drawn.get(backend.server_id)
        if drawn is None or drawn.report is not report:
            drawn = _Drawn(report, len(backend.calls), self._rand.random())
            self._drawn[backend.server_id] = drawn
        return shares.compute_own_limit(
            shares.ServerLoad(slots, total, drawn.own),
            ranks.compute_target(slots, rank, state.recent.list_shares()),
            state.fleet.share,
            drawn.draw,
        )

    def is_engaged(self, service: str) -> bool:
        """Return whether entries compete for the slots of a service."""
        return self.get_use(service) >= ENGAGED_USE

    def get_use(self, service: str) -> float:
        """Return the use of the slots of a service, by fresh reports of its agents."""
        state = self._get_state(service)
        now = self._clock()
        if now - state.added_at >= USE_INTERVAL_S:
            state.added_at = now
            state.fleet = self._add_loads(service, now)
        return state.fleet.use

    def get_highest_use(self) -> float:
        """Return the use of the slots of the service that is used most."""
        return max(map(self.get_use, self._services), default=0.0)

    def find_rank(self, call: request.Call, service: str) -> int:
        """Return the rank by which a call gets room; one of a group behind is first.

        It is the call's own, in which its workspace's rank takes precedence over its
        route's, `ranks.LATE` for a retry that is too late.
        """
        if call.answer_started or self.find_behind(call, service):
            return ranks.FIRST
        return ranks.LATE if call.is_late_retry else call.rank

    def find_behind(self, call: request.Call, service: str) -> str:
        """Return a group of a call that is below its floor, empty for none."""
        if not self.is_engaged(service):
            return ''
        groups = _list_groups(call)
        return self._get_state(service).outcomes.find_behind(groups, self._clock())

    def record_arrival(self, call: request.Call, service: str) -> None:
        """Record a call that asks for a slot."""
        if not call.tried and not call.is_late_retry:
            self._get_state(service).recent.record(call.rank, self._clock())

    def record_granted(self, call: request.Call, service: str) -> None:
        """Record that a call got a slot."""
        if not call.tried:
            self._record_outcome(call, service, served=True)

    def record_refused(self, call: request.Call, service: str, decided_by: str) -> None:
        """Record that a call is refused for want of room."""
        if not call.tried:
            self._record_outcome(call, service, served=False)
        if self._counters is not None:
            self._counters.count(
                'room_refusals', rank=str(call.rank), decided_by=decided_by
            )

    def explain(self, call: request.Call, service: str) -> str:
        """Return what decides about the room of a call, for the log.

        `own` is what a plain service or an entry without reports decides by.
        """
        if not self.is_engaged(service):
            return 'own'
        rank = self.find_rank(call, service)
        if rank >= ranks.LATE:
            return 'late'
        return 'rank' if rank > ranks.FIRST else 'use'

    def choose_retry_s(self, call: request.Call) -> float:
        """Return after how many seconds the caller of a refused call may come back."""
        remaining_s = call.deadline_at - self._clock()
        return comeback.choose_retry_s(remaining_s, self._rand.random())

    def _add_loads(self, service: str, now: float) -> shares.FleetUse:
        loads = []
        for backend in self._backends.list_servers(service):
            report = backend.get_fresh_report(now)
            if report is not None and report.reachable and not report.switching:
                total = report.active + report.queued
                slots = backend.record.slots or 1
                loads.append(shares.ServerLoad(slots, total, len(backend.calls)))
        return shares.add_loads(loads, self._count_entries())

    def _record_outcome(
        self, call: request.Call, service: str, *, served: bool
    ) -> None:
        state = self._get_state(service)
        state.outcomes.record(_list_groups(call), self._clock(), served=served)

    def _get_state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _forget_server(self, backend: backends.Backend) -> None:
        self._drawn.pop(backend.server_id, None)


def _list_groups(call: request.Call) -> tuple[str, ...]:
    """Return the groups of a call that each keep a floor: its route and workspace."""
    groups = (f'route={call.route.name}',)
    return (*groups, f'workspace={call.workspace}') if call.workspace else groups
