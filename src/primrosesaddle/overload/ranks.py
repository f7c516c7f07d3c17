"""Ranks: how many calls a server should have before a call of a rank is added.

The load is one in which less urgent calls alone would fill all slots. A server takes
queued calls by rank, so that an urgent call may be queued behind a full server and is
the next to run there, whichever entry the others came from. Less urgent ones leave
slots free, but only as far as more urgent calls came lately.
"""

import enum
from collections.abc import Sequence

__all__ = (
    'RecentCalls',
    'Urgency',
    'classify',
    'compute_queue_rank',
    'compute_target',
)

QUEUED_CALLS = 1.0  # calls that may wait at a server, so that no slot stays empty
URGENT_QUEUED_CALLS = (
    3.0  # more of these, while there are less urgent calls to overtake
)
# Part of the slots that calls leave free for each more urgent class: what ends within
# 0.4 s, a short objective, where a call takes 1.4 s.
FREE_SLOTS_PER_CLASS = 0.3
# A class with this share of the calls counts fully; slots are not kept for a rare one.
FULL_SHARE = 0.1
HALF_LIFE_S = 1.0  # of the memory of calls that came; the load changes within 2 s

_RANKS_PER_CLASS = 3  # ranks of workspaces that are told apart in a class


class Urgency(enum.IntEnum):
    """Classes of calls, by which room is shared."""

    FIRST = 0
    SECOND = 1
    THIRD = 2
    LATE = 3  # cannot meet its objective any more


class RecentCalls:
    """How many calls of each class came lately, the older ones counting less."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._counts = [0.0 for _ in Urgency]
        self._updated_at = 0.0

    def record(self, urgency: Urgency, now: float) -> None:
        """Record a call that came at a time in seconds."""
        kept = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._counts = [kept * count for count in self._counts]
        self._counts[urgency] += 1

    def list_shares(self) -> list[float]:
        """Return the share of each class that can be in time, from the most urgent."""
        fresh = self._counts[: Urgency.LATE]
        total = sum(fresh)
        return [count / total if total else 0.0 for count in fresh]


def classify(route_rank: int) -> Urgency:
    """Return the class of a call that can be in time, by the rank of its route."""
    return Urgency(min(Urgency.THIRD, max(Urgency.FIRST, route_rank)))


def compute_queue_rank(urgency: Urgency, rank: int) -> int:
    """Return the place in a queue of a call of a class that can be in time.

    `rank` is the call's, which its workspace's rank determines first; it decides among
    calls of a class.
    """
    workspace_rank = min(_RANKS_PER_CLASS - 1, rank // _RANKS_PER_CLASS)
    return urgency * _RANKS_PER_CLASS + workspace_rank


def compute_target(slots: int, urgency: Urgency, shares: Sequence[float]) -> float:
    """Return how many calls a server with `slots` should have, one of a class included.

    `shares` are those of the classes that came lately.
    """
    present = [min(1.0, share / FULL_SHARE) for share in shares]
    if urgency is Urgency.LATE:
        return slots
    kept_free = FREE_SLOTS_PER_CLASS * slots * sum(present[:urgency])
    may_overtake = max(present[urgency + 1 :], default=0.0)
    return slots + QUEUED_CALLS + URGENT_QUEUED_CALLS * may_overtake - kept_free
