"""Draining: which calls a leaving process still serves, and how the last ones end."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

from primrosesaddle.calls import refusals, request
from primrosesaddle.core import verdict

__all__ = ('Drain', 'make_refusal')

LEAVING = 'leaving'  # the reason that callers get
LEAVING_RETRY_S = 0.1  # another entry takes the call at once


class Drain:
    """Decides which calls are passed on to servers until the process ends.

    Until `start` all are, with no limit but their own.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create the drain of a process that is not leaving.

        `clock` returns seconds, and has to count those in which the machine slept.
        """
        self.leaving = False
        self._clock = clock
        self._callers_gone_at = math.inf
        self._ends_at = math.inf
        self._running: dict[asyncio.Timeout, request.Call] = {}

    def start(self, callers_gone_at: float, ends_at: float) -> None:
        """Serve only what can be answered before the process ends.

        From `callers_gone_at` on no more callers are expected, at `ends_at` every
        call has to be answered. Both are in seconds of the clock of this object.
        """
        self.leaving = True
        self._callers_gone_at = callers_gone_at
        self._ends_at = ends_at

    def admits(self, call: request.Call, remaining_s: float) -> bool:
        """Return whether a call with `remaining_s` of its time limit may be sent.

        A call that may not be repeated has to end in time whatever happens, as its
        caller could not learn whether it ran. Others usually end long before their
        limit: as long as callers do not know that this process is leaving, refusing
        them would cost callers more than the few that are interrupted. A call that
        may have run cannot be refused any more.
        """
        if call.worst_verdict is not verdict.Verdict.NOT_RUN:
            return True
        now = self._clock()
        if now + remaining_s <= self._ends_at:
            return True
        return call.route.repeatable and now < min(self._callers_gone_at, self._ends_at)

    def check_admitted(self, call: request.Call) -> None:
        """Raise `verdict.Refusal` if a call may not be sent to a server now."""
        remaining_s = call.deadline_at - asyncio.get_running_loop().time()
        if not self.admits(call, remaining_s):
            raise make_refusal()

    @contextlib.asynccontextmanager
    async def limit_time(self, call: request.Call) -> AsyncIterator[None]:
        """Interrupt the body of a `with` statement at the deadline of its call.

        Raises `TimeoutError` then, and `verdict.Refusal` when the drain ends the call.
        """
        limit = asyncio.timeout_at(call.deadline_at)
        self._running[limit] = call
        try:
            async with limit:
                yield
        except TimeoutError as exc:
            if limit.when() == call.deadline_at:
                raise
            if call.tried:
                raise refusals.refuse_unanswered_call(LEAVING) from exc
            raise make_refusal() from exc
        finally:
            self._running.pop(limit)

    def end_unsent_calls(self) -> None:
        """Refuse the waiting calls that can no longer be answered in time."""
        now = asyncio.get_running_loop().time()
        for limit, call in self._running.items():
            if not call.tried and not self.admits(call, call.deadline_at - now):
                _expire(limit, now)

    def end_calls(self) -> None:
        """Give every call its final answer."""
        now = asyncio.get_running_loop().time()
        for limit in self._running:
            _expire(limit, now)


def make_refusal() -> verdict.Refusal:
    """Return the refusal of a call that another entry should serve."""
    return verdict.not_run(LEAVING, refusals.STATUS_UNAVAILABLE, LEAVING_RETRY_S)


def _expire(limit: asyncio.Timeout, now: float) -> None:
    """Let a time limit expire now, unless it has expired."""
    if not limit.expired():
        limit.reschedule(now)
