"""The agent's gate: all work for its server is admitted, queued and run here."""

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

CATCH_UP_S = 1.0
BARRIER_S = 2.0
TOMBSTONES = 16_384
RATE_S = 1.0
RANK_NAMES = ('urgent', 'standard', 'low')


@dataclasses.dataclass(eq=False)
class ScheduledCall:
    """One call at the gate; times are of the monotonic clock."""

    channel: link.Channel
    rid: int
    call: wire.Call
    item: fairqueue.QueuedCall
    sender: answersender.AnswerSender
    received: float
    started: float = 0
    cancelled: bool = False
    slot: 'asyncio.Future[None] | None' = None
    cost: float = 0
    version: str = ''
    span: typing.Any = None
    traceparent: str = ''

    @property
    def rank(self) -> str:
        """Return the name of the call's rank."""
        return RANK_NAMES[self.call.rank]

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the call's deadline."""
        return self.item.deadline - time.monotonic()


RunCall = Callable[[ScheduledCall], Awaitable[None]]
CancelCall = Callable[[ScheduledCall], Coroutine[typing.Any, typing.Any, None]]


@dataclasses.dataclass
class Dependencies:
    """What a gate works with; `run` makes the call, `stop` cancels a running one."""

    members: membertable.MemberTable
    config: replica.CatalogueReplica
    queue: fairqueue.FairQueue
    limit: concurrency.AdaptiveLimit
    metrics: metrics.Metrics
    audit: audit.Chain
    tracer: traces.Tracer
    run: RunCall
    stop: CancelCall


