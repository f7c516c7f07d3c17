"""Choice of the backend server for a call, ejection of outliers, retry budget."""

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
SLOW_LATENCY_FACTOR = 3.0
LATENCY_SMOOTHING = 0.2
RETRIES_PER_CALL = 0.1
MAX_SAVED_RETRIES = 20.0


@dataclasses.dataclass
class Server:
    """A backend server that a call may be sent to.

    `in_flight` counts the calls from this entry, `reported_load` those that the agent
    reports, `capacity` those that it runs at once. `distance` is 0 for the same data
    centre, 1 for the same region, 2 for another. `age_s` is the time since it joined.
    """

    name: str
    in_flight: int
    reported_load: int
    capacity: int
    distance: int
    age_s: float

    @property
    def load(self) -> float:
        """Return the load over the capacity, raised for a server that just joined."""
        calls = max(self.in_flight, self.reported_load) + 1
        warmup_share = min(1.0, max(0.1, self.age_s / SLOW_START_S))
        return calls / (max(1, self.capacity) * warmup_share)


def choose_server(
    servers: Sequence[Server],
    prefix: str,
    rand: random.Random,
) -> Server | None:
    """Return the server for a call, or None when there is none.

    With `prefix`, the digest of how a conversation begins, take the first server by
    rendezvous hashing whose load is within the bound; without one take the less
    loaded of two random servers nearby.
    """
    if not servers:
        return None
    nearby = _nearby_servers(servers)
    if not prefix:
        candidates = rand.sample(nearby, min(2, len(nearby)))
        return min(candidates, key=lambda server: server.load)
    by_name = {server.name: server for server in servers}
    mean_load = sum(server.load for server in servers) / len(servers)
    for name in rendezvous.order(prefix, by_name):
        if by_name[name].load <= LOAD_BOUND_FACTOR * mean_load + 1 / _min_capacity(
            servers
        ):
            return by_name[name]
    return min(servers, key=lambda server: server.load)


def _min_capacity(servers: Sequence[Server]) -> int:
    return max(1, min(server.capacity for server in servers))


def _nearby_servers(servers: Sequence[Server]) -> list[Server]:
    """Return the servers up to the smallest distance at which one has room."""
    for distance in sorted({server.distance for server in servers}):
        group = [server for server in servers if server.distance <= distance]
        if any(server.load <= 1 for server in group):
            return group
    return list(servers)


@dataclasses.dataclass
class _ServerRecord:
    latency_s: float = 0
    failures: int = 0
    ejected_until: float = 0


class OutlierDetector:
    """Eject servers that fail or are slow, at most a share of them."""

    def __init__(self) -> None:
        """Create a detector without results."""
        self._records: dict[str, _ServerRecord] = {}

    def record_result(self, name: str, latency_s: float | None, now: float) -> None:
        """Record the first-token latency of an answer, or None for a failure."""
        record = self._records.setdefault(name, _ServerRecord())
        if latency_s is None:
            record.failures += 1
            if record.failures >= FAILURES_TO_EJECT:
                record.ejected_until = now + EJECTION_S
            return
        record.failures = 0
        if record.latency_s:
            latency_s = record.latency_s + LATENCY_SMOOTHING * (
                latency_s - record.latency_s
            )
        record.latency_s = latency_s

    def forget_server(self, name: str) -> None:
        """Remove the results of a server that left."""
        self._records.pop(name, None)

    def exclude_outliers(self, servers: Sequence[Server], now: float) -> list[Server]:
        """Return the servers without outliers, of which a share is ejected at most."""
        max_ejected = int(len(servers) * MAX_EJECTED_SHARE)
        if not max_ejected:
            return list(servers)
        ordered = sorted(
            servers, key=lambda server: self._ejection_key(server.name, now)
        )
        median_s = self._median_latency_s([server.name for server in servers])
        ejected = {
            server.name
            for server in ordered[-max_ejected:]
            if self._is_outlier(server.name, median_s, now)
        }
        return [server for server in servers if server.name not in ejected]

    def _ejection_key(self, name: str, now: float) -> tuple[bool, float]:
        record = self._records.get(name, _ServerRecord())
        return (record.ejected_until > now, record.latency_s)

    def _is_outlier(self, name: str, median_s: float, now: float) -> bool:
        """Tell whether a server is ejected; eject it if it is too slow."""
        record = self._records.get(name)
        if record is None:
            return False
        if record.ejected_until > now:
            return True
        if median_s and record.latency_s > SLOW_LATENCY_FACTOR * median_s:
            record.latency_s = median_s
            record.ejected_until = now + EJECTION_S
            return True
        return False

    def _median_latency_s(self, names: Sequence[str]) -> float:
        known = sorted(
            self._records[name].latency_s
            for name in names
            if name in self._records and self._records[name].latency_s
        )
        return known[len(known) // 2] if known else 0.0


class RetryBudget:
    """Limit retries to a share of the calls, so that they don't add to an overload."""

    def __init__(self) -> None:
        """Create a full budget."""
        self._saved_retries = MAX_SAVED_RETRIES

    def record_call(self) -> None:
        """Count a call, which earns a share of a retry."""
        self._saved_retries = min(
            MAX_SAVED_RETRIES, self._saved_retries + RETRIES_PER_CALL
        )

    def try_spend_retry(self) -> bool:
        """Spend a retry; return whether the budget allows it."""
        if self._saved_retries < 1:
            return False
        self._saved_retries -= 1
        return True
