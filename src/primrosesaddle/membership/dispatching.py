"""Dispatch of received messages to their receivers, by message type."""

import typing
from collections.abc import Callable

from primrosesaddle.membership import link, wire
from primrosesaddle.telemetry import journal

__all__ = ('MessageDispatcher',)

Receiver = Callable[[link.Channel, int, typing.Any], None]


class MessageDispatcher:
    """Pass each received message to the receiver registered for its type.

    `on_revision` is called with the channel and the sender's revision for every
    message received. `get_revision` returns the revision sent with every message.
    """

    def __init__(self) -> None:
        """Create a dispatcher without receivers."""
        self._receivers: dict[type, Receiver] = {}
        self.on_revision: Callable[[link.Channel, int], None] = _ignore_revision
        self.get_revision: Callable[[], int] = int

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
            lambda channel, revision: self.on_revision(channel, revision),
            lambda: self.get_revision(),
        )


def _ignore_revision(channel: link.Channel, revision: int) -> None:
    """Do nothing: the default until the owner of the revisions sets its own."""
