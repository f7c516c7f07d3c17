"""Placement: selects the backend server that is predicted to answer a call first."""

import collections
import dataclasses
import random
import typing
from collections.abc import Callable, Iterable, Mapping, Sequence

from primrosesaddle.balance import asking, prediction
from primrosesaddle.calls import backends, request, routes
from primrosesaddle.core import layers

__all__ = ('ChainMember', 'Choice', 'Constraints', 'Cost', 'Placer')

# Added to the prediction for a server in another data centre or region: the round
# trip, and the price of traffic between data centres.
OTHER_DATA_CENTRE_S = 0.008
OTHER_REGION_S = 0.02
# Random addition to a score, so that entries with the same view of the servers do
# not all choose the same one.
TIE_S = 0.002
FAILURE_COST_S = 1.0  # added to the score of a server with a failure share of 1
PLAIN_WORK_S = 0.02  # assumed time of a call at a plain service
# Slots of a server that a call leaves free for more urgent ones, by its route's rank.
RESERVED_SLOTS = (0, 1, 2)
RESERVED_FROM_LATE_RETRIES = 5  # slots that late retries leave free for others
MIN_SLOTS_TO_RESERVE = 8  # servers with fewer slots reserve none
# Bound on the unread prompt tokens of this entry at one engine. Reading them delays
# all answers of the engine, by 30 ms at 32 tokens a millisecond.
MAX_UNREAD_TOKENS = 1000


class ChainMember(typing.NamedTuple):
    """A server of a chain, and the layers from `first` to before `end` that it runs."""

    backend: backends.Backend
    first: int
    end: int


# Returns why a server may not get a call, empty if it may.
Constraint = Callable[[request.Call, backends.Backend], str]
# Returns in how many seconds a server has room for a call, 0 for now.
EstimateRoom = Callable[[request.Call, backends.Backend], float]
# Returns how many calls this entry may have at a server, given a call that may be
# added; None where the free slots of the server decide.
OwnLimit = Callable[[request.Call, backends.Backend], int | None]
# Returns how many calls of all entries a server may have, given a call that may be
# added; None where its free slots decide.
TotalLimit = Callable[[request.Call, backends.Backend], float | None]
EstimateFillTime = Callable[[routes.Service], float | None]
# Returns what it costs to leave for the data centre of a server, at least some seconds.
GetLeavingPrice = Callable[[backends.Backend, float], float]
_PartHolder = tuple[backends.Backend, layers.Span]


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """What keeps calls from servers besides the state of the servers.

    `allowed` are rules that hold for the whole life of a call; waiting does not help.
    `room` are limits that leave room again soon, `room_waits` tell when. `own_limit`
    replaces the count of free slots while entries compete for them, `total_limit` does
    at a server whose agent has just said how many calls it has.
    """

    allowed: tuple[Constraint, ...] = ()
    room: tuple[Constraint, ...] = ()
    room_waits: tuple[EstimateRoom, ...] = ()
    own_limit: OwnLimit | None = None
    total_limit: TotalLimit | None = None


