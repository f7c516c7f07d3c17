"""Manifests, which describe the weights of a version and are pinned by digest."""

import typing

import blake3
import msgspec

__all__ = ('Manifest', 'ManifestError', 'chunk_size', 'split_into_chunks', 'parse')

_Digest = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]


class ManifestError(ValueError):
    """A manifest is malformed, or its digest is not the pinned one."""


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of one version; sizes are in bytes, digests are BLAKE3.

    `whole` is the digest of all bytes, `chunks` are those of the chunks in order.
    """

    name: str
    size: _Count
    chunk_bytes: _Count
    whole: _Digest
    chunks: tuple[_Digest, ...]


def compute_digest(body: bytes | bytearray | memoryview) -> str:
    """Return the BLAKE3 digest of bytes in hexadecimal."""
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
    """Split weights into chunks; return the manifest and the chunks."""
    chunks = [
        body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)
    ]
    digests = tuple(compute_digest(chunk) for chunk in chunks)
    return Manifest(name, len(body), chunk_bytes, compute_digest(body), digests), chunks


def to_bytes(manifest: Manifest) -> bytes:
    """Encode a manifest as published, in the form whose digest the catalogue pins."""
    return msgspec.json.encode(manifest)


def parse(text: bytes, digest: str) -> Manifest:
    """Verify published bytes against the pinned digest, and decode the manifest.

    Raises `ManifestError` when they do not match or are malformed.
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
