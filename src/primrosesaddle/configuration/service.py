"""Client of the platform's configuration service, over HTTP."""

from primrosesaddle.core import httpio

__all__ = ('read_catalogue', 'watch_catalogue')

_OK = 200
_NOT_MODIFIED = 304


async def read_catalogue(url: str, timeout_s: float = 3.0) -> bytes:
    """Return the published catalogue.

    Raises `HttpFailure` when the service does not return it.
    """
    return _read_body(await httpio.fetch(url, timeout_s=timeout_s)) or b''


async def watch_catalogue(url: str, after: int, wait_s: float) -> bytes | None:
    """Wait for a revision after `after`, by a long poll.

    Return the published catalogue, or None when none came within `wait_s` seconds.
    Raises `HttpFailure` when the service fails.
    """
    answer = await httpio.fetch(
        f'{url}?after={after}&wait_s={wait_s}',
        timeout_s=wait_s + 3,
    )
    return _read_body(answer)


def _read_body(answer: httpio.httpclient.HTTPResponse) -> bytes | None:
    """Return the body of an answer, or None when nothing has changed."""
    if answer.code == _NOT_MODIFIED:
        return None
    if answer.code != _OK:
        raise httpio.HttpFailure(f'status {answer.code}', sent=True)
    return answer.body
