"""The chunks that each peer holds, and peers that are suspended after a failure.

The chunks of a peer are an integer whose bit `i` stands for chunk `i`.
"""

import time
from collections.abc import Callable, Iterable

__all__ = ('Holders', 'unite')

SUSPENSION_S = 3.0


class Holders:
    """The chunks that peers have reported to hold, by version."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty table."""
        self._clock = clock
        self._reported: dict[str, dict[str, int]] = {}
        self._suspended_until: dict[str, float] = {}
        self._backlog_ends_at: dict[str, float] = {}

    def update(self, digest: str, name: str, bits: int) -> bool:
        """Record the chunks that a peer reports; return whether they changed."""
        known = self._reported.setdefault(digest, {})
        before = known.pop(name, None)
        known[name] = bits
        return before != bits

    def update_backlog(self, name: str, backlog_s: float) -> None:
        """Record the backlog in seconds that a peer reports of its upload link."""
        self._backlog_ends_at[name] = self._clock() + backlog_s

    def backlog_s(self, name: str) -> float:
        """Return the backlog in seconds of a peer's upload link, as last reported."""
        return max(0.0, self._backlog_ends_at.get(name, 0.0) - self._clock())

    def remove_chunk(self, digest: str, name: str, index: int) -> None:
        """Remove a chunk of a peer, which did not send it."""
        known = self._reported.get(digest, {})
        known[name] = known.get(name, 0) & ~(1 << index)

    def drop_peer(self, name: str) -> None:
        """Remove all chunks of a peer."""
        for known in self._reported.values():
            known.pop(name, None)

    def drop_version(self, digest: str) -> None:
        """Remove a version."""
        self._reported.pop(digest, None)

    def bits(self, digest: str, name: str) -> int:
        """Return the chunks of a version that a peer reported, as bits."""
        return self._reported.get(digest, {}).get(name, 0)

    def holds(self, digest: str, name: str, index: int) -> bool:
        """Return whether a peer reported a chunk."""
        return bool(self.bits(digest, name) >> index & 1)

    def usable_holders(
        self,
        digest: str,
        is_usable: Callable[[str], bool],
    ) -> dict[str, int]:
        """Return the chunks of the peers that are usable and not suspended, by name."""
        return {
            name: bits
            for name, bits in self._reported.get(digest, {}).items()
            if bits and not self.is_suspended(name) and is_usable(name)
        }

    def suspend(self, name: str) -> None:
        """Send a peer no requests for SUSPENSION_S."""
        self._suspended_until[name] = self._clock() + SUSPENSION_S

    def is_suspended(self, name: str) -> bool:
        """Return whether a peer is suspended now."""
        return self._suspended_until.get(name, 0.0) > self._clock()


def unite(bit_sets: Iterable[int]) -> int:
    """Return the union of bit sets of chunks."""
    union = 0
    for bits in bit_sets:
        union |= bits
    return union
