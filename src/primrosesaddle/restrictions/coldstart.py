"""Cold starts: which servers are cold, and how many calls this entry may send them.

A server that has just started is empty, and so the best choice of every entry at once;
together they would send it more calls in a second than it bears, and a data centre
that comes back would lose its servers again one after the other. Each entry therefore
sends a cold server no more than a share of its own, which needs no message between
entries: the calls that a server bears in a second are dealt out over all entries in an
order that follows from their names, as `count_dealt` does. An entry that knows more
entries than there are deals itself less, so that entries that come, go or are cut off
from each other keep the sum, as long as they remember each other (`knownentries`).
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from primrosesaddle.core import rendezvous

__all__ = (
    'ColdServers',
    'Limits',
    'SendLog',
    'compute_limits',
    'count_dealt',
    'rank_positions',
)

Incarnation = tuple[str, int]
# The first of positions in the order of a server, and the number of all.
Ranks = tuple[tuple[int, ...], int]

# Period in which an entry sends its part of a second's calls. Sends that are further
# apart than a second may arrive within one if the first takes longer on its way: 100 ms
# are a round trip between continents.
PERIOD_S = 1.1
# Part of the bound that is dealt out where the bound is hardly above what a server
# bears. The rest is for entries that are not known yet: each new one adds its part
# until the others have heard of it.
DEALT_SHARE = 0.75
# Positions of an entry in the server's own data centre, where others have one. Entries
# prefer near servers, and would leave the parts of far entries unused.
NEAR_POSITIONS = 3
# A server that appears is taken for cold for this long although its record does not
# say so: by then it has published once more, or its agent has reported.
PRESUMED_S = 2.0
# Factors on a server's limits in equal parts of the time after it was cold.
RAMP_FACTORS = (2.0, 4.0)
RAMP_S = 2.0  # at most; most answers that were begun cold end within it
FORGOTTEN_AFTER_S = 60.0  # a server may come back after an outage of the store


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Calls that all entries together may send a cold server in any `period_s`."""

    calls: int
    period_s: float

    def grow(self, factor: float) -> 'Limits':
        """Return the limits with a multiple of the calls."""
        return dataclasses.replace(self, calls=int(self.calls * factor))


def compute_limits(calls_per_s: float, overage: float, slack: float) -> Limits:
    """Return the limits for a server that bears `calls_per_s`.

    More than `calls_per_s` times `overage` plus `slack` in a second are forbidden.
    """
    rate = min(calls_per_s, DEALT_SHARE * (calls_per_s * overage + slack))
    calls = max(1, math.floor(rate))
    return Limits(calls, PERIOD_S * max(1.0, calls / rate))


def rank_positions(
    server_id: str, data_centre: str, name: str, entries: Mapping[str, str]
) -> Ranks:
    """Return the ranks of an entry's positions for a server, and how many there are.

    `entries` maps the names of all known entries to their data centres.
    """
    owners = {
        f'{entry}#{number}': entry
        for entry, place in entries.items()
        for number in range(NEAR_POSITIONS if place == data_centre else 1)
    }
    ordered = rendezvous.order(server_id, owners)
    ranks = (rank for rank, key in enumerate(ordered) if owners[key] == name)
    return tuple(ranks), len(ordered)


def count_dealt(ranks: Ranks, calls: int) -> int:
    """Return how many of a server's calls are dealt to an entry's positions.

    Calls are dealt one by one to the positions in their order, again and again. With
    more entries a position's rank and the length of a turn can only grow, so that none
    is dealt more.
    """
    own, position_count = ranks
    return sum(len(range(rank, calls, position_count)) for rank in own)


