"""Detection of pauses in which the whole process did not run."""

__all__ = ('PauseDetector',)

TICK_S = 0.1
PAUSE_S = 1.0  # a longer gap between readings counts as a pause
NOTICE_S = 0.3  # after a pause, until all that happened in it has been noticed


class PauseDetector:
    """Detect from gaps between clock readings that this process did not run.

    `pauses` counts the pauses; `paused_at` and `resumed_at` are the times of the
    readings before and after the last one.
    """

    def __init__(self, now: float) -> None:
        """Create a detector; `now` is the current time in seconds."""
        self._last_reading_at = now
        self.pauses = 0
        self.paused_at = now
        self.resumed_at = now

    def observe(self, now: float) -> bool:
        """Record a clock reading, and tell whether the process was paused before it."""
        paused = now - self._last_reading_at > PAUSE_S
        if paused:
            self.pauses += 1
            self.paused_at = self._last_reading_at
            self.resumed_at = now
        self._last_reading_at = now
        return paused

    def earliest_time(self, now: float) -> float:
        """Return since when an event that is noticed now may have waited.

        During a pause and shortly after it, that is the beginning of the pause.
        """
        if now - self._last_reading_at > PAUSE_S:
            return self._last_reading_at
        return self.paused_at if now - self.resumed_at < NOTICE_S else now
