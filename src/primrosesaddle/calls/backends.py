"""Backend servers as known to an entry: published record, agent's report, own calls."""

import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping

from primrosesaddle.balance import figures
from primrosesaddle.calls import notices, request
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.telemetry import journal

__all__ = ('Backend', 'Backends', 'CallStage', 'Report')

# Agents report five times a second; a report is stale after three missed ones.
REPORT_STALE_S = 0.8
# A server that refused a connection or closed it without an answer gets no calls for
# this long; the time doubles with each failure in a row, up to the ceiling.
SUSPECT_FIRST_S = 0.25
SUSPECT_CEILING_S = 2.0
FAILURE_WEIGHT = 0.15  # weight of the newest outcome in the moving failure share
# The failure share holds for this long after an outcome, as servers that fail a part of
# their calls do so for tens of seconds, and then halves in each half-life, so that a
# server which gets no calls because of it is tried again.
FAILURE_HOLD_S = 60.0
FAILURE_HALF_LIFE_S = 20.0
# A server is ejected when its failure share exceeds its service's median by this much.
EJECT_SHARE = 0.35
LOAD_STALE_S = 1.0  # how long a load that came with an answer is used
# A report of the start before a record's may arrive as late as this after the record.
LATE_REPORT_S = REPORT_STALE_S


class CallStage(enum.Enum):
    """How far a call at a server has come."""

    SENT = 'sent'
    READ = 'read'
    ENDED = 'ended'


