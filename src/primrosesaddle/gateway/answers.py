"""Validation that an engine's event stream is one complete answer to one attempt."""

import msgspec

__all__ = ('AnswerFault', 'AnswerValidator')

_DATA_PREFIX = b'data: '
_EVENT_END = b'\n\n'
_DONE_PAYLOAD = b'[DONE]'
MAX_EVENT_BYTES = 64 * 1024


class AnswerFault(Exception):
    """An answer that is faulty or incomplete and must not be passed on as complete."""


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
    """Check the events of one attempt in order and drop those that don't belong to it.

    Events of another attempt and repeated events are dropped and counted in `dropped`.
    A gap, another version than expected, or an end without finish reason, usage and
    `[DONE]` is a fault. `tokens` counts from the first token of the call, including
    those of earlier attempts; `text` holds the tokens of this attempt.
    """

    def __init__(self, attempt: str, version: str, first_seq: int = 0) -> None:
        """Expect the answer of a version to an attempt, from token `first_seq` on."""
        self._attempt = attempt
        self._version = version
        self._next_seq = first_seq
        self._incomplete_event = b''
        self._is_finished = False
        self.done = False
        self.dropped = 0
        self.tokens = first_seq
        self.prompt_tokens = 0
        self.finish_reason = ''
        self.text: list[str] = []

    def feed(self, received: bytes) -> tuple[bytes, int]:
        """Return the valid events in received bytes and their number of tokens.

        Raises `AnswerFault` when the answer is faulty.
        """
        valid: list[bytes] = []
        tokens_before = self.tokens
        *events, self._incomplete_event = (self._incomplete_event + received).split(
            _EVENT_END
        )
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise AnswerFault('event_too_large')
        for event in events:
            if event.startswith(_DATA_PREFIX) and self._accept(
                event[len(_DATA_PREFIX) :]
            ):
                valid.append(event + _EVENT_END)
        return b''.join(valid), self.tokens - tokens_before

    def check_complete(self) -> None:
        """Check at the end of the stream that the answer is complete.

        Raises `AnswerFault` if it is not.
        """
        if not self.done:
            raise AnswerFault('answer_short')

    def _accept(self, payload: bytes) -> bool:
        """Check the payload of an event; return whether it is passed on."""
        if payload.strip() == _DONE_PAYLOAD:
            if not self._is_finished:
                raise AnswerFault('answer_short')
            self.done = True
            return False
        try:
            event = _DECODER.decode(payload)
        except msgspec.MsgspecError:
            raise AnswerFault('answer_malformed') from None
        if event.id != self._attempt or event.seq < self._next_seq:
            self.dropped += 1
            return False
        if event.system_fingerprint != self._version:
            raise AnswerFault('answer_of_another_version')
        if event.seq > self._next_seq or self._is_finished:
            raise AnswerFault('answer_gap')
        self._next_seq += 1
        self._count_tokens(event)
        return True

    def _count_tokens(self, event: _Event) -> None:
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
        self._is_finished = bool(self.finish_reason)
