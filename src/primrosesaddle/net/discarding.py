"""Dropping what follows a refusal on its connection, within limits.

A connection that is closed with unread bytes is reset, and the refusal is lost with it.
So the rest of a refused body is read for a while and dropped.
"""

from collections.abc import Callable

from primrosesaddle.net import connections

__all__ = ('Discarder',)

# A whole body of the usual limit, and the time that a caller on a slow path needs.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
MAX_DISCARD_S = 5.0


class Discarder:
    """The connections whose requests are refused, and whose bodies still arrive."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table; `clock` returns seconds."""
        self._clock = clock
        # Bytes that may still come, and when each is closed; the oldest first.
        self._open: dict[connections.Closable, tuple[int, float]] = {}

    def add(self, conn: connections.Closable) -> None:
        """Drop what comes on a connection from now on."""
        self._open[conn] = MAX_DISCARDED_BYTES, self._clock() + MAX_DISCARD_S

    def remove(self, conn: connections.Closable) -> None:
        """Forget a connection that was closed."""
        self._open.pop(conn, None)

    def receive(self, conn: connections.Closable, size_bytes: int) -> None:
        """Drop received bytes; close the connection if there are too many."""
        left_bytes, ends_at = self._open.get(conn, (0, 0.0))
        if size_bytes > left_bytes:
            self._close(conn)
        else:
            self._open[conn] = left_bytes - size_bytes, ends_at

    def close_expired(self) -> None:
        """Close the connections on which a body takes too long."""
        now = self._clock()
        for conn, (_, ends_at) in list(self._open.items()):
            if ends_at > now:
                return
            self._close(conn)

    def take_oldest(self) -> connections.Closable | None:
        """Forget and return the connection refused first, None if there is none."""
        oldest = next(iter(self._open), None)
        if oldest is not None:
            self._open.pop(oldest)
        return oldest

    def _close(self, conn: connections.Closable) -> None:
        self._open.pop(conn, None)
        conn.close()
