"""Doubts about digests: when corrupt pieces are read again, and the digests with them.

A piece that does not match its digest may have been corrupted on its way, or the digest
may have been. One copy of each cannot tell which. What is read again from the origin is
limited, as a process might otherwise read the same piece without end.
"""

import collections
import dataclasses
from collections.abc import Callable

from primrosesaddle.staging import pieces

__all__ = ('Doubts',)

CORRUPT_READS = 2  # of one piece in a row, after which its digest is doubted
CORRUPT_PIECES = 4  # of a version, after which its digests are doubted
PIECE_RETRY_S = 0.1
DIGESTS_RETRY_S = 0.25
MAX_RETRY_S = 4.0


@dataclasses.dataclass
class _Corruption:
    """Corrupt pieces of a version since its digests were read last.

    `in_a_row` counts by the index of a piece; `retry_at` is when it is read again.
    """

    in_a_row: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    retry_at: dict[int, float] = dataclasses.field(default_factory=dict)


class Doubts:
    """Decides for each version when its pieces and digests are read again."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a record without corrupt pieces; the clock returns seconds."""
        self._clock = clock
        self._corrupt: dict[pieces.Version, _Corruption] = {}
        self._rereads: collections.Counter[pieces.Version] = collections.Counter()
        self._next_reread_at: dict[pieces.Version, float] = {}
        self._matched: set[pieces.Version] = set()  # a piece matches its digest

    def record_corrupt(self, version: pieces.Version, index: int) -> bool:
        """Record a corrupt piece, and return whether the digests are doubted now."""
        corruption = self._corrupt.setdefault(version, _Corruption())
        corruption.in_a_row[index] += 1
        count = corruption.in_a_row[index]
        corruption.retry_at[index] = self._clock() + _delay_s(PIECE_RETRY_S, count - 1)
        total = corruption.in_a_row.total()
        return count >= CORRUPT_READS or total >= CORRUPT_PIECES

    def record_intact(self, version: pieces.Version, index: int) -> None:
        """Record that a piece matches its digest."""
        self._matched.add(version)
        self.record_accepted(version, index)

    def record_accepted(self, version: pieces.Version, index: int) -> None:
        """Forget that what has an index was corrupt."""
        corruption = self._corrupt.get(version)
        if corruption is not None:
            corruption.in_a_row.pop(index, None)
            corruption.retry_at.pop(index, None)

    def get_delay_s(self, version: pieces.Version, index: int) -> float:
        """Return in how many seconds a piece may be read again, 0 for now."""
        corruption = self._corrupt.get(version)
        if corruption is None:
            return 0.0
        retry_at = corruption.retry_at.get(index, 0.0)
        # When no piece matches, further pieces tell nothing until the next digests.
        is_any_intact = version in self._matched
        if not is_any_intact and corruption.in_a_row.total() >= CORRUPT_PIECES:
            retry_at = max(retry_at, self._next_reread_at.get(version, 0.0))
        return max(0.0, retry_at - self._clock())

    def start_reread(self, version: pieces.Version) -> bool:
        """Return whether digests are to be read again, and count that they are.

        They are not if that was done shortly before.
        """
        now = self._clock()
        if now < self._next_reread_at.get(version, 0.0):
            return False
        delay_s = _delay_s(DIGESTS_RETRY_S, self._rereads[version])
        self._next_reread_at[version] = now + delay_s
        self._rereads[version] += 1
        return True

    def record_new_digests(self, version: pieces.Version) -> None:
        """Record that other digests than before are known: pieces may match now."""
        self._corrupt.pop(version, None)
        self._matched.discard(version)

    def drop_version(self, version: pieces.Version) -> None:
        """Drop what is known of a version."""
        self._corrupt.pop(version, None)
        self._matched.discard(version)
        self._rereads.pop(version, None)
        self._next_reread_at.pop(version, None)


def _delay_s(first_s: float, count: int) -> float:
    """Return a delay that doubles with each time before, up to `MAX_RETRY_S`."""
    doublings = min(count, 8)  # 2 ** 8 * 0.1 s is above the maximum
    return min(MAX_RETRY_S, first_s * 2**doublings)
