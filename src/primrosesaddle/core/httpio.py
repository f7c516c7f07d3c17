"""HTTP requests through one shared tornado client, with limits and one error type."""

import typing
from collections.abc import Iterable

import msgspec
from tornado import httpclient, httputil, simple_httpclient

from primrosesaddle.core import httpstatus

__all__ = ('HttpFailure', 'fetch', 'fetch_json')

MAX_CLIENTS = 512
MAX_BODY_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
NO_ANSWER = 599


class HttpFailure(Exception):
    """A request without an answer; `sent` is false if it was certainly not sent."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Create a failure; `sent` tells whether the request may have been sent."""
        super().__init__(reason)
        self.sent = sent


class _State:
    client: typing.ClassVar[simple_httpclient.SimpleAsyncHTTPClient | None] = None


def client() -> simple_httpclient.SimpleAsyncHTTPClient:
    """Return the client shared by the whole process, created on first use."""
    if _State.client is None:
        _State.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )
    return _State.client


def reset() -> None:
    """Close the shared client, so that the next event loop gets a new one."""
    if _State.client is not None:
        _State.client.close()
    _State.client = None


def make_headers(pairs: Iterable[tuple[str, str]]) -> httputil.HTTPHeaders:
    """Return tornado headers from name and value pairs, keeping repeated names."""
    headers = httputil.HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
    return headers


async def fetch(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    timeout_s: float = 5.0,
    **options: typing.Any,
) -> httpclient.HTTPResponse:
    """Make a request, and return the answer whatever its status.

    `options` are further arguments of tornado's `HTTPRequest`.

    Raises `HttpFailure` when there is no answer, or one without a status of HTTP.
    """
    req = httpclient.HTTPRequest(
        url,
        method=method,
        body=body,
        request_timeout=timeout_s,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
        **options,
    )
    try:
        answer = await client().fetch(req, raise_error=False)
    except ConnectionRefusedError as exc:
        raise HttpFailure(repr(exc), sent=False) from None
    except simple_httpclient.HTTPTimeoutError as exc:
        raise HttpFailure(repr(exc), sent='connect' not in str(exc)) from None
    except (OSError, httpclient.HTTPError, ValueError) as exc:
        raise HttpFailure(repr(exc), sent=True) from None
    if not httpstatus.is_valid(answer.code):
        raise HttpFailure(f'malformed: status {answer.code:03}', sent=True)
    return answer


async def fetch_json(
    url: str,
    method: str = 'GET',
    payload: object = None,
    timeout_s: float = 5.0,
) -> typing.Any:
    """Make a request with a JSON payload, and return the decoded JSON answer.

    Raises `HttpFailure` if there is no answer, the status is 300 or more, or the body
    is not JSON.
    """
    body = None if payload is None else msgspec.json.encode(payload)
    answer = await fetch(url, method, body, timeout_s)
    if answer.code >= 300:
        raise HttpFailure(f'status {answer.code}: {answer.body[:200]!r}', sent=True)
    try:
        return msgspec.json.decode(answer.body or b'null')
    except msgspec.DecodeError as exc:
        raise HttpFailure(f'malformed JSON: {exc}', sent=True) from None
