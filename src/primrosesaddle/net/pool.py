"""Pool of idle connections to backend servers."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from primrosesaddle.net import upstream

__all__ = ('Pool',)

# Servers that do not announce an idle timeout close connections after a few seconds.
DEFAULT_IDLE_S = 2.0
# A connection is no longer used this long before the server would close it.
IDLE_MARGIN_S = 0.5
MAX_IDLE = 32  # idle connections for each server; further ones are closed

Dial = Callable[[str], Awaitable[upstream.Connection]]


class Pool:
    """Idle connections by server id; the most recently used is reused first.

    `opened_count` counts the connections opened.
    """

    def __init__(self, dial: Dial, clock: Callable[[], float]) -> None:
        """Create an empty pool; `dial` opens a connection to an IP:PORT address."""
        self._dial = dial
        self._clock = clock
        self._idle: dict[str, collections.deque[upstream.Connection]] = {}
        self.opened_count = 0

    async def acquire(
        self,
        server_id: str,
        address: str,
        max_idle_s: float,
    ) -> upstream.Connection:
        """Return a connection that was idle for less than `max_idle_s`, or a new one.

        Raises `upstream.Unreachable` if no connection can be opened.
        """
        idle = self._idle.get(server_id)
        now = self._clock()
        while idle:
            conn = idle.pop()
            idle_s = now - conn.idle_since
            limit_s = min(max_idle_s, _idle_limit_s(conn))
            if idle_s < limit_s and conn.is_reusable:
                return conn
            conn.close()
        self.opened_count += 1
        return await self._dial(address)

    def release(self, server_id: str, conn: upstream.Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle.setdefault(server_id, collections.deque())
        if not conn.is_reusable or len(idle) >= MAX_IDLE:
            conn.close()
            return
        conn.idle_since = self._clock()
        idle.append(conn)

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server that is gone or leaving."""
        for conn in self._idle.pop(server_id, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now = self._clock()
        for idle in self._idle.values():
            while idle and now - idle[0].idle_since > _idle_limit_s(idle[0]):
                idle.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        for server_id in list(self._idle):
            self.close_idle(server_id)


def make_pool() -> Pool:
    """Return a pool on the running event loop."""
    return Pool(upstream.dial, asyncio.get_running_loop().time)


def _idle_limit_s(conn: upstream.Connection) -> float:
    """Return how long a connection may be idle before it is not reused."""
    if conn.idle_limit_s:
        return max(0.0, conn.idle_limit_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
