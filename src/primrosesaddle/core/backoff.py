"""Exponential back-off with full jitter."""

import random

__all__ = ('delay_s',)

_LARGEST_POWER = 16


def delay_s(
    attempt: int,
    first_s: float,
    ceiling_s: float,
    rand: random.Random,
) -> float:
    """Return a random wait in seconds, its bound doubled with each attempt."""
    bound = min(ceiling_s, first_s * 2 ** min(attempt, _LARGEST_POWER))
    return rand.uniform(first_s / 2, bound)
