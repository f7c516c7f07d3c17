"""Short HTTP calls that return a complete answer, over reused connections."""

import asyncio
import dataclasses

from tornado import httputil

from primrosesaddle.net import memory, upstream

__all__ = ('Answer', 'CallFailed', 'Client')

# Idle connections are closed soon, because a server that limits connections also counts
# those of a machine that lost power.
IDLE_S = 1.0
# Pages of the store are about 1 MB, other answers smaller.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_FULL_SIZE_ANSWERS = 2  # answers of the maximum size held by a client at once


class CallFailed(Exception):
    """A call did not get a complete answer."""


@dataclasses.dataclass
class Answer:
    """A complete answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class Client:
    """Client for one address that reuses idle connections."""

    def __init__(self, address: str, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        """Create a client for an IP:PORT address; larger answers are rejected."""
        self.address = address
        self._idle: list[upstream.Connection] = []
        self._max_answer_bytes = max_answer_bytes
        self._memory = memory.MemoryBudget(MAX_FULL_SIZE_ANSWERS * max_answer_bytes)

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b'',
        *,
        reuse: bool = True,
    ) -> Answer:
        """Make a call, and return its complete answer, whatever the status.

        `reuse` allows the use of an idle connection.

        Raises `CallFailed` if there is no complete answer in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body, reuse=reuse)
        except (TimeoutError, upstream.Unreachable) as exc:
            raise CallFailed(f'{method} {self.address}: {exc!r}') from None

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _call(
        self, method: str, target: str, body: bytes, *, reuse: bool
    ) -> Answer:
        conn = await self._acquire(reuse=reuse)
        heads: list[upstream.Head] = []
        body_read = bytearray()
        reservation = memory.Reservation(self._memory, self._max_answer_bytes)

        def on_body(chunk: bytes) -> None:
            reservation.resize(len(body_read) + len(chunk))
            body_read.extend(chunk)

        exchange = upstream.Exchange(conn, heads.append, on_body, lambda _: True)
        headers = [('Host', self.address)]
        if body:
            headers.append(('Content-Type', 'application/json'))
        try:
            exchange.send_request(method, target, headers, body)
            ending = await exchange.read_answer()
        except asyncio.CancelledError:
            conn.close()
            raise
        finally:
            reservation.release()
        if ending is upstream.Ending.BROKEN:
            raise CallFailed(f'{method} {self.address}: {exchange.failure}')
        if conn.is_reusable:
            self._release(conn)
        else:
            conn.close()
        return Answer(heads[-1].status, heads[-1].headers, bytes(body_read))

    def _release(self, conn: upstream.Connection) -> None:
        loop = asyncio.get_running_loop()
        conn.idle_since = loop.time()
        self._idle.append(conn)
        loop.call_later(IDLE_S, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections that have been idle for `IDLE_S`."""
        idle_until = asyncio.get_running_loop().time() - IDLE_S
        while self._idle and self._idle[0].idle_since <= idle_until:
            self._idle.pop(0).close()

    async def _acquire(self, *, reuse: bool) -> upstream.Connection:
        while reuse and self._idle:
            conn = self._idle.pop()
            if conn.is_reusable:
                return conn
            conn.close()
        return await upstream.dial(self.address)
