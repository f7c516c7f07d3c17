"""Detection of a process that stood still, and of messages that grew old meanwhile."""

__all__ = ('PauseDetector',)

TICK_S = 0.1
PAUSE_S = 1.0


class PauseDetector:
    """Notice, from gaps in a monotonic clock, that this process stood still."""

    def __init__(self, now: float) -> None:
        """Start watching at a time in seconds."""
        self._last = now
        self.pauses = 0
        self.resumed_at = now

    def observe(self, now: float) -> bool:
        """Take a reading, and return whether the process stood still before it."""
        paused = now - self._last > PAUSE_S
        self._last = now
        if paused:
            self.pauses += 1
            self.resumed_at = now
        return paused
