"""The chunks that a process holds in memory, each verified before it is kept."""

import dataclasses

from primrosesaddle.weights import manifest as manifests

__all__ = ('ChunkTable', 'StoredVersion')

_BYTE_BITS = 8


@dataclasses.dataclass
class StoredVersion:
    """What is held of one version; `bits` are the held indexes, the lowest first."""

    digest: str
    manifest: manifests.Manifest
    text: bytes
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)
    bits: int = 0

    @property
    def is_complete(self) -> bool:
        """Tell whether every chunk is held."""
        return len(self.chunks) == len(self.manifest.chunks)

    @property
    def missing_indexes(self) -> list[int]:
        """Return the indexes that are not held."""
        return [
            index
            for index in range(len(self.manifest.chunks))
            if index not in self.chunks
        ]

    @property
    def size(self) -> int:
        """Return the bytes held."""
        return sum(len(chunk) for chunk in self.chunks.values())

    @property
    def bitmap(self) -> bytes:
        """Return the held indexes as bytes, the lowest bits first."""
        size = -(-len(self.manifest.chunks) // _BYTE_BITS)
        return self.bits.to_bytes(size, 'little')


class ChunkTable:
    """All versions held, within a bound in bytes."""

    def __init__(self, memory_bytes: int) -> None:
        """Create an empty table."""
        self._memory_bytes = memory_bytes
        self._holdings: dict[str, StoredVersion] = {}

    def get(self, digest: str) -> StoredVersion | None:
        """Return what is held of a version, or None."""
        return self._holdings.get(digest)

    def add_version(self, digest: str, text: bytes) -> StoredVersion:
        """Begin to hold a version by its published manifest.

        Raises `ManifestError` when the manifest is not the pinned one, and
        `MemoryError` when the version does not fit the bound.
        """
        known = self._holdings.get(digest)
        if known is not None:
            return known
        manifest = manifests.parse(text, digest)
        if manifest.size + self.reserved_bytes > self._memory_bytes:
            raise MemoryError(
                f'version {manifest.name} of {manifest.size} bytes does not fit '
                f'{self._memory_bytes} with {self.reserved_bytes} in use',
            )
        holding = StoredVersion(digest, manifest, text)
        self._holdings[digest] = holding
        return holding

    def store_chunk(self, digest: str, index: int, body: bytes) -> bool:
        """Keep a chunk if it is the published one, and return whether it is."""
        holding = self._holdings.get(digest)
        if holding is None or not 0 <= index < len(holding.manifest.chunks):
            return False
        if manifests.compute_digest(body) != holding.manifest.chunks[index]:
            return False
        holding.chunks[index] = body
        holding.bits |= 1 << index
        return True

    def drop_version(self, digest: str) -> None:
        """Forget a version."""
        self._holdings.pop(digest, None)

    @property
    def reserved_bytes(self) -> int:
        """Return the bytes that the versions held will take when whole."""
        return sum(holding.manifest.size for holding in self._holdings.values())

    @property
    def digests(self) -> list[str]:
        """Return the versions held, whole or not."""
        return list(self._holdings)


def bits_from_bitmap(bitmap: bytes, count: int) -> int:
    """Return a bitmap's bits as an integer; those beyond the count are ignored."""
    return int.from_bytes(bitmap, 'little') & ((1 << count) - 1)


def indexes_from_bits(bits: int) -> list[int]:
    """Return the indexes whose bits are set."""
    found = []
    while bits:
        lowest = bits & -bits
        found.append(lowest.bit_length() - 1)
        bits ^= lowest
    return found
