"""Which peers are known to hold which chunks, and which of them are held back.

The chunks that a peer holds are the bits of an integer, the lowest first.
"""

import time
from collections.abc import Callable, Iterable

__all__ = ('Holders', 'unite')

PENALTY_S = 3.0


class Holders:
    """The chunks that peers told of, by version."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty table."""
        self._clock = clock
        self._told: dict[str, dict[str, int]] = {}
        self._held_back: dict[str, float] = {}
        self._backlogs: dict[str, float] = {}

    def update(self, digest: str, name: str, bits: int) -> bool:
        """Take a peer's word, and return whether it holds something new."""
        known = self._told.setdefault(digest, {})
        before = known.pop(name, None)
        known[name] = bits
        return before != bits

    def update_backlog(self, name: str, backlog_s: float) -> None:
        """Take a peer's word of how far ahead its link is taken, in seconds."""
        self._backlogs[name] = self._clock() + backlog_s

    def backlog_s(self, name: str) -> float:
        """Return how far ahead a peer's link is taken, as far as is known."""
        return max(0.0, self._backlogs.get(name, 0.0) - self._clock())

    def remove_chunk(self, digest: str, name: str, index: int) -> None:
        """Forget that a peer holds a chunk, as when it did not send it."""
        known = self._told.get(digest, {})
        known[name] = known.get(name, 0) & ~(1 << index)

    def drop_peer(self, name: str) -> None:
        """Forget all that a peer holds."""
        for known in self._told.values():
            known.pop(name, None)

    def drop_version(self, digest: str) -> None:
        """Forget a version."""
        self._told.pop(digest, None)

    def bits(self, digest: str, name: str) -> int:
        """Return what a peer said that it holds."""
        return self._told.get(digest, {}).get(name, 0)

    def holds(self, digest: str, name: str, index: int) -> bool:
        """Tell whether a peer said that it holds a chunk."""
        return bool(self.bits(digest, name) >> index & 1)

    def usable_holders(
        self,
        digest: str,
        is_usable: Callable[[str], bool],
    ) -> dict[str, int]:
        """Return what the usable peers hold, by their names."""
        return {
            name: bits
            for name, bits in self._told.get(digest, {}).items()
            if bits and not self.is_suspended(name) and is_usable(name)
        }

    def suspend(self, name: str) -> None:
        """Ask nothing of a peer for a while."""
        self._held_back[name] = self._clock() + PENALTY_S

    def is_suspended(self, name: str) -> bool:
        """Tell whether nothing is to be asked of a peer now."""
        return self._held_back.get(name, 0.0) > self._clock()


def unite(held: Iterable[int]) -> int:
    """Return the chunks that any of some holders holds, as bits."""
    union = 0
    for bits in held:
        union |= bits
    return union
