"""Attempts: sending a call to one server, and reading the server's answer."""

import asyncio
import dataclasses
import typing
from collections.abc import Awaitable, Callable

from primrosesaddle.calls import events, placement, request, routes
from primrosesaddle.core import verdict
from primrosesaddle.net import memory, upstream
from primrosesaddle.telemetry import journal

__all__ = ('AnswerHead', 'Attempt', 'ResponseHooks', 'AnswerSink', 'WireFormat')

# Largest answer that is buffered until it is complete.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# Bound on all buffered answers and incomplete events together.
MAX_TOTAL_BUFFERED_BYTES = 64 * 1024 * 1024

ResponseHooks = tuple[
    Callable[[upstream.Head], None],
    Callable[[bytes], Awaitable[None] | None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a server's answer, independent of its wire format.

    `signed` is whether the answer has the server's seal, `not_run` whether the
    server states that it did not run the call. `load` is the number of calls that
    run or wait at the server, `slowdown` how many times longer than usual work takes
    there now, each None when it is not stated. `at_fault` is the address
    of the server of a chain that could not run its layers, empty for none. `leaving`
    is whether the server says that it is leaving. `quiet_s` is for how many seconds a
    server that refuses the call wants no calls, NaN for an unreadable time, 0 for none.
    `ends_at_close` is whether only the end of the connection ends the body.
    `promises_not_run` is whether callers take the status for a promise that the call
    did not run, which a server may give to calls that it has run.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    signed: bool
    not_run: bool
    load: int | None
    slowdown: float | None = None
    at_fault: str = ''
    leaving: bool = False
    quiet_s: float = 0.0
    ends_at_close: bool = False
    promises_not_run: bool = False

    @property
    def misleads_callers(self) -> bool:
        """Whether callers would take a call that may have run for one that did not."""
        return self.promises_not_run and not self.not_run

    @property
    def media_type(self) -> str:
        """Return the media type of the body in lower case, empty if not stated."""
        for name, text in self.headers:
            if name.lower() == 'content-type':
                return text.partition(';')[0].strip().lower()
        return ''


class AnswerSink(typing.Protocol):
    """The receiver of a call's answer: the connection to the caller."""

    def start(self, head: AnswerHead, size: int | None) -> None:
        """Send the head of an answer; `size` is in bytes, None for a stream."""

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Send a part of the body; await the result, if any, for backpressure."""

    def finish_answer(self) -> None:
        """End a complete answer."""

    def abort(self) -> None:
        """End an answer so that the caller recognises it as incomplete."""

    def refuse(self, refusal: verdict.Refusal) -> None:
        """Send a refusal or failure that this system has decided on."""


class WireFormat(typing.Protocol):
    """The headers by which an entry and a backend server communicate."""

    def request_headers(
        self,
        call: request.Call,
        choice: placement.Choice,
        remaining_s: float,
        resume_from: int,
        expect_version: int,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt.

        `resume_from` is the id of the last event that the caller has, 0 for none;
        `expect_version` the version that the server has to hold, 0 for any.
        """

    def read_head(self, head: upstream.Head) -> AnswerHead:
        """Return the head of an answer in its neutral form."""

    def answers(
        self, call: request.Call, headers: typing.Any, *, is_first: bool
    ) -> bool:
        """Return whether an answer with these headers belongs to a call.

        `is_first` is set for the first call of a connection.
        """


class Attempt:
    """One send of a call to one server.

    `last_progress_at` is the time of the last progress: the head of the answer, or a
    part of a signed body that has a Content-Length. Parts of other bodies do not
    count, as such a body may never end. `silent` is whether the lack of progress has
    been reported to `on_silence`, the last time at `silence_reported_at`. Once it has
    ended, `is_complete` tells whether the answer is, and `broken_reason` why not.
    """

    def __init__(
        self,
        wire: WireFormat,
        call: request.Call,
        choice: placement.Choice,
        memory_budget: memory.MemoryBudget | None = None,
    ) -> None:
        """Create an attempt of a call at a chosen server.

        The buffered parts of the answer are reserved in `memory_budget`, until
        `release_memory` is called.
        """
        self._wire = wire
        self.call = call
        self._clock = asyncio.get_running_loop().time
        self.choice = choice
        self.started_at = self._clock()
        self.last_progress_at = self.started_at
        self.head: AnswerHead | None = None
        self.silent = False
        self.silence_reported_at = 0.0
        self.on_silence: Callable[[], None] | None = None
        self.outdated = False
        self.has_body_begun = False
        self.is_complete = False
        self.broken_reason = ''
        self.conn: upstream.Connection | None = None
        self.body: list[bytes] = []
        self.size = 0
        memory_budget = memory_budget or memory.MemoryBudget(MAX_TOTAL_BUFFERED_BYTES)
        self._reservation = memory.Reservation(memory_budget, MAX_BUFFERED_BYTES)
        self.splitter = events.EventSplitter(call.resume_from, memory_budget)
        self._has_known_length = False
        self._unwritten: 'asyncio.Future[None] | None' = None

    def record_progress(self) -> None:
        """Record that the server continues its answer."""
        self.last_progress_at = self._clock()
        self.silent = False

    def on_head(self, head: upstream.Head) -> None:
        """Store the head of the answer, and the load that it states."""
        self.record_progress()
        self.head = self._wire.read_head(head)
        self._has_known_length = self.head.signed and 'Content-Length' in head.headers
        backend = self.choice.backend
        if self.head.load is not None:
            backend.update_load(self.head.load, self.last_progress_at)
        if self.head.slowdown is not None:
            backend.load = backend.load.with_slowdown(
                self.head.slowdown, self.last_progress_at
            )

    def on_body(self, chunk: bytes) -> None:
        """Buffer a part of an answer that is forwarded once it is complete."""
        self.has_body_begun = True
        if self._has_known_length:
            self.record_progress()
        self.size += len(chunk)
        self._reservation.resize(self.size)
        self.body.append(chunk)

    @property
    def has_failed(self) -> bool:
        """Whether the answer reports an error of the server."""
        head = self.head
        return head is not None and (head.status >= 500 or head.misleads_callers)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a signed stream of the media type of its call.

        One that states no media type is, unless the stream began with one.
        """
        head = self.head
        if head is None or not head.signed or not 200 <= head.status < 300:
            return False
        return head.media_type in {self.call.stream_type, events.MEDIA_TYPE}

    def record_ending(self, ending: upstream.Ending, failure: str) -> None:
        """Record how the exchange ended, and whether the answer is complete.

        A stream that ends inside an event has been broken off, even if its framing is
        complete. One that ends with its connection has to end with an event, as nothing
        else tells that it is complete.
        """
        self.is_complete = ending is upstream.Ending.COMPLETE
        self.broken_reason = failure
        if self.is_complete and self._is_torn():
            self.is_complete = False
            self.broken_reason = 'ended by the server inside a stream'

    def _is_torn(self) -> bool:
        head = self.head
        is_stream_route = self.call.route.kind is routes.RouteKind.STREAM
        if head is None or not is_stream_route or not self.is_stream:
            return False
        if head.ends_at_close:
            return not self.splitter.is_between_events
        # Without a media type, only an event tells that a body is a stream.
        is_known_stream = self.splitter.has_event or bool(head.media_type)
        return is_known_stream and self.splitter.is_inside_event

    @property
    def waits_for_caller(self) -> bool:
        """Whether the caller has not read yet what was sent last."""
        return self._unwritten is not None and not self._unwritten.done()

    def track_write(
        self, written: Awaitable[None] | None
    ) -> 'asyncio.Future[None] | None':
        """Count no silence until a part of the answer has been written to the caller.

        Nothing more is received from the server until then.
        """
        if written is None:
            return None
        self._unwritten = asyncio.ensure_future(written)
        self._unwritten.add_done_callback(lambda _: self.record_progress())
        return self._unwritten

    def release_memory(self) -> None:
        """Discard what is buffered, and release what is reserved for it."""
        self.splitter.reset()
        self.body.clear()
        self._reservation.release()

    def report_silence(self, limit_s: float) -> None:
        """Report that the server has made no progress for longer than a limit.

        The attempt goes on, as a sound server may be silent for a while.
        """
        self.silent = True
        self.silence_reported_at = self._clock()
        journal.info(
            'attempt.silent',
            id=self.call.call_id,
            server=self.choice.backend.server_id,
            limit_s=round(limit_s, 2),
            silent_s=round(self._clock() - self.last_progress_at, 2),
        )
        if self.on_silence is not None:
            self.on_silence()

    def abort_blocked(self, part: str) -> None:
        """Close the connection because a part of the call's prompt crashes servers."""
        self.outdated = True
        journal.info(
            'attempt.blocked',
            id=self.call.call_id,
            server=self.choice.backend.server_id,
            part=part,
        )
        if self.conn is not None:
            self.conn.close()

    def abort_outdated(self, required_version: int) -> None:
        """Close the connection because the server's version is too old for the call."""
        self.outdated = True
        journal.info(
            'attempt.outdated',
            id=self.call.call_id,
            server=self.choice.backend.server_id,
            version=self.choice.version,
            required=required_version,
        )
        if self.conn is not None:
            self.conn.close()
