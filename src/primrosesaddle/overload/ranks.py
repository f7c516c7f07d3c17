"""Ranks: how many calls a server should have before a call of a rank is added.

The load is one in which less urgent calls alone would fill all slots. A server takes
queued calls by rank, so that an urgent call may be queued behind a full server and is
the next to run there, whichever entry the others came from. Less urgent ones leave
slots free, but only as far as more urgent calls came lately.

Ranks are those of calls: a workspace's rank takes precedence over a route's.
"""

from collections.abc import Sequence

from primrosesaddle.calls import routes

__all__ = ('FIRST', 'LATE', 'RecentCalls', 'compute_target')

FIRST = 0  # the rank of calls that go before all others
LATE = routes.LATE_RANK  # of calls that cannot meet their objective any more
QUEUED_CALLS = 1.0  # calls that may wait at a server, so that no slot stays empty
# More of these, while there are less urgent calls to overtake; few slots rarely end.
URGENT_QUEUED_CALLS = 3.0
URGENT_QUEUED_SHARE = 0.25  # of the slots of a server, at most that many
# Part of the slots that calls leave free for each more urgent rank: what ends within
# 0.4 s, a short objective, where a call takes 1.4 s.
FREE_SLOTS_PER_RANK = 0.3
# Part that the last rank leaves free at most, as with three ranks; with more of them
# each has less.
MAX_FREE_SLOTS = 0.6
# A rank with this share of the calls counts fully; slots are not kept for a rare one.
FULL_SHARE = 0.1
HALF_LIFE_S = 1.0  # of the memory of calls that came; the load changes within 2 s


class RecentCalls:
    """How many calls of each rank came lately, the older ones counting less."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._counts = [0.0 for _ in range(routes.RANK_COUNT)]
        self._updated_at = 0.0

    def record(self, rank: int, now: float) -> None:
        """Record a call that came at a time in seconds, in time for its objective."""
        kept = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._counts = [kept * count for count in self._counts]
        self._counts[rank] += 1

    def list_shares(self) -> list[float]:
        """Return the share of each rank in the calls, from the most urgent."""
        total = sum(self._counts)
        return [count / total if total else 0.0 for count in self._counts]


def compute_target(slots: int, rank: int, shares: Sequence[float]) -> float:
    """Return how many calls a server with `slots` should have, one of a rank included.

    `shares` are those of the ranks that came lately.
    """
    if rank >= LATE:
        return slots
    present = [min(1.0, share / FULL_SHARE) for share in shares]
    others = max(0.0, sum(present) - 1)
    free_per_rank = min(FREE_SLOTS_PER_RANK, MAX_FREE_SLOTS / max(1.0, others))
    kept_free = free_per_rank * slots * sum(present[:rank])
    may_overtake = max(present[rank + 1 :], default=0.0)
    urgent_queued = min(URGENT_QUEUED_CALLS, URGENT_QUEUED_SHARE * slots)
    return slots + QUEUED_CALLS + urgent_queued * may_overtake - kept_free
