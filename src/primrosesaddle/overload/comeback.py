"""When callers that are refused for want of room are asked to come back.

The load is one that lasts for some seconds. Callers that all come back after the same
time meet each other, and those that come back soon meet the same load. They are spread
over the middle of the time that they have left. Callers that come back after a third of
it, whatever they are told, are not spread; earlier times bring no more calls in time.
"""

__all__ = ('choose_retry_s',)

EARLIEST_SHARE = 0.35  # of the remaining time of a call
LATEST_SHARE = 0.65
MAX_REMAINING_S = 6.0  # that counts; the load may be gone long before a later retry
MIN_RETRY_S = 0.1  # a retry that is sooner meets the same load


def choose_retry_s(remaining_s: float, draw: float) -> float:
    """Return after how many seconds a refused caller should come back.

    `remaining_s` is the remaining time of its call, `draw` is in [0, 1).
    """
    share = EARLIEST_SHARE + (LATEST_SHARE - EARLIEST_SHARE) * draw
    return max(MIN_RETRY_S, share * min(MAX_REMAINING_S, remaining_s))
