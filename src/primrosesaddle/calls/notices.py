"""Notices: what servers state about themselves in their answers.

A server that leaves says so in every answer, often before its record does. A server
that refuses a call may ask for no further calls for a while. Both hold for one start of
the server: a replacement with the same id or address is free of them.
"""

import math
from collections.abc import Callable, Collection

__all__ = ('Incarnation', 'Notices')

MAX_INCARNATIONS = 1024  # starts of servers whose notices are kept, the newest
# A server that asks for more is taken to be at fault, and is tried again after this.
MAX_QUIET_S = 60.0
UNREADABLE_QUIET_S = 1.0  # for a server that asks for an unreadable time

# The id of a server and when it started, in Unix milliseconds, 0 if not published.
Incarnation = tuple[str, int]


class Notices:
    """The notices of servers, by incarnation. Times are in seconds of a steady clock.

    They are kept apart from the servers' records, which may be missing for a while
    after an outage of the store.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._leaving: dict[Incarnation, None] = {}
        self._quiet_until: dict[Incarnation, float] = {}

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Record that a server is leaving; return whether that was not known."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        _drop_oldest(self._leaving)
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a server has said that it is leaving."""
        return incarnation in self._leaving

    def list_leaving(self) -> tuple[Incarnation, ...]:
        """Return the servers that are known to be leaving."""
        return tuple(self._leaving)

    def request_quiet(self, incarnation: Incarnation, quiet_s: float) -> float:
        """Record that a server wants no calls for `quiet_s`, NaN if unreadable.

        Return the time until which it gets none. A shorter request does not replace a
        longer one.
        """
        if math.isnan(quiet_s):
            quiet_s = UNREADABLE_QUIET_S
        until = self._clock() + min(max(quiet_s, 0.0), MAX_QUIET_S)
        until = max(until, self._quiet_until.pop(incarnation, 0.0))
        self._quiet_until[incarnation] = until
        _drop_oldest(self._quiet_until)
        return until

    def get_quiet_until(self, incarnation: Incarnation) -> float:
        """Return until when a server wants no calls, 0 if it never asked for that."""
        return self._quiet_until.get(incarnation, 0.0)

    def forget_missing(self, published: Collection[str]) -> None:
        """Forget servers without a known start whose ids are no longer published.

        A later record with such an id may be of a new start.
        """
        for known in (self._leaving, self._quiet_until):
            for incarnation in list(known):
                if not incarnation[1] and incarnation[0] not in published:
                    known.pop(incarnation)


def _drop_oldest(known: dict[Incarnation, None] | dict[Incarnation, float]) -> None:
    """Keep the newest `MAX_INCARNATIONS` of a mapping in the order of insertion."""
    while len(known) > MAX_INCARNATIONS:
        known.pop(next(iter(known)))
