"""Clocks other than that of the event loop."""

import time

__all__ = ('seconds_since_boot',)


def seconds_since_boot() -> float:
    """Return the seconds since boot, including time in which the machine slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
