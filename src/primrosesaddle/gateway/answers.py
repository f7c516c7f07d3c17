"""The check that an engine's stream is one whole answer to one request."""

import msgspec

__all__ = ('AnswerValidator', 'AnswerFault')

_DATA = b'data: '
_END = b'\n\n'
_DONE = b'[DONE]'
MAX_EVENT_BYTES = 64 * 1024


class AnswerFault(Exception):
    """An answer that must not be passed off as whole."""


class _Delta(msgspec.Struct, frozen=True):
    content: str = ''


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct, frozen=True):
    id: str
    system_fingerprint: str
    seq: int
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


_DECODER = msgspec.json.Decoder(_Event)


class AnswerValidator:
    """Follow the events of one attempt; keep only those that belong to it.

    Events of another request and repeated events are dropped. A gap, another
    version than expected, or an end without its marks is a fault.
    """

    def __init__(self, attempt: str, version: str, first_seq: int = 0) -> None:
        """Expect the answer to an attempt, by a version, from a token onwards."""
        self._attempt = attempt
        self._version = version
        self._next = first_seq
        self._rest = b''
        self._finished = False
        self.done = False
        self.dropped = 0
        self.tokens = first_seq
        self.prompt_tokens = 0
        self.finish_reason = ''
        self.text: list[str] = []

    def feed(self, received: bytes) -> tuple[bytes, int]:
        """Take bytes; return the valid events in them and their count of tokens.

        Raises `AnswerFault`.
        """
        kept: list[bytes] = []
        before = self.tokens
        *events, self._rest = (self._rest + received).split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise AnswerFault('event_too_large')
        for event in events:
            if event.startswith(_DATA) and self._take(event[len(_DATA) :]):
                kept.append(event + _END)
        return b''.join(kept), self.tokens - before

    def close(self) -> None:
        """Take the end of the stream.

        Raises `AnswerFault` when the answer is not whole.
        """
        if not self.done:
            raise AnswerFault('answer_short')

    def _take(self, payload: bytes) -> bool:
        if payload.strip() == _DONE:
            if not self._finished:
                raise AnswerFault('answer_short')
            self.done = True
            return False
        try:
            event = _DECODER.decode(payload)
        except msgspec.MsgspecError:
            raise AnswerFault('answer_malformed') from None
        if event.id != self._attempt or event.seq < self._next:
            self.dropped += 1
            return False
        if event.system_fingerprint != self._version:
            raise AnswerFault('answer_of_another_version')
        if event.seq > self._next or self._finished:
            raise AnswerFault('answer_gap')
        self._next += 1
        self._count(event)
        return True

    def _count(self, event: _Event) -> None:
        for choice in event.choices:
            if choice.delta.content:
                self.tokens += 1
                self.text.append(choice.delta.content)
            if choice.finish_reason:
                self.finish_reason = choice.finish_reason
        if event.usage is None:
            return
        if event.usage.completion_tokens != self.tokens:
            raise AnswerFault('answer_short')
        self.prompt_tokens = event.usage.prompt_tokens
        self._finished = bool(self.finish_reason)
