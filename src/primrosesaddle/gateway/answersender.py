"""The way of an answer from the agent to an entry, under the entry's credit."""

import asyncio

from primrosesaddle.membership import link, wire

__all__ = ('AnswerSender', 'CREDIT_WINDOW_PARTS')

CREDIT_WINDOW_PARTS = 32
FLUSH_S = 0.008
HIGH_WATER_BYTES = 256 * 1024


class AnswerSender:
    """Send an answer's parts, joined while they wait and never beyond credit."""

    def __init__(self, channel: link.Channel, rid: int) -> None:
        """Create the outlet of one call."""
        self._channel = channel
        self._rid = rid
        self._credit = CREDIT_WINDOW_PARTS
        self._pending = bytearray()
        self._tokens = 0
        self._wake = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._ended = False
        self.size = 0

    def reply(self, body: wire.Body) -> None:
        """Send a message that needs no credit."""
        self._channel.send(body, self._rid, reply=True)

    def write(self, body: bytes, tokens: int) -> None:
        """Queue a piece of the answer."""
        self._pending += body
        self._tokens += tokens
        self.size += len(body)
        if len(self._pending) > HIGH_WATER_BYTES:
            self._drained.clear()
        self._wake.set()

    async def wait_until_drained(self) -> None:
        """Wait until little is queued."""
        await self._drained.wait()

    def add_credit(self, parts: int) -> None:
        """Take the entry's permission to send more parts."""
        self._credit += parts
        self._wake.set()

    def finish(self) -> None:
        """Let `pump` return once everything is sent."""
        self._ended = True
        self._wake.set()

    async def send_queued(self) -> None:
        """Send what is queued until `finish` was called and all is sent."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._pending and self._credit:
                self._send()
                if not self._ended:
                    await asyncio.sleep(FLUSH_S)
            if self._ended and not self._pending:
                return

    def _send(self) -> None:
        part = wire.AnswerPart(bytes(self._pending), self._tokens)
        self._pending.clear()
        self._tokens = 0
        self._credit -= 1
        self._drained.set()
        self.reply(part)
