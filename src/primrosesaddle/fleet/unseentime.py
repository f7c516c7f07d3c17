"""How long changes may have gone unseen, between reads and in pauses."""

from collections.abc import Callable

__all__ = ('UnseenTime',)

# If `observe` was not called for this long, the process was paused. Records read within
# the same time after the pause may have been published during it.
PAUSE_THRESHOLD_S = 0.8
# After a shorter time without a read, changes count as just published.
UNSEEN_THRESHOLD_S = 0.2


class UnseenTime:
    """Detects pauses of the process from the time between calls of `observe`."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create it for a clock in seconds."""
        self._clock = clock
        self._observed_at: float | None = None
        self._pause_s = 0.0
        self._pause_relevant_until = 0.0

    def observe(self) -> None:
        """Detect a pause; call this regularly."""
        now = self._clock()
        if (
            self._observed_at is not None
            and now - self._observed_at > PAUSE_THRESHOLD_S
        ):
            self._pause_s = now - self._observed_at
            self._pause_relevant_until = now + PAUSE_THRESHOLD_S
        elif now >= self._pause_relevant_until:
            self._pause_s = 0.0
        self._observed_at = now

    def estimate_s(self, unread_s: float) -> float:
        """Return for how many seconds changes may have been published unnoticed.

        `unread_s` is the time in which the source was not read.
        """
        pause_s = 0.0
        if self._observed_at is not None:
            pause_s = self._clock() - self._observed_at
        if self._pause_s:
            pause_s += self._pause_s
        elif pause_s <= PAUSE_THRESHOLD_S:
            pause_s = 0.0
        return max(pause_s, unread_s if unread_s > UNSEEN_THRESHOLD_S else 0.0)
