"""Dispatch of received messages to their receivers, by message type."""

import typing
from collections.abc import Callable

from primrosesaddle.core import positions
from primrosesaddle.membership import link, wire
from primrosesaddle.telemetry import journal

__all__ = ('MessageDispatcher',)

Receiver = Callable[[link.Channel, int, typing.Any], None]


class MessageDispatcher:
    """Pass each received message to the receiver registered for its type.

    `on_position` is called with the channel and the sender's position for every
    message received. `get_position` returns the position sent with every message.
    """

    def __init__(self) -> None:
        """Create a dispatcher without receivers."""
        self._receivers: dict[type, Receiver] = {}
        self.on_position: link.PositionListener = _ignore_position
        self.get_position: Callable[[], positions.Position] = _get_start

    def register(self, kind: type, receiver: Receiver) -> None:
        """Call a receiver with the messages of a type."""
        self._receivers[kind] = receiver

    def dispatch(self, channel: link.Channel, rid: int, body: wire.Body) -> None:
        """Pass a message to its receiver; ignore messages of types without one.

        An exception raised by the receiver is logged and not propagated.
        """
        receiver = self._receivers.get(type(body))
        if receiver is None:
            return
        try:
            receiver(channel, rid, body)
        except Exception as exc:
            journal.error(
                'message.failed',
                kind=type(body).__name__,
                error=repr(exc),
            )

    def make_hooks(self) -> link.Hooks:
        """Return link hooks that call this dispatcher."""
        return link.Hooks(
            self.dispatch,
            lambda channel, position: self.on_position(channel, position),
            lambda: self.get_position(),
        )


def _ignore_position(channel: link.Channel, position: positions.Position) -> None:
    """Do nothing: the default until the owner of the positions sets its own."""


def _get_start() -> positions.Position:
    """Return the first position: the default, as for `_ignore_position`."""
    return positions.START