class Cost(typing.NamedTuple):
    """What a call costs at a server, in seconds.

    `first_byte_s` is its predicted time to the first byte, `harm_s` how far calls there
    are delayed beyond their objectives, `price_s` what the distance and the failures
    of the server add.
    """

    first_byte_s: float
    harm_s: float
    price_s: float

    @property
    def work_s(self) -> float:
        """Return what the call costs where the server is."""
        return self.first_byte_s + self.harm_s

    @property
    def total_s(self) -> float:
        """Return the sum, by which servers are compared."""
        return self.work_s + self.price_s


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The server selected for a call.

    `predicted_s` is the predicted time to the first byte, `version` the version of
    the call's model at the server, 0 for a plain service. When no server holds all
    layers, `chain` lists the servers that run them in order; the first of these is
    `backend`, which receives the call.
    """

    backend: backends.Backend
    predicted_s: float
    version: int
    chain: tuple[ChainMember, ...] = ()

    def is_older_than(self, version: int) -> bool:
        """Return whether the server holds weights that are older than a version."""
        return 0 < self.version < version

    def describe(self, now: float) -> str:
        """Return a summary for the log.

        It holds the prediction, the running calls, the unread tokens, the age of
        the report (-1 for none), and the further servers of the chain.
        """
        backend = self.backend
        report = backend.report
        age_s = -1 if report is None else round(now - report.received_at, 2)
        running = backend.count_calls(now)
        summary = (
            f'{self.predicted_s:.3f}/{running}/{backend.count_unread_tokens()}/{age_s}'
        )
        return '>'.join(
            (summary, *(member.backend.server_id for member in self.chain[1:]))
        )


class Placer:
    """Selects servers with a free slot for calls."""

    def __init__(
        self,
        known_backends: backends.Backends,
        data_centre: str,
        regions: Mapping[str, str],
        rand: random.Random,
        clock: Callable[[], float],
        estimate_fill_time: EstimateFillTime,
        constraints: Constraints | None = None,
    ) -> None:
        """Create a placer for an entry in a data centre.

        `regions` maps data centres to regions. `estimate_fill_time` returns in how
        many seconds an empty server of a service can hold a part of the weights,
        None when that is not known. `get_leaving_price_s` may be set afterwards, for
        servers that were asked for their load.
        """
        self._estimate_fill_time = estimate_fill_time
        self._constraints = constraints or Constraints()
        self._backends = known_backends
        self._data_centre = data_centre
        self._regions = regions
        self._rand = rand
        self._clock = clock
        self.get_leaving_price_s: GetLeavingPrice = _get_least_price

    def choose_server(
        self,
        call: request.Call,
        service: routes.Service,
        required_version: int,
    ) -> Choice | None:
        """Return the best server with a free slot, or None.

        A chain is considered when no single server qualifies. `required_version` is
        the lowest version of the call's model that is allowed.
        """
        now = self._clock()
        selected = self._select_soonest(
            self.list_usable_servers(call, service, required_version),
            call,
            service,
            now,
        )
        if selected is not None:
            backend, predicted_s = selected
            version = self._get_held_version(backend, call, service, now)
            return Choice(backend, predicted_s, version)
        if service.engine is not None and call.model:
            return self._select_chain(call, service, required_version, now)
        return None

    def count_slots(self, call: request.Call, service: routes.Service) -> int:
        """Return the slots of the servers that a call may go to, used ones included."""
        return sum(
            backend.record.slots
            for backend in self._backends.list_servers(service.name)
            if not self.explain_exclusion(call, backend)
        )

    def estimate_ready_s(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> float | None:
        """Return in how many seconds half of the empty servers will serve.

        Until agents report that, the time to load a part of the weights is used.
        Returns None when servers can run the call already, or nothing is known.
        """
        if service.engine is None or self.list_usable_servers(
            call, service, required_version
        ):
            return None
        now = self._clock()
        reported = [
            backend.ready_in_s(now)
            for backend in self._backends.list_servers(service.name)
            if not self.explain_exclusion(call, backend)
        ]
        known = sorted(ready_s for ready_s in reported if ready_s is not None)
        return known[len(known) // 2] if known else self._estimate_fill_time(service)

    def estimate_quiet_s(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> float | None:
        """Return in how many seconds the first server wants calls again.

        Returns None unless all servers that can run the call have asked for none.
        """
        if self.list_usable_servers(call, service, required_version):
            return None
        now = self._clock()
        quiet_s = [
            backend.quiet_until - now
            for backend in self._list_able_servers(call, service, required_version)
            if backend.quiet_until > now
        ]
        return min(quiet_s, default=None)

    def estimate_room_s(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> float | None:
        """Return in how many seconds the first server leaves room again.

        Returns None unless limits on room keep a call from all servers that can run it.
        """
        if not any(
            wait(call, backend)
            for backend in self._backends.list_servers(service.name)
            for wait in self._constraints.room_waits
        ):
            return None
        waits_s = [
            max(
                (wait(call, backend) for wait in self._constraints.room_waits),
                default=0.0,
            )
            for backend in self.list_usable_servers(call, service, required_version)
        ]
        return min(waits_s, default=0.0) or None

    def list_usable_servers(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> list[backends.Backend]:
        """Return the servers that can run a call alone, with or without a free slot.

        Ejected servers are left out unless all of them are.
        """
        able = [
            backend
            for backend in self._list_able_servers(call, service, required_version)
            if self._backends.is_usable(backend)
        ]
        not_ejected = [
            backend for backend in able if not self._backends.is_ejected(backend)
        ]
        return not_ejected or able

    def explain_exclusion(self, call: request.Call, backend: backends.Backend) -> str:
        """Return why a call may not go to a server at all, empty if it may."""
        return _find_reason(self._constraints.allowed, call, backend)

    def explain_full_exclusion(
        self, call: request.Call, service: routes.Service
    ) -> str:
        """Return why a call may go to no server of a service, empty if it may to one.

        It is empty too for a service without servers.
        """
        counts: collections.Counter[str] = collections.Counter()
        for backend in self._backends.list_servers(service.name):
            reason = self.explain_exclusion(call, backend)
            if not reason:
                return ''
            counts[reason] += 1
        return ' '.join(f'{reason}:{count}' for reason, count in counts.items())

    def _list_able_servers(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> list[backends.Backend]:
        """Return the servers that can run a call alone, usable now or not."""
        min_version = max(1, required_version) if service.engine and call.model else 0
        now = self._clock()
        return [
            backend
            for backend in self._backends.list_servers(service.name)
            if self._backends.is_present(backend)
            and backend.server_id not in call.tried
            and not self.explain_exclusion(call, backend)
            and self._get_held_version(backend, call, service, now) >= min_version
        ]

    def _select_chain(
        self,
        call: request.Call,
        service: routes.Service,
        required_version: int,
        now: float,
    ) -> Choice | None:
        """Return a chain of servers that together hold all layers, or None.

        They are in one data centre, as every token passes from one to the next.
        """
        holders = self._list_part_holders(call, service, required_version, now)
        chains = {}
        for backend, span in holders:
            chain = _build_chain(holders, backend, span.version, _count_layers(service))
            if chain:
                chains[backend.server_id] = (span.version, chain)
        heads = [backend for backend, _ in holders if backend.server_id in chains]
        selected = self._select_soonest(heads, call, service, now)
        if selected is None:
            return None
        backend, predicted_s = selected
        return Choice(backend, predicted_s, *chains[backend.server_id])

    def _select_soonest(
        self,
        candidates: Iterable[backends.Backend],
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> tuple[backends.Backend, float] | None:
        """Return the best server with a free slot, and its prediction, or None.

        Servers that have just said what their load is come before others.
        """
        able = list(candidates)
        asked = self._select_asked(able, call, service, now)
        return asked or self._select_unasked(able, call, service, now)

    def _select_asked(
        self,
        candidates: Iterable[backends.Backend],
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> tuple[backends.Backend, float] | None:
        """Return the best of the servers that were asked for a call, or None."""
        costs = [
            (cost, backend)
            for backend in candidates
            for cost in (self.compute_asked_cost(backend, call, service, now),)
            if cost is not None
        ]
        if not costs:
            return None
        cost, backend = min(costs, key=lambda pair: pair[0].total_s)
        return backend, cost.first_byte_s

    def compute_asked_cost(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> Cost | None:
        """Return what a call costs at a server that was asked for its load.

        Returns None for one that was not, lately, or that has no free slot.
        """
        answer = call.answers.get(backend.server_id)
        engine = service.engine
        if engine is None or answer is None or not answer.is_valid(now):
            return None
        if not self._has_room_by_answer(backend, call, answer, now):
            return None
        first_byte_s = prediction.predict_first_byte_s(
            engine,
            answer.pace,
            answer.calls,
            answer.unread_tokens + call.cost.prompt_tokens,
        )
        harm_s = prediction.estimate_harm_s(
            first_byte_s, answer.calls, call.route.pause_s, call.route.objective_s
        )
        least_s = self.get_distance_s(backend)
        price_s = self.get_leaving_price_s(backend, least_s) if least_s else 0.0
        failure_s = FAILURE_COST_S * backend.failure_share
        return Cost(first_byte_s, harm_s, price_s + failure_s)

    def list_askable_servers(
        self, call: request.Call, service: routes.Service, required_version: int
    ) -> list[backends.Backend]:
        """Return the servers whose load may be asked for a call.

        These are the engines that can run it alone and may get a call now. Nothing is
        asked of servers that do not state a slowdown: they have their machines to
        themselves, and their reports are enough.
        """
        if service.engine is None or not self._backends.states_slowdown(service.name):
            return []
        return [
            backend
            for backend in self.list_usable_servers(call, service, required_version)
            if not _find_reason(self._constraints.room, call, backend)
        ]

    def _select_unasked(
        self,
        candidates: Iterable[backends.Backend],
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> tuple[backends.Backend, float] | None:
        """Return the best server by what was heard of their load, or None."""
        best: tuple[backends.Backend, float] | None = None
        best_score = 0.0
        for backend in candidates:
            if not self._has_free_slot(backend, call, service, now):
                continue
            predicted_s = self._predict_first_byte_s(backend, call, service, now)
            score = self._compute_score(backend, predicted_s)
            if best is None or score < best_score:
                best = backend, predicted_s
                best_score = score
        return best

    def _list_part_holders(
        self,
        call: request.Call,
        service: routes.Service,
        required_version: int,
        now: float,
    ) -> list[_PartHolder]:
        """Return the servers that hold some, not all, layers of an allowed version.

        Only fresh reports count, as a server may have replaced its layers since.
        """
        count = _count_layers(service)
        reporting = [
            backend
            for backend in self._backends.list_servers(service.name)
            if self._backends.is_usable(backend)
            and backend.server_id not in call.tried
            and not self.explain_exclusion(call, backend)
            and backend.get_fresh_report(now) is not None
        ]
        spans = [backend.get_layers(call.model, now) for backend in reporting]
        return [
            (backend, span)
            for backend, span in zip(reporting, spans, strict=True)
            if span is not None
            and span.version >= required_version
            and not layers.complete_version(span, count)
        ]

    def _get_held_version(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> int:
        """Return the version of the call's model of which a server holds all layers.

        Returns 0 for none, and for a plain service, whose calls need no version.
        """
        if service.engine is None:
            return 0
        held = backend.get_layers(call.model, now)
        return layers.complete_version(held, _count_layers(service))

    def _compute_score(self, backend: backends.Backend, predicted_s: float) -> float:
        """Return the score of a server in seconds; the lowest is the best."""
        score = predicted_s + self._compute_price(backend)
        return score + self._rand.uniform(0, TIE_S)

    def _compute_price(self, backend: backends.Backend) -> float:
        """Return the seconds that a server's distance and its failures add."""
        failure_s = FAILURE_COST_S * backend.failure_share
        return self.get_distance_s(backend) + failure_s

    def _has_free_slot(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> bool:
        """Return whether a server has a free slot and few enough unread tokens."""
        if not self._has_slot_for(backend, call, now):
            return False
        if _find_reason(self._constraints.room, call, backend):
            return False
        if service.engine is None:
            return True
        unread = backend.count_unread_tokens()
        return not unread or unread + call.cost.prompt_tokens <= MAX_UNREAD_TOKENS

    def _has_room_by_answer(
        self,
        backend: backends.Backend,
        call: request.Call,
        answer: asking.Answer,
        now: float,
    ) -> bool:
        """Return whether a server has room for a call, by its agent's answer."""
        total_limit = self._constraints.total_limit
        limit = total_limit(call, backend) if total_limit else None
        if limit is None:
            has_slot = self._has_slot_for(backend, call, now)
        else:
            has_slot = answer.calls + 1 <= limit
        if not has_slot or _find_reason(self._constraints.room, call, backend):
            return False
        unread = backend.count_unread_tokens()
        return not unread or unread + call.cost.prompt_tokens <= MAX_UNREAD_TOKENS

    def _has_slot_for(
        self, backend: backends.Backend, call: request.Call, now: float
    ) -> bool:
        """Return whether this entry may use another slot of a server for a call."""
        own_limit = self._constraints.own_limit
        limit = own_limit(call, backend) if own_limit else None
        if limit is not None:
            return len(backend.calls) < limit
        slots = backend.record.slots or 1
        if slots >= MIN_SLOTS_TO_RESERVE:
            slots -= _count_reserved_slots(call)
        return backend.count_calls(now) < slots

    def _predict_first_byte_s(
        self,
        backend: backends.Backend,
        call: request.Call,
        service: routes.Service,
        now: float,
    ) -> float:
        """Return the predicted seconds from sending a call to its first byte."""
        running = backend.count_calls(now)
        engine = service.engine
        if engine is None:
            work_s = PLAIN_WORK_S * (1 + running / (backend.record.slots or 1))
            return work_s * backend.load.estimate_slowdown(now)
        report = backend.get_fresh_report(now)
        unread = backend.count_unread_tokens() + call.cost.prompt_tokens
        if report is not None:
            unread += (
                max(0, report.queued - len(backend.unread_tokens))
                * engine.usual_prompt_tokens
            )
        # An engine does not work slower for what its machine does besides.
        pace = 1.0 if report is None else report.pace
        return prediction.predict_first_byte_s(engine, pace, running, unread)

    def get_distance_s(self, backend: backends.Backend) -> float:
        """Return the seconds that are added for a server that is not nearby."""
        data_centre = backend.record.data_centre
        if data_centre == self._data_centre:
            return 0.0
        if self._regions.get(data_centre) == self._regions.get(self._data_centre):
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S


def _find_reason(
    rules: Iterable[Constraint], call: request.Call, backend: backends.Backend
) -> str:
    """Return the reason of the first rule that excludes a server, empty for none."""
    reasons = (rule(call, backend) for rule in rules)
    return next((reason for reason in reasons if reason), '')


def _get_least_price(backend: backends.Backend, least_s: float) -> float:
    return least_s


def _count_layers(service: routes.Service) -> int:
    """Return the number of layers of a service's model, 0 for a plain service."""
    return service.engine.layer_count if service.engine else 0


def _build_chain(
    holders: Sequence[_PartHolder], head: backends.Backend, version: int, count: int
) -> tuple[ChainMember, ...]:
    """Return a chain of `count` layers that begins at a server, empty for none.

    Among servers that hold the next layer, the one with the fewest calls passing
    through is chosen.
    """
    holders_nearby = [
        (backend, span)
        for backend, span in holders
        if backend.record.data_centre == head.record.data_centre
        and span.version == version
    ]
    members: list[ChainMember] = []
    next_layer = 0
    while next_layer < count:
        candidates = [
            (backend, span.end)
            for backend, span in holders_nearby
            if (backend is head) == (not members)
            and span.first <= next_layer < span.end
        ]
        if not candidates:
            return ()
        backend, end = min(candidates, key=lambda pair: pair[0].passing_calls)
        members.append(ChainMember(backend, next_layer, min(end, count)))
        next_layer = end
    return tuple(members)


def _count_reserved_slots(call: request.Call) -> int:
    """Return the number of a server's slots that a call leaves free for others."""
    if call.answer_started:
        return 0
    if call.is_late_retry:
        return RESERVED_FROM_LATE_RETRIES
    return RESERVED_SLOTS[call.rank % len(RESERVED_SLOTS)]
