"""HTTP listeners of a process, including the one for metrics."""

import asyncio
import math
import socket
import typing

from tornado import httpserver, httputil, iostream, netutil, web

from primrosesaddle.calls import routes
from primrosesaddle.core import addresses
from primrosesaddle.net import connections
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Listener', 'make_metrics_application', 'serve')

# Until a configuration states them; longer than callers keep an idle connection.
IDLE_CONNECTION_TIMEOUT_S = 60.0
HEADER_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 64 * 1024
# Of the request line, which the limit of the configuration does not count.
MAX_START_LINE_BYTES = 8 * 1024
# Of requests whose body is not used; the application of callers has limits of its own.
MAX_BODY_BYTES = 64 * 1024
LISTEN_BACKLOG = 1024  # connections to accept; a burst opens hundreds at once
# Read at once, and kept of what follows a request that is being answered.
READ_CHUNK_BYTES = 16 * 1024
# Unread bytes of a connection in the kernel, which doubles it for its own use. On a
# path of 10 ms it carries 6 MB a second.
RECEIVE_BUFFER_BYTES = 64 * 1024

_Accepted = tuple[socket.socket, typing.Any]


class Listener:
    """An HTTP server at an address, with limits on its connections."""

    def __init__(
        self,
        app: httputil.HTTPServerConnectionDelegate,
        address: str,
        max_connections: float = math.inf,
        *,
        has_calls: bool = False,
    ) -> None:
        """Listen at an IP:PORT address for the requests of an application.

        Without `has_calls` requests are answered at once, and any connection may be
        closed to make room for others.
        """
        self._clock = asyncio.get_running_loop().time
        self.connections = connections.ConnectionTable(max_connections, self._clock)
        self.connections.header_timeout_s = HEADER_TIMEOUT_S
        self._http_server = _TrackedServer(
            app,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES + MAX_START_LINE_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_CHUNK_BYTES,
        )
        self._http_server.table = self.connections
        self._http_server.has_calls = has_calls
        self._address = address
        host, port = addresses.split_address(address)
        self._sockets = netutil.bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        for sock in self._sockets:
            _limit_receive_buffer(sock)
        self._removers: list[typing.Callable[[], None]] = []
        # The one client that was accepted without room; the kernel keeps the others.
        self._held: _Accepted | None = None
        self.connections.on_removed = self._resume
        self._start_accepting()

    def stop(self) -> None:
        """Accept no more connections; those that are open stay open."""
        self._stop_accepting()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()
        if self._held is not None:
            self._held[0].close()
            self._held = None

    def sweep(self) -> None:
        """Close the connections whose head takes too long, and accept who waits."""
        self.connections.close_slow_heads()
        self._resume()

    def apply_limits(self, limits: routes.Limits) -> None:
        """Apply the limits of a configuration, to open connections too."""
        params = self._http_server.conn_params
        params.max_header_size = limits.header_bytes + MAX_START_LINE_BYTES
        # The time until a head is whole, which may begin as the idle time ends.
        params.header_timeout = limits.idle_timeout_s + limits.header_timeout_s
        self.connections.header_timeout_s = limits.header_timeout_s

    def _start_accepting(self) -> None:
        for sock in self._sockets:
            self._removers.append(netutil.add_accept_handler(sock, self._accept))

    def _stop_accepting(self) -> None:
        for remove in self._removers:
            remove()
        self._removers.clear()

    def _accept(self, sock: socket.socket, peer_address: typing.Any) -> None:
        if self.connections.make_room():
            self._serve(sock, peer_address)
            return
        self._stop_accepting()
        self._held = sock, peer_address
        self.connections.is_short = True
        journal.warning(
            'listener.full', listener=self._address, open=self.connections.count
        )

    def _resume(self) -> None:
        """Accept again, if connections wait and there is room for one."""
        if self._held is not None and self.connections.make_room():
            held = self._held
            self._held = None
            self.connections.is_short = False
            self._serve(*held)
            self._start_accepting()

    def _serve(self, sock: socket.socket, peer_address: typing.Any) -> None:
        stream = _Stream(sock, self._clock)
        self.connections.add(stream)
        self._http_server.handle_stream(stream, peer_address)


class _Stream(iostream.IOStream):
    """A connection that knows since when a head is being received."""

    def __init__(self, sock: socket.socket, clock: typing.Callable[[], float]) -> None:
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.head_began_at: float | None = None
        self._clock = clock

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        size = super().read_from_fd(buf)
        if size and self.head_began_at is None:
            self.head_began_at = self._clock()
        return size


class _TrackedServer(httpserver.HTTPServer):
    """An HTTP server that tells a table when connections are idle."""

    table: connections.ConnectionTable
    has_calls: bool

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        stream = typing.cast(typing.Any, request_conn).stream
        self.table.await_head(stream)
        made = super().start_request(server_conn, request_conn)
        if not self.has_calls:
            return made
        return _TrackedRequest(made, lambda: self.table.begin_request(stream))

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.table.remove(typing.cast(typing.Any, server_conn).stream)
        typing.cast(
            httputil.HTTPServerConnectionDelegate, self.request_callback
        ).on_close(server_conn)


class _TrackedRequest(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        on_head: typing.Callable[[], None],
    ) -> None:
        self._inner = inner
        self._on_head = on_head

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> typing.Awaitable[None] | None:
        self._on_head()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


def _limit_receive_buffer(sock: socket.socket) -> None:
    """Limit what the kernel keeps of each connection that a socket accepts."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError as exc:
        journal.warning('listener.receive_buffer', error=str(exc))


def serve(
    app: httputil.HTTPServerConnectionDelegate,
    address: str,
    max_connections: float = math.inf,
    *,
    has_calls: bool = False,
) -> Listener:
    """Serve an application at an IP:PORT address, and return the listener."""
    return Listener(app, address, max_connections, has_calls=has_calls)


def make_metrics_application(registry: metrics.Metrics) -> web.Application:
    """Return the application that serves `/metrics` of a process."""
    return web.Application([('/metrics', _MetricsHandler, {'registry': registry})])


class _MetricsHandler(web.RequestHandler):
    """Handler of `/metrics`, in the Prometheus text format."""

    def initialize(self, registry: metrics.Metrics) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._registry.to_text())
