"""The choice of a backend server for one call."""

import dataclasses
import random
from collections.abc import Sequence

from primrosesaddle.core import rendezvous

__all__ = ('OutlierDetector', 'RetryBudget', 'Server', 'choose_server')

LOAD_BOUND_FACTOR = 1.2
SLOW_START_S = 5.0
MAX_EJECTED_SHARE = 0.34
EJECTION_S = 5.0
FAILURES_TO_EJECT = 5
SLOW_FACTOR = 3.0
LATENCY_WEIGHT = 0.2
RETRIES_PER_CALL = 0.1
MAX_SAVED_RETRIES = 20.0


@dataclasses.dataclass
class Server:
    """One choice: load is in calls, `distance` is 0 for the same data centre,
    1 for the same region, and 2 elsewhere; `age_s` counts since it joined.
    """

    name: str
    in_flight: int
    reported_load: int
    capacity: int
    distance: int
    age_s: float

    @property
    def load(self) -> float:
        """Return the load over the capacity, higher for a server that just came."""
        held = max(self.in_flight, self.reported_load) + 1
        warm = min(1.0, max(0.1, self.age_s / SLOW_START_S))
        return held / (max(1, self.capacity) * warm)


def choose_server(
    servers: Sequence[Server],
    prefix: str,
    rand: random.Random,
) -> Server | None:
    """Return the server for a call, or None when there is none.

    With a prefix its owner by rendezvous is taken unless that is loaded beyond
    the bound; without one the less loaded of two random servers.
    """
    if not servers:
        return None
    nearby = _nearby(servers)
    if not prefix:
        pair = rand.sample(nearby, min(2, len(nearby)))
        return min(pair, key=lambda server: server.load)
    by_name = {server.name: server for server in servers}
    mean = sum(server.load for server in servers) / len(servers)
    for name in rendezvous.order(prefix, by_name):
        if by_name[name].load <= LOAD_BOUND_FACTOR * mean + 1 / _smallest(servers):
            return by_name[name]
    return min(servers, key=lambda server: server.load)


def _smallest(servers: Sequence[Server]) -> int:
    return max(1, min(server.capacity for server in servers))


def _nearby(servers: Sequence[Server]) -> list[Server]:
    for distance in sorted({server.distance for server in servers}):
        group = [server for server in servers if server.distance <= distance]
        if any(server.load <= 1 for server in group):
            return group
    return list(servers)


@dataclasses.dataclass
class _Score:
    latency_s: float = 0
    failures: int = 0
    ejected_until: float = 0


class OutlierDetector:
    """Eject servers that fail or lag, never more than a share of them."""

    def __init__(self) -> None:
        """Create the table of an entry."""
        self._scores: dict[str, _Score] = {}

    def record_result(self, name: str, latency_s: float | None, now: float) -> None:
        """Take the first-token latency of an answer, or None for a failure."""
        score = self._scores.setdefault(name, _Score())
        if latency_s is None:
            score.failures += 1
            if score.failures >= FAILURES_TO_EJECT:
                score.ejected_until = now + EJECTION_S
            return
        score.failures = 0
        if score.latency_s:
            latency_s = score.latency_s + LATENCY_WEIGHT * (latency_s - score.latency_s)
        score.latency_s = latency_s

    def forget_server(self, name: str) -> None:
        """Drop what is known of a server that left."""
        self._scores.pop(name, None)

    def exclude_outliers(self, servers: Sequence[Server], now: float) -> list[Server]:
        """Return the servers without the outliers, down to the floor."""
        allowed = int(len(servers) * MAX_EJECTED_SHARE)
        if not allowed:
            return list(servers)
        worst = sorted(servers, key=lambda server: self._badness(server.name, now))
        usual = self._median([server.name for server in servers])
        out = {
            server.name
            for server in worst[-allowed:]
            if self._is_outlier(server.name, usual, now)
        }
        return [server for server in servers if server.name not in out]

    def _badness(self, name: str, now: float) -> tuple[bool, float]:
        score = self._scores.get(name, _Score())
        return (score.ejected_until > now, score.latency_s)

    def _is_outlier(self, name: str, usual: float, now: float) -> bool:
        score = self._scores.get(name)
        if score is None:
            return False
        if score.ejected_until > now:
            return True
        if usual and score.latency_s > SLOW_FACTOR * usual:
            score.latency_s = usual
            score.ejected_until = now + EJECTION_S
            return True
        return False

    def _median(self, names: Sequence[str]) -> float:
        known = sorted(
            self._scores[name].latency_s
            for name in names
            if name in self._scores and self._scores[name].latency_s
        )
        return known[len(known) // 2] if known else 0.0


class RetryBudget:
    """Retries held to a share of the calls, so that they feed no overload."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._level = MAX_SAVED_RETRIES

    def record_call(self) -> None:
        """Count a call."""
        self._level = min(MAX_SAVED_RETRIES, self._level + RETRIES_PER_CALL)

    def try_spend_retry(self) -> bool:
        """Take a retry, and return whether the budget allows it."""
        if self._level < 1:
            return False
        self._level -= 1
        return True
