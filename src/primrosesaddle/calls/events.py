"""Server-sent events: splits a byte stream into complete events without repeats."""

import re

from primrosesaddle.net import memory

__all__ = ('MEDIA_TYPE', 'EventSplitter')

MEDIA_TYPE = 'text/event-stream'
_EVENT_END = re.compile(rb'\r?\n\r?\n')
_MAX_END_BYTES = 4
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Returns complete events only, and each event id once.

    `last_id` is the id of the last event returned, `event_count` the number of
    events with an id. Events without an id are always returned. `has_event` is whether
    an event, new or not, has been fed since `reset`.
    """

    def __init__(
        self, last_id: int = 0, memory_budget: memory.MemoryBudget | None = None
    ) -> None:
        """Skip events up to the id `last_id`.

        The buffered part of an incomplete event is reserved in `memory_budget` until
        `reset` is called.
        """
        self._reservation = memory.Reservation(
            memory_budget or memory.MemoryBudget(MAX_EVENT_BYTES), MAX_EVENT_BYTES
        )
        self.last_id = last_id
        self.event_count = 0
        self._buffer = bytearray()
        self._search_from = 0
        self.has_event = False

    @property
    def is_between_events(self) -> bool:
        """Tell whether an event, new or not, is the last thing fed since `reset`."""
        return self.has_event and not self.is_inside_event

    @property
    def is_inside_event(self) -> bool:
        """Tell whether the last event fed is not complete."""
        return bool(self._buffer.strip(b'\r\n'))

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes, and return the new events that they complete.

        Raises `upstream.InvalidAnswer` when an event exceeds the size limit.
        """
        self._buffer += chunk
        complete = []
        begin = 0
        for ending in _EVENT_END.finditer(self._buffer, self._search_from):
            event = bytes(self._buffer[begin : ending.end()])
            begin = ending.end()
            if self._is_new(event):
                complete.append(event)
        if begin:
            self.has_event = True
            self._buffer = self._buffer[begin:]
        # Bytes searched before are not searched again, so that the work for an event
        # that arrives in many parts grows with its size, not with its square.
        self._search_from = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._reservation.resize(len(self._buffer))
        return b''.join(complete)

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event, and clear the buffer.

        It is called at the end of a complete stream.
        """
        remainder = bytes(self._buffer)
        self.reset()
        return remainder

    def reset(self) -> None:
        """Discard the incomplete event, as after a server closed the connection."""
        self._buffer = bytearray()
        self._search_from = 0
        self.has_event = False
        self._reservation.release()

    def _is_new(self, event: bytes) -> bool:
        match = _EVENT_ID.search(event)
        if match is None:
            return True
        event_id = int(match.group(1))
        if event_id <= self.last_id:
            return False
        self.last_id = event_id
        self.event_count += 1
        return True
