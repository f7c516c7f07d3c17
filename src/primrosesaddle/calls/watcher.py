"""The watcher: breaks off attempts that are silent, or would begin too late."""

import asyncio
from collections.abc import Callable

from primrosesaddle.calls import attempts, silence
from primrosesaddle.telemetry import journal

__all__ = ('CHECK_INTERVAL_S', 'AttemptWatcher')

CHECK_INTERVAL_S = 0.05  # between looks at all attempts
LATE_S = 0.1  # a look that is later by this much is logged


class AttemptWatcher:
    """The attempts under way, and when each is broken off."""

    def __init__(
        self, overdue: Callable[[str], int], clock: Callable[[], float]
    ) -> None:
        """Watch nothing yet.

        `overdue` gives the least version of a model on which a call that was sent
        may still begin.
        """
        self._overdue = overdue
        self._clock = clock
        self._attempts: set[attempts.Attempt] = set()

    def add(self, attempt: attempts.Attempt) -> None:
        """Watch an attempt whose request is about to be sent."""
        self._attempts.add(attempt)

    def discard(self, attempt: attempts.Attempt) -> None:
        """Watch an attempt no more."""
        self._attempts.discard(attempt)

    async def run(self) -> None:
        """Look at every attempt now and then, until cancelled."""
        looked_at = self._clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = self._clock() - looked_at - CHECK_INTERVAL_S
            if late_s > LATE_S:
                journal.info('watcher.late', late_s=round(late_s, 3))
            looked_at = self._clock()
            for attempt in list(self._attempts):
                self._look(attempt)

    def _look(self, attempt: attempts.Attempt) -> None:
        call = attempt.call
        if attempt.outdated or attempt.stalled:
            return
        if call.model and not attempt.has_body_begun:
            overdue = self._overdue(call.model)
            if attempt.choice.is_older_than(overdue):
                attempt.abort_outdated(overdue)
                return
        now = self._clock()
        if not call.route.repeatable or not call.can_send_again(now):
            return
        silent_s = now - attempt.last_progress_at
        limit_s = silence.get_silence_limit_s(attempt)
        if silent_s > limit_s:
            attempt.abort_stalled(f'limit_s={limit_s:.2f}')
