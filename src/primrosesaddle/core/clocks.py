"""Clocks beside the event loop's."""

import time

__all__ = ('boot_time',)


def boot_time() -> float:
    """Return the seconds since boot, those in which the machine slept included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
