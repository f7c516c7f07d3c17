"""Forwarding: sends a call to backend servers until it has its final answer."""

import asyncio
import dataclasses
import functools
import random
import typing
from collections.abc import Awaitable, Callable

from primrosesaddle.calls import (
    admission,
    attempts,
    backends,
    budget,
    crashwatch,
    draining,
    race,
    refusals,
    request,
    routes,
    targets,
    watcher,
)
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview
from primrosesaddle.net import memory, pool, upstream
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Dependencies', 'Forwarder')

# Longest idle time of a pooled connection that is reused. A call that may not be
# retried gets a new connection: after a reset of a pooled one it would be unknown
# whether the call ran.
MAX_IDLE_NON_REPEATABLE_S = 0.0
MAX_IDLE_REPEATABLE_S = 10.0
MAX_REFUSALS = 3  # servers that may refuse a call before the call is refused
STATUS_MISDIRECTED = 421


SendListener = Callable[[request.Call, backends.Backend], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The components that a forwarder uses.

    `min_version_to_send` returns the lowest version of a model to which a call is
    sent, `min_version_to_begin` the lowest on which a sent call may still begin.
    `ask_loads` asks agents for the load of their servers before a call is placed.
    `answer_bytes` is what buffered answers may use together.
    """

    view: fleetview.View
    backends: backends.Backends
    admission: admission.Admission
    pool: pool.Pool
    retry_budget: budget.RetryBudget
    drain: draining.Drain
    wire: attempts.WireFormat
    metrics: metrics.Metrics
    rand: random.Random
    min_version_to_send: Callable[[str], int]
    min_version_to_begin: Callable[[str], int]
    crash_watch: crashwatch.CrashWatch
    ask_loads: Callable[[request.Call, routes.Service], Awaitable[None]]
    answer_bytes: int = attempts.MAX_TOTAL_BUFFERED_BYTES


class Forwarder:
    """Forwards calls to backend servers, and gives each its final answer."""

    def __init__(self, deps: Dependencies) -> None:
        """Create a forwarder. Its `watcher` has to be run by the caller of this."""
        self._deps = deps
        self._clock = asyncio.get_running_loop().time
        self.watcher = watcher.AttemptWatcher(
            deps.min_version_to_begin,
            self._can_go_elsewhere,
            deps.crash_watch.get_block,
            self._clock,
        )
        self._memory_budget = memory.MemoryBudget(deps.answer_bytes)
        self.in_flight = 0
        # Called with each call just before it is sent, and its server.
        self.send_listeners: list[SendListener] = []

    async def serve(self, call: request.Call, sink: attempts.AnswerSink) -> None:
        """Serve a call until its final answer has been given.

        Cancelling this closes the connection to the server, as when the caller leaves.
        """
        self.in_flight += 1
        try:
            async with self._deps.drain.limit_time(call):
                await self._forward(call, sink)
        except verdict.Refusal as exc:
            self._send_failure(call, sink, exc)
        except TimeoutError:
            self._send_failure(call, sink, refusals.refuse_expired_call(call))
        except asyncio.CancelledError:
            self._log_call(call, 'left', status=0)
            raise
        finally:
            self.in_flight -= 1

    async def _forward(self, call: request.Call, sink: attempts.AnswerSink) -> None:
        """Make attempts until one gives the final answer.

        While an attempt is silent, another one is made beside it. Raises
        `verdict.Refusal` when no further attempt is allowed.
        """
        service = targets.select_service(
            call.route,
            self._deps.view.configuration,
            self._deps.backends,
            self._deps.rand,
            functools.partial(self._deps.admission.may_serve, call),
        )
        contest = race.Race()
        contest.start(self._run_attempt(call, sink, service, contest))
        try:
            while not await contest.wait():
                if contest.is_running:
                    is_wanted = self._may_hedge(call, service, contest)
                else:
                    self._check_retry_allowed(call, service, contest.refusal)
                    is_wanted = True
                if is_wanted:
                    contest.start(self._run_attempt(call, sink, service, contest))
        finally:
            await contest.cancel()

    def _may_hedge(
        self, call: request.Call, service: routes.Service, contest: race.Race
    ) -> bool:
        """Return whether an attempt is made beside those that are all silent."""
        return (
            contest.has_new_silence
            and contest.is_silent
            and call.can_send_again(self._clock())
            and len(call.refused_by) <= MAX_REFUSALS
            and self._deps.retry_budget.has_retry(service.name)
        )

    async def _run_attempt(
        self,
        call: request.Call,
        sink: attempts.AnswerSink,
        service: routes.Service,
        contest: race.Race,
    ) -> bool:
        """Wait for a server, make an attempt there, and return whether it answered.

        Raises `verdict.Refusal` when no server can take the call in time, or a part of
        its prompt is blocked.
        """
        self._deps.crash_watch.check_may_wait(call)
        call.required_version = self._get_required_version(call)
        await self._deps.ask_loads(call, service)
        choice = await self._deps.admission.acquire_slot(call, service)
        call.placement_summary = choice.describe(self._clock())
        call.version = choice.version
        attempt = attempts.Attempt(self._deps.wire, call, choice, self._memory_budget)
        contest.enter(attempt)
        try:
            self._deps.drain.check_admitted(call)
            return await self._make_attempt(attempt, call, sink, contest)
        finally:
            attempt.release_memory()
            self._deps.admission.release(call, choice)

    async def _make_attempt(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        contest: race.Race,
    ) -> bool:
        """Make an attempt, and return whether the call has its final answer."""
        backend = attempt.choice.backend
        conn = await self._connect(attempt, call)
        if conn is None:
            return False
        required_version = self._get_required_version(call)
        if attempt.choice.is_older_than(required_version):
            # A newer version became required while the connection was opened.
            attempt.abort_outdated(required_version)
            self._deps.pool.release(backend.server_id, conn)
            return False
        exclusion = self._deps.admission.explain_exclusion(call, attempt.choice)
        if exclusion or not self._deps.backends.accepts_calls(backend):
            # It has left, asked for no calls, or may get none of this call any more,
            # since the connection began to be opened.
            attempt.broken_reason = exclusion
            self._release_connection(backend, conn)
            self._log_attempt(attempt, call, 'withdrawn')
            return False
        if self._deps.crash_watch.is_withheld(call, backend):
            call.refused_by.append(backend.server_id)
            self._release_connection(backend, conn)
            self._log_attempt(attempt, call, 'withheld')
            return False
        attempt.conn = conn
        on_head = self._make_head_hook(attempt, backend.record.service)
        hooks: attempts.ResponseHooks = (on_head, attempt.on_body)
        if call.route.kind is routes.RouteKind.STREAM:
            hooks = on_head, self._make_stream_hook(attempt, call, sink, contest)
        exchange = upstream.Exchange(
            conn,
            *hooks,
            lambda headers: self._deps.wire.answers(
                call, headers, is_first=conn.sent_count == 1
            ),
        )
        self.watcher.add(attempt)
        try:
            ending = await self._exchange(attempt, call, exchange)
        except asyncio.CancelledError:
            conn.close()
            if contest.is_lost_by(attempt):
                backend.record_outcome(failed=True)
                self._log_attempt(attempt, call, 'overtaken')
            raise
        except verdict.Refusal:
            self._release_connection(backend, conn)
            raise
        except Exception:
            conn.close()
            raise
        finally:
            self.watcher.discard(attempt)
        if ending is upstream.Ending.COMPLETE:
            self._release_connection(backend, conn)
        return self._finish_attempt(attempt, call, sink, contest)

    async def _exchange(
        self, attempt: attempts.Attempt, call: request.Call, exchange: upstream.Exchange
    ) -> upstream.Ending:
        """Send the request of an attempt, and read its answer.

        Raises `verdict.Refusal` if it is not to be sent.
        """
        backend = attempt.choice.backend
        self._deps.crash_watch.check_may_send(call)
        self._count_send(call, backend)
        call.tried.append(backend.server_id)
        for listener in self.send_listeners:
            listener(call, backend)
        exchange.send_request(
            call.method, call.target, self._build_headers(attempt, call), call.body
        )
        ending = await exchange.read_answer()
        attempt.record_ending(ending, exchange.failure)
        self._deps.crash_watch.record_ending(attempt, exchange.ended_by_server)
        return ending

    def _count_send(self, call: request.Call, backend: backends.Backend) -> None:
        """Count a send in the retry budget.

        Raises `verdict.Refusal` if it is a retry, and the budget is used up.
        """
        service_name = backend.record.service
        if call.tried:
            if not self._deps.retry_budget.claim_retry(service_name):
                self._raise_no_budget(call, service_name)
            journal.info('call.repeated', id=call.call_id, server=backend.server_id)
        else:
            self._deps.retry_budget.record_first_send(service_name)

    def _raise_no_budget(
        self, call: request.Call, service_name: str
    ) -> typing.NoReturn:
        journal.info('call.no_budget', id=call.call_id, service=service_name)
        raise refusals.refuse_exhausted_call(call)

    def _can_go_elsewhere(self, attempt: attempts.Attempt) -> bool:
        """Return whether a server that was not tried, and the budget, allow a retry."""
        name = attempt.choice.backend.record.service
        conf = self._deps.view.configuration
        service = None if conf is None else conf.services.get(name)
        return (
            service is not None
            and self._deps.retry_budget.has_retry(name)
            and self._deps.admission.has_server(attempt.call, service)
        )

    async def _connect(
        self, attempt: attempts.Attempt, call: request.Call
    ) -> upstream.Connection | None:
        """Return a connection to the server, None when it is unreachable."""
        backend = attempt.choice.backend
        max_idle_s = (
            MAX_IDLE_REPEATABLE_S
            if call.route.repeatable
            else MAX_IDLE_NON_REPEATABLE_S
        )
        try:
            return await self._deps.pool.acquire(
                backend.server_id, backend.record.address, max_idle_s
            )
        except upstream.Unreachable as exc:
            backend.mark_suspect(self._clock(), str(exc))
            backend.record_outcome(failed=True)
            call.refused_by.append(backend.server_id)
            return None

    def _release_connection(
        self, backend: backends.Backend, conn: upstream.Connection
    ) -> None:
        """Keep an idle connection, unless its server is leaving or gone."""
        if backend.is_removed:
            conn.close()
        else:
            self._deps.pool.release(backend.server_id, conn)

    def _build_headers(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt.

        They fix the version for a chain, and when the required version is known: a
        server that has changed its version since then refuses the call.
        """
        call.required_version = self._get_required_version(call)
        must_match = attempt.choice.chain or 0 < call.required_version <= call.version
        return self._deps.wire.request_headers(
            call,
            attempt.choice,
            call.deadline_at - self._clock(),
            attempt.splitter.last_id,
            call.version if must_match else 0,
        )

    def _get_required_version(self, call: request.Call) -> int:
        """Return the lowest version to which a call may be sent, 0 for any."""
        return self._deps.min_version_to_send(call.model) if call.model else 0

    def _make_head_hook(
        self, attempt: attempts.Attempt, service_name: str
    ) -> Callable[[upstream.Head], None]:
        """Return a hook that reads the head of an answer, and the server's notices."""
        backend = attempt.choice.backend

        def on_head(received: upstream.Head) -> None:
            attempt.on_head(received)
            head = typing.cast(attempts.AnswerHead, attempt.head)
            if head.leaving:
                self._deps.backends.mark_leaving(backend, 'answer')
            if head.quiet_s:
                self._deps.metrics.count('quiet_requests', service=service_name)
                self._deps.backends.request_quiet(backend, head.quiet_s)
                self._deps.admission.refuse_hopeless(service_name)

        return on_head

    def _make_stream_hook(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        contest: race.Race,
    ) -> Callable[[bytes], Awaitable[None] | None]:
        """Return a hook that forwards the complete events of a stream as they arrive.

        The body of any other answer is buffered instead.
        """

        def on_body(chunk: bytes) -> Awaitable[None] | None:
            if not attempt.is_stream:
                attempt.on_body(chunk)
                return None
            attempt.has_body_begun = True
            complete = attempt.splitter.feed(chunk)
            if not complete or not contest.claim(attempt):
                return None
            if call.answer_started:
                pause_s = self._clock() - attempt.last_progress_at
                call.longest_pause_s = max(call.longest_pause_s, pause_s)
            attempt.record_progress()
            attempt.choice.backend.mark_prompt_read(call)
            call.resume_from = attempt.splitter.last_id
            call.version = attempt.choice.version
            self._start_stream(attempt, call, sink)
            return attempt.track_write(sink.write(complete))

        return on_body

    def _start_stream(
        self, attempt: attempts.Attempt, call: request.Call, sink: attempts.AnswerSink
    ) -> None:
        """Send the head of a stream to the caller, if that has not been done."""
        if not call.answer_started and attempt.head is not None:
            call.answer_started = True
            call.stream_type = attempt.head.media_type
            first_s = self._clock() - call.arrived_at
            call.first_event_s = first_s
            started_s = self._clock() - attempt.started_at
            service = attempt.choice.backend.record.service
            self._deps.admission.record_start(service, started_s)
            self._deps.metrics.latency('first_event', str(call.rank), first_s)
            sink.start(attempt.head, None)

    def _finish_attempt(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
        contest: race.Race,
    ) -> bool:
        """Evaluate the end of an attempt; return whether the call is answered."""
        head = attempt.head
        backend = attempt.choice.backend
        if head is None or not attempt.is_complete:
            call.record_verdict(verdict.Verdict.MAY_HAVE_RUN)
            if not attempt.outdated:
                self._record_broken_answer(attempt)
            self._log_attempt(attempt, call, 'broken')
            return False
        if head.not_run:
            call.refused_by.append(backend.server_id)
            faulty = self._deps.backends.get_by_address(head.at_fault) or backend
            if head.status == STATUS_MISDIRECTED or faulty is not backend:
                faulty.mark_suspect(self._clock(), 'not the server or layers expected')
            self._log_attempt(attempt, call, 'refused')
            return False
        if not head.signed:
            call.record_verdict(verdict.Verdict.MAY_HAVE_RUN)
            if not head.quiet_s:
                backend.record_outcome(failed=True)
            self._log_attempt(attempt, call, 'unsigned')
            return False
        call.record_verdict(verdict.Verdict.RAN)
        backend.record_outcome(failed=attempt.has_failed)
        if not self._is_acceptable(attempt, contest):
            self._log_attempt(attempt, call, 'failed')
            return False
        if contest.claim(attempt):
            self._send_answer(attempt, call, sink)
            return True
        return False

    def _is_acceptable(self, attempt: attempts.Attempt, contest: race.Race) -> bool:
        """Return whether a signed answer may be the final one of a call.

        Nothing but a stream may follow a part of a stream, and no caller is promised
        that a call did not run unless its server says so.
        """
        call = attempt.call
        if call.answer_started:
            return attempt.is_stream
        if attempt.head is not None and attempt.head.misleads_callers:
            return False
        may_go_on = call.route.repeatable and (
            contest.has_others(attempt) or call.can_send_again(self._clock())
        )
        return not attempt.has_failed or not may_go_on

    def _record_broken_answer(self, attempt: attempts.Attempt) -> None:
        """Count an incomplete answer as a failure of its server.

        A server that closed the connection before the head becomes suspect.
        """
        backend = attempt.choice.backend
        backend.record_outcome(failed=True)
        if attempt.head is None:
            backend.mark_suspect(self._clock(), 'closed without an answer')

    def _send_answer(
        self,
        attempt: attempts.Attempt,
        call: request.Call,
        sink: attempts.AnswerSink,
    ) -> None:
        """Send the rest of the answer to the caller, and end it."""
        head = typing.cast(attempts.AnswerHead, attempt.head)
        if call.answer_started:
            remainder = attempt.splitter.take_remainder()
            if remainder:
                sink.write(remainder)
        else:
            body = b''.join(attempt.body)
            if call.route.kind is routes.RouteKind.STREAM:
                body += attempt.splitter.take_remainder()
            sink.start(head, len(body))
            if body:
                sink.write(body)
        sink.finish_answer()
        call.is_answered = True
        self._log_call(
            call, 'answered', head.status, server=attempt.choice.backend.server_id
        )

    def _check_retry_allowed(
        self,
        call: request.Call,
        service: routes.Service,
        refusal: verdict.Refusal | None,
    ) -> None:
        """Raise the final refusal unless another attempt is allowed.

        `refusal` is why the last attempt got no server, None if it got one.
        """
        if refusal is not None:
            raise refusal
        self._deps.crash_watch.check_may_repeat(call)
        not_run = call.worst_verdict is verdict.Verdict.NOT_RUN
        if not (not_run or call.route.repeatable):
            raise refusals.refuse_unanswered_call('no_answer')
        was_sent = bool(call.tried)
        allowed = call.can_send_again(self._clock()) if was_sent else True
        if len(call.refused_by) > MAX_REFUSALS or not allowed:
            raise refusals.refuse_exhausted_call(call)
        if was_sent and not self._deps.retry_budget.has_retry(service.name):
            self._raise_no_budget(call, service.name)

    def _send_failure(
        self, call: request.Call, sink: attempts.AnswerSink, refusal: verdict.Refusal
    ) -> None:
        """Give a call its final answer when no server has answered it.

        A refusal that promises that the call did not run is replaced when it may
        have run in an earlier attempt. Nothing is sent if the time limit has passed
        just after the answer.
        """
        if call.is_answered:
            return
        if call.worst_verdict is not verdict.Verdict.NOT_RUN and refusal.retryable:
            refusal = refusals.refuse_unanswered_call(refusal.reason)
        if call.answer_started:
            sink.abort()
            self._log_call(call, 'broken_off', 0, reason=refusal.reason)
            return
        sink.refuse(refusal)
        self._log_call(call, 'refused', refusal.status, reason=refusal.reason)

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
            silent=attempt.silent,
            why=attempt.broken_reason,
        )

    def _log_call(
        self, call: request.Call, outcome: str, status: int, **fields: object
    ) -> None:
        total_s = self._clock() - call.arrived_at
        self._deps.metrics.count('calls', outcome=outcome, rank=str(call.rank))
        self._deps.metrics.latency('call', str(call.rank), total_s)
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
            pause_s=round(call.longest_pause_s, 3),
            placed=call.placement_summary,
            asked=len(call.answers),
            version=call.version,
            required=call.required_version,
            total_s=round(total_s, 3),
            tried=','.join(call.tried),
            verdict=call.worst_verdict.value,
            **fields,
        )
