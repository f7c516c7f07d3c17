"""The watcher: reports silent attempts, and aborts outdated and blocked ones."""

import asyncio
from collections.abc import Callable

from primrosesaddle.calls import attempts, crashes, request, silence
from primrosesaddle.telemetry import journal

__all__ = ('CHECK_INTERVAL_S', 'AttemptWatcher')

CHECK_INTERVAL_S = 0.05  # between checks of all attempts
LATE_CHECK_S = 0.1  # a check that is late by more than this is logged


class AttemptWatcher:
    """Checks all attempts under way at intervals."""

    def __init__(
        self,
        min_version_to_begin: Callable[[str], int],
        can_go_elsewhere: Callable[[attempts.Attempt], bool],
        get_block: Callable[[request.Call], crashes.Block | None],
        clock: Callable[[], float],
    ) -> None:
        """Create a watcher without attempts.

        `min_version_to_begin` returns the lowest version of a model on which a call
        that has been sent may still begin. `can_go_elsewhere` returns whether another
        server may take over the call of an attempt, `get_block` why a call is not to
        begin at a server.
        """
        self._min_version_to_begin = min_version_to_begin
        self._can_go_elsewhere = can_go_elsewhere
        self._get_block = get_block
        self._clock = clock
        self._attempts: set[attempts.Attempt] = set()
        self._has_attempts = asyncio.Event()

    def add(self, attempt: attempts.Attempt) -> None:
        """Start to watch an attempt, whose request is about to be sent."""
        self._attempts.add(attempt)
        self._has_attempts.set()

    def discard(self, attempt: attempts.Attempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def run(self) -> None:
        """Check every attempt at intervals, until cancelled."""
        while True:
            self._has_attempts.clear()
            if not self._attempts:
                await self._has_attempts.wait()
            checked_at = self._clock()
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = self._clock() - checked_at - CHECK_INTERVAL_S
            if late_s > LATE_CHECK_S:
                journal.info('watcher.late', late_s=round(late_s, 3))
            for attempt in list(self._attempts):
                self._check(attempt)

    def _check(self, attempt: attempts.Attempt) -> None:
        """Abort an outdated or blocked attempt; report one silent for too long."""
        call = attempt.call
        if attempt.outdated:
            return
        block = None if attempt.has_body_begun else self._get_block(call)
        if block is not None:
            attempt.abort_blocked(block.part)
            return
        if call.model and not attempt.has_body_begun:
            min_version = self._min_version_to_begin(call.model)
            if attempt.choice.is_older_than(min_version):
                attempt.abort_outdated(min_version)
                return
        if attempt.waits_for_caller:
            return
        now = self._clock()
        if not call.route.repeatable or not call.can_send_again(now):
            return
        silent_s = now - max(attempt.last_progress_at, attempt.silence_reported_at)
        limit_s = silence.get_silence_limit_s(attempt)
        if silent_s > limit_s and self._can_go_elsewhere(attempt):
            attempt.report_silence(limit_s)