class SendLog:
    """The calls that this entry has granted and sent to one server.

    A granted call counts until it has been sent and `period_s` have passed since, as it
    may wait long for a connection.
    """

    def __init__(self) -> None:
        """Create an empty log."""
        self._granted: set[str] = set()
        self._sent: collections.deque[float] = collections.deque()
        self._last_granted_at = -math.inf

    def grant(self, call_id: str, now: float) -> None:
        """Count a call that has been given the server."""
        self._granted.add(call_id)
        self._last_granted_at = now

    def record_sent(self, call_id: str, now: float) -> None:
        """Record that a call is sent now."""
        self._granted.discard(call_id)
        self._sent.append(now)

    def release(self, call_id: str) -> None:
        """Stop counting a call that was not sent, if it was not."""
        self._granted.discard(call_id)

    def compute_wait_s(self, calls: int, period_s: float, now: float) -> float:
        """Return in how many seconds a call may be granted, 0 for now.

        At most `calls` are counted in any `period_s`, at equal distances.
        """
        self.forget_old(now, period_s)
        if not calls:
            return period_s
        next_at = self._last_granted_at + period_s / calls
        over = len(self._granted) + len(self._sent) - calls
        if over >= 0:
            is_known = over < len(self._sent)
            freed_at = self._sent[over] if is_known else now
            next_at = max(next_at, freed_at + period_s)
        return max(0.0, next_at - now)

    @property
    def is_empty(self) -> bool:
        """Whether no call is counted."""
        return not self._granted and not self._sent

    def forget_old(self, now: float, period_s: float) -> None:
        """Drop sends that are older than `period_s`."""
        while self._sent and now - self._sent[0] >= period_s:
            self._sent.popleft()


@dataclasses.dataclass(slots=True)
class _Server:
    """What is known of one start of a server."""

    cold_until: float
    ramp_s: float
    known_at: float


class ColdServers:
    """Until when servers are cold, from all that states it.

    Each statement holds from when it was received, and the latest end wins: a server
    may become cold again, and a statement that has travelled longer ends too late, not
    too early. A server that appears after the first records, and does not say that it
    is cold, is taken for cold for `PRESUMED_S`.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty collection; `clock` returns seconds."""
        self._clock = clock
        self._servers: dict[Incarnation, _Server] = {}
        self._has_records = False

    def update(self, published: Iterable[tuple[Incarnation, float, float]]) -> None:
        """Adopt the published servers whose service states a cold start.

        Each comes with its service's cold start and the cold time that it states, both
        in seconds.
        """
        now = self._clock()
        for incarnation, cold_start_s, remaining_s in published:
            known = self._servers.get(incarnation)
            if known is None:
                presumed_s = min(PRESUMED_S, cold_start_s) if self._has_records else 0.0
                ramp_s = min(RAMP_S, cold_start_s)
                known = _Server(
                    now + presumed_s if presumed_s else -ramp_s, ramp_s, now
                )
                self._servers[incarnation] = known
            known.known_at = now
            self.record_remaining(incarnation, remaining_s)
        self._has_records = self._has_records or bool(self._servers)
        for incarnation, server in list(self._servers.items()):
            if now - server.known_at > FORGOTTEN_AFTER_S:
                self._servers.pop(incarnation)

    def record_remaining(self, incarnation: Incarnation, remaining_s: float) -> bool:
        """Record for how long a server says that it is cold.

        Returns whether it was not known to be cold.
        """
        known = self._servers.get(incarnation)
        now = self._clock()
        if known is None or remaining_s <= 0:
            return False
        was_cold = now < known.cold_until
        known.cold_until = max(known.cold_until, now + remaining_s)
        return not was_cold

    def get_factor(self, incarnation: Incarnation) -> float | None:
        """Return the factor on a cold server's calls: 1 while it is cold, then more.

        Returns None for a server without limits.
        """
        known = self._servers.get(incarnation)
        if known is None:
            return None
        since_s = self._clock() - known.cold_until
        if since_s < 0:
            return 1.0
        if since_s >= known.ramp_s:
            return None
        return RAMP_FACTORS[int(since_s / known.ramp_s * len(RAMP_FACTORS))]

    def get_remaining_s(self, incarnation: Incarnation) -> float:
        """Return for how many more seconds a server is cold, 0 if it is not."""
        known = self._servers.get(incarnation)
        return 0.0 if known is None else max(0.0, known.cold_until - self._clock())

    def count_cold(self) -> int:
        """Return the number of servers that are cold."""
        now = self._clock()
        return sum(now < server.cold_until for server in self._servers.values())
