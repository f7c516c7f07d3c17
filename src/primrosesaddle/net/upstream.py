"""HTTP connections to servers, each carrying one request at a time."""

import asyncio
import contextlib
import enum
import socket
import typing
from collections.abc import Awaitable, Callable, Iterable

from tornado import http1connection, httputil, iostream

from primrosesaddle.core import addresses, futures

__all__ = (
    'Connection',
    'Ending',
    'Exchange',
    'Head',
    'InvalidAnswer',
    'Unreachable',
    'dial',
)

CONNECT_TIMEOUT_S = 1.0  # a healthy path answers within a few round trips
KEEPALIVE_IDLE_S = 1  # a dead path is detected after idle time + 2 probes, 3 s in all
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000  # a connection with bytes unacknowledged for longer is closed
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_READ_AHEAD_BYTES = 64 * 1024  # received before they are asked for
MAX_STRAY_ANSWERS = 2  # late answers to earlier requests that are skipped
_NO_BODY = frozenset((204, 304))

_UNREACHABLE = (OSError, iostream.StreamClosedError, TimeoutError, ValueError)

Pairs = Iterable[tuple[str, str]]


class Unreachable(Exception):
    """A connection could not be opened, so nothing was sent."""


class Ending(enum.Enum):
    """How the answer of an exchange ended."""

    COMPLETE = 'whole'
    BROKEN = 'broken'


class InvalidAnswer(httputil.HTTPInputError):
    """The received data is not an acceptable answer; the message says why."""


class Stream(iostream.IOStream):
    """A stream that tells whether it has received bytes that were not read.

    It listens for data between two reads as well, since to stop and start again costs
    two system calls for each event of an answer.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a socket."""
        super().__init__(sock, max_buffer_size=MAX_BODY_BYTES, read_chunk_size=16384)
        self._is_delayed = True

    @property
    def has_unread(self) -> bool:
        """Tell whether received bytes wait to be read."""
        return self._read_buffer_size > 0

    def reading(self) -> bool:
        """Tell whether to listen for data: always, unless much of it is not read."""
        return super().reading() or self._read_buffer_size < MAX_READ_AHEAD_BYTES

    def set_nodelay(self, value: bool) -> None:
        """Send small writes at once; once set, that is kept for later requests."""
        if value and self._is_delayed:
            self._is_delayed = False
            super().set_nodelay(value)


