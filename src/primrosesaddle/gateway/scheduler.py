"""Scheduler of an agent: admits, queues and runs all calls to its server."""

import asyncio
import collections
import dataclasses
import time
import typing
from collections.abc import Awaitable, Callable, Coroutine

from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import pause, verdict
from primrosesaddle.gateway import answersender, concurrency, fairqueue
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import audit, journal, metrics, traces

__all__ = ('CallScheduler', 'Dependencies', 'ScheduledCall')

REVISION_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 2.0
MAX_REMEMBERED_CALL_IDS = 16_384
RATE_INTERVAL_S = 1.0
RANK_NAMES = ('urgent', 'standard', 'low')


@dataclasses.dataclass(eq=False)
class ScheduledCall:
    """One call of an entry, from its arrival to its last answer.

    `channel` and `rid` are the connection and the request number that the answer is
    sent to. Times are in seconds of the monotonic clock; `started_at` is 0 until the
    call runs. `slot_future` resolves when the call may run. `cost` is the actual
    cost in tokens, 0 until it is known.
    """

    channel: link.Channel
    rid: int
    call: wire.Call
    queued: fairqueue.QueuedCall
    sender: answersender.AnswerSender
    received_at: float
    started_at: float = 0
    cancelled: bool = False
    slot_future: 'asyncio.Future[None] | None' = None
    cost: float = 0
    version: str = ''
    span: typing.Any = None
    traceparent: str = ''

    @property
    def rank(self) -> str:
        """Return the name of the rank, for metrics and audit records."""
        return RANK_NAMES[self.call.rank]

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the call's deadline."""
        return self.queued.deadline - time.monotonic()


RunCall = Callable[[ScheduledCall], Awaitable[None]]
CancelCall = Callable[[ScheduledCall], Coroutine[typing.Any, typing.Any, None]]


@dataclasses.dataclass
class Dependencies:
    """What a scheduler uses; `cancel_call` cancels a call that is running."""

    members: membertable.MemberTable
    config: replica.CatalogueReplica
    queue: fairqueue.FairQueue
    limit: concurrency.AdaptiveLimit
    metrics: metrics.Metrics
    audit: audit.Chain
    tracer: traces.Tracer
    run_call: RunCall
    cancel_call: CancelCall


