"""The chunks that a process holds in memory; each is verified when it is stored."""

import dataclasses

from primrosesaddle.weights import manifest as manifests

__all__ = ('ChunkTable', 'StoredVersion')

_BYTE_BITS = 8


@dataclasses.dataclass
class StoredVersion:
    """The chunks held of one version.

    `text` is the published manifest. Bit `i` of `bits` is set when chunk `i` is held.
    """

    digest: str
    manifest: manifests.Manifest
    text: bytes
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)
    bits: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is held."""
        return len(self.chunks) == len(self.manifest.chunks)

    @property
    def missing_indexes(self) -> list[int]:
        """Return the indexes of the chunks that are not held."""
        return [
            index
            for index in range(len(self.manifest.chunks))
            if index not in self.chunks
        ]

    @property
    def size(self) -> int:
        """Return the size of the held chunks in bytes."""
        return sum(len(chunk) for chunk in self.chunks.values())

    @property
    def bitmap(self) -> bytes:
        """Return `bits` as bytes in little-endian order."""
        size = -(-len(self.manifest.chunks) // _BYTE_BITS)
        return self.bits.to_bytes(size, 'little')


class ChunkTable:
    """All versions held in memory, up to a bound in bytes."""

    def __init__(self, memory_bytes: int) -> None:
        """Create an empty table."""
        self._memory_bytes = memory_bytes
        self._versions: dict[str, StoredVersion] = {}

    def get(self, digest: str) -> StoredVersion | None:
        """Return a version by its manifest's digest, or None."""
        return self._versions.get(digest)

    def add_version(self, digest: str, text: bytes) -> StoredVersion:
        """Add a version without chunks, given its published manifest; return it.

        Raises `ManifestError` when the manifest is malformed or has another digest,
        and `MemoryError` when the version does not fit into the bound.
        """
        known = self._versions.get(digest)
        if known is not None:
            return known
        manifest = manifests.parse(text, digest)
        if manifest.size + self.reserved_bytes > self._memory_bytes:
            raise MemoryError(
                f'version {manifest.name} of {manifest.size} bytes does not fit '
                f'{self._memory_bytes} with {self.reserved_bytes} in use',
            )
        stored = StoredVersion(digest, manifest, text)
        self._versions[digest] = stored
        return stored

    def store_chunk(self, digest: str, index: int, body: bytes) -> bool:
        """Store a chunk if its digest is the published one; return whether it is."""
        stored = self._versions.get(digest)
        if stored is None or not 0 <= index < len(stored.manifest.chunks):
            return False
        if manifests.compute_digest(body) != stored.manifest.chunks[index]:
            return False
        stored.chunks[index] = body
        stored.bits |= 1 << index
        return True

    def drop_version(self, digest: str) -> None:
        """Remove a version and its chunks."""
        self._versions.pop(digest, None)

    @property
    def reserved_bytes(self) -> int:
        """Return the bytes that all versions will take when they are complete."""
        return sum(stored.manifest.size for stored in self._versions.values())

    @property
    def digests(self) -> list[str]:
        """Return the digests of all versions, complete or not."""
        return list(self._versions)


def bits_from_bitmap(bitmap: bytes, count: int) -> int:
    """Return a bitmap as an integer of `count` bits; further bits are ignored."""
    return int.from_bytes(bitmap, 'little') & ((1 << count) - 1)


def indexes_from_bits(bits: int) -> list[int]:
    """Return the indexes of the bits that are set."""
    indexes = []
    while bits:
        lowest = bits & -bits
        indexes.append(lowest.bit_length() - 1)
        bits ^= lowest
    return indexes
