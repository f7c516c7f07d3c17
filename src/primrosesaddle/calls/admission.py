"""Admission: calls wait at the entry, by rank, until a server has a free place."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from primrosesaddle.calls import placement, request, routes
from primrosesaddle.core import verdict

__all__ = ('Admission',)

TICK_S = 0.02  # between looks at what waits; servers free a place every 10 ms or so
RATE_WINDOW_S = 2.0  # over which the rate of grants is measured
# A call that came back after a refusal is late anyhow; it waits this long behind
# the others.
LATE_RETRY_WAIT_S = 0.6
# Times that a usual answer takes on a full engine, for one whose call waited long:
# many prompts are read at once where servers have just been filled.
FINISH_TIMES = 2.5
LEAST_HOLD_S = 0.03  # a call waits at least this long; it is no loss of time
RESUME_HOLD_S = 1.5  # a broken stream waits; callers give up after two seconds
# A caller that comes back sooner meets the same overload, and it waits no more than
# a third of the time that it has left.
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 2.0
START_MARGIN_S = 0.02  # for the way to the server and back
START_WEIGHT = 0.05  # of the newest time from a place to the first byte
START_DEVIATIONS = 1.0  # that a start may take longer than usual and be on time

Required = Callable[[str], int]


@dataclasses.dataclass(slots=True)
class _Waiter:
    call: request.Call
    service: routes.Service
    until: float
    fut: 'asyncio.Future[placement.Choice]'


class _Queue:
    """What waits for one service, and how fast places were granted lately."""

    def __init__(self) -> None:
        self.ranks: list[collections.deque[_Waiter]] = [
            collections.deque() for _ in range(routes.RANK_COUNT)
        ]
        self.granted: collections.deque[float] = collections.deque()
        self.start_s = 0.0
        self.start_deviation_s = 0.0

    def ahead_of(self, rank: int) -> int:
        return sum(len(waiting) for waiting in self.ranks[: rank + 1])

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.ranks)

    def record_start(self, start_s: float) -> None:
        """Take the time from a place to the first byte."""
        gap_s = start_s - self.start_s
        self.start_s += START_WEIGHT * gap_s
        self.start_deviation_s += START_WEIGHT * (abs(gap_s) - self.start_deviation_s)

    def rate(self, now: float) -> float:
        """Return the grants a second of late."""
        while self.granted and now - self.granted[0] > RATE_WINDOW_S:
            self.granted.popleft()
        return len(self.granted) / RATE_WINDOW_S


class Admission:
    """Give places to calls: the most urgent first, then the longest waiting."""

    def __init__(
        self,
        placer: placement.Placer,
        required: Required,
        clock: Callable[[], float],
    ) -> None:
        """Create empty queues; `required` gives the least version of a model."""
        self._placer = placer
        self._required = required
        self._clock = clock
        self._queues: dict[str, _Queue] = {}

    def count_waiting(self) -> int:
        """Return how many calls wait."""
        return sum(len(queue) for queue in self._queues.values())

    async def acquire_slot(
        self, call: request.Call, service: routes.Service
    ) -> placement.Choice:
        """Take a place for a call, waiting while that is of use.

        Raises `verdict.Refusal` when the call cannot be started in time.
        """
        now = self._clock()
        queue = self._queues.setdefault(service.name, _Queue())
        if not queue.ahead_of(_queue_rank(call)):
            choice = self._choose(call, service)
            if choice is not None:
                self._grant(queue, call, choice, now)
                return choice
        filled_s = self._filled_in_s(call, service)
        hold_s = self._hold_s(call, service, queue, filled_s)
        expected_s = self._expected_s(call, service, queue, filled_s)
        if hold_s <= 0 or expected_s > hold_s:
            ahead = queue.ahead_of(_queue_rank(call))
            reason = (
                f'no_place: ahead={ahead} expected_s={expected_s:.2f} '
                f'may_hold_s={hold_s:.2f}'
            )
            raise self._refusal(call, filled_s, reason)
        return await self._wait(queue, call, service, now + hold_s)

    def release(self, call: request.Call, choice: placement.Choice) -> None:
        """Give a place back, and let the next call have it."""
        choice.backend.remove_call(call)
        for stop in choice.chain[1:]:
            stop.backend.passing_calls -= 1
        self.grant_slots(choice.backend.record.service)

    def record_start(self, service: str, start_s: float) -> None:
        """Take the time from a call's place to its first byte."""
        self._queues.setdefault(service, _Queue()).record_start(start_s)

    def grant_slots(self, service: str) -> None:
        """Grant free places to what waits for a service."""
        queue = self._queues.get(service)
        if queue is None:
            return
        now = self._clock()
        for waiting in queue.ranks:
            while waiting:
                waiter = waiting[0]
                if waiter.fut.done():
                    waiting.popleft()
                    continue
                choice = self._choose(waiter.call, waiter.service)
                if choice is None:
                    return
                waiting.popleft()
                self._grant(queue, waiter.call, choice, now)
                waiter.fut.set_result(choice)

    async def run(self) -> None:
        """Grant places and refuse what waited too long, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for name, queue in self._queues.items():
                if len(queue):
                    self.grant_slots(name)
                    self._expire(queue)

    async def _wait(
        self,
        queue: _Queue,
        call: request.Call,
        service: routes.Service,
        until: float,
    ) -> placement.Choice:
        fut: 'asyncio.Future[placement.Choice]'
        fut = asyncio.get_running_loop().create_future()
        began = self._clock()
        queue.ranks[_queue_rank(call)].append(_Waiter(call, service, until, fut))
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(call, fut.result())
            fut.cancel()
            raise
        finally:
            call.queued_s += self._clock() - began

    def _expire(self, queue: _Queue) -> None:
        now = self._clock()
        for waiting in queue.ranks:
            for waiter in [found for found in waiting if now >= found.until]:
                waiting.remove(waiter)
                if not waiter.fut.done():
                    filled_s = self._filled_in_s(waiter.call, waiter.service)
                    refusal = self._refusal(waiter.call, filled_s, 'no_place: held')
                    waiter.fut.set_exception(refusal)

    def _choose(
        self, call: request.Call, service: routes.Service
    ) -> placement.Choice | None:
        return self._placer.choose_server(call, service, self._required(call.model))

    def _grant(
        self,
        queue: _Queue,
        call: request.Call,
        choice: placement.Choice,
        now: float,
    ) -> None:
        choice.backend.add_call(call)
        for stop in choice.chain[1:]:
            stop.backend.passing_calls += 1
        queue.granted.append(now)

    def _hold_s(
        self,
        call: request.Call,
        service: routes.Service,
        queue: _Queue,
        filled_s: float | None,
    ) -> float:
        """Return how long a call may wait for a place and still be on time."""
        now = self._clock()
        left_s = call.deadline_at - now
        if call.answer_started:
            return min(RESUME_HOLD_S, left_s / 2)
        usual_s = START_MARGIN_S
        if service.engine is not None:
            usual_s += service.engine.event_s + service.engine.usual_read_s
        start_s = queue.start_s + START_DEVIATIONS * queue.start_deviation_s
        on_time_s = call.objective_at - now - max(usual_s, start_s)
        if on_time_s > 0:
            return max(on_time_s, LEAST_HOLD_S)
        if not call.spent_s:
            return LEAST_HOLD_S
        if filled_s is None:
            return min(LATE_RETRY_WAIT_S, left_s / 4)
        engine = service.engine
        finish_s = FINISH_TIMES * engine.usual_answer_s if engine else 0.0
        return min(filled_s + LATE_RETRY_WAIT_S, left_s - finish_s)

    def _expected_s(
        self,
        call: request.Call,
        service: routes.Service,
        queue: _Queue,
        filled_s: float | None,
    ) -> float:
        """Return when a call may expect a place.

        While servers are being filled, the rate of late says nothing of what comes.
        """
        ahead = queue.ahead_of(_queue_rank(call))
        if filled_s is not None and call.spent_s:
            if ahead < self._placer.count_slots(service):
                return filled_s
        rate = queue.rate(self._clock())
        return ahead / rate if rate else 0.0

    def _filled_in_s(self, call: request.Call, service: routes.Service) -> float | None:
        """Return when servers that are being filled will serve, or None."""
        required = self._required(call.model)
        return self._placer.estimate_ready_s(call, service, required)

    def _refusal(
        self, call: request.Call, filled_s: float | None, reason: str
    ) -> verdict.Refusal:
        """Return a refusal that tells when a place may be free."""
        left_s = call.deadline_at - self._clock()
        retry_s = min(MOST_RETRY_S, left_s / 3)
        if filled_s is not None:
            retry_s = min(retry_s, filled_s)
        return verdict.not_run(reason, 503, round(max(LEAST_RETRY_S, retry_s), 2))


def _queue_rank(call: request.Call) -> int:
    """Return the rank by which a call waits.

    A stream that broke off goes first, as it loses what it has; a call that came
    back goes last.
    """
    if call.answer_started:
        return 0
    if call.is_late_retry:
        return routes.RANK_COUNT - 1
    return call.rank
