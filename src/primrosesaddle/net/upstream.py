"""HTTP connections to servers, each carrying one request at a time."""

import asyncio
import enum
import socket
import typing
from collections.abc import Awaitable, Callable, Iterable

import httptools
from tornado import httputil

from primrosesaddle.core import addresses, httpstatus

__all__ = (
    'Connection',
    'Ending',
    'Exchange',
    'Head',
    'InvalidAnswer',
    'Refused',
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
# Of a request at once, and so copied for each connection; the usual ones are smaller.
MAX_WRITTEN_BYTES = 64 * 1024
# Bytes of chunk framing for each byte of a body; a chunk of one byte has five.
MAX_FRAMING_RATIO = 16
MAX_STRAY_BYTES = 8 * 1024 * 1024  # of the bodies of late answers to earlier requests
MAX_STRAY_ANSWERS = 2  # late answers to earlier requests that are skipped
WHITE_SPACE = ' \t'  # around the value of a header
_NO_BODY = frozenset((204, 304))
_METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))

_UNREACHABLE = (OSError, TimeoutError, ValueError, OverflowError)

Pairs = Iterable[tuple[str, str]]


class Unreachable(Exception):
    """A connection could not be opened, so nothing was sent."""


class Refused(Unreachable):
    """The host refused a connection, as no process listens at the address."""


class Ending(enum.Enum):
    """How the answer of an exchange ended."""

    COMPLETE = 'whole'
    BROKEN = 'broken'


class InvalidAnswer(httputil.HTTPInputError):
    """The received data is not an acceptable answer; the message says why."""


class Connection(asyncio.Protocol):
    """One open connection.

    `idle_since` is in the event loop's time. `idle_limit_s` is the idle timeout
    that the server announced, 0 if none. `keep_alive` is false if the connection must
    not carry another request. `closed_locally` tells whether this side closed it.
    `sent_count` is the number of requests sent on it. `error` is what broke it, None
    if the server closed it in order.
    """

    def __init__(self, address: str, sock: socket.socket) -> None:
        """Prepare the connection of a connected socket."""
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.keep_alive = True
        self.closed_locally = False
        self.sent_count = 0
        self.error: Exception | None = None
        self._sock = sock
        self._is_closed = False
        self._exchange: Exchange | None = None
        self._transport: asyncio.Transport | None = None
        self._unsent = memoryview(b'')
        self._is_write_paused = False

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent.

        The connection must be open, and nothing unexpected must have been received.
        """
        if self._is_closed or self._exchange is not None or not self.keep_alive:
            return False
        return _is_idle_and_open(self._sock)

    def close(self) -> None:
        """Close the connection at once."""
        self.keep_alive = False
        self.closed_locally = True
        if self._transport is not None:
            self._transport.abort()

    def start_exchange(
        self, exchange: 'Exchange', head: bytes, body: bytes | bytearray = b''
    ) -> None:
        """Send a request; what is received from now on goes to its exchange.

        A large body is not copied: parts of it are written as the server reads them.
        """
        self._exchange = exchange
        self.sent_count += 1
        if self._is_closed or self._transport is None:
            exchange.end_with_connection(self.error)
        else:
            self._transport.write(head + body[:MAX_WRITTEN_BYTES])
            self._unsent = memoryview(body)[MAX_WRITTEN_BYTES:]
            self._send_rest()

    def end_exchange(self) -> None:
        """Receive nothing more for the exchange; further data makes this unusable.

        So does an answer before the whole body was sent.
        """
        if self._unsent:
            self.keep_alive = False
            self._unsent = memoryview(b'')
        self._exchange = None
        self.resume_reading()

    def pause_reading(self) -> None:
        """Stop receiving until `resume_reading`."""
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Send no more for now; called by the event loop."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Send again; called by the event loop."""
        self._is_write_paused = False
        self._send_rest()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass on received data; data that belongs to no exchange ends the use."""
        if self._exchange is None:
            self.close()
        else:
            self._exchange.receive(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; called by the event loop."""
        self._is_closed = True
        self._unsent = memoryview(b'')
        self.error = exc
        if self._exchange is not None:
            self._exchange.end_with_connection(exc)

    def _send_rest(self) -> None:
        while self._unsent and not self._is_write_paused and self._transport:
            part, self._unsent = (
                self._unsent[:MAX_WRITTEN_BYTES],
                self._unsent[MAX_WRITTEN_BYTES:],
            )
            self._transport.write(part)


