"""Placement: which backend server answers a call soonest."""

import dataclasses
import random
import typing
from collections.abc import Callable, Iterable, Mapping, Sequence

from primrosesaddle.calls import backends, request, routes
from primrosesaddle.core import layers

__all__ = ('Choice', 'Placer', 'ChainMember')

# Added to a prediction for a server elsewhere: the way there and back, and the
# price of bytes between data centres.
OTHER_DATA_CENTRE_S = 0.008
OTHER_REGION_S = 0.02
# Predictions closer than this are drawn between, so that entries that see the same
# do not all choose the same.
TIE_S = 0.002
FAILURE_COST_S = 1.0  # a certain failure weighs like this much waiting
PLAIN_WORK_S = 0.02  # of one call at a plain service, for weighing its queue
# Places of a server that calls of a route's rank leave to more urgent ones.
RESERVED_PLACES = (0, 1, 2)
RESERVED_FROM_LATE = 5  # places that calls which came back late leave to others
RESERVING_SLOTS = 8  # servers with fewer places reserve none
# Prompts that this entry has unread at one engine; they hold up all that it writes
# for 30 ms at 32 tokens a millisecond.
MAX_UNREAD_TOKENS = 1000


class ChainMember(typing.NamedTuple):
    """A server of a chain, and the layers that it runs."""

    backend: backends.Backend
    first: int
    end: int