class CallScheduler:
    """Admit, queue, run and record every call to one server.

    A call is refused with `not_run` unless it is meant for this incarnation of the
    agent, its deadline is ahead and its catalogue revision is in force here.
    """

    def __init__(self, deps: Dependencies) -> None:
        """Create a scheduler without calls."""
        self._deps = deps
        self._calls: dict[tuple[link.Channel, int], ScheduledCall] = {}
        self._by_queued: dict[fairqueue.QueuedCall, ScheduledCall] = {}
        self._accepted_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._pause_detector = pause.PauseDetector(time.monotonic())
        self._stale_channels: set[link.Channel] = set()
        self._finished_cost = 0.0
        self.leaving = False

    @property
    def load(self) -> wire.Load:
        """Return the load that is reported to entries."""
        deps = self._deps
        return wire.Load(
            deps.limit.running,
            len(deps.queue),
            deps.limit.limit,
            deps.queue.cost,
        )

    def accept_call(self, channel: link.Channel, rid: int, call: wire.Call) -> None:
        """Start a task that queues and runs a call from an entry."""
        self.observe_time()
        now = time.monotonic()
        queued = fairqueue.QueuedCall(
            call.call_id,
            call.workspace,
            catalogue.Rank(call.rank),
            call.cost,
            now + call.remaining_ms / 1000,
            max(call.weight, 0.001),
        )
        scheduled = ScheduledCall(
            channel, rid, call, queued, answersender.AnswerSender(channel, rid), now
        )
        self._calls[channel, rid] = scheduled
        self._by_queued[queued] = scheduled
        task = asyncio.create_task(self._handle(scheduled))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_credit(self, channel: link.Channel, rid: int, body: wire.Credit) -> None:
        """Allow the answer to a call more parts, as an entry permits."""
        scheduled = self._calls.get((channel, rid))
        if scheduled is not None:
            scheduled.sender.add_credit(body.parts)

    def cancel_call(self, channel: link.Channel, rid: int) -> None:
        """Cancel a call; its refusal tells the entry whether it had started."""
        scheduled = self._calls.get((channel, rid))
        if scheduled is None:
            return
        scheduled.cancelled = True
        if scheduled.slot_future is not None and not scheduled.slot_future.done():
            self._deps.queue.remove(scheduled.queued)
            scheduled.slot_future.set_exception(verdict.not_run('cancelled', 499))
        elif scheduled.started_at:
            self._start_task(self._deps.cancel_call(scheduled))

    def cancel_calls_of(self, peer: peers.Peer) -> None:
        """Cancel all calls of an entry whose connection is lost."""
        for channel, rid in list(self._calls):
            if channel is peer.channel:
                self.cancel_call(channel, rid)

    def observe_time(self) -> None:
        """Check whether the process was paused since the last reading.

        After a pause the calls of every channel are refused until a request on it
        was answered, because they may have been sent before the pause.
        """
        if not self._pause_detector.observe(time.monotonic()):
            return
        journal.warning('gate.resumed', pauses=self._pause_detector.pauses)
        for channel in {peer.channel for peer in self._deps.members.peers.values()}:
            self._stale_channels.add(channel)
            self._start_task(self._confirm_channel(channel))

    async def run(self) -> None:
        """Refuse expired calls and measure the server's rate, until cancelled."""
        measured_at = time.monotonic()
        while True:
            await asyncio.sleep(pause.TICK_S)
            self.observe_time()
            now = time.monotonic()
            for queued in self._deps.queue.remove_expired(now):
                self._refuse_queued(queued, verdict.not_run('deadline_passed', 504))
            if now - measured_at >= RATE_INTERVAL_S:
                self._report_rate(now - measured_at)
                measured_at = now
            self._start_next()

    def _report_rate(self, elapsed_s: float) -> None:
        """Report the rate of served cost to the queue, unless no call waits."""
        rate = self._finished_cost / elapsed_s
        self._finished_cost = 0.0
        if rate and len(self._deps.queue):
            self._deps.queue.observe_rate(rate)

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new calls and wait for the accepted ones.

        Return whether all ended within `timeout_s`.
        """
        self.leaving = True
        deadline = time.monotonic() + timeout_s
        while self._calls and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return not self._calls

    async def _handle(self, scheduled: ScheduledCall) -> None:
        """Run a call from admission to its answer or refusal."""
        deps = self._deps
        scheduled.span = deps.tracer.start_span(
            'agent.call',
            scheduled.call.traceparent,
            call_id=scheduled.call.call_id,
        )
        try:
            await self._admit_and_run(scheduled)
        except verdict.Refusal as exc:
            self._refuse(scheduled, exc)
        except Exception as exc:
            journal.error('gate.failed', call=scheduled.call.call_id, error=repr(exc))
            started = scheduled.started_at > 0
            self._refuse(
                scheduled,
                (
                    verdict.may_have_run('internal')
                    if started
                    else verdict.not_run('internal')
                ),
            )
        finally:
            self._remove(scheduled)
            scheduled.span.end()

    def _remove(self, scheduled: ScheduledCall) -> None:
        self._calls.pop((scheduled.channel, scheduled.rid), None)
        self._by_queued.pop(scheduled.queued, None)

    async def _admit_and_run(self, scheduled: ScheduledCall) -> None:
        self._check_admissible(scheduled)
        if not await self._deps.config.wait_for_revision(
            scheduled.call.revision, REVISION_TIMEOUT_S
        ):
            raise verdict.not_run('revision_not_here', 503, 0.5)
        queue_span = self._deps.tracer.start_span(
            'agent.queue',
            traces.traceparent_of(scheduled.span),
        )
        try:
            await self._wait_for_slot(scheduled)
        finally:
            queue_span.end()
        self._deps.metrics.latency(
            'queue', scheduled.rank, time.monotonic() - scheduled.received_at
        )
        scheduled.started_at = time.monotonic()
        parent = traces.traceparent_of(scheduled.span)
        server_span = self._deps.tracer.start_span('agent.server', parent)
        scheduled.traceparent = traces.traceparent_of(server_span)
        try:
            await self._run_call(scheduled)
        finally:
            server_span.end()
            self._release_slot(scheduled)
        self._record_answer(scheduled)

    async def _run_call(self, scheduled: ScheduledCall) -> None:
        if scheduled.cancelled:
            raise verdict.not_run('cancelled', 499)
        await self._deps.run_call(scheduled)

    def _check_admissible(self, scheduled: ScheduledCall) -> None:
        """Raise `Refusal` if a call must not run here, else remember its id.

        The newest `MAX_REMEMBERED_CALL_IDS` ids are remembered, so that a repeated
        attempt is refused.
        """
        call = scheduled.call
        if call.incarnation != self._deps.members.card.incarnation:
            raise verdict.not_run('server_was_replaced')
        if scheduled.channel in self._stale_channels:
            raise verdict.not_run('woke_late')
        if self.leaving:
            raise verdict.not_run('server_leaving')
        if call.call_id in self._accepted_ids:
            raise verdict.may_have_run('attempt_seen_before', 409)
        self._accepted_ids[call.call_id] = None
        if len(self._accepted_ids) > MAX_REMEMBERED_CALL_IDS:
            self._accepted_ids.popitem(last=False)
        if call.remaining_ms <= 0:
            raise verdict.not_run('deadline_passed', 504)

    async def _wait_for_slot(self, scheduled: ScheduledCall) -> None:
        """Queue a call and return when it may run.

        Raises `Refusal` when it is refused, cancelled, displaced or expires first.
        """
        if scheduled.cancelled:
            raise verdict.not_run('cancelled', 499)
        scheduled.slot_future = asyncio.get_running_loop().create_future()
        for displaced in self._deps.queue.enqueue(scheduled.queued, time.monotonic()):
            refusal = verdict.not_run('displaced_by_urgent_work', 503, 1)
            self._refuse_queued(displaced, refusal)
        self._start_next()
        await scheduled.slot_future

    def _start_next(self) -> None:
        """Start queued calls as long as the concurrency limit admits them."""
        deps = self._deps
        while True:
            queued = deps.queue.pop_next(deps.limit.can_start)
            if queued is None:
                return
            scheduled = self._by_queued.get(queued)
            if (
                scheduled is None
                or scheduled.slot_future is None
                or scheduled.slot_future.done()
            ):
                continue
            if queued.deadline <= time.monotonic():
                scheduled.slot_future.set_exception(
                    verdict.not_run('deadline_passed', 504)
                )
                continue
            deps.limit.record_start(queued.rank)
            scheduled.slot_future.set_result(None)

    def _release_slot(self, scheduled: ScheduledCall) -> None:
        """Record the end of a call that ran, with its cost, and start the next."""
        deps = self._deps
        deps.limit.record_end(scheduled.queued.rank)
        cost = scheduled.cost or scheduled.queued.cost
        deps.queue.charge_actual_cost(scheduled.queued, cost)
        self._finished_cost += cost
        elapsed_s = time.monotonic() - scheduled.started_at
        deps.limit.observe_latency(elapsed_s / max(cost, 1))
        deps.metrics.latency('server', scheduled.rank, elapsed_s)
        self._start_next()

    def _record_answer(self, scheduled: ScheduledCall) -> None:
        deps = self._deps
        deps.metrics.count('answers', rank=scheduled.rank)
        deps.audit.record(
            'answer',
            call=scheduled.call.call_id,
            workspace=scheduled.call.workspace,
            target=scheduled.call.target,
            version=scheduled.version,
            rank=scheduled.rank,
            revision=deps.config.revision,
            cost=round(scheduled.cost, 1),
            trace=traces.trace_id_of(scheduled.span),
        )

    def _refuse_queued(
        self, queued: fairqueue.QueuedCall, exc: verdict.Refusal
    ) -> None:
        scheduled = self._by_queued.get(queued)
        if (
            scheduled is not None
            and scheduled.slot_future is not None
            and not scheduled.slot_future.done()
        ):
            scheduled.slot_future.set_exception(exc)

    def _refuse(self, scheduled: ScheduledCall, exc: verdict.Refusal) -> None:
        scheduled.sender.reply(
            wire.Refused(
                exc.verdict.value,
                exc.reason,
                exc.status,
                exc.retry_after_s,
            )
        )
        deps = self._deps
        deps.metrics.count('refusals', reason=exc.reason, verdict=exc.verdict.value)
        deps.audit.record(
            'refusal',
            call=scheduled.call.call_id,
            workspace=scheduled.call.workspace,
            target=scheduled.call.target,
            verdict=exc.verdict.value,
            reason=exc.reason,
            revision=deps.config.revision,
            trace=traces.trace_id_of(scheduled.span),
        )

    async def _confirm_channel(self, channel: link.Channel) -> None:
        """Accept calls of a channel again once a request on it was answered.

        The answer shows that everything sent before the pause has been received.
        """
        try:
            await self._deps.config.pull_or_raise(channel, CONFIRM_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return
        self._stale_channels.discard(channel)

    def _start_task(self, coro: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
