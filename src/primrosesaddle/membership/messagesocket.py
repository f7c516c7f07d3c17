"""ZeroMQ sockets on the event loop, without a future for each message.

The asyncio sockets of pyzmq make a future, and look at the state of the socket several
times, for each message. A process with many peers spent most of its time on that.
"""

import asyncio
from collections.abc import Callable

import zmq

from primrosesaddle.telemetry import journal

__all__ = ('MessageSocket',)

# Messages that are handled before other work of the event loop gets its turn.
MAX_MESSAGES_PER_TURN = 64
# As plain integers, which are compared much faster than the flags of pyzmq.
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_NOBLOCK = int(zmq.NOBLOCK)


class MessageSocket:
    """Calls a function with each message that a ZeroMQ socket receives."""

    def __init__(
        self, sock: 'zmq.Socket[bytes]', on_message: Callable[[list[bytes]], None]
    ) -> None:
        """Receive on a socket from now on, until `close`."""
        self._sock = sock
        self._on_message = on_message
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(sock.fileno())
        self._is_scheduled = False
        self._loop.add_reader(self._descriptor, self._receive)
        self._receive_later()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message; it is dropped when the socket is closed or cannot take it.

        Returns False if a ROUTER socket has no connection to the peer any more.
        """
        if self._sock.closed:
            return True
        is_connected = True
        try:
            self._sock.send_multipart(frames, _NOBLOCK)
        except zmq.ZMQError as exc:
            is_connected = exc.errno != zmq.EHOSTUNREACH
            journal.debug('link.unsent', error=repr(exc))
        # The descriptor signals a message once. Sending may have consumed the signal.
        if int(self._sock.getsockopt(_EVENTS)) & _POLLIN:
            self._receive_later()
        return is_connected

    def close(self, linger_ms: int = 0) -> None:
        """Close the socket; unsent messages are kept for up to `linger_ms`."""
        if self._sock.closed:
            return
        self._loop.remove_reader(self._descriptor)
        self._sock.close(linger=linger_ms)

    def _receive_later(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._receive_scheduled)

    def _receive_scheduled(self) -> None:
        self._is_scheduled = False
        self._receive()

    def _receive(self) -> None:
        """Handle the messages that have arrived."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._sock.closed:
                return
            try:
                frames = self._sock.recv_multipart(_NOBLOCK)
            except zmq.Again:
                return
            except zmq.ZMQError as exc:
                journal.warning('link.unreadable', error=repr(exc))
                return
            try:
                self._on_message(frames)
            except Exception as exc:
                journal.error('message.failed', error=repr(exc))
        self._receive_later()
