"""Cold shares: whether this entry may send a call to a server that is or may be cold.

Brings together which servers are cold, which entries share what they bear, and what
this entry has sent. It does no I/O: the load it is for is a data centre whose servers
come back together while all entries hold calls that wait for a server.
"""

import collections
import dataclasses
from collections.abc import Callable, Mapping

from primrosesaddle.restrictions import coldstart, knownentries

__all__ = ('ColdShares', 'Target')


# A process that was paused for longer does not know which servers have become cold,
# until it has read the store again. Sweeps are 0.5 s apart.
MAX_PAUSE_S = 1.5
REFRESH_S = 1.0  # of the view after a pause


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One start of a server, and where it is."""

    incarnation: coldstart.Incarnation
    service: str
    data_centre: str


class ColdShares:
    """Decides how many calls this entry sends to cold servers.

    `limits` maps the names of services to what a cold server of theirs bears; those
    that state nothing are missing, and their servers are not limited.
    """

    def __init__(
        self,
        name: str,
        entries: knownentries.KnownEntries,
        settle_s: float,
        is_informed: Callable[[coldstart.Incarnation], bool],
        clock: Callable[[], float],
    ) -> None:
        """Create the shares of the entry of a name.

        A cold server gets nothing from this entry in its first `settle_s`, within which
        it and the others learn of each other; 0 for one that shares with nobody.
        `is_informed` returns whether this entry would know by now that a server has
        become cold.
        """
        self._name = name
        self._entries = entries
        self._settle_s = settle_s
        self._is_informed = is_informed
        self._clock = clock
        self._settled_at = clock() + settle_s
        self._swept_at = clock()
        self._refreshed_at = clock()
        self._ranks: dict[str, coldstart.Ranks] = {}
        self._ranked_revision = -1
        self._logs: dict[str, coldstart.SendLog] = collections.defaultdict(
            coldstart.SendLog
        )
        self.limits: Mapping[str, coldstart.Limits] = {}
        self.servers = coldstart.ColdServers(clock)

    def explain(self, target: Target) -> str:
        """Return why a call may not be sent to a server now, empty if it may."""
        limits = self._find_limits(target)
        if limits is None:
            return ''
        own = self.count_own(target, limits)
        if not own:
            return 'cold: other entries send there'
        wait_s = self._logs[target.incarnation[0]].compute_wait_s(
            own, limits.period_s, self._clock()
        )
        return 'cold: own share is used up' if wait_s > 0 else ''

    def estimate_wait_s(self, target: Target) -> float:
        """Return in how many seconds a call may be sent to a server, 0 for now."""
        limits = self._find_limits(target)
        if limits is None:
            return 0.0
        own = self.count_own(target, limits)
        if not own:
            return self.servers.get_remaining_s(target.incarnation) or limits.period_s
        return self._logs[target.incarnation[0]].compute_wait_s(
            own, limits.period_s, self._clock()
        )

    def count_own(self, target: Target, limits: coldstart.Limits) -> int:
        """Return how many of a server's calls in a period this entry may send."""
        is_known_cold = self.servers.get_factor(target.incarnation) is not None
        if self._settle_s and not self._entries.has_others:
            # No share is known to be safe. A server that is only not known to be warm
            # gets single calls, as this entry may be the last that is left.
            return 0 if is_known_cold else 1
        if self._clock() < self._settled_at:
            return 0
        return coldstart.count_dealt(self._rank(target), limits.calls)

    def grant(self, target: Target, call_id: str) -> None:
        """Count a call that has been given a server."""
        if target.service in self.limits:
            self._logs[target.incarnation[0]].grant(call_id, self._clock())

    def record_sent(self, target: Target, call_id: str) -> None:
        """Record that a call is sent now."""
        if target.service in self.limits:
            self._logs[target.incarnation[0]].record_sent(call_id, self._clock())

    def release(self, target: Target, call_id: str) -> None:
        """Stop counting a call that was given a server and not sent, if it was not."""
        log = self._logs.get(target.incarnation[0])
        if log is not None:
            log.release(call_id)

    def sweep(self) -> None:
        """Forget what no longer counts; call it every 0.5 s.

        A gap between calls is taken for a pause of the process.
        """
        self._entries.forget_silent()
        now = self._clock()
        if now - self._swept_at > MAX_PAUSE_S:
            self._refreshed_at = now + REFRESH_S
        self._swept_at = now
        period_s = max((limit.period_s for limit in self.limits.values()), default=0.0)
        for server_id, log in list(self._logs.items()):
            log.forget_old(now, period_s)
            if log.is_empty:
                self._logs.pop(server_id)

    def _find_limits(self, target: Target) -> coldstart.Limits | None:
        """Return the limits of a server that is or may be cold, or None."""
        limits = self.limits.get(target.service)
        if limits is None:
            return None
        factor = self.servers.get_factor(target.incarnation)
        if factor is not None:
            return limits.grow(factor)
        return None if self._is_known_warm(target) else limits

    def _is_known_warm(self, target: Target) -> bool:
        """Return whether this entry would know by now that a server became cold."""
        now = self._clock()
        if now - self._swept_at > MAX_PAUSE_S or now < self._refreshed_at:
            return False
        return self._is_informed(target.incarnation)

    def _rank(self, target: Target) -> coldstart.Ranks:
        """Return the ranks of this entry's positions for a server."""
        if self._ranked_revision != self._entries.revision:
            self._ranked_revision = self._entries.revision
            self._ranks.clear()
        server_id = target.incarnation[0]
        ranks = self._ranks.get(server_id)
        if ranks is None:
            ranks = coldstart.rank_positions(
                server_id, target.data_centre, self._name, self._entries.places
            )
            self._ranks[server_id] = ranks
        return ranks
