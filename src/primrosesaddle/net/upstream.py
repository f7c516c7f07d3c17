"""Kept HTTP connections to servers, each carrying one exchange at a time."""

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
    'NoAnswer',
    'Unreachable',
    'dial',
)

CONNECT_TIMEOUT_S = 1.0  # a healthy path answers within a few round trips
KEEPALIVE_IDLE_S = 1  # a silent path is found in idle + 2 probes, 3 s in all
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000  # unacknowledged bytes end a connection after this
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_STRAY_ANSWERS = 2  # late answers to earlier requests that are skipped
_NO_BODY = frozenset((204, 304))

_UNREACHABLE = (OSError, iostream.StreamClosedError, TimeoutError, ValueError)

Pairs = Iterable[tuple[str, str]]


class Unreachable(Exception):
    """A connection could not be opened, so nothing was sent."""


class Ending(enum.Enum):
    """How the answer of an exchange ended."""

    WHOLE = 'whole'
    BROKEN = 'broken'


class NoAnswer(httputil.HTTPInputError):
    """What came in is no answer that can be taken; the text says why."""


class Stream(iostream.IOStream):
    """A stream that tells whether bytes came that nobody asked for."""

    @property
    def has_unread(self) -> bool:
        """Tell whether received bytes wait to be read."""
        return self._read_buffer_size > 0


class Connection:
    """One open connection; `idle_since` is of the event loop's clock.

    `was_cut` tells that this side closed it.
    """

    def __init__(self, address: str, stream: Stream) -> None:
        """Wrap a connected stream."""
        self.address = address
        self.stream = stream
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.may_be_kept = True
        self.was_cut = False

    @property
    def usable(self) -> bool:
        """Tell whether another request may be sent: open, and nothing came in."""
        if self.stream.closed() or self.stream.has_unread or not self.may_be_kept:
            return False
        return _is_quiet(self.stream.socket)

    def close(self) -> None:
        """Close the connection at once."""
        self.may_be_kept = False
        self.was_cut = True
        self.stream.close()


class Head(typing.NamedTuple):
    """Status line and headers of an answer."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders


class Exchange(httputil.HTTPMessageDelegate):
    """One request and its answer on a connection.

    `on_head` and `on_body` are called as the answer comes in; `is_mine` tells an
    answer to this request from a late one to an earlier request. `on_body` may raise
    `NoAnswer`. `why` tells why an answer is not whole.
    """

    def __init__(
        self,
        conn: Connection,
        on_head: Callable[[Head], None],
        on_body: Callable[[bytes], Awaitable[None] | None],
        is_mine: Callable[[httputil.HTTPHeaders], bool],
    ) -> None:
        """Prepare an exchange on an idle connection."""
        self._conn = conn
        self._http = _http_on(conn.stream)
        self._on_head = on_head
        self._on_body = on_body
        self._is_mine = is_mine
        self._stray = False
        self._until_close = False
        self._whole = False
        self.why = ''

    def send(self, method: str, target: str, headers: Pairs, body: bytes) -> None:
        """Send the request whole; the length is added to its headers."""
        found = httputil.HTTPHeaders()
        for name, text in headers:
            found.add(name, text)
        if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            found['Content-Length'] = str(len(body))
        start = httputil.RequestStartLine(method, target, 'HTTP/1.1')
        with contextlib.suppress(iostream.StreamClosedError):
            sent = self._http.write_headers(start, found, body)
            sent.add_done_callback(futures.retrieve)
            self._http.finish()

    async def read(self) -> Ending:
        """Read the answer to its end, and return whether it is whole."""
        for _ in range(MAX_STRAY_ANSWERS + 1):
            if not (await self._read_one() and self._stray):
                break
            self._http = _http_on(self._conn.stream)
            self._http.finish()
        # An answer that ends with its connection is whole if the server closed it.
        whole = self._whole and not (
            self._until_close and (self._conn.was_cut or self._was_reset)
        )
        if not whole:
            self.why = self.why or self._why_broken()
        if self._until_close or not whole:
            self._conn.close()
        return Ending.WHOLE if whole else Ending.BROKEN

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the head of an answer."""
        line = typing.cast(httputil.ResponseStartLine, start_line)
        if 100 <= line.code < 200:
            return
        self._stray = not self._is_mine(headers)
        if self._stray:
            return
        self._until_close = (
            line.code not in _NO_BODY
            and 'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )
        self._note_keeping(headers)
        self._on_head(Head(line.code, line.reason, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        if self._stray:
            return None
        try:
            return self._on_body(chunk)
        except NoAnswer as exc:
            self.why = str(exc)
            raise

    def finish(self) -> None:
        """Note that the answer is whole."""
        self._whole = not self._stray

    def on_connection_close(self) -> None:
        """Note that the answer broke off."""

    def _why_broken(self) -> str:
        if self._conn.was_cut:
            return 'given up'
        if self._stray:
            return 'only answers to other calls'
        error = self._conn.stream.error
        return 'closed early' if error is None else str(error)

    async def _read_one(self) -> bool:
        """Read an answer, and return whether it could be read to its end."""
        self._stray = False
        try:
            read = await self._http.read_response(self)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False
        if not read:
            self.why = self.why or 'malformed or larger than the bound'
        return read

    @property
    def _was_reset(self) -> bool:
        return self._conn.stream.error is not None

    def _note_keeping(self, headers: httputil.HTTPHeaders) -> None:
        if headers.get('Connection', '').lower() == 'close' or self._until_close:
            self._conn.may_be_kept = False
        for part in headers.get('Keep-Alive', '').split(','):
            name, _, text = part.strip().partition('=')
            if name.lower() == 'timeout' and text.isdigit():
                self._conn.idle_limit_s = float(text)


async def dial(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
    """Open a connection to an IP:PORT address.

    Raises `Unreachable`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_liveness(sock)
    stream = Stream(sock, max_buffer_size=MAX_BODY_BYTES, read_chunk_size=16384)
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


def set_liveness(sock: socket.socket) -> None:
    """Make the kernel find a peer that fell silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)


def _http_on(stream: Stream) -> http1connection.HTTP1Connection:
    params = http1connection.HTTP1ConnectionParameters(
        chunk_size=16384,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    return http1connection.HTTP1Connection(stream, True, params)


def _is_quiet(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
