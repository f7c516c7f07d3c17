"""Sending of an answer from an agent to an entry, with flow control by credit."""

import asyncio

from primrosesaddle.membership import link, wire

__all__ = ('CREDIT_WINDOW_PARTS', 'AnswerSender')

CREDIT_WINDOW_PARTS = 32
FLUSH_INTERVAL_S = 0.008
HIGH_WATER_BYTES = 256 * 1024


class AnswerSender:
    """Send the parts of an answer within the credit of the entry.

    Parts that wait are joined to one. `size` is the length of the answer so far in
    bytes.
    """

    def __init__(self, channel: link.Channel, rid: int) -> None:
        """Create the sender of one answer, to request `rid` on a channel."""
        self._channel = channel
        self._rid = rid
        self._credit_parts = CREDIT_WINDOW_PARTS
        self._queued = bytearray()
        self._queued_tokens = 0
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._is_finished = False
        self.size = 0

    def reply(self, body: wire.Body) -> None:
        """Send a message that needs no credit."""
        self._channel.send(body, self._rid, reply=True)

    def write(self, body: bytes, tokens: int) -> None:
        """Queue a part of the answer that holds `tokens` tokens."""
        self._queued += body
        self._queued_tokens += tokens
        self.size += len(body)
        if len(self._queued) > HIGH_WATER_BYTES:
            self._has_room.clear()
        self._changed.set()

    async def wait_until_drained(self) -> None:
        """Wait while more than `HIGH_WATER_BYTES` are queued."""
        await self._has_room.wait()

    def add_credit(self, parts: int) -> None:
        """Allow more parts to be sent."""
        self._credit_parts += parts
        self._changed.set()

    def finish(self) -> None:
        """Mark the answer complete: `send_queued` returns once all is sent."""
        self._is_finished = True
        self._changed.set()

    async def send_queued(self) -> None:
        """Send queued parts until `finish` was called and all is sent."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._queued and self._credit_parts:
                self._send_part()
                if not self._is_finished:
                    await asyncio.sleep(FLUSH_INTERVAL_S)
            if self._is_finished and not self._queued:
                return

    def _send_part(self) -> None:
        part = wire.AnswerPart(bytes(self._queued), self._queued_tokens)
        self._queued.clear()
        self._queued_tokens = 0
        self._credit_parts -= 1
        self._has_room.set()
        self.reply(part)
