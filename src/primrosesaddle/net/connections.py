"""Accepted connections of a listener: how many, and which of them is closed first.

For the load of clients that open many connections and send nothing or half a head.
Without I/O but for the closing; the clock is an argument.
"""

import collections
import math
import typing
from collections.abc import Callable

__all__ = ('Closable', 'ConnectionTable')


class Closable(typing.Protocol):
    """An accepted connection.

    `head_began_at` is when the first bytes of a head that is awaited came, in seconds
    of the table's clock, None before.
    """

    head_began_at: float | None

    def close(self) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """The open connections of one listener.

    `closed_count` is how many were closed to stay within the limits.
    `header_timeout_s` is how long a head may take from its first byte. `close_busy`
    closes a connection whose request is not read to its end, and returns it, None if
    there is none that may be closed. `is_short` is whether a client waits to be
    accepted; connections are best closed after their answers then.
    """

    def __init__(self, max_count: float, clock: Callable[[], float]) -> None:
        """Create an empty table; `clock` returns seconds."""
        self.closed_count = 0
        self.is_short = False
        self.on_removed: Callable[[], None] = lambda: None
        self.header_timeout_s = math.inf
        self.close_busy: Callable[[], Closable | None] = lambda: None
        self._max_count = max_count
        self._clock = clock
        self._open: set[Closable] = set()
        # Connections that await a request or its head, the longest wait first.
        self._awaiting: collections.OrderedDict[Closable, None]
        self._awaiting = collections.OrderedDict()

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._open)

    def make_room(self) -> bool:
        """Close a connection if all are taken; return whether there is room for one.

        The one that has been idle for longest goes first: a caller that keeps it learns
        that the request it sends on it was not read.
        """
        if self.count < self._max_count:
            return True
        if self._awaiting:
            closed: Closable | None = next(iter(self._awaiting))
        else:
            closed = self.close_busy()
        if closed is None:
            return False
        self.closed_count += 1
        self._open.discard(closed)
        self._awaiting.pop(closed, None)
        closed.close()
        return True

    def add(self, conn: Closable) -> None:
        """Add a connection that was accepted."""
        self._open.add(conn)
        self._awaiting[conn] = None

    def await_head(self, conn: Closable) -> None:
        """Record that a connection is idle until a request arrives."""
        conn.head_began_at = None
        if conn in self._open:
            self._awaiting[conn] = None
            self._awaiting.move_to_end(conn)

    def begin_request(self, conn: Closable) -> None:
        """Record that the head of a request was received."""
        self._awaiting.pop(conn, None)

    def remove(self, conn: Closable) -> None:
        """Forget a connection that was closed; it may be forgotten already."""
        self._open.discard(conn)
        self._awaiting.pop(conn, None)
        self.on_removed()

    def close_slow_heads(self) -> None:
        """Close the connections whose head takes too long."""
        began_by = self._clock() - self.header_timeout_s
        slow = [
            conn
            for conn in self._awaiting
            if conn.head_began_at is not None and conn.head_began_at < began_by
        ]
        self.closed_count += len(slow)
        for conn in slow:
            conn.close()
