"""Admission: queues calls by rank at the entry until a server has a free slot."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Callable

from primrosesaddle.calls import backends, placement, request, routes
from primrosesaddle.core import verdict
from primrosesaddle.overload import control

__all__ = ('Admission',)

# Interval at which the queues are checked; servers free a slot every 10 ms or so.
CHECK_INTERVAL_S = 0.02
RATE_WINDOW_S = 2.0  # over which the rate of granted slots is measured
# A retry that is too late for its objective waits this long behind all other calls.
LATE_RETRY_WAIT_S = 0.6
# Multiple of the usual answer time that is reserved for a call that waits for servers
# to be filled: many prompts are read at once where servers have just been filled.
FINISH_FACTOR = 2.5
MIN_WAIT_S = 0.03  # a first attempt may wait at least this long
# An interrupted stream may wait this long; callers give up after two seconds.
RESUME_WAIT_S = 1.5
# Bounds on the retry time that a refusal states. A caller that retries sooner meets
# the same overload; it never waits more than a third of its remaining time.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
START_MARGIN_S = 0.02  # for the round trip to the server
START_WEIGHT = 0.05  # weight of the newest start time in the moving averages
START_DEVIATIONS = 1.0  # mean deviations that are added to the usual start time

GetRequiredVersion = Callable[[str], int]
GrantListener = Callable[[request.Call, placement.Choice], None]


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A call in a queue, and the future that receives its server."""

    call: request.Call
    service: routes.Service
    expires_at: float
    fut: 'asyncio.Future[placement.Choice]' = dataclasses.field(
        default_factory=asyncio.Future
    )

    def refuse(self, refusal: verdict.Refusal) -> None:
        """End the wait with a refusal, unless it has ended."""
        if not self.fut.done():
            self.fut.set_exception(refusal)


class _Queue:
    """The calls that wait for one service, by rank, and recent times of the service.

    `start_s` is the moving average of the time from a granted slot to the first byte,
    `start_deviation_s` that of its deviation; `granted` holds when slots were granted,
    and of which server.
    """

    def __init__(self) -> None:
        self.ranks: list[collections.deque[_Waiter]] = [
            collections.deque() for _ in range(routes.LATE_RANK + 1)
        ]
        self.granted: collections.deque[tuple[float, backends.Backend]]
        self.granted = collections.deque()
        self.start_s = 0.0
        self.start_deviation_s = 0.0

    def list_waiters(self) -> list[_Waiter]:
        """Return all waiters, including those whose wait has ended."""
        return [waiter for waiting in self.ranks for waiter in waiting]

    def count_ahead_of(self, rank: int) -> int:
        """Return how many calls wait with this rank or a more urgent one."""
        return sum(len(waiting) for waiting in self.ranks[: rank + 1])

    def has_rival(self, rank: int, homes: frozenset[str] | None) -> bool:
        """Return whether a call waits that goes first wherever another one may go.

        That is one with this one's rank or a more urgent one, and with its homes or
        more.
        """
        return any(
            waiter.call.homes is None
            or (homes is not None and homes <= waiter.call.homes)
            for waiting in self.ranks[: rank + 1]
            for waiter in waiting
        )

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.ranks)

    def record_start(self, start_s: float) -> None:
        """Update the averages with a time from a granted slot to the first byte."""
        difference_s = start_s - self.start_s
        self.start_s += START_WEIGHT * difference_s
        self.start_deviation_s += START_WEIGHT * (
            abs(difference_s) - self.start_deviation_s
        )

    def compute_grant_rate(
        self, now: float, may_serve: Callable[[backends.Backend], bool]
    ) -> float:
        """Return the slots granted per second in the last `RATE_WINDOW_S`.

        Only those of servers that `may_serve` a call count: what others granted just
        before an evacuation, or outside its homes, is no room for it.
        """
        self._forget_grants(now)
        by_id = {backend.server_id: backend for _, backend in self.granted}
        allowed = {name for name, backend in by_id.items() if may_serve(backend)}
        counted = [at for at, backend in self.granted if backend.server_id in allowed]
        return len(counted) / RATE_WINDOW_S

    def record_grant(self, now: float, backend: backends.Backend) -> None:
        """Record that a slot of a server was granted."""
        self.granted.append((now, backend))
        self._forget_grants(now)

    def _forget_grants(self, now: float) -> None:
        while self.granted and now - self.granted[0][0] > RATE_WINDOW_S:
            self.granted.popleft()


