"""Pools of kept connections, one for each backend server."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from primrosesaddle.net import upstream

__all__ = ('Pool',)

# Servers that state no idle time close after a few seconds.
DEFAULT_IDLE_S = 2.0
# A kept connection is left this long before the server would close it.
IDLE_MARGIN_S = 0.5
MAX_IDLE = 32  # connections for each server, beyond which they are closed

Dial = Callable[[str], Awaitable[upstream.Connection]]


class Pool:
    """Idle connections by server id, the last used first."""

    def __init__(self, dial: Dial, clock: Callable[[], float]) -> None:
        """Create an empty pool over a function that opens connections."""
        self._dial = dial
        self._clock = clock
        self._idle: dict[str, collections.deque[upstream.Connection]] = {}
        self.opened = 0

    async def acquire(
        self,
        server_id: str,
        address: str,
        max_idle_s: float,
    ) -> upstream.Connection:
        """Return a kept connection that idled no longer than that, or a new one.

        Raises `upstream.Unreachable`.
        """
        kept = self._idle.get(server_id)
        now = self._clock()
        while kept:
            conn = kept.pop()
            idle_s = now - conn.idle_since
            limit_s = min(max_idle_s, _idle_limit_s(conn))
            if idle_s < limit_s and conn.usable:
                return conn
            conn.close()
        self.opened += 1
        return await self._dial(address)

    def release(self, server_id: str, conn: upstream.Connection) -> None:
        """Keep a connection whose exchange is whole, or close it."""
        kept = self._idle.setdefault(server_id, collections.deque())
        if not conn.usable or len(kept) >= MAX_IDLE:
            conn.close()
            return
        conn.idle_since = self._clock()
        kept.append(conn)

    def forget(self, server_id: str) -> None:
        """Close the idle connections to a server that is gone or leaving."""
        for conn in self._idle.pop(server_id, ()):
            conn.close()

    def sweep(self) -> None:
        """Close the connections that idled too long."""
        now = self._clock()
        for kept in self._idle.values():
            while kept and now - kept[0].idle_since > _idle_limit_s(kept[0]):
                kept.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        for server_id in list(self._idle):
            self.forget(server_id)


def make_pool() -> Pool:
    """Return a pool on the running event loop."""
    return Pool(upstream.dial, asyncio.get_running_loop().time)


def _idle_limit_s(conn: upstream.Connection) -> float:
    if conn.idle_limit_s:
        return max(0.0, conn.idle_limit_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