class Head(typing.NamedTuple):
    """Status line and headers of an answer.

    `ends_at_close` is whether its body has neither a length nor chunks, and ends with
    the connection.
    """

    status: int
    reason: str
    headers: httputil.HTTPHeaders
    ends_at_close: bool = False


class Exchange:
    """One request and its answer on a connection.

    `on_head` and `on_body` are called while the answer is received; `on_body` may raise
    `InvalidAnswer`, and its result is awaited before more is received. `is_own_answer`
    tells from the headers whether an answer belongs to this request and not to an
    earlier one. `failure` says why an answer is incomplete. `ended_by_server` is
    whether the answer, complete or not, ended as the server closed the connection.
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
        self._on_head = on_head
        self._on_body = on_body
        self._is_own_answer = is_own_answer
        self._is_head_request = False
        self._ended: 'asyncio.Future[None]'
        self._ended = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = httputil.HTTPHeaders()
        self._reason = ''
        self._in_body = False
        self._is_stray = False
        self._stray_count = 0
        self._head_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._stray_bytes = 0
        self._ends_at_close = False
        self._is_complete = False
        self.failure = ''
        self.ended_by_server = False

    def send_request(
        self, method: str, target: str, headers: Pairs, body: bytes | bytearray
    ) -> None:
        """Send the complete request; add its length to the headers."""
        self._is_head_request = method == 'HEAD'
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or method not in _METHODS_WITHOUT_BODY:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines).encode('latin1')
        self._conn.start_exchange(self, head + b'\r\n\r\n', body)

    async def read_answer(self) -> Ending:
        """Wait for the end of the answer, and return whether it is complete.

        Up to `MAX_STRAY_ANSWERS` late answers to earlier requests are skipped.
        """
        try:
            await self._ended
        finally:
            self._conn.end_exchange()
        if self._ends_at_close or not self._is_complete:
            self._conn.close()
        return Ending.COMPLETE if self._is_complete else Ending.BROKEN

    def receive(self, received: bytes) -> None:
        """Parse received data."""
        if self._ended.done():
            self._conn.keep_alive = False
            return
        self._received_bytes += len(received)
        if not self._in_body:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as exc:
            self._fail(f'malformed: {exc}')
        if not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            self._fail('head is larger than the limit')
        if self._has_excess_framing():
            self._fail('framing is larger than the limit')

    def end_with_connection(self, error: Exception | None) -> None:
        """End the exchange, unless it has ended, because the connection was closed."""
        if self._ended.done():
            return
        # Other errors, such as a time-out, come from this side or from the path.
        is_close = error is None or isinstance(error, ConnectionError)
        self.ended_by_server = is_close and not self._conn.closed_locally
        # An answer that ends with the connection is complete if the server closed it.
        is_end = self._ends_at_close and self._in_body and not self._is_stray
        if is_end and error is None and not self._conn.closed_locally:
            self._complete()
        else:
            self._fail(self._describe_close(error))

    def on_status(self, reason: bytes) -> None:
        """Store the reason phrase; called by the parser, as the methods below."""
        self._reason += reason.decode('latin1')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; those behind a body in chunks are ignored.

        The parser keeps white space behind a value, of which it is no part.
        """
        if not self._in_body and not self._ended.done():
            value = text.decode('latin1').strip(WHITE_SPACE)
            self._headers.add(name.decode('latin1'), value)

    def on_headers_complete(self) -> None:
        """Handle the status line and headers of an answer."""
        status = self._parser.get_status_code()
        if not httpstatus.is_valid(status):
            self._fail(f'malformed: status {status:03}')
        if self._ended.done() or 100 <= status < 200:
            return
        headers = self._headers
        self._in_body = True
        self._is_stray = not self._is_own_answer(headers)
        self._ends_at_close = (
            status not in _NO_BODY
            and not self._is_head_request
            and 'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )
        if self._is_stray:
            return
        self._update_keep_alive(headers)
        reason = self._reason or 'Status'
        self._on_head(Head(status, reason, headers, self._ends_at_close))
        if self._is_head_request:
            self._complete()

    def on_body(self, chunk: bytes) -> None:
        """Handle a part of the body; one behind an answer without a body is surplus."""
        if self._ended.done():
            self._conn.keep_alive = False
            return
        if self._is_stray:
            self._stray_bytes += len(chunk)
            if self._stray_bytes > MAX_STRAY_BYTES:
                self._fail('answers to other calls are larger than the limit')
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail('body is larger than the limit')
            return
        try:
            written = self._on_body(chunk)
        except InvalidAnswer as exc:
            self._fail(str(exc))
            return
        if written is not None:
            self._wait_for(asyncio.ensure_future(written))

    def on_message_complete(self) -> None:
        """Handle the end of an answer, which may be one to an earlier request."""
        if self._ended.done():
            return
        if self._in_body and not self._is_stray:
            self._complete()
            return
        if self._is_stray:
            self._stray_count += 1
            if self._stray_count > MAX_STRAY_ANSWERS:
                self._fail('received only answers to other calls')
        self._headers = httputil.HTTPHeaders()
        self._reason = ''
        self._in_body = False
        self._is_stray = False
        self._head_bytes = 0

    def on_message_begin(self) -> None:
        """Notice data behind a complete answer, which belongs to no request."""
        if self._ended.done():
            self._conn.keep_alive = False

    def _has_excess_framing(self) -> bool:
        """Tell whether far more was received than heads and bodies account for.

        Interim answers, sizes and extensions of chunks, and trailers may have no end.
        """
        body_bytes = self._body_bytes + self._stray_bytes
        framing_bytes = self._received_bytes - body_bytes
        return framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes

    def _wait_for(self, written: 'asyncio.Future[None]') -> None:
        """Receive nothing until a part of the body has been written."""
        if written.done():
            return
        self._conn.pause_reading()
        written.add_done_callback(lambda _: self._conn.resume_reading())

    def _complete(self) -> None:
        self._is_complete = True
        self._ended.set_result(None)

    def _fail(self, failure: str) -> None:
        """End the exchange without a complete answer, unless it has ended."""
        self._conn.keep_alive = False
        if not self._ended.done():
            self.failure = failure
            self._ended.set_result(None)

    def _describe_close(self, error: Exception | None) -> str:
        if self._conn.closed_locally:
            return 'closed by this side'
        if self._stray_count or self._is_stray:
            return 'received only answers to other calls'
        return 'closed by the server before the end' if error is None else str(error)

    def _update_keep_alive(self, headers: httputil.HTTPHeaders) -> None:
        if headers.get('Connection', '').lower() == 'close' or self._ends_at_close:
            self._conn.keep_alive = False
        for part in headers.get('Keep-Alive', '').split(','):
            name, _, text = part.strip().partition('=')
            if name.lower() == 'timeout' and text.isdecimal():
                self._conn.idle_limit_s = float(text)


async def dial(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
    """Open a connection to an IP:PORT address.

    Raises `Unreachable` if it cannot be opened in time, `Refused` if nothing listens.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        enable_keepalive(sock)
        target = addresses.split_address(address)
        # Before Python 3.12, `wait_for` may lose a cancellation as the socket connects.
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, target)
        _, conn = await loop.create_connection(
            lambda: Connection(address, sock), sock=sock
        )
    except ConnectionError as exc:
        sock.close()
        raise Refused(f'{address}: {exc!r}') from None
    except _UNREACHABLE as exc:
        sock.close()
        raise Unreachable(f'{address}: {exc!r}') from None
    except asyncio.CancelledError:
        sock.close()
        raise
    return conn


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


def _is_idle_and_open(sock: socket.socket) -> bool:
    """Tell whether a socket is open and has no received bytes waiting."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
