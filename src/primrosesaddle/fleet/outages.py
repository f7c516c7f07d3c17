"""Contact with the store: whether this process may have missed an outage of it."""

import math
from collections.abc import Callable

__all__ = ('StoreContact',)

# A process in contact hears from the store within this time: a watch without changes
# is answered after 2 s.
MAX_SILENCE_S = 2.4
# Records that expired during an outage are missing from the first read after it. A
# server removed later than this after the outage has left by itself.
REMOVAL_WINDOW_S = 0.3


class StoreContact:
    """When this process last heard from the store, itself or through a peer.

    An outage in which records expire lasts longer than `MAX_SILENCE_S`, and fails the
    calls of every process that makes one. What a peer concludes from its own calls
    therefore holds here only if this process has lost contact, too.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create the contact of a process that has not heard from the store yet."""
        self._clock = clock
        self._heard_at = -math.inf
        self._has_failed = False  # since the last answer
        self._regained_at = -math.inf

    def record_answer(self, age_s: float) -> None:
        """Record an answer of the store, whose content was current `age_s` ago."""
        self._record_heard(self._clock() - age_s)
        self._has_failed = False

    def record_told(self) -> None:
        """Record that a peer has sent what it had just read."""
        self._record_heard(self._clock())

    def record_failure(self) -> None:
        """Record that a call to the store failed."""
        self._has_failed = True

    @property
    def silent_s(self) -> float:
        """Return the seconds since this process heard from the store."""
        return self._clock() - self._heard_at

    @property
    def may_have_missed_outage(self) -> bool:
        """Tell whether the store may have been away without this process knowing."""
        if self._clock() - self._regained_at <= REMOVAL_WINDOW_S:
            return True
        return self._is_lost

    @property
    def _is_lost(self) -> bool:
        return self._has_failed or self.silent_s >= MAX_SILENCE_S

    def _record_heard(self, known_at: float) -> None:
        if self._is_lost:
            self._regained_at = self._clock()
        self._heard_at = max(self._heard_at, known_at)
