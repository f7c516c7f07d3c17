"""Exponential back-off with full jitter."""

import random

__all__ = ('delay_s',)

_MAX_EXPONENT = 16


def delay_s(
    attempt: int,
    first_s: float,
    ceiling_s: float,
    rand: random.Random,
) -> float:
    """Return a random delay in seconds before a retry.

    The delay lies between half of `first_s` and an upper bound that starts at
    `first_s`, doubles with each attempt (counted from 0) and is at most `ceiling_s`.
    """
    bound = min(ceiling_s, first_s * 2 ** min(attempt, _MAX_EXPONENT))
    return rand.uniform(first_s / 2, bound)