# Called with the server, the call, and how far the call has come there.
CallListener = Callable[['Backend', request.Call, CallStage], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A server's state as reported by its agent.

    `received_at` is when this entry received it. `models` maps the name of a model
    to the layers that are loaded. `switching` is set while the server loads other
    weights and does not serve. `pace` is over 1 for a server that is slower than its
    profile. `ready_in_s` is in how many seconds an empty server will hold layers, 0
    when that is not known. `memory_share` is the part of its memory that calls hold,
    `is_machine_shared` whether the agent has heard of a slowdown that the server
    stated.
    """

    received_at: float
    active: int
    queued: int
    models: Mapping[str, layers.Span]
    switching: bool
    pace: float = 1.0
    reachable: bool = True
    start_time_ms: int = 0
    ready_in_s: float = 0
    memory_share: float = 0.0
    is_machine_shared: bool = False


@dataclasses.dataclass(slots=True)
class Backend:
    """One backend server, and the calls that this entry runs there; `clock` in seconds.

    `unread_tokens` maps the id of a call to the size of its prompt until the first
    event of the answer. `load` is what was heard of its load last, apart from that.
    `failure_share_before` is the failure share as of `last_outcome_at`.
    `passing_calls` counts the calls of this entry that begin at another server of a
    chain and pass through this one. Until `quiet_until` the server wants no calls.
    `call_listeners` learn how far each call at the server has come. The server's start
    is known since `known_at`.
    """

    record: servers.BackendServer
    clock: Callable[[], float]
    calls: dict[str, request.Call] = dataclasses.field(default_factory=dict)
    unread_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    report: Report | None = None
    load: figures.Figures = figures.Figures()
    suspect_until: float = 0.0
    suspect_count: int = 0
    failure_share_before: float = 0.0
    last_outcome_at: float = 0.0
    is_removed: bool = False
    passing_calls: int = 0
    quiet_until: float = 0.0
    call_listeners: list[CallListener] = dataclasses.field(default_factory=list)
    known_at: float = 0.0

    @property
    def server_id(self) -> str:
        """Return the server's id, which is a new one after each start."""
        return self.record.server_id

    @property
    def incarnation(self) -> notices.Incarnation:
        """Return the server's id and start, which identify one start of a server."""
        return self.record.server_id, self.record.start_time_ms

    @property
    def is_superseded(self) -> bool:
        """Return whether the agent reported a later start at this address.

        A start is a time of day, which may have been set back. Which of two is the
        later one follows from when the record and the report were received.
        """
        report = self.report
        return (
            report is not None
            and not self._is_of_same_start(report)
            and report.received_at - self.known_at > LATE_REPORT_S
        )

    @property
    def failure_share(self) -> float:
        """Return the moving share of attempts that failed, which fades with time."""
        if not self.failure_share_before:
            return 0.0
        fading_s = max(0.0, self.clock() - self.last_outcome_at - FAILURE_HOLD_S)
        half_lives = fading_s / FAILURE_HALF_LIFE_S
        return self.failure_share_before * 0.5**half_lives

    def get_fresh_report(self, now: float) -> Report | None:
        """Return the agent's report, None when it is stale or of another start."""
        report = self.report
        if report is None or now - report.received_at >= REPORT_STALE_S:
            return None
        return report if self._is_of_same_start(report) else None

    def count_calls(self, now: float) -> int:
        """Return the number of calls at the server, including other entries' calls."""
        return len(self.calls) + self._count_other_calls(now)

    def get_layers(self, model: str, now: float) -> layers.Span | None:
        """Return the layers of a model that the server runs, None for none.

        A fresh report is preferred to the published record.
        """
        report = self.get_fresh_report(now)
        if report is None:
            return self.record.models.get(model)
        return None if report.switching else report.models.get(model)

    def ready_in_s(self, now: float) -> float | None:
        """Return in how many seconds an empty server will hold layers.

        Returns None when the agent does not report that.
        """
        report = self.get_fresh_report(now)
        if report is None or not report.ready_in_s:
            return None
        return max(0.0, report.ready_in_s - (now - report.received_at))

    @property
    def is_machine_shared(self) -> bool:
        """Return whether the server has stated a slowdown, to whatever entry."""
        report = self.report
        is_reported = report is not None and report.is_machine_shared
        return is_reported or self.load.states_slowdown

    def update_report(self, report: Report) -> None:
        """Store the agent's report, and the load that it states of this start."""
        self.report = report
        if not self._is_of_same_start(report):
            return
        self.update_load(report.active + report.queued, report.received_at)

    def update_load(self, total: int, now: float) -> None:
        """Derive the number of other entries' calls from the total at the server."""
        others = max(0, total - len(self.calls))
        self.load = self.load.with_others(others, now)

    def count_unread_tokens(self) -> int:
        """Return the prompt tokens of own calls that the server has yet to read."""
        return sum(self.unread_tokens.values())

    def add_call(self, call: request.Call) -> None:
        """Count a call that has been given a slot of the server."""
        self.calls[call.call_id] = call
        self.unread_tokens[call.call_id] = call.cost.prompt_tokens
        self._notify(call, CallStage.SENT)

    def mark_prompt_read(self, call: request.Call) -> None:
        """Record that the server has read a call's prompt."""
        if self.unread_tokens.pop(call.call_id, None) is not None:
            self._notify(call, CallStage.READ)

    def remove_call(self, call: request.Call) -> None:
        """Stop counting a call, whose attempt at the server has ended."""
        self.unread_tokens.pop(call.call_id, None)
        if self.calls.pop(call.call_id, None) is not None:
            self._notify(call, CallStage.ENDED)

    def mark_suspect(self, now: float, reason: str) -> None:
        """Exclude the server from selection for a while, longer each time in a row."""
        wait_s = min(SUSPECT_CEILING_S, SUSPECT_FIRST_S * 2**self.suspect_count)
        self.suspect_count += 1
        self.suspect_until = now + wait_s
        journal.info(
            'server.suspect', server=self.server_id, why=reason, for_s=round(wait_s, 2)
        )

    def record_outcome(self, *, failed: bool) -> None:
        """Update the failure share with the outcome of an attempt."""
        share = self.failure_share
        self.failure_share_before = share + FAILURE_WEIGHT * (float(failed) - share)
        self.last_outcome_at = self.clock()
        if not failed:
            self.suspect_count = 0

    def _is_of_same_start(self, report: Report) -> bool:
        """Return whether a report may be of the start that the record is of."""
        start_times = {self.record.start_time_ms, report.start_time_ms}
        return len(start_times) == 1 or 0 in start_times

    def _count_other_calls(self, now: float) -> int:
        """Return the number of other entries' calls, 0 when it is stale."""
        if now - self.load.read_at > LOAD_STALE_S:
            return 0
        return self.load.others

    def _notify(self, call: request.Call, stage: CallStage) -> None:
        for listener in self.call_listeners:
            listener(self, call, stage)


class Backends:
    """All backend servers, by id, service and address.

    The functions in `removal_listeners` are called with each server that is removed,
    those in `leaving_listeners` with each incarnation of which this entry is the first
    to know that it leaves, those in `call_listeners` with each call at a server and how
    far it has come there.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, list[Backend]] = {}
        self._reports: dict[str, Report] = {}
        self._notices = notices.Notices(clock)
        self.leaving_listeners: list[Callable[[notices.Incarnation], None]] = []
        self.removal_listeners: list[Callable[[Backend], None]] = []
        self.call_listeners: list[CallListener] = []

    def update_records(self, published: Iterable[servers.BackendServer]) -> None:
        """Adopt the published records; remove servers that are leaving or missing."""
        records = {rec.server_id: rec for rec in published}
        self._notices.forget_missing(records)
        usable = {
            server_id: rec
            for server_id, rec in records.items()
            if not rec.leaving
            and not self._notices.is_leaving((server_id, rec.start_time_ms))
        }
        for server_id, backend in list(self._by_id.items()):
            record = usable.get(server_id)
            if record is None or record.start_time_ms != backend.record.start_time_ms:
                self._remove(backend)
        for server_id, record in usable.items():
            known = self._by_id.get(server_id)
            if known is None:
                known = Backend(
                    record,
                    self._clock,
                    report=self._reports.get(record.address),
                    call_listeners=self.call_listeners,
                    known_at=self._clock(),
                )
                known.quiet_until = self._notices.get_quiet_until(known.incarnation)
                self._by_id[server_id] = known
            known.record = record
        self._rebuild_indexes()

    def update_report(self, address: str, report: Report) -> None:
        """Store an agent's report on the server at an address."""
        self._reports[address] = report
        for backend in self._by_address.get(address, ()):
            backend.update_report(report)

    def mark_leaving(self, backend: Backend, source: str) -> None:
        """Remove a server that has said that it is leaving, and notify listeners.

        `source` is for the log: how that became known.
        """
        if self.learn_leaving(backend.incarnation, source):
            for listener in self.leaving_listeners:
                listener(backend.incarnation)

    def mark_leaving_at(self, address: str, start_time_ms: int) -> None:
        """Remove the server that started then at an address, as it is leaving."""
        for backend in self._by_address.get(address, ()):
            if backend.record.start_time_ms == start_time_ms:
                self.mark_leaving(backend, 'agent')

    def learn_leaving(self, incarnation: notices.Incarnation, source: str) -> bool:
        """Remove a server that is leaving; return whether that was not known.

        Listeners are not notified, as when a peer that notifies all has said it.
        """
        if not self._notices.mark_leaving(incarnation):
            return False
        journal.info('server.leaving', server=incarnation[0], source=source)
        backend = self._by_id.get(incarnation[0])
        if backend is not None and backend.incarnation == incarnation:
            self._remove(backend)
            self._rebuild_indexes()
        return True

    def is_leaving(self, incarnation: notices.Incarnation) -> bool:
        """Return whether a server has said that it is leaving."""
        return self._notices.is_leaving(incarnation)

    def list_leaving(self) -> tuple[notices.Incarnation, ...]:
        """Return the servers that have said that they are leaving."""
        return self._notices.list_leaving()

    def request_quiet(self, backend: Backend, quiet_s: float) -> None:
        """Exclude a server from selection for as long as it wants no calls.

        `quiet_s` is in seconds, NaN if the server stated an unreadable time.
        """
        backend.quiet_until = self._notices.request_quiet(backend.incarnation, quiet_s)
        journal.info(
            'server.quiet',
            server=backend.server_id,
            stated_s=quiet_s,
            for_s=round(backend.quiet_until - self._clock(), 2),
        )

    def list_servers(self, service: str) -> list[Backend]:
        """Return the servers of a service that are published and not leaving."""
        return self._by_service.get(service, [])

    def states_slowdown(self, service: str) -> bool:
        """Return whether a server of a service states how slow its machine is now."""
        return any(known.is_machine_shared for known in self.list_servers(service))

    def get_by_address(self, address: str) -> Backend | None:
        """Return the server at an address, or None."""
        servers_there = self._by_address.get(address)
        return servers_there[-1] if servers_there else None

    def get_by_id(self, server_id: str) -> Backend | None:
        """Return a server by its id, or None."""
        return self._by_id.get(server_id)

    def is_usable(self, backend: Backend) -> bool:
        """Return whether a server may be selected now.

        That is one that accepts calls and is not suspect.
        """
        now = self._clock()
        return now >= backend.suspect_until and self.accepts_calls(backend)

    def accepts_calls(self, backend: Backend) -> bool:
        """Return whether a server is known and reachable, and wants calls now."""
        return self._clock() >= backend.quiet_until and self.is_present(backend)

    def is_present(self, backend: Backend) -> bool:
        """Return whether a server is known, not superseded, and reachable."""
        now = self._clock()
        if backend.is_removed or backend.is_superseded:
            return False
        report = backend.get_fresh_report(now)
        return report is None or report.reachable

    def describe_end(self, backend: Backend) -> str:
        """Return how its agent knows that a server has ended, empty if it does not."""
        if backend.is_superseded:
            return 'its agent reports a later start'
        report = backend.get_fresh_report(self._clock())
        if report is not None and not report.reachable:
            return 'its agent does not reach it'
        return ''

    def is_ejected(self, backend: Backend) -> bool:
        """Return whether a server fails far more often than others of its service.

        A server is never ejected while half of its service's servers fail more often.
        """
        if backend.failure_share < EJECT_SHARE:
            return False
        candidates = self.list_servers(backend.record.service)
        median = sorted(peer.failure_share for peer in candidates)[len(candidates) // 2]
        if backend.failure_share - median < EJECT_SHARE:
            return False
        worse = sum(peer.failure_share > backend.failure_share for peer in candidates)
        return worse < len(candidates) // 2

    def _remove(self, backend: Backend) -> None:
        backend.is_removed = True
        self._by_id.pop(backend.server_id, None)
        for listener in self.removal_listeners:
            listener(backend)

    def _rebuild_indexes(self) -> None:
        by_service: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            by_service.setdefault(backend.record.service, []).append(backend)
        self._by_service = by_service
        by_address: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            by_address.setdefault(backend.record.address, []).append(backend)
        self._by_address = by_address
