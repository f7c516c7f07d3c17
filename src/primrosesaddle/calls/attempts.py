"""Attempts: one send of a call to one server, and what the answer says."""

import asyncio
import dataclasses
import typing
from collections.abc import Awaitable, Callable

from primrosesaddle.calls import placement, request
from primrosesaddle.core import verdict
from primrosesaddle.net import held, upstream
from primrosesaddle.telemetry import journal

__all__ = ('AnswerHead', 'Attempt', 'ResponseHooks', 'AnswerSink', 'WireFormat')

# An answer that is kept until it is whole is no larger than this.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# All answers that are kept, and events that are not whole, are no larger together.
MAX_TOTAL_BUFFERED_BYTES = 64 * 1024 * 1024

ResponseHooks = tuple[
    Callable[[upstream.Head], None],
    Callable[[bytes], Awaitable[None] | None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of a server's answer says.

    `signed` tells that the server vouches for the answer, `not_run` that it
    promises not to have run the call; `load` is all that it runs and holds waiting.
    `at_fault` is the address of the server of a chain that could not do its part.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    signed: bool
    not_run: bool
    load: int | None
    at_fault: str = ''


class AnswerSink(typing.Protocol):
    """Where the answer of a call goes."""

    def start(self, head: AnswerHead, size: int | None) -> None:
        """Begin an answer; the size in bytes is None for a stream."""

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""

    def finish_answer(self) -> None:
        """End a whole answer."""

    def abort(self) -> None:
        """End an answer so that it does not look whole."""

    def refuse(self, refusal: verdict.Refusal) -> None:
        """Answer with a refusal or failure of this system's own."""


class WireFormat(typing.Protocol):
    """How calls and answers are spelled for the servers."""

    def request_headers(
        self,
        call: request.Call,
        choice: placement.Choice,
        left_s: float,
        resume_from: int,
        expect_version: int,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""

    def read_head(self, head: upstream.Head) -> AnswerHead:
        """Return what the head of an answer says."""

    def answers(self, call: request.Call, headers: typing.Any) -> bool:
        """Tell whether an answer belongs to a call."""


class Attempt:
    """One send of a call to one server.

    `moved_at` is when it last made progress: at its head, and at each part of a signed
    body whose length is told. Other bodies may have no end.
    """

    def __init__(
        self,
        wire: WireFormat,
        call: request.Call,
        choice: placement.Choice,
        space: held.Space | None = None,
    ) -> None:
        """Prepare the send of a call to a chosen server.

        What is kept of the answer takes its `share` of a space, to be released.
        """
        self._wire = wire
        self.call = call
        self._clock = asyncio.get_running_loop().time
        self.choice = choice
        self.started_at = self._clock()
        self.last_progress_at = self.started_at
        self.head: AnswerHead | None = None
        self.stalled = False
        self.outdated = False
        self.has_body_begun = False  # the server has sent a part of the body
        self.broken_reason = ''
        self.sent = False
        self.conn: upstream.Connection | None = None
        self.body: list[bytes] = []
        self.size = 0
        space = space or held.Space(MAX_TOTAL_BUFFERED_BYTES)
        self.reservation = held.Share(space, MAX_BUFFERED_BYTES)
        self._has_end = False

    def on_head(self, head: upstream.Head) -> None:
        """Take the head of the answer; a stream begins at once."""
        self.last_progress_at = self._clock()
        self.head = self._wire.read_head(head)
        self._has_end = self.head.signed and 'Content-Length' in head.headers
        if self.head.load is not None:
            self.choice.backend.update_load(self.head.load, self.last_progress_at)

    def on_body(self, chunk: bytes) -> None:
        """Keep a part of an answer that is passed on when it is whole."""
        self.has_body_begun = True
        if self._has_end:
            self.last_progress_at = self._clock()
        self.size += len(chunk)
        self.reservation.resize(self.size)
        self.body.append(chunk)

    def abort_stalled(self, why: str) -> None:
        """Break the exchange off because the server makes no progress."""
        self.stalled = True
        self._break_off('stalled', why)

    def abort_outdated(self, required: int) -> None:
        """Break the exchange off before it begins on a version that is too old."""
        self.outdated = True
        version = self.choice.version
        self._break_off('outdated', f'version={version} required={required}')

    def _break_off(self, outcome: str, why: str) -> None:
        journal.info(
            f'attempt.{outcome}',
            id=self.call.call_id,
            server=self.choice.backend.server_id,
            why=why,
            silent_s=round(self._clock() - self.last_progress_at, 2),
        )
        if self.conn is not None:
            self.conn.close()
