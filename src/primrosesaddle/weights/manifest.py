"""Manifests: the description of one version's weights, pinned by digest."""

import typing

import blake3
import msgspec

__all__ = ('Manifest', 'ManifestError', 'chunk_size', 'split_into_chunks', 'parse')

_Digest = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]


class ManifestError(ValueError):
    """A manifest that is malformed or not the one that was pinned."""


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of one version; sizes are in bytes, digests are BLAKE3."""

    name: str
    size: _Count
    chunk_bytes: _Count
    whole: _Digest
    chunks: tuple[_Digest, ...]


def compute_digest(body: bytes | bytearray | memoryview) -> str:
    """Return the digest of some bytes."""
    return blake3.blake3(body).hexdigest()


def chunk_size(manifest: Manifest, index: int) -> int:
    """Return the size in bytes of a chunk."""
    last = len(manifest.chunks) - 1
    if index < last:
        return manifest.chunk_bytes
    return manifest.size - last * manifest.chunk_bytes


def split_into_chunks(
    name: str, body: bytes, chunk_bytes: int
) -> tuple[Manifest, list[bytes]]:
    """Cut weights into chunks; return the manifest and the chunks."""
    chunks = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    digests = tuple(compute_digest(chunk) for chunk in chunks)
    return Manifest(name, len(body), chunk_bytes, compute_digest(body), digests), chunks


def to_bytes(manifest: Manifest) -> bytes:
    """Return the published form, whose digest the catalogue pins."""
    return msgspec.json.encode(manifest)


def parse(text: bytes, digest: str) -> Manifest:
    """Check published bytes against the pinned digest, and return the manifest.

    Raises `ManifestError`.
    """
    if compute_digest(text) != digest:
        raise ManifestError('digest differs from the one in the catalogue')
    try:
        manifest = msgspec.json.decode(text, type=Manifest)
    except msgspec.MsgspecError as exc:
        raise ManifestError(str(exc)) from None
    if -(-manifest.size // manifest.chunk_bytes) != len(manifest.chunks):
        raise ManifestError('size does not match the number of chunks')
    return manifest
