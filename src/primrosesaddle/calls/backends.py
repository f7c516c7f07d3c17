"""Backend servers as an entry sees them: published record, report, own calls."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from primrosesaddle.calls import request
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.telemetry import journal

__all__ = ('Backend', 'Backends', 'Report')

# Agents report five times a second; three reports missed make a report stale.
REPORT_STALE_S = 0.8
# A server that refused a connection or broke off is left alone this long, twice
# as long each time in a row.
SUSPECT_FIRST_S = 0.25
SUSPECT_CEILING_S = 2.0
FAILURE_WEIGHT = 0.15  # of the newest outcome in the share of failures
EJECT_SHARE = 0.35  # share of failures beyond the service's own that ejects
TABLE_LOAD_STALE_S = 1.0  # a load told with an answer is used this long


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A server's state as its agent saw it; `at` is when it came in here."""

    received_at: float
    active: int
    queued: int
    models: Mapping[str, layers.Span]
    switching: bool
    pace: float = 1.0
    reachable: bool = True
    start_time_ms: int = 0
    ready_in_s: float = 0


@dataclasses.dataclass(slots=True)
class Backend:
    """One backend server and what this entry has running there."""

    record: servers.BackendServer
    calls: dict[str, request.Call] = dataclasses.field(default_factory=dict)
    unread_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    report: Report | None = None
    other_calls: int = 0
    other_calls_at: float = 0.0
    suspect_until: float = 0.0
    suspect_count: int = 0
    failure_share: float = 0.0
    is_removed: bool = False
    passing_calls: int = 0  # own calls that begin elsewhere and pass through here

    @property
    def server_id(self) -> str:
        """Return the id of this start of the server."""
        return self.record.server_id

    @property
    def is_superseded(self) -> bool:
        """Tell whether the agent saw a later start of a server at this address."""
        report = self.report
        born_ms = self.record.start_time_ms
        return report is not None and 0 < born_ms < report.start_time_ms

    def fresh_report(self, now: float) -> Report | None:
        """Return the agent's report unless it is stale."""
        report = self.report
        if report is None or now - report.received_at >= REPORT_STALE_S:
            return None
        is_same = (
            not report.start_time_ms
            or report.start_time_ms == self.record.start_time_ms
        )
        return report if is_same or not self.record.start_time_ms else None

    def count_calls(self, now: float) -> int:
        """Return the calls at the server, those of other entries included."""
        return len(self.calls) + self._others(now)

    def get_layers(self, model: str, now: float) -> layers.Span | None:
        """Return the layers of a model that the server runs, by the freshest word."""
        report = self.fresh_report(now)
        if report is None:
            return self.record.models.get(model)
        return None if report.switching else report.models.get(model)

    def ready_in_s(self, now: float) -> float | None:
        """Return when an empty server will hold layers, or None if that is not told."""
        report = self.fresh_report(now)
        if report is None or not report.ready_in_s:
            return None
        return max(0.0, report.ready_in_s - (now - report.received_at))

    def update_report(self, report: Report) -> None:
        """Take the agent's report."""
        self.report = report
        if self.is_superseded:
            return
        self.update_load(report.active + report.queued, report.received_at)

    def update_load(self, total: int, now: float) -> None:
        """Take a total of calls at the server, and note what others have there."""
        self.other_calls = max(0, total - len(self.calls))
        self.other_calls_at = now

    def count_unread_tokens(self) -> int:
        """Return the prompt tokens of own calls that are not yet read."""
        return sum(self.unread_tokens.values())

    def add_call(self, call: request.Call) -> None:
        """Note a call that is sent to the server."""
        self.calls[call.call_id] = call
        self.unread_tokens[call.call_id] = call.cost.prompt_tokens

    def mark_prompt_read(self, call: request.Call) -> None:
        """Note that a call's prompt has been read."""
        self.unread_tokens.pop(call.call_id, None)

    def remove_call(self, call: request.Call) -> None:
        """Note that a call has left the server."""
        self.calls.pop(call.call_id, None)
        self.unread_tokens.pop(call.call_id, None)

    def mark_suspect(self, now: float, why: str) -> None:
        """Leave the server alone for a while."""
        wait_s = min(SUSPECT_CEILING_S, SUSPECT_FIRST_S * 2**self.suspect_count)
        self.suspect_count += 1
        self.suspect_until = now + wait_s
        journal.info(
            'server.suspect', server=self.server_id, why=why, for_s=round(wait_s, 2)
        )

    def record_outcome(self, *, failed: bool) -> None:
        """Count an outcome towards the share of failures."""
        self.failure_share += FAILURE_WEIGHT * (float(failed) - self.failure_share)
        if not failed:
            self.suspect_count = 0

    def _others(self, now: float) -> int:
        if now - self.other_calls_at > TABLE_LOAD_STALE_S:
            return 0
        return self.other_calls


class Backends:
    """All backend servers, by id and by service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table."""
        self._clock = clock
        self._by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_address: dict[str, list[Backend]] = {}
        self._reports: dict[str, Report] = {}
        self.removal_listeners: list[Callable[[Backend], None]] = []

    def update_records(self, published: Iterable[servers.BackendServer]) -> None:
        """Take the published records; leaving and missing servers are dropped."""
        usable = {rec.server_id: rec for rec in published if not rec.leaving}
        for server_id, backend in list(self._by_id.items()):
            record = usable.get(server_id)
            if record is None or record.start_time_ms != backend.record.start_time_ms:
                self._drop(backend)
        for server_id, record in usable.items():
            known = self._by_id.get(server_id)
            if known is None:
                known = Backend(record, report=self._reports.get(record.address))
                self._by_id[server_id] = known
            known.record = record
        self._index()

    def update_report(self, address: str, report: Report) -> None:
        """Take an agent's report on the server at an address."""
        self._reports[address] = report
        for backend in self._by_address.get(address, ()):
            backend.update_report(report)

    def list_servers(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get work."""
        return self._by_service.get(service, [])

    def get_by_address(self, address: str) -> Backend | None:
        """Return the server at an address, or None."""
        found = self._by_address.get(address)
        return found[-1] if found else None

    def get_by_id(self, server_id: str) -> Backend | None:
        """Return a server by its id, or None."""
        return self._by_id.get(server_id)

    def is_usable(self, backend: Backend) -> bool:
        """Tell whether a server may be chosen now: known, trusted, not ejected."""
        now = self._clock()
        if backend.is_removed or now < backend.suspect_until or backend.is_superseded:
            return False
        report = backend.fresh_report(now)
        return report is None or report.reachable

    def is_ejected(self, backend: Backend) -> bool:
        """Tell whether a server fails far more often than its service."""
        if backend.failure_share < EJECT_SHARE:
            return False
        fellows = self.list_servers(backend.record.service)
        usual = sorted(other.failure_share for other in fellows)[len(fellows) // 2]
        if backend.failure_share - usual < EJECT_SHARE:
            return False
        worse = sum(other.failure_share > backend.failure_share for other in fellows)
        return worse < len(fellows) // 2

    def _drop(self, backend: Backend) -> None:
        backend.is_removed = True
        self._by_id.pop(backend.server_id, None)
        for listener in self.removal_listeners:
            listener(backend)

    def _index(self) -> None:
        found: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            found.setdefault(backend.record.service, []).append(backend)
        self._by_service = found
        places: dict[str, list[Backend]] = {}
        for backend in self._by_id.values():
            places.setdefault(backend.record.address, []).append(backend)
        self._by_address = places
