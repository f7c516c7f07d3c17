"""Read weights from the platform's weight store and origin, over HTTP."""

from primrosesaddle.core import httpio

__all__ = ('read_chunk', 'read_manifest')

_OK = 200
READ_TIMEOUT_S = 30.0


async def read_manifest(url: str, digest: str) -> bytes:
    """Return the published bytes of a manifest, not yet verified.

    Raises `HttpFailure` when they cannot be read.
    """
    return await _read(f'{url}/manifests/{digest}')


async def read_chunk(url: str, digest: str) -> bytes:
    """Return the bytes published under a chunk's digest, not yet verified.

    Raises `HttpFailure` when they cannot be read.
    """
    return await _read(f'{url}/chunks/{digest}')


async def _read(url: str) -> bytes:
    answer = await httpio.fetch(url, timeout_s=READ_TIMEOUT_S)
    if answer.code != _OK:
        raise httpio.HttpFailure(f'status {answer.code}', sent=True)
    return answer.body
