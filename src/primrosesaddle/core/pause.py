"""Detection of pauses in which the whole process did not run."""

__all__ = ('PauseDetector',)

TICK_S = 0.1
PAUSE_S = 1.0  # a longer gap between readings counts as a pause


class PauseDetector:
    """Detect from gaps between clock readings that this process did not run.

    `pauses` counts the pauses; `resumed_at` is the time of the reading after the last.
    """

    def __init__(self, now: float) -> None:
        """Create a detector; `now` is the current time in seconds."""
        self._last_reading_at = now
        self.pauses = 0
        self.resumed_at = now

    def observe(self, now: float) -> bool:
        """Record a clock reading, and tell whether the process was paused before it."""
        paused = now - self._last_reading_at > PAUSE_S
        self._last_reading_at = now
        if paused:
            self.pauses += 1
            self.resumed_at = now
        return paused
