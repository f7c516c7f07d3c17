"""The door before the callers' application: it refuses floods for little.

A workspace that is over its rate is refused from the head of its request alone,
before a handler, a span or a parsed body is made for it. The body is drained, so
that the connection stays open.
"""

import random
from collections.abc import Awaitable, Callable

from tornado import httputil

__all__ = ('OverloadGuard',)

REFUSED = httputil.ResponseStartLine('HTTP/1.1', 429, 'Too Many Requests')
LEAST_WAIT_S = 1
MOST_WAIT_S = 3

IsFlooded = Callable[[httputil.HTTPHeaders], bool]


class OverloadGuard(httputil.HTTPServerConnectionDelegate):
    """Let requests through to an application, but for those in flood."""

    def __init__(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        is_flooded: IsFlooded,
        body: bytes,
        rand: random.Random,
    ) -> None:
        """Stand before an application; `body` is that of every refusal."""
        self._app = app
        self._is_flooded = is_flooded
        self._body = body
        self._rand = rand

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request."""
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Tell the application that a connection is closed."""
        self._app.on_close(server_conn)

    def admits(self, headers: httputil.HTTPHeaders) -> bool:
        """Tell whether a request goes on to the application."""
        return not self._is_flooded(headers)

    def start_app_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the application's part in a request."""
        return self._app.start_request(server_conn, request_conn)

    def refuse(self, request_conn: httputil.HTTPConnection) -> None:
        """Answer a request with the refusal; the wait to a retry is random."""
        wait_s = self._rand.randint(LEAST_WAIT_S, MOST_WAIT_S)
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Retry-After': str(wait_s),
                'Content-Length': str(len(self._body)),
            }
        )
        request_conn.write_headers(REFUSED, headers, self._body)
        request_conn.finish()


class _Request(httputil.HTTPMessageDelegate):
    """One request at the door."""

    def __init__(
        self,
        door: OverloadGuard,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> None:
        self._door = door
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._inner: httputil.HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        if not self._door.admits(headers):
            return None
        self._inner = self._door.start_app_request(
            self._server_conn, self._request_conn
        )
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._inner is None:
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        if self._inner is None:
            self._door.refuse(self._request_conn)
        else:
            self._inner.finish()

    def on_connection_close(self) -> None:
        if self._inner is not None:
            self._inner.on_connection_close()