class CallScheduler:
    """Admit, queue, run and account for every call to one server."""

    def __init__(self, parts: Dependencies) -> None:
        """Create a gate over its parts."""
        self._parts = parts
        self._works: dict[tuple[link.Channel, int], ScheduledCall] = {}
        self._by_item: dict[fairqueue.QueuedCall, ScheduledCall] = {}
        self._seen: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self._detector = pause.PauseDetector(time.monotonic())
        self._stale: set[link.Channel] = set()
        self._done_cost = 0.0
        self.leaving = False

    @property
    def load(self) -> wire.Load:
        """Return the load as entries are told it."""
        parts = self._parts
        return wire.Load(
            parts.limit.running,
            len(parts.queue),
            parts.limit.limit,
            parts.queue.cost,
        )

    def accept_call(self, channel: link.Channel, rid: int, call: wire.Call) -> None:
        """Take a call from an entry."""
        self.observe_time()
        now = time.monotonic()
        item = fairqueue.QueuedCall(
            call.call_id,
            call.workspace,
            catalogue.Rank(call.rank),
            call.cost,
            now + call.remaining_ms / 1000,
            max(call.weight, 0.001),
        )
        work = ScheduledCall(
            channel, rid, call, item, answersender.AnswerSender(channel, rid), now
        )
        self._works[channel, rid] = work
        self._by_item[item] = work
        task = asyncio.create_task(self._serve(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_credit(self, channel: link.Channel, rid: int, body: wire.Credit) -> None:
        """Pass on an entry's credit."""
        work = self._works.get((channel, rid))
        if work is not None:
            work.sender.add_credit(body.parts)

    def cancel_call(self, channel: link.Channel, rid: int) -> None:
        """Cancel a call; the answer says whether it had started."""
        work = self._works.get((channel, rid))
        if work is None:
            return
        work.cancelled = True
        if work.slot is not None and not work.slot.done():
            self._parts.queue.remove(work.item)
            work.slot.set_exception(verdict.not_run('cancelled', 499))
        elif work.started:
            self._spawn(self._parts.stop(work))

    def cancel_calls_of(self, peer: peers.Peer) -> None:
        """Cancel the calls of an entry that is gone."""
        for channel, rid in list(self._works):
            if channel is peer.channel:
                self.cancel_call(channel, rid)

    def observe_time(self) -> None:
        """Notice a pause; calls sent before it are then refused."""
        if not self._detector.observe(time.monotonic()):
            return
        journal.warning('gate.resumed', pauses=self._detector.pauses)
        for channel in {peer.channel for peer in self._parts.members.peers.values()}:
            self._stale.add(channel)
            self._spawn(self._lift(channel))

    async def run(self) -> None:
        """Expire late calls and measure the server's rate, until cancelled."""
        measured = time.monotonic()
        while True:
            await asyncio.sleep(pause.TICK_S)
            self.observe_time()
            now = time.monotonic()
            for item in self._parts.queue.remove_expired(now):
                self._refuse_queued(item, verdict.not_run('deadline_passed', 504))
            if now - measured >= RATE_S:
                self._measure_rate(now - measured)
                measured = now
            self._start_next()

    def _measure_rate(self, elapsed_s: float) -> None:
        rate = self._done_cost / elapsed_s
        self._done_cost = 0.0
        if rate and len(self._parts.queue):
            self._parts.queue.observe_rate(rate)

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new work, wait for what was taken; return whether all ended."""
        self.leaving = True
        deadline = time.monotonic() + timeout_s
        while self._works and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return not self._works

    async def _serve(self, work: ScheduledCall) -> None:
        parts = self._parts
        work.span = parts.tracer.start_span(
            'agent.call',
            work.call.traceparent,
            call_id=work.call.call_id,
        )
        try:
            await self._admit_and_run(work)
        except verdict.Refusal as exc:
            self._refuse(work, exc)
        except Exception as exc:
            journal.error('gate.failed', call=work.call.call_id, error=repr(exc))
            started = work.started > 0
            self._refuse(
                work,
                (
                    verdict.may_have_run('internal')
                    if started
                    else verdict.not_run('internal')
                ),
            )
        finally:
            self._forget(work)
            work.span.end()

    def _forget(self, work: ScheduledCall) -> None:
        self._works.pop((work.channel, work.rid), None)
        self._by_item.pop(work.item, None)

    async def _admit_and_run(self, work: ScheduledCall) -> None:
        self._admit(work)
        if not await self._parts.config.wait_for_revision(
            work.call.revision, CATCH_UP_S
        ):
            raise verdict.not_run('revision_not_here', 503, 0.5)
        queue_span = self._parts.tracer.start_span(
            'agent.queue',
            traces.traceparent_of(work.span),
        )
        try:
            await self._wait_for_slot(work)
        finally:
            queue_span.end()
        self._parts.metrics.latency(
            'queue', work.rank, time.monotonic() - work.received
        )
        work.started = time.monotonic()
        parent = traces.traceparent_of(work.span)
        server_span = self._parts.tracer.start_span('agent.server', parent)
        work.traceparent = traces.traceparent_of(server_span)
        try:
            await self._run(work)
        finally:
            server_span.end()
            self._finish(work)
        self._account(work)

    async def _run(self, work: ScheduledCall) -> None:
        if work.cancelled:
            raise verdict.not_run('cancelled', 499)
        await self._parts.run(work)

    def _admit(self, work: ScheduledCall) -> None:
        call = work.call
        if call.incarnation != self._parts.members.card.incarnation:
            raise verdict.not_run('server_was_replaced')
        if work.channel in self._stale:
            raise verdict.not_run('woke_late')
        if self.leaving:
            raise verdict.not_run('server_leaving')
        if call.call_id in self._seen:
            raise verdict.may_have_run('attempt_seen_before', 409)
        self._seen[call.call_id] = None
        if len(self._seen) > TOMBSTONES:
            self._seen.popitem(last=False)
        if call.remaining_ms <= 0:
            raise verdict.not_run('deadline_passed', 504)

    async def _wait_for_slot(self, work: ScheduledCall) -> None:
        if work.cancelled:
            raise verdict.not_run('cancelled', 499)
        work.slot = asyncio.get_running_loop().create_future()
        for victim in self._parts.queue.enqueue(work.item, time.monotonic()):
            refusal = verdict.not_run('displaced_by_urgent_work', 503, 1)
            self._refuse_queued(victim, refusal)
        self._start_next()
        await work.slot

    def _start_next(self) -> None:
        parts = self._parts
        while True:
            item = parts.queue.pop_next(parts.limit.can_start)
            if item is None:
                return
            work = self._by_item.get(item)
            if work is None or work.slot is None or work.slot.done():
                continue
            if item.deadline <= time.monotonic():
                work.slot.set_exception(verdict.not_run('deadline_passed', 504))
                continue
            parts.limit.record_start(item.rank)
            work.slot.set_result(None)

    def _finish(self, work: ScheduledCall) -> None:
        parts = self._parts
        parts.limit.record_end(work.item.rank)
        cost = work.cost or work.item.cost
        parts.queue.charge_actual_cost(work.item, cost)
        self._done_cost += cost
        elapsed = time.monotonic() - work.started
        parts.limit.observe_latency(elapsed / max(cost, 1))
        parts.metrics.latency('server', work.rank, elapsed)
        self._start_next()

    def _account(self, work: ScheduledCall) -> None:
        parts = self._parts
        parts.metrics.count('answers', rank=work.rank)
        parts.audit.record(
            'answer',
            call=work.call.call_id,
            workspace=work.call.workspace,
            target=work.call.target,
            version=work.version,
            rank=work.rank,
            revision=parts.config.revision,
            cost=round(work.cost, 1),
            trace=traces.trace_id_of(work.span),
        )

    def _refuse_queued(self, item: fairqueue.QueuedCall, exc: verdict.Refusal) -> None:
        work = self._by_item.get(item)
        if work is not None and work.slot is not None and not work.slot.done():
            work.slot.set_exception(exc)

    def _refuse(self, work: ScheduledCall, exc: verdict.Refusal) -> None:
        work.sender.reply(
            wire.Refused(
                exc.verdict.value,
                exc.reason,
                exc.status,
                exc.retry_after_s,
            )
        )
        parts = self._parts
        parts.metrics.count('refusals', reason=exc.reason, verdict=exc.verdict.value)
        parts.audit.record(
            'refusal',
            call=work.call.call_id,
            workspace=work.call.workspace,
            target=work.call.target,
            verdict=exc.verdict.value,
            reason=exc.reason,
            revision=parts.config.revision,
            trace=traces.trace_id_of(work.span),
        )

    async def _lift(self, channel: link.Channel) -> None:
        try:
            await self._parts.config.pull_or_raise(channel, BARRIER_S)
        except (TimeoutError, link.ChannelClosed):
            return
        self._stale.discard(channel)

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
