"""Cheap refusal of floods in front of the callers' application.

A request of a workspace over its rate is refused from its headers alone, before a
handler or a span is created and a body is parsed for it. The body is read and
discarded, so that the connection stays open.
"""

import random
from collections.abc import Awaitable, Callable

from tornado import httputil

__all__ = ('OverloadGuard',)

REFUSAL_START_LINE = httputil.ResponseStartLine('HTTP/1.1', 429, 'Too Many Requests')
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3

IsFlooded = Callable[[httputil.HTTPHeaders], bool]


class OverloadGuard(httputil.HTTPServerConnectionDelegate):
    """Pass requests to an application unless their workspace is over its rate."""

    def __init__(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        is_flooded: IsFlooded,
        refusal_body: bytes,
        rand: random.Random,
    ) -> None:
        """Wrap an application; `refusal_body` is the body of every refusal."""
        self._app = app
        self._is_flooded = is_flooded
        self._refusal_body = refusal_body
        self._rand = rand

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        return _GuardedRequest(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Notify the application that a connection is closed."""
        self._app.on_close(server_conn)

    def admits(self, headers: httputil.HTTPHeaders) -> bool:
        """Tell whether a request with these headers is passed to the application."""
        return not self._is_flooded(headers)

    def start_app_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the application's delegate for a request."""
        return self._app.start_request(server_conn, request_conn)

    def refuse(self, request_conn: httputil.HTTPConnection) -> None:
        """Answer with the refusal; `Retry-After` is random, so that retries spread."""
        retry_after_s = self._rand.randint(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Retry-After': str(retry_after_s),
                'Content-Length': str(len(self._refusal_body)),
            }
        )
        request_conn.write_headers(REFUSAL_START_LINE, headers, self._refusal_body)
        request_conn.finish()


class _GuardedRequest(httputil.HTTPMessageDelegate):
    """Delegate of one request; `_app_delegate` stays None if it is refused."""

    def __init__(
        self,
        guard: OverloadGuard,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> None:
        self._guard = guard
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._app_delegate: httputil.HTTPMessageDelegate | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        if not self._guard.admits(headers):
            return None
        self._app_delegate = self._guard.start_app_request(
            self._server_conn, self._request_conn
        )
        return self._app_delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._app_delegate is None:
            return None
        return self._app_delegate.data_received(chunk)

    def finish(self) -> None:
        if self._app_delegate is None:
            self._guard.refuse(self._request_conn)
        else:
            self._app_delegate.finish()

    def on_connection_close(self) -> None:
        if self._app_delegate is not None:
            self._app_delegate.on_connection_close()
