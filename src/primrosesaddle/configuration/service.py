"""The platform's configuration service: read and watch, over HTTP."""

from primrosesaddle.core import httpio

__all__ = ('read_catalogue', 'watch_catalogue')

_OK = 200
_NOT_MODIFIED = 304


async def read_catalogue(url: str, timeout_s: float = 3.0) -> bytes:
    """Return the published catalogue.

    Raises `HttpFailure` when the service gives none.
    """
    return _body(await httpio.fetch(url, timeout_s=timeout_s)) or b''


async def watch_catalogue(url: str, after: int, wait_s: float) -> bytes | None:
    """Wait for another revision than `after`.

    Return the catalogue, or None when there was none for `wait_s` seconds.
    Raises `HttpFailure` when the service fails.
    """
    answer = await httpio.fetch(
        f'{url}?after={after}&wait_s={wait_s}',
        timeout_s=wait_s + 3,
    )
    return _body(answer)


def _body(answer: httpio.httpclient.HTTPResponse) -> bytes | None:
    if answer.code == _NOT_MODIFIED:
        return None
    if answer.code != _OK:
        raise httpio.HttpFailure(f'status {answer.code}', sent=True)
    return answer.body