EstimateFillTime = Callable[[routes.Service], float | None]
_Holder = tuple[backends.Backend, layers.Span]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A server and the prediction that chose it, in seconds to the first byte.

    A chain lists the servers that run the layers in order, when no server holds
    all of them; the first one takes the call.
    """

    backend: backends.Backend
    predicted_s: float
    version: int
    chain: tuple[ChainMember, ...] = ()

    def is_older_than(self, version: int) -> bool:
        """Tell whether the server holds weights, and older ones than a version."""
        return 0 < self.version < version

    def describe(self, now: float) -> str:
        """Return what decided, for the log: prediction, load, its age, the chain."""
        backend = self.backend
        report = backend.report
        age_s = -1 if report is None else round(now - report.received_at, 2)
        running = backend.count_calls(now)
        told = (
            f'{self.predicted_s:.3f}/{running}/{backend.count_unread_tokens()}/{age_s}'
        )
        return '>'.join((told, *(stop.backend.server_id for stop in self.chain[1:])))


class Placer:
    """Choose among the servers of a service that have a free place."""

    def __init__(
        self,
        table: backends.Backends,
        data_centre: str,
        regions: Mapping[str, str],
        rand: random.Random,
        clock: Callable[[], float],
        fill_s: EstimateFillTime,
    ) -> None:
        """Create a placer for an entry in a data centre."""
        self._fill_s = fill_s
        self._table = table
        self._data_centre = data_centre
        self._regions = regions
        self._rand = rand
        self._clock = clock

    def choose_server(
        self,
        call: request.Call,
        service: routes.Service,
        required: int,
    ) -> Choice | None:
        """Return the best server with a free place, or None.

        `required` is the least version of the call's model.
        """
        now = self._clock()
        found = self._soonest(
            self.list_usable_servers(call, service, required), call, service, now
        )
        if found is not None:
            backend, predicted_s = found
            version = self._version(backend, call, service, now)
            return Choice(backend, predicted_s, version)
        if service.engine is not None and call.model:
            return self._choose_chain(call, service, required, now)
        return None

    def count_slots(self, service: routes.Service) -> int:
        """Return the places of all servers of a service, taken ones included."""
        return sum(
            backend.record.slots for backend in self._table.list_servers(service.name)
        )

    def estimate_ready_s(
        self, call: request.Call, service: routes.Service, required: int
    ) -> float | None:
        """Return when half of the empty servers will serve, if nothing does now.

        Until agents tell, it is as long as a part takes. Returns None when nothing is
        known, or when there are servers to wait for.
        """
        if service.engine is None or self.list_usable_servers(call, service, required):
            return None
        now = self._clock()
        told = [
            backend.ready_in_s(now)
            for backend in self._table.list_servers(service.name)
        ]
        found = sorted(left_s for left_s in told if left_s is not None)
        return found[len(found) // 2] if found else self._fill_s(service)

    def list_usable_servers(
        self, call: request.Call, service: routes.Service, required: int
    ) -> list[backends.Backend]:
        """Return the servers that could run a call, with a free place or not."""
        least = max(1, required) if service.engine and call.model else 0
        now = self._clock()
        found = [
            backend
            for backend in self._table.list_servers(service.name)
            if self._table.is_usable(backend)
            and backend.server_id not in call.tried
            and self._version(backend, call, service, now) >= least
        ]
        sound = [backend for backend in found if not self._table.is_ejected(backend)]
        return sound or found

    def _choose_chain(
        self, call: request.Call, service: routes.Service, required: int, now: float
    ) -> Choice | None:
        """Return servers that hold all layers between them, or None.

        They stand in one data centre, as every token passes from one to the next.
        """
        held = self._partly_held(call, service, required, now)
        chains = {}
        for backend, span in held:
            chain = _chain(held, backend, span.version, _layers(service))
            if chain:
                chains[backend.server_id] = (span.version, chain)
        heads = [backend for backend, _ in held if backend.server_id in chains]
        found = self._soonest(heads, call, service, now)
        if found is None:
            return None
        backend, predicted_s = found
        return Choice(backend, predicted_s, *chains[backend.server_id])

    def _soonest(
        self,
        found: Iterable[backends.Backend],
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> tuple[backends.Backend, float] | None:
        """Return the best server with a free place and its prediction, or None."""
        best: tuple[backends.Backend, float] | None = None
        best_score = 0.0
        for backend in found:
            if not self._has_place(backend, call, service, now):
                continue
            predicted_s = self._predict_s(backend, call, service, now)
            score = self._score(backend, predicted_s)
            if best is None or score < best_score:
                best = backend, predicted_s
                best_score = score
        return best

    def _partly_held(
        self, call: request.Call, service: routes.Service, required: int, now: float
    ) -> list[_Holder]:
        """Return the servers that hold some layers of an allowed version."""
        count = _layers(service)
        reporting = [
            backend
            for backend in self._table.list_servers(service.name)
            if self._table.is_usable(backend)
            and backend.server_id not in call.tried
            and backend.fresh_report(now) is not None
        ]
        spans = [backend.get_layers(call.model, now) for backend in reporting]
        return [
            (backend, span)
            for backend, span in zip(reporting, spans, strict=True)
            if span is not None
            and span.version >= required
            and not layers.whole_version(span, count)
        ]

    def _version(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> int:
        """Return the version of the call's model that a server holds whole.

        It is 0 for a plain service, whose calls are bound to no version.
        """
        if service.engine is None:
            return 0
        held = backend.get_layers(call.model, now)
        return layers.whole_version(held, _layers(service))

    def _score(self, backend: backends.Backend, predicted_s: float) -> float:
        """Return what to choose by, less being better."""
        score = predicted_s + self._distance_s(backend)
        score += FAILURE_COST_S * backend.failure_share
        return score + self._rand.uniform(0, TIE_S)

    def _has_place(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> bool:
        """Tell whether a server has a free place and little left to read."""
        slots = backend.record.slots or 1
        if slots >= RESERVING_SLOTS:
            slots -= _reserved(call)
        if backend.count_calls(now) >= slots:
            return False
        if service.engine is None:
            return True
        unread = backend.count_unread_tokens()
        return not unread or unread + call.cost.prompt_tokens <= MAX_UNREAD_TOKENS

    def _predict_s(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> float:
        running = backend.count_calls(now)
        engine = service.engine
        if engine is None:
            return PLAIN_WORK_S * (1 + running / (backend.record.slots or 1))
        report = backend.fresh_report(now)
        pace = 1.0 if report is None else report.pace
        unread = backend.count_unread_tokens() + call.cost.prompt_tokens
        if report is not None:
            unread += (
                max(0, report.queued - len(backend.unread_tokens))
                * engine.usual_prompt_tokens
            )
        pass_s = engine.event_s * min(1.0, running / engine.slots) if running else 0.0
        return pace * (unread / engine.read_tokens_per_s + pass_s)

    def _distance_s(self, backend: backends.Backend) -> float:
        there = backend.record.data_centre
        if there == self._data_centre:
            return 0.0
        if self._regions.get(there) == self._regions.get(self._data_centre):
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S


def _layers(service: routes.Service) -> int:
    return service.engine.layer_count if service.engine else 0


def _chain(
    holders: Sequence[_Holder], head: backends.Backend, version: int, count: int
) -> tuple[ChainMember, ...]:
    """Return the stops of a chain that begins at a server, empty for none."""
    near = [
        (backend, span)
        for backend, span in holders
        if backend.record.data_centre == head.record.data_centre
        and span.version == version
    ]
    stops: list[ChainMember] = []
    begin = 0
    while begin < count:
        found = [
            (backend, span.end)
            for backend, span in near
            if (backend is head) == (not stops) and span.first <= begin < span.end
        ]
        if not found:
            return ()
        backend, end = min(found, key=lambda pair: pair[0].passing_calls)
        stops.append(ChainMember(backend, begin, min(end, count)))
        begin = end
    return tuple(stops)


def _reserved(call: request.Call) -> int:
    """Return the places of a server that a call leaves to others."""
    if call.answer_started:
        return 0
    if call.is_late_retry:
        return RESERVED_FROM_LATE
    return RESERVED_PLACES[call.rank % len(RESERVED_PLACES)]
