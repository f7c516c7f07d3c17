"""The relay: takes one call from its head to its final answer."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Awaitable, Callable

from primrosesaddle.calls import (
    admission,
    attempts,
    backends,
    budget,
    events,
    refusals,
    request,
    routes,
    targets,
    watcher,
)
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview
from primrosesaddle.net import held, pool, upstream
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Dependencies', 'Forwarder')

# A non-idempotent call takes a new connection: a reset of a kept one would leave open
# whether it ran. Others ride one that idled no longer than this.
UNSAFE_IDLE_S = 0.0
SAFE_IDLE_S = 10.0
MAX_REFUSALS = 3  # servers that refuse a call before it is refused
STATUS_MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a relay works with.

    `required` gives the least version of a model on which a call is sent, `overdue`
    the least on which one that was sent may still begin.
    """

    view: fleetview.View
    backends: backends.Backends
    admission: admission.Admission
    pool: pool.Pool
    retry_budget: budget.RetryBudget
    wire: attempts.WireFormat
    metrics: metrics.Metrics
    rand: random.Random
    required: Callable[[str], int]
    min_version_to_begin: Callable[[str], int]


class Forwarder:
    """Relay calls to backend servers, and give each its final answer."""

    def __init__(self, parts: Dependencies) -> None:
        """Create a relay."""
        self._parts = parts
        self._clock = asyncio.get_running_loop().time
        self.watcher = watcher.AttemptWatcher(parts.min_version_to_begin, self._clock)
        self._space = held.Space(attempts.MAX_TOTAL_BUFFERED_BYTES)
        self.in_flight = 0

    async def serve(self, call: request.Call, sink: attempts.AnswerSink) -> None:
        """Serve a call until its final answer is given.

        Cancelling this ends the work at the server, as when the caller left.
        """
        self.in_flight += 1
        cutter = events.EventSplitter(call.resume_from, self._space)
        try:
            async with asyncio.timeout_at(call.deadline_at):
                await self._serve(call, sink, cutter)
        except verdict.Refusal as exc:
            self._fail(call, sink, exc)
        except TimeoutError:
            self._fail(call, sink, refusals.refuse_expired_call(call))
        except asyncio.CancelledError:
            self._log(call, 'left', status=0)
            raise
        finally:
            cutter.reset()
            self.in_flight -= 1

    async def _serve(
        self,
        call: request.Call,
        sink: attempts.AnswerSink,
        cutter: events.EventSplitter,
    ) -> None:
        service = targets.select_service(
            call.route,
            self._parts.view.configuration,
            self._parts.backends,
            self._parts.rand,
        )
        while True:
            call.required = self._required(call)
            choice = await self._parts.admission.acquire_slot(call, service)
            call.placement_summary = choice.describe(self._clock())
            call.version = choice.version
            attempt = attempts.Attempt(self._parts.wire, call, choice, self._space)
            try:
                done = await self._run(attempt, call, sink, cutter, service)
            finally:
                attempt.reservation.release()
                self._parts.admission.release(call, choice)
            if done:
                return
            self._check_repeat(call, service)

    async def _run(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        cutter: events.EventSplitter,
        service: routes.Service,
    ) -> bool:
        """Make one attempt, and return whether the call has its final answer."""
        backend = attempt.choice.backend
        conn = await self._connect(attempt, call)
        if conn is None:
            return False
        required = self._required(call)
        if attempt.choice.is_older_than(required):
            # A newer one became required while the connection was opened.
            attempt.abort_outdated(required)
            self._parts.pool.release(backend.server_id, conn)
            return False
        attempt.conn = conn
        attempt.sent = True
        if call.tried:
            journal.info('call.repeated', id=call.call_id, server=backend.server_id)
        else:
            self._parts.retry_budget.record_first_send(service.name)
        call.tried.append(backend.server_id)
        hooks: attempts.ResponseHooks = (attempt.on_head, attempt.on_body)
        if call.route.kind is routes.RouteKind.STREAM:
            hooks = self._stream_hooks(attempt, call, sink, cutter)
        exchange = upstream.Exchange(
            conn,
            *hooks,
            lambda headers: self._parts.wire.answers(call, headers),
        )
        self.watcher.add(attempt)
        try:
            exchange.send(
                call.method,
                call.target,
                self._headers(attempt, call, cutter),
                call.body,
            )
            ending = await exchange.read()
            attempt.broken_reason = exchange.why
        except asyncio.CancelledError:
            conn.close()
            raise
        finally:
            self.watcher.discard(attempt)
        if ending is upstream.Ending.WHOLE:
            self._parts.pool.release(backend.server_id, conn)
        return self._settle(attempt, call, sink, cutter, ending)

    async def _connect(
        self, attempt: attempts.Attempt, call: request.Call
    ) -> upstream.Connection | None:
        backend = attempt.choice.backend
        max_idle_s = SAFE_IDLE_S if call.route.repeatable else UNSAFE_IDLE_S
        try:
            return await self._parts.pool.acquire(
                backend.server_id, backend.record.address, max_idle_s
            )
        except upstream.Unreachable as exc:
            backend.mark_suspect(self._clock(), str(exc))
            backend.record_outcome(failed=True)
            call.refused_by.append(backend.server_id)
            return None

    def _headers(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        cutter: events.EventSplitter,
    ) -> list[tuple[str, str]]:
        call.required = self._required(call)
        must_match = attempt.choice.chain or 0 < call.required <= call.version
        return self._parts.wire.request_headers(
            call,
            attempt.choice,
            call.deadline_at - self._clock(),
            cutter.last_id,
            call.version if must_match else 0,
        )

    def _required(self, call: request.Call) -> int:
        """Return the least version that a call may begin on, 0 when any may."""
        return self._parts.required(call.model) if call.model else 0

    def _stream_hooks(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        cutter: events.EventSplitter,
    ) -> attempts.ResponseHooks:
        """Return hooks that pass the whole events of a stream on as they come."""
        cutter.reset()

        def on_body(chunk: bytes) -> Awaitable[None] | None:
            head = attempt.head
            if head is None or not head.signed or head.status >= 300:
                attempt.on_body(chunk)
                return None
            attempt.has_body_begun = True
            whole = cutter.feed(chunk)
            if not whole:
                return None
            attempt.last_progress_at = self._clock()
            attempt.choice.backend.mark_prompt_read(call)
            self._start_stream(attempt, call, sink)
            return sink.write(whole)

        return attempt.on_head, on_body

    def _start_stream(
        self, attempt: attempts.Attempt, call: request.Call, sink: attempts.AnswerSink
    ) -> None:
        if not call.answer_started and attempt.head is not None:
            call.answer_started = True
            first_s = self._clock() - call.arrived_at
            call.first_event_s = first_s
            started_s = self._clock() - attempt.started_at
            service = attempt.choice.backend.record.service
            self._parts.admission.record_start(service, started_s)
            self._parts.metrics.latency('first_event', str(call.rank), first_s)
            sink.start(attempt.head, None)

    def _settle(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        cutter: events.EventSplitter,
        ending: upstream.Ending,
    ) -> bool:
        head = attempt.head
        backend = attempt.choice.backend
        if ending is upstream.Ending.BROKEN or head is None:
            call.note(verdict.Verdict.MAY_HAVE_RUN)
            if not attempt.outdated:
                self._blame(attempt)
            self._log_attempt(attempt, call, 'broken')
            return False
        if head.not_run:
            call.refused_by.append(backend.server_id)
            faulty = self._parts.backends.get_by_address(head.at_fault) or backend
            if head.status == STATUS_MISDIRECTED or faulty is not backend:
                faulty.mark_suspect(self._clock(), 'not the server or layers expected')
            self._log_attempt(attempt, call, 'refused')
            return False
        if not head.signed:
            call.note(verdict.Verdict.MAY_HAVE_RUN)
            backend.record_outcome(failed=True)
            self._log_attempt(attempt, call, 'unsigned')
            return False
        call.note(verdict.Verdict.RAN)
        failed = head.status >= 500
        backend.record_outcome(failed=failed)
        if failed and call.route.repeatable and call.can_send_again(self._clock()):
            self._log_attempt(attempt, call, 'failed')
            return False
        self._answer(attempt, call, sink, cutter)
        return True

    def _blame(self, attempt: attempts.Attempt) -> None:
        """Count a broken answer against its server."""
        backend = attempt.choice.backend
        backend.record_outcome(failed=True)
        if not attempt.stalled and attempt.head is None:
            backend.mark_suspect(self._clock(), 'closed without an answer')

    def _answer(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        cutter: events.EventSplitter,
    ) -> None:
        head = typing.cast(attempts.AnswerHead, attempt.head)
        if call.answer_started:
            rest = cutter.take_remainder()
            if rest:
                sink.write(rest)
        else:
            body = b''.join(attempt.body)
            if call.route.kind is routes.RouteKind.STREAM:
                body += cutter.take_remainder()
            sink.start(head, len(body))
            if body:
                sink.write(body)
        sink.finish_answer()
        self._log(
            call, 'answered', head.status, server=attempt.choice.backend.server_id
        )

    def _check_repeat(self, call: request.Call, service: routes.Service) -> None:
        """Raise the final refusal unless the call may be sent again."""
        not_run = call.worst_verdict is verdict.Verdict.NOT_RUN
        if not (not_run or call.route.repeatable):
            raise refusals.refuse_unanswered_call('no_answer')
        sent = bool(call.tried)
        allowed = call.can_send_again(self._clock()) if sent else True
        if len(call.refused_by) > MAX_REFUSALS or not allowed:
            raise refusals.refuse_exhausted_call(call)
        if sent and not self._parts.retry_budget.claim_retry(service.name):
            journal.info('call.no_budget', id=call.call_id, service=service.name)
            raise refusals.refuse_exhausted_call(call)

    def _fail(
        self, call: request.Call, sink: attempts.AnswerSink, refusal: verdict.Refusal
    ) -> None:
        if call.worst_verdict is not verdict.Verdict.NOT_RUN and refusal.retryable:
            refusal = refusals.refuse_unanswered_call(refusal.reason)
        if call.answer_started:
            sink.abort()
            self._log(call, 'broken_off', 0, reason=refusal.reason)
            return
        sink.refuse(refusal)
        self._log(call, 'refused', refusal.status, reason=refusal.reason)

    def _log_attempt(
        self, attempt: attempts.Attempt, call: request.Call, outcome: str
    ) -> None:
        head = attempt.head
        journal.info(
            f'attempt.{outcome}',
            id=call.call_id,
            server=attempt.choice.backend.server_id,
            status=head.status if head else 0,
            after_s=round(self._clock() - attempt.started_at, 3),
            stalled=attempt.stalled,
            why=attempt.broken_reason,
        )

    def _log(
        self, call: request.Call, outcome: str, status: int, **more: object
    ) -> None:
        total_s = self._clock() - call.arrived_at
        self._parts.metrics.count('calls', outcome=outcome, rank=str(call.rank))
        self._parts.metrics.latency('call', str(call.rank), total_s)
        journal.info(
            f'call.{outcome}',
            id=call.call_id,
            status=status,
            route=call.route.name,
            workspace=call.workspace,
            rank=call.rank,
            configuration=call.configuration,
            spent_s=round(call.spent_s, 3),
            held_s=round(call.queued_s, 3),
            first_s=round(call.first_event_s, 3),
            placed=call.placement_summary,
            version=call.version,
            required=call.required,
            total_s=round(total_s, 3),
            tried=','.join(call.tried),
            verdict=call.worst_verdict.value,
            **more,
        )
