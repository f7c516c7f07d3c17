"""Race: the attempts of one call that are under way at the same time.

A further attempt is made beside one whose server has fallen silent, as that server may
still go on. The first attempt that continues the answer wins, and ends the others.
"""

import asyncio
import typing
from collections.abc import Coroutine

from primrosesaddle.calls import attempts
from primrosesaddle.core import verdict
from primrosesaddle.telemetry import journal

__all__ = ('Race',)

Run = Coroutine[object, object, bool]


class Race:
    """The running attempts of a call.

    `refusal` is why the attempt that ended last got no server, None if it got one.
    `has_new_silence` tells whether a server fell silent while this was last waited for.
    """

    def __init__(self) -> None:
        """Create a race without attempts, on the running event loop."""
        self._attempts: dict[asyncio.Task[bool], attempts.Attempt | None] = {}
        self._winner: attempts.Attempt | None = None
        self._loop = asyncio.get_running_loop()
        self._silence: 'asyncio.Future[None]' = self._loop.create_future()
        self.refusal: verdict.Refusal | None = None
        self.has_new_silence = False
        self._fault: BaseException | None = None

    @property
    def is_running(self) -> bool:
        """Whether an attempt is under way, or waits for a server."""
        return bool(self._attempts)

    def has_others(self, attempt: attempts.Attempt) -> bool:
        """Return whether attempts besides this one are running."""
        return any(other is not attempt for other in self._attempts.values())

    @property
    def is_silent(self) -> bool:
        """Whether all attempts have a server, and all of these are silent."""
        return all(
            attempt is not None and attempt.silent
            for attempt in self._attempts.values()
        )

    def start(self, run: Run) -> None:
        """Start one more attempt; `run` returns whether the call is answered."""
        self._winner = None
        self._attempts[self._loop.create_task(run)] = None

    def enter(self, attempt: attempts.Attempt) -> None:
        """Add the attempt of the running task, which has been given a server."""
        task = typing.cast('asyncio.Task[bool]', asyncio.current_task())
        self._attempts[task] = attempt
        attempt.on_silence = self._record_silence

    def claim(self, attempt: attempts.Attempt) -> bool:
        """Return whether an attempt may continue the answer.

        The first one may, until another is started; the others are cancelled.
        """
        if self._winner is None:
            self._winner = attempt
            for task, other in self._attempts.items():
                if other is not attempt:
                    task.cancel()
        return self._winner is attempt

    def is_lost_by(self, attempt: attempts.Attempt) -> bool:
        """Return whether another attempt continues the answer."""
        return self._winner not in {None, attempt}

    async def wait(self) -> bool:
        """Wait until an attempt has ended or fallen silent.

        Return whether the call is answered. Raises an exception of an attempt if no
        other attempt is left; a refusal is kept instead.
        """
        waiting: list[asyncio.Future[typing.Any]] = [self._silence, *self._attempts]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        self.has_new_silence = self._silence.done()
        if self.has_new_silence:
            self._silence = self._loop.create_future()
        ended = [task for task in self._attempts if task.done()]
        is_answered = any([self._finish(task) for task in ended])
        if self._fault is None or is_answered or self._attempts:
            return is_answered
        raise self._fault

    async def cancel(self) -> None:
        """End all attempts."""
        for task in self._attempts:
            task.cancel()
        await asyncio.gather(*self._attempts, return_exceptions=True)
        for ended in list(self._attempts):
            self._finish(ended)

    def _record_silence(self) -> None:
        if not self._silence.done():
            self._silence.set_result(None)

    def _finish(self, task: 'asyncio.Task[bool]') -> bool:
        """Remove an ended attempt, and return whether it has answered the call."""
        if self._attempts.pop(task) is self._winner:
            self._winner = None
        if task.cancelled():
            return False
        exc = task.exception()
        self.refusal = exc if isinstance(exc, verdict.Refusal) else None
        if exc is None:
            return task.result()
        if self.refusal is None:
            journal.error('attempt.fault', error=repr(exc))
            self._fault = exc
        return False