class Admission:
    """Gives slots of servers to calls: the most urgent first, then the oldest.

    `grant_listeners` are called with each call that gets a slot, `release_listeners`
    when it gives the slot back. `excluded_count` is the number of calls that were
    refused as they might go to no server of a service.
    """

    def __init__(
        self,
        placer: placement.Placer,
        get_required_version: GetRequiredVersion,
        clock: Callable[[], float],
        room: control.Control | None = None,
    ) -> None:
        """Create empty queues.

        `get_required_version` returns the lowest version of a model that is allowed.
        `room` decides while entries compete for slots; it has to limit the placer.
        """
        self._room = room
        self._placer = placer
        self._get_required_version = get_required_version
        self._clock = clock
        self._queues: dict[str, _Queue] = {}
        self._has_waiters = asyncio.Event()
        self.grant_listeners: list[GrantListener] = []
        self.release_listeners: list[GrantListener] = []
        self.excluded_count = 0

    def count_waiting(self) -> int:
        """Return the number of calls that wait."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire_slot(
        self, call: request.Call, service: routes.Service
    ) -> placement.Choice:
        """Acquire a slot for a call, and return the server; wait if necessary.

        Raises `verdict.Refusal` when no slot can be expected in time, or none came.
        """
        now = self._clock()
        queue = self._queues.setdefault(service.name, _Queue())
        if self._room is not None:
            self._room.record_arrival(call, service.name)
        rank = self._get_queue_rank(call, service)
        if not queue.has_rival(rank, call.homes):
            choice = self._choose_server(call, service)
            if choice is not None:
                self._take_slot(queue, call, choice, now)
                return choice
        exclusion = self._placer.explain_full_exclusion(call, service)
        if exclusion:
            raise self._make_excluded_refusal(call, exclusion)
        ready_s = self._estimate_ready_s(call, service)
        max_wait_s = self._compute_max_wait_s(call, service, queue, ready_s)
        expected_wait_s = self._estimate_wait_s(call, service, queue, ready_s)
        quiet_s = self._estimate_quiet_s(call, service)
        if quiet_s is not None and quiet_s > max_wait_s:
            raise _make_quiet_refusal(quiet_s)
        room_s = self._estimate_room_s(call, service)
        if room_s is not None and room_s > max_wait_s:
            raise _make_room_refusal(room_s)
        if max_wait_s <= 0 or expected_wait_s > max_wait_s:
            ahead = queue.count_ahead_of(rank)
            reason = (
                f'no_place: ahead={ahead} expected_s={expected_wait_s:.2f} '
                f'may_hold_s={max_wait_s:.2f}'
            )
            raise self._make_refusal(call, service, ready_s, reason)
        waiter = _Waiter(call, service, now + max_wait_s)
        return await self._wait(queue, waiter, rank)

    def release(self, call: request.Call, choice: placement.Choice) -> None:
        """Release the slot of a call, and grant it to the next one."""
        choice.backend.remove_call(call)
        for listener in self.release_listeners:
            listener(call, choice)
        for member in choice.chain[1:]:
            member.backend.passing_calls -= 1
        self.grant_slots(choice.backend.record.service)

    def record_start(self, service: str, start_s: float) -> None:
        """Record the time from a call's granted slot to its first byte."""
        self._queues.setdefault(service, _Queue()).record_start(start_s)

    def grant_slots(self, service: str) -> None:
        """Grant free slots to the calls that wait for a service.

        Calls whose homes are full do not hold up those that may go elsewhere.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        full_homes: set[frozenset[str] | None] = set()
        for waiting in queue.ranks:
            self._grant_rank(queue, waiting, full_homes)

    def refuse_excluded(self) -> None:
        """Refuse the waiting calls that may no longer go to any server.

        Called when what restricts calls may have changed.
        """
        for queue in self._queues.values():
            for waiter in queue.list_waiters():
                reason = self._placer.explain_full_exclusion(
                    waiter.call, waiter.service
                )
                if reason:
                    waiter.refuse(self._make_excluded_refusal(waiter.call, reason))

    def may_serve(self, call: request.Call, backend: backends.Backend) -> bool:
        """Return whether a call may go to a server at all."""
        return not self._placer.explain_exclusion(call, backend)

    def explain_exclusion(self, call: request.Call, choice: placement.Choice) -> str:
        """Return why a call may no longer go where it was placed, empty if it may."""
        members = [member.backend for member in choice.chain] or [choice.backend]
        reasons = (self._placer.explain_exclusion(call, backend) for backend in members)
        return next((reason for reason in reasons if reason), '')

    def has_server(self, call: request.Call, service: routes.Service) -> bool:
        """Return whether a server that was not tried can run a call, or soon can."""
        required = self._get_required_version(call.model)
        usable = self._placer.list_usable_servers(call, service, required)
        return bool(usable) or self._choose_server(call, service) is not None

    def refuse_hopeless(self, service: str) -> None:
        """Refuse the calls that cannot wait until a server of a service wants calls.

        Called when a server has asked for no calls for a while.
        """
        queue = self._queues.get(service)
        now = self._clock()
        for waiter in queue.list_waiters() if queue else ():
            quiet_s = self._estimate_quiet_s(waiter.call, waiter.service)
            if quiet_s is not None and now + quiet_s > waiter.expires_at:
                waiter.refuse(_make_quiet_refusal(quiet_s))

    async def run(self) -> None:
        """Grant slots and refuse calls that waited too long, until cancelled."""
        while True:
            await self._has_waiters.wait()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._has_waiters.clear()
            for name, queue in self._queues.items():
                if len(queue):
                    self.grant_slots(name)
                    self._refuse_expired(queue)
                if len(queue):
                    self._has_waiters.set()

    async def _wait(
        self, queue: _Queue, waiter: _Waiter, rank: int
    ) -> placement.Choice:
        call, fut = waiter.call, waiter.fut
        wait_began_at = self._clock()
        queue.ranks[rank].append(waiter)
        self._has_waiters.set()
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(call, fut.result())
            fut.cancel()
            raise
        finally:
            call.queued_s += self._clock() - wait_began_at

    def _grant_rank(
        self,
        queue: _Queue,
        waiting: collections.deque[_Waiter],
        full_homes: set[frozenset[str] | None],
    ) -> None:
        """Grant slots to the calls of one rank, in order, until none is free.

        Homes without a free slot are added to `full_homes`; None stands for all.
        """
        passed_over: collections.deque[_Waiter] = collections.deque()
        try:
            while waiting and None not in full_homes:
                waiter = waiting[0]
                homes = waiter.call.homes
                if waiter.fut.done():
                    waiting.popleft()
                elif homes in full_homes or not self._grant_slot(queue, waiter):
                    full_homes.add(homes)
                    passed_over.append(waiting.popleft())
                else:
                    waiting.popleft()
        finally:
            waiting.extendleft(reversed(passed_over))

    def _grant_slot(self, queue: _Queue, waiter: _Waiter) -> bool:
        """Grant a slot to a call that waits, and return whether there was one."""
        choice = self._choose_server(waiter.call, waiter.service)
        if choice is None:
            return False
        self._take_slot(queue, waiter.call, choice, self._clock())
        waiter.fut.set_result(choice)
        return True

    def _refuse_expired(self, queue: _Queue) -> None:
        now = self._clock()
        for waiting in queue.ranks:
            for waiter in [entry for entry in waiting if now >= entry.expires_at]:
                waiting.remove(waiter)
                room_s = self._estimate_room_s(waiter.call, waiter.service)
                if room_s is not None:
                    waiter.refuse(_make_room_refusal(room_s))
                    continue
                ready_s = self._estimate_ready_s(waiter.call, waiter.service)
                waiter.refuse(
                    self._make_refusal(
                        waiter.call, waiter.service, ready_s, 'no_place: held'
                    )
                )

    def _choose_server(
        self, call: request.Call, service: routes.Service
    ) -> placement.Choice | None:
        return self._placer.choose_server(
            call, service, self._get_required_version(call.model)
        )

    def _take_slot(
        self,
        queue: _Queue,
        call: request.Call,
        choice: placement.Choice,
        now: float,
    ) -> None:
        choice.backend.add_call(call)
        for member in choice.chain[1:]:
            member.backend.passing_calls += 1
        queue.record_grant(now, choice.backend)
        if self._room is not None:
            self._room.record_granted(call, choice.backend.record.service)
        for listener in self.grant_listeners:
            listener(call, choice)

    def _compute_max_wait_s(
        self,
        call: request.Call,
        service: routes.Service,
        queue: _Queue,
        ready_s: float | None,
    ) -> float:
        """Return for how many seconds a call may wait for a slot.

        A call that can still meet its objective waits until that needs a start. A
        late retry waits for a fixed time, or until servers are filled.
        """
        now = self._clock()
        remaining_s = call.deadline_at - now
        if call.answer_started:
            return min(RESUME_WAIT_S, remaining_s / 2)
        usual_s = START_MARGIN_S
        if service.engine is not None:
            usual_s += service.engine.event_s + service.engine.usual_read_s
        start_s = queue.start_s + START_DEVIATIONS * queue.start_deviation_s
        spare_s = call.objective_at - now - max(usual_s, start_s)
        if spare_s > 0:
            return max(spare_s, MIN_WAIT_S)
        if not call.spent_s:
            return MIN_WAIT_S
        if ready_s is None:
            return min(LATE_RETRY_WAIT_S, remaining_s / 4)
        engine = service.engine
        finish_s = FINISH_FACTOR * engine.usual_answer_s if engine else 0.0
        return min(ready_s + LATE_RETRY_WAIT_S, remaining_s - finish_s)

    def _estimate_wait_s(
        self,
        call: request.Call,
        service: routes.Service,
        queue: _Queue,
        ready_s: float | None,
    ) -> float:
        """Return in how many seconds a call can expect a slot.

        While servers are being filled, the recent rate does not predict the next
        grants, so that a retry counts with the time at which servers are ready.
        """
        ahead = queue.count_ahead_of(self._get_queue_rank(call, service))
        if ready_s is not None and call.spent_s:
            if ahead < self._placer.count_slots(call, service):
                return ready_s
        rate = queue.compute_grant_rate(
            self._clock(), functools.partial(self.may_serve, call)
        )
        return ahead / rate if rate else 0.0

    def _estimate_quiet_s(
        self, call: request.Call, service: routes.Service
    ) -> float | None:
        """Return in how many seconds the first server wants calls again, or None."""
        required = self._get_required_version(call.model)
        return self._placer.estimate_quiet_s(call, service, required)

    def _estimate_room_s(
        self, call: request.Call, service: routes.Service
    ) -> float | None:
        """Return in how many seconds a limited server leaves room, or None."""
        required = self._get_required_version(call.model)
        return self._placer.estimate_room_s(call, service, required)

    def _estimate_ready_s(
        self, call: request.Call, service: routes.Service
    ) -> float | None:
        """Return in how many seconds servers being filled will serve, or None."""
        required = self._get_required_version(call.model)
        return self._placer.estimate_ready_s(call, service, required)

    def _make_excluded_refusal(
        self, call: request.Call, reason: str
    ) -> verdict.Refusal:
        """Return the refusal of a call that may go to no server of its service.

        When that ends is not known, so that the caller is asked to come back as late
        as it is certain to.
        """
        self.excluded_count += 1
        retry_after_s = min(MAX_RETRY_AFTER_S, (call.deadline_at - self._clock()) / 3)
        return verdict.not_run(
            f'excluded: {reason}', 503, round(max(MIN_RETRY_AFTER_S, retry_after_s), 2)
        )

    def _make_refusal(
        self,
        call: request.Call,
        service: routes.Service,
        ready_s: float | None,
        reason: str,
    ) -> verdict.Refusal:
        """Return a refusal that states when a slot may be free."""
        remaining_s = call.deadline_at - self._clock()
        retry_after_s = min(MAX_RETRY_AFTER_S, remaining_s / 3)
        if self._room is not None:
            decided_by = self._room.explain(call, service.name)
            use = self._room.get_use(service.name)
            reason = f'{reason} decided_by={decided_by} use={use:.2f}'
            self._room.record_refused(call, service.name, decided_by)
            if self._room.is_engaged(service.name):
                retry_after_s = self._room.choose_retry_s(call)
        if ready_s is not None:
            retry_after_s = min(retry_after_s, ready_s)
        return verdict.not_run(
            reason, 503, round(max(MIN_RETRY_AFTER_S, retry_after_s), 2)
        )

    def _get_queue_rank(self, call: request.Call, service: routes.Service) -> int:
        """Return the rank of a call in the queue.

        An interrupted stream comes first, as the part that the caller has would be
        lost. A late retry comes last. While entries compete for slots, a call of a
        group that is behind comes first too.
        """
        if self._room is not None:
            return self._room.find_rank(call, service.name)
        if call.answer_started:
            return 0
        return routes.LATE_RANK if call.is_late_retry else call.rank


def _make_quiet_refusal(quiet_s: float) -> verdict.Refusal:
    """Return the refusal of a call whose servers want no calls for a while."""
    retry_after_s = round(max(MIN_RETRY_AFTER_S, quiet_s), 2)
    return verdict.not_run(f'quiet: for_s={quiet_s:.2f}', 503, retry_after_s)


def _make_room_refusal(room_s: float) -> verdict.Refusal:
    """Return the refusal of a call whose servers bear no more calls for now."""
    retry_after_s = round(max(MIN_RETRY_AFTER_S, room_s), 2)
    return verdict.not_run(f'no_room: for_s={room_s:.2f}', 503, retry_after_s)