class Connection:
    """One open connection.

    `idle_since` is in the event loop's time. `idle_limit_s` is the idle timeout
    that the server announced, 0 if none. `keep_alive` is false if the connection must
    not carry another request. `closed_locally` tells whether this side closed it.
    `sent_count` is the number of requests sent on it.
    """

    def __init__(self, address: str, stream: Stream) -> None:
        """Wrap a connected stream."""
        self.address = address
        self.stream = stream
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.keep_alive = True
        self.closed_locally = False
        self.sent_count = 0

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent.

        The connection must be open, and nothing unexpected must have been received.
        """
        if self.stream.closed() or self.stream.has_unread or not self.keep_alive:
            return False
        return _is_idle_and_open(self.stream.socket)

    def close(self) -> None:
        """Close the connection at once."""
        self.keep_alive = False
        self.closed_locally = True
        self.stream.close()


class Head(typing.NamedTuple):
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its answer on a connection.

    `on_head` and `on_body` are called while the answer is received; `on_body` may raise
    `InvalidAnswer`. `is_own_answer` tells from the headers whether an answer belongs to
    this request and not to an earlier one. `failure` says why an answer is incomplete.
    """

    def __init__(
        self,
        conn: Connection,
        on_head: Callable[[Head], None],
        on_body: Callable[[bytes], Awaitable[None] | None],
        is_own_answer: Callable[[httputil.HTTPHeaders], bool],
    ) -> None:
        """Prepare an exchange on an idle connection."""
        self._conn = conn
        self._http = _make_http_connection(conn.stream)
        self._on_head = on_head
        self._on_body = on_body
        self._is_own_answer = is_own_answer
        self._is_stray = False
        self._ends_at_close = False
        self._is_complete = False
        self.failure = ''

    def send_request(
        self, method: str, target: str, headers: Pairs, body: bytes
    ) -> None:
        """Send the complete request; add its length to the headers."""
        all_headers = httputil.HTTPHeaders()
        for name, text in headers:
            all_headers.add(name, text)
        if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            all_headers['Content-Length'] = str(len(body))
        start = httputil.RequestStartLine(method, target, 'HTTP/1.1')
        self._conn.sent_count += 1
        with contextlib.suppress(iostream.StreamClosedError):
            sent = self._http.write_headers(start, all_headers, body)
            sent.add_done_callback(futures.retrieve_exception)
            self._http.finish()

    async def read_answer(self) -> Ending:
        """Read the answer to its end, and return whether it is complete.

        Up to `MAX_STRAY_ANSWERS` late answers to earlier requests are skipped.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            if not (await self._read_one() and self._is_stray):
                break
            self._http = _make_http_connection(self._conn.stream)
            self._http.finish()
        # An answer that ends with the connection is complete if the server closed it.
        is_complete = self._is_complete and not (
            self._ends_at_close and (self._conn.closed_locally or self._was_reset)
        )
        if not is_complete:
            self.failure = self.failure or self._describe_failure()
        if self._ends_at_close or not is_complete:
            self._conn.close()
        return Ending.COMPLETE if is_complete else Ending.BROKEN

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Handle the status line and headers of an answer."""
        line = typing.cast(httputil.ResponseStartLine, start_line)
        if 100 <= line.code < 200:
            return
        self._is_stray = not self._is_own_answer(headers)
        if self._is_stray:
            return
        self._ends_at_close = (
            line.code not in _NO_BODY
            and 'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )
        self._update_keep_alive(headers)
        self._on_head(Head(line.code, line.reason, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a part of the body."""
        if self._is_stray:
            return None
        try:
            return self._on_body(chunk)
        except InvalidAnswer as exc:
            self.failure = str(exc)
            raise

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._is_complete = not self._is_stray

    def on_connection_close(self) -> None:
        """Do nothing: an answer that is not finished counts as incomplete."""

    def _describe_failure(self) -> str:
        if self._conn.closed_locally:
            return 'closed by this side'
        if self._is_stray:
            return 'received only answers to other calls'
        error = self._conn.stream.error
        return 'closed by the server before the end' if error is None else str(error)

    async def _read_one(self) -> bool:
        """Read one answer, and return whether it was read to its end."""
        self._is_stray = False
        try:
            read = await self._http.read_response(self)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False
        if not read:
            self.failure = self.failure or 'malformed or larger than the limit'
        return read

    @property
    def _was_reset(self) -> bool:
        return self._conn.stream.error is not None

    def _update_keep_alive(self, headers: httputil.HTTPHeaders) -> None:
        if headers.get('Connection', '').lower() == 'close' or self._ends_at_close:
            self._conn.keep_alive = False
        for part in headers.get('Keep-Alive', '').split(','):
            name, _, text = part.strip().partition('=')
            if name.lower() == 'timeout' and text.isdecimal():
                self._conn.idle_limit_s = float(text)


async def dial(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
    """Open a connection to an IP:PORT address.

    Raises `Unreachable` if it cannot be opened in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    enable_keepalive(sock)
    stream = Stream(sock)
    try:
        await asyncio.wait_for(
            stream.connect(addresses.split_address(address)), timeout_s
        )
    except _UNREACHABLE as exc:
        stream.close()
        raise Unreachable(f'{address}: {exc!r}') from None
    except asyncio.CancelledError:
        stream.close()
        raise
    stream.set_nodelay(True)
    return Connection(address, stream)


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel detect a peer that no longer answers."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)


def _make_http_connection(stream: Stream) -> http1connection.HTTP1Connection:
    params = http1connection.HTTP1ConnectionParameters(
        chunk_size=16384,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    return http1connection.HTTP1Connection(stream, True, params)


def _is_idle_and_open(sock: socket.socket) -> bool:
    """Tell whether a socket is open and has no received bytes waiting."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
