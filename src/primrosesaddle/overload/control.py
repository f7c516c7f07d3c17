"""Control of an entry's part in the room of a service that all entries share.

It takes effect while half or more of the slots of a service's engines are in use, by
the reports of their agents. Where reports are missing, as after a restart of all
processes, the loads in answers stand for them, and their mean for engines without
either. Without any figure, and at plain services, the entry decides by its own counts
alone. Nothing but the figures of the moment keeps a limit up.
"""

import dataclasses
import math
import random
from collections.abc import Callable

from primrosesaddle.calls import backends, request
from primrosesaddle.overload import comeback, floors, ranks, shares
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Control',)

# Below this use of the slots no call is held back. Callers are not refused while half
# of the places are free.
ENGAGED_USE = 0.5
# Calls that cannot be in time run only where this part of the slots is enough for all:
# they take no room from a call that can be.
LATE_USE = 0.5
# Engines without a figure are taken to be used as the others are, for this time.
UNSEEN_INTERVAL_S = 0.35
LOG_INTERVAL_S = 1.0  # between lines about the use of a service
USE_INTERVAL_S = 0.1  # the use of a service is added up again after this


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What is known of a service: its use as of `added_at`, and recent calls.

    `is_contended` is what the log says of it, since `logged_at`.
    """

    fleet: shares.FleetUse = dataclasses.field(default_factory=shares.FleetUse)
    added_at: float = -1.0
    is_contended: bool = False
    logged_at: float = -math.inf
    recent: ranks.RecentCalls = dataclasses.field(default_factory=ranks.RecentCalls)
    outcomes: floors.Floors = dataclasses.field(default_factory=floors.Floors)


@dataclasses.dataclass(frozen=True, slots=True)
class _Drawn:
    """A figure of a server, by when it came, and what belongs to it.

    `total` is the number of calls there, `own` that of this entry's as it came, `draw`
    the number drawn for it.
    """

    came_at: float
    total: float
    own: int
    draw: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Placing:
    """The call that is being placed, and what holds for it at all servers.

    `share` is None if entries do not compete. `targets` are by the slots of a server.
    """

    call: request.Call
    service: str
    since: float
    share: float | None
    rank: int
    recent: list[float]
    targets: dict[int, float]

    def get_target(self, slots: int) -> float:
        """Return how many calls a server should have, this one included."""
        target = self.targets.get(slots)
        if target is None:
            target = ranks.compute_target(slots, self.rank, self.recent)
            self.targets[slots] = target
        return target


class Control:
    """Limits the calls of this entry at each server while entries compete for slots."""

    def __init__(
        self,
        known_backends: backends.Backends,
        count_entries: Callable[[], int],
        rand: random.Random,
        clock: Callable[[], float],
        get_required_version: Callable[[str], int],
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Create a control; `count_entries` returns how many entries share the room.

        `get_required_version` returns the lowest version of a model that is allowed.
        """
        self._get_required_version = get_required_version
        self._backends = known_backends
        self._count_entries = count_entries
        self._rand = rand
        self._clock = clock
        self._counters = counters
        self._services: dict[str, _ServiceState] = {}
        self._drawn: dict[str, _Drawn] = {}
        self._placing: _Placing | None = None
        self._most_entries = 0
        known_backends.removal_listeners.append(self._forget_server)

    def limit_own_calls(
        self, call: request.Call, backend: backends.Backend
    ) -> int | None:
        """Return how many calls this entry may have at a server, one more included.

        Returns None while there is no competition for its service, or no figure of it.
        """
        if not call.model:
            return None
        now = self._clock()
        placing = self._begin_placing(call, backend.record.service, now)
        if placing.share is None:
            return None
        slots = backend.record.slots or 1
        drawn = self._draw(backend, now)
        if placing.rank >= ranks.LATE and drawn.total > LATE_USE * slots:
            return 0
        return shares.compute_own_limit(
            shares.ServerLoad(slots, drawn.total, drawn.own),
            placing.get_target(slots),
            placing.share,
            drawn.draw,
        )

    def limit_all_calls(
        self, call: request.Call, backend: backends.Backend
    ) -> float | None:
        """Return how many calls of all entries a server may have, one more included.

        It is for a server whose load is known as of this moment. Returns None while
        there is no competition for its service.
        """
        if not call.model:
            return None
        placing = self._begin_placing(call, backend.record.service, self._clock())
        if placing.share is None:
            return None
        slots = backend.record.slots or 1
        if placing.rank >= ranks.LATE:
            return LATE_USE * slots
        return placing.get_target(slots)

    def is_engaged(self, service: str) -> bool:
        """Return whether entries compete for the slots of a service.

        They do while enough of the slots are in use, and where entries are more than
        the slots of a server: where they are fewer, each has a slot or more of its own
        there, and does better by its own counts.
        """
        is_used = self.get_use(service) >= ENGAGED_USE
        return is_used and self._get_state(service).fleet.is_divided

    def get_use(self, service: str) -> float:
        """Return the use of the slots of a service, by the newest figures."""
        state = self._get_state(service)
        now = self._clock()
        if now - state.added_at >= USE_INTERVAL_S:
            state.added_at = now
            state.fleet = self._add_loads(service, now)
            self._log_contention(service, state, now)
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
        self._placing = None
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
            figure = _find_figure(backend, now)
            if figure is not None and self._serves(backend, now):
                slots = backend.record.slots or 1
                loads.append(shares.ServerLoad(slots, figure[1], len(backend.calls)))
        self._most_entries = max(self._most_entries, self._count_entries())
        return shares.add_loads(loads, self._count_entries(), self._most_entries)

    def _log_contention(self, service: str, state: _ServiceState, now: float) -> None:
        """Log that entries begin or cease to compete, not more than once a second."""
        is_contended = state.fleet.is_divided and state.fleet.use >= ENGAGED_USE
        since_s = now - state.logged_at
        if is_contended == state.is_contended or since_s < LOG_INTERVAL_S:
            return
        state.is_contended = is_contended
        state.logged_at = now
        journal.info(
            'room.contended' if is_contended else 'room.free',
            service=service,
            use=round(state.fleet.use, 2),
            share=round(state.fleet.share, 3),
            entries=self._count_entries(),
        )

    def _serves(self, backend: backends.Backend, now: float) -> bool:
        """Return whether a server is there, and holds layers of an allowed version."""
        report = backend.get_fresh_report(now)
        held = backend.record.models if report is None else report.models
        return self._backends.is_present(backend) and any(
            span.version >= self._get_required_version(model)
            for model, span in held.items()
        )

    def _begin_placing(self, call: request.Call, service: str, now: float) -> _Placing:
        """Return what is the same for all servers that a call may be placed at."""
        placing = self._placing
        if (
            placing is not None
            and placing.call is call
            and placing.service == service
            and now - placing.since < USE_INTERVAL_S
        ):
            return placing
        is_engaged = self.is_engaged(service)
        state = self._get_state(service)
        self._placing = _Placing(
            call,
            service,
            now,
            state.fleet.share if is_engaged else None,
            self.find_rank(call, service),
            state.recent.list_shares(),
            {},
        )
        return self._placing

    def _draw(self, backend: backends.Backend, now: float) -> _Drawn:
        """Return the newest figure of a server, drawn for when it came."""
        figure = _find_figure(backend, now)
        if figure is None:
            use = self.get_use(backend.record.service)
            figure = now // UNSEEN_INTERVAL_S, use * (backend.record.slots or 1)
        came_at, total = figure
        drawn = self._drawn.get(backend.server_id)
        if drawn is None or drawn.came_at != came_at:
            drawn = _Drawn(came_at, total, len(backend.calls), self._rand.random())
            self._drawn[backend.server_id] = drawn
        return drawn

    def _record_outcome(
        self, call: request.Call, service: str, *, served: bool
    ) -> None:
        state = self._get_state(service)
        state.outcomes.record(_list_groups(call), self._clock(), served=served)

    def _get_state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state

    def _forget_server(self, backend: backends.Backend) -> None:
        self._drawn.pop(backend.server_id, None)


def _find_figure(backend: backends.Backend, now: float) -> tuple[float, float] | None:
    """Return when a figure of a server came, and its calls; None without a fresh one.

    That is its agent's report, or the load in an answer. Plain services have none.
    """
    if backend.report is None and not backend.record.models:
        return None
    report = backend.get_fresh_report(now)
    if report is not None:
        if report.switching:
            return None
        return report.received_at, report.active + report.queued
    if now - backend.load.read_at <= backends.LOAD_STALE_S:
        return backend.load.read_at, backend.count_calls(now)
    return None


def _list_groups(call: request.Call) -> tuple[str, ...]:
    """Return the groups of a call that each keep a floor: its route and workspace."""
    groups = (f'route={call.route.name}',)
    return (*groups, f'workspace={call.workspace}') if call.workspace else groups
