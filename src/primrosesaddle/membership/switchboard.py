"""The switchboard: hands messages to the services that take them, by type."""

import typing
from collections.abc import Callable

from primrosesaddle.membership import link, wire
from primrosesaddle.telemetry import journal

__all__ = ('Switchboard',)

Receiver = Callable[[link.Channel, int, typing.Any], None]


class Switchboard:
    """Hand messages to the services that take them, by type."""

    def __init__(self) -> None:
        """Create an empty switchboard."""
        self._receivers: dict[type, Receiver] = {}
        self.watch: Callable[[link.Channel, int], None] = _ignore_revision
        self.revision: Callable[[], int] = int

    def on(self, kind: type, receiver: Receiver) -> None:
        """Send messages of a type to a receiver."""
        self._receivers[kind] = receiver

    def receive(self, channel: link.Channel, rid: int, body: wire.Body) -> None:
        """Take a message; a fault in its receiver is logged, and no more."""
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

    def hooks(self) -> link.Hooks:
        """Return the hooks that a link needs."""
        return link.Hooks(
            self.receive,
            lambda channel, revision: self.watch(channel, revision),
            lambda: self.revision(),
        )


def _ignore_revision(channel: link.Channel, revision: int) -> None:
    """Take no notice, as before the configuration service is there."""
