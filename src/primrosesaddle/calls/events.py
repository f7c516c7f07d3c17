"""Server-sent events: cut into whole events, each passed on once."""

import re

from primrosesaddle.net import held

__all__ = ('EventSplitter',)

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_LONGEST_END = 4
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Pass on whole events only, and none that was passed on before."""

    def __init__(self, last_id: int = 0, space: held.Space | None = None) -> None:
        """Start after an event id.

        The part of an event takes its share of a space, until `restart`.
        """
        self._share = held.Share(space or held.Space(MAX_EVENT_BYTES), MAX_EVENT_BYTES)
        self.last_id = last_id
        self.event_count = 0
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes, and return the whole events that they complete.

        Raises `upstream.NoAnswer` when an event never ends.
        """
        self._buffer += chunk
        whole = []
        begin = 0
        for found in _EVENT_END.finditer(self._buffer, self._searched):
            event = bytes(self._buffer[begin : found.end()])
            begin = found.end()
            if self._is_new(event):
                whole.append(event)
        if begin:
            self._buffer = self._buffer[begin:]
        # An event that comes in many parts is searched once, not at each part.
        self._searched = max(0, len(self._buffer) - _LONGEST_END + 1)
        self._share.resize(len(self._buffer))
        return b''.join(whole)

    def take_remainder(self) -> bytes:
        """Return what is left after the last whole event of a whole stream."""
        rest = bytes(self._buffer)
        self.reset()
        return rest

    def reset(self) -> None:
        """Forget the part of an event whose server broke off."""
        self._buffer = bytearray()
        self._searched = 0
        self._share.release()

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        event_id = int(found.group(1))
        if event_id <= self.last_id:
            return False
        self.last_id = event_id
        self.event_count += 1
        return True
