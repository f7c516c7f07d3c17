"""Short HTTP calls with a whole answer, over kept connections."""

import asyncio
import dataclasses

from tornado import httputil

from primrosesaddle.net import held, upstream

__all__ = ('Answer', 'CallFailed', 'Client')

# Idle connections are closed soon: a server that bounds them counts those of a
# machine that lost power as well.
IDLE_S = 1.0
# Pages of the store take about 1 MB, other answers less.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
TOGETHER = 2  # answers of the largest size that a client holds at once


class CallFailed(Exception):
    """A call that has no whole answer."""


@dataclasses.dataclass
class Answer:
    """A whole answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class Client:
    """Calls to one address; idle connections are kept for the next call."""

    def __init__(self, address: str, answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        """Prepare calls to an IP:PORT address whose answers have at most a size."""
        self.address = address
        self._idle: list[upstream.Connection] = []
        self._answer_bytes = answer_bytes
        self._space = held.Space(TOGETHER * answer_bytes)

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b'',
        *,
        kept: bool = True,
    ) -> Answer:
        """Make a call, and return its whole answer, whatever the status.

        Raises `CallFailed`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, target, body, kept=kept)
        except (TimeoutError, upstream.Unreachable) as exc:
            raise CallFailed(f'{method} {self.address}: {exc!r}') from None

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _call(
        self, method: str, target: str, body: bytes, *, kept: bool
    ) -> Answer:
        conn = await self._connection(kept=kept)
        heads: list[upstream.Head] = []
        body_read = bytearray()
        share = held.Share(self._space, self._answer_bytes)

        def on_body(chunk: bytes) -> None:
            share.resize(len(body_read) + len(chunk))
            body_read.extend(chunk)

        exchange = upstream.Exchange(conn, heads.append, on_body, lambda _: True)
        headers = [('Host', self.address)]
        if body:
            headers.append(('Content-Type', 'application/json'))
        try:
            exchange.send(method, target, headers, body)
            ending = await exchange.read()
        except asyncio.CancelledError:
            conn.close()
            raise
        finally:
            share.release()
        if ending is upstream.Ending.BROKEN:
            raise CallFailed(f'{method} {self.address}: {exchange.why}')
        if conn.usable:
            self._keep(conn)
        else:
            conn.close()
        return Answer(heads[-1].status, heads[-1].headers, bytes(body_read))

    def _keep(self, conn: upstream.Connection) -> None:
        loop = asyncio.get_running_loop()
        conn.idle_since = loop.time()
        self._idle.append(conn)
        loop.call_later(IDLE_S, self._expire)

    def _expire(self) -> None:
        """Close the connections that have been idle for long."""
        until = asyncio.get_running_loop().time() - IDLE_S
        while self._idle and self._idle[0].idle_since <= until:
            self._idle.pop(0).close()

    async def _connection(self, *, kept: bool) -> upstream.Connection:
        while kept and self._idle:
            conn = self._idle.pop()
            if conn.usable:
                return conn
            conn.close()
        return await upstream.dial(self.address)
