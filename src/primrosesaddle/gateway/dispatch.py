"""Dispatch of calls by an entry: choice of an agent, relay of the answer, retries.

A call is retried only when it did not run, or when running it again does no harm.
"""

import asyncio
import collections
import dataclasses
import random
import time
import typing

from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import verdict
from primrosesaddle.gateway import answersender, atmostonce, requests, router
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import metrics, traces

__all__ = ('AnswerSink', 'CallDispatcher', 'Outcome')

CANCEL_TIMEOUT_S = 0.4
DEADLINE_GRACE_S = 0.05
CREDIT_STEP_PARTS = answersender.CREDIT_WINDOW_PARTS // 4
MAX_ATTEMPTS = 4
QUERY_TIMEOUT_S = 1.0
MAX_RETRY_PAUSE_S = 0.02


class AnswerSink(typing.Protocol):
    """What an answer is written to."""

    async def write_head(self, head: wire.AnswerHead) -> None:
        """Accept status and headers of an answer."""

    async def write_part(self, body: bytes) -> None:
        """Write a part of the body; return when the caller can receive more."""

    def discard_parts(self) -> None:
        """Drop the parts received so far, before another attempt."""


@dataclasses.dataclass
class Outcome:
    """Progress of the answer to a call over all of its attempts.

    `may_have_run` is true once an attempt failed that may have run.
    """

    server: str = ''
    version: str = ''
    head: wire.AnswerHead | None = None
    tokens: int = 0
    size_bytes: int = 0
    may_have_run: bool = False


class CallDispatcher:
    """Send calls to agents and relay their answers."""

    def __init__(
        self,
        members: membertable.MemberTable,
        conf: replica.CatalogueReplica,
        forward_log: atmostonce.ForwardLog,
        counters: metrics.Metrics,
        tracer: traces.Tracer,
        rand: random.Random,
    ) -> None:
        """Create the dispatcher of an entry."""
        self._members = members
        self._config = conf
        self._forward_log = forward_log
        self._metrics = counters
        self._tracer = tracer
        self._rand = rand
        self._in_flight: collections.Counter[str] = collections.Counter()
        self.outliers = router.OutlierDetector()
        self.retry_budget = router.RetryBudget()

    async def relay_chat(self, req: requests.Request, sink: AnswerSink) -> Outcome:
        """Relay a chat completion; resume it at another server if one is lost.

        Raises `Refusal` when there is no complete answer.
        """
        model = self._model_of(req.target)
        return await self._try_servers(req, sink, resumes=model.engine.resumes)

    async def relay_idempotent(
        self, req: requests.Request, sink: AnswerSink
    ) -> Outcome:
        """Relay a call to a plain service that may be repeated.

        Raises `Refusal` when there is no complete answer.
        """
        return await self._try_servers(req, sink, resumes=False)

    async def relay_at_most_once(
        self,
        req: requests.Request,
        entry: catalogue.PlainService,
        sink: AnswerSink,
    ) -> Outcome:
        """Relay a call that must not be repeated to the owner of its key.

        A request without a key gets a new ticket as its key. Raises `Refusal` when
        there is no complete answer.
        """
        if not req.key:
            req.key = self._new_key(req)
        owner = atmostonce.key_owner_of(req.key, entry.servers)
        peer = self._owner_peer(req, owner)
        if peer is None:
            raise await self._refusal_without_owner(req)
        now = time.monotonic()
        self._forward_log.record_forward(
            req.key, peer.card.name, peer.card.incarnation, now
        )
        outcome = Outcome()
        try:
            await self._attempt(req, peer, sink, outcome)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                self._forward_log.undo_forward(req.key)
            raise
        return outcome

    def make_ticket(self, service: str) -> atmostonce.Ticket:
        """Return a new ticket for one of the live servers of a service.

        Raises `Refusal` when there is none.
        """
        peers = self._live_peers(service)
        if not peers:
            raise verdict.not_run('no_server_lives', 503, 1)
        card = self._rand.choice(peers).card
        nonce = f'{self._rand.getrandbits(96):024x}'
        return atmostonce.Ticket(card.name, card.incarnation, nonce)

    def answer_prior_keys(
        self,
        channel: link.Channel,
        rid: int,
        query: wire.PriorKeysRequest,
        owners: str,
    ) -> None:
        """Report to an owner which keys of its service were sent to other owners.

        `owners` is the digest of the owners that this entry uses. An owner that uses
        others, or that it does not know under this channel, is told to ask again.
        """
        peer = self._members.find_by_channel(channel)
        if peer is None or query.owners_digest != owners:
            channel.send(wire.YesNo(yes=False), rid, reply=True)
            return
        keys = self._forward_log.keys_sent_elsewhere(
            f'/{query.service}/',
            peer.card.name,
            peer.card.incarnation,
        )
        channel.send(wire.ForwardedKeys(keys), rid, reply=True)

    def answer_forwarded(
        self,
        channel: link.Channel,
        rid: int,
        query: wire.WasForwardedRequest,
    ) -> None:
        """Report to another entry whether this one forwarded a key."""
        channel.send(
            wire.YesNo(self._forward_log.was_forwarded(query.key)), rid, reply=True
        )

    def forget_peer(self, peer: peers.Peer) -> None:
        """Remove the results of an agent that left."""
        self.outliers.forget_server(peer.card.name)

    async def _try_servers(
        self,
        req: requests.Request,
        sink: AnswerSink,
        *,
        resumes: bool,
    ) -> Outcome:
        outcome = Outcome()
        tried: set[str] = set()
        self.retry_budget.record_call()
        while True:
            peer = self._choose_peer(req, tried, outcome)
            tried.add(peer.card.name)
            try:
                await self._attempt(req, peer, sink, outcome)
            except verdict.Refusal as exc:
                self._decide_retry(req, exc, outcome, resumes=resumes)
                await asyncio.sleep(self._rand.uniform(0, MAX_RETRY_PAUSE_S))
            else:
                return outcome

    def _decide_retry(
        self,
        req: requests.Request,
        exc: verdict.Refusal,
        outcome: Outcome,
        *,
        resumes: bool,
    ) -> None:
        """Return if the call is to be tried again, else raise the final refusal."""
        outcome.may_have_run = outcome.may_have_run or not exc.retryable
        partly_streamed = req.stream and outcome.size_bytes > 0
        is_final = (
            exc.status in {400, 404, 422, 499, 504}
            or (partly_streamed and not resumes)
            or req.attempts >= MAX_ATTEMPTS
            or req.remaining_s <= 0
            or not self.retry_budget.try_spend_retry()
        )
        if is_final:
            if outcome.may_have_run and exc.retryable:
                raise verdict.may_have_run(exc.reason, exc.status)
            raise exc
        self._metrics.count('retries', reason=exc.reason)

    def _choose_peer(
        self,
        req: requests.Request,
        tried: set[str],
        outcome: Outcome,
    ) -> peers.Peer:
        peers = {
            peer.card.name: peer
            for peer in self._live_peers(req.target)
            if not outcome.version or peer.versions.get(req.target) == outcome.version
        }
        untried = {name: peer for name, peer in peers.items() if name not in tried}
        servers = [self._make_server(peer) for peer in (untried or peers).values()]
        now = time.monotonic()
        server = router.choose_server(
            self.outliers.exclude_outliers(servers, now),
            req.prefix,
            self._rand,
        )
        if server is None:
            refusal = verdict.not_run('no_server_lives', 503, 1)
            if outcome.may_have_run:
                refusal = verdict.may_have_run('no_server_lives', 503)
            raise refusal
        return peers[server.name]

    def _live_peers(self, target: str) -> list[peers.Peer]:
        """Return the agents that serve a target now and are not leaving."""
        adapter = self._config.current.get('adapter', target)
        serves = adapter.base if adapter else target
        is_plain = self._config.current.get('service', target) is not None
        return [
            peer
            for peer in self._members.alive_peers('agent', serves)
            if not peer.leaving and (is_plain or target in peer.versions)
        ]

    def _make_server(self, peer: peers.Peer) -> router.Server:
        own_card = self._members.card
        distance = 2
        if peer.card.region == own_card.region:
            distance = 0 if peer.card.data_centre == own_card.data_centre else 1
        name = peer.card.name
        return router.Server(
            name,
            self._in_flight[name],
            peer.load.running + peer.load.queued,
            peer.load.concurrency,
            distance,
            time.monotonic() - peer.first_seen_at,
        )

    def _model_of(self, target: str) -> catalogue.Model:
        adapter = self._config.current.get('adapter', target)
        name = adapter.base if adapter else target
        return typing.cast(catalogue.Model, self._config.current.get('model', name))

    async def _attempt(
        self,
        req: requests.Request,
        peer: peers.Peer,
        sink: AnswerSink,
        outcome: Outcome,
    ) -> None:
        req.attempts += 1
        outcome.server = peer.card.name
        if not req.stream:
            _reset_answer(outcome, sink)
        span = self._tracer.start_span(
            'entry.attempt',
            traces.traceparent_of(req.span),
            server=peer.card.name,
        )
        started_at = time.monotonic()
        self._in_flight[peer.card.name] += 1
        try:
            await self._relay(req, peer, sink, outcome, span)
        except verdict.Refusal as exc:
            if exc.status >= 500 and exc.reason not in _NOT_SERVER_FAULTS:
                self.outliers.record_result(peer.card.name, None, started_at)
            raise
        finally:
            self._in_flight[peer.card.name] -= 1
            span.end()

    async def _relay(
        self,
        req: requests.Request,
        peer: peers.Peer,
        sink: AnswerSink,
        outcome: Outcome,
        span: typing.Any,
    ) -> None:
        call = self._make_call(req, peer, outcome, traces.traceparent_of(span))
        try:
            stream = peer.channel.open_stream(call)
        except link.ChannelClosed:
            raise verdict.not_run('server_lost') from None
        reader = _AnswerReader(self, req, peer, sink, outcome)
        try:
            async with asyncio.timeout(max(req.remaining_s, 0) + DEADLINE_GRACE_S):
                await reader.read(stream)
        except link.ChannelClosed:
            raise verdict.may_have_run('server_lost') from None
        except TimeoutError:
            raise await self._cancel_late(stream) from None
        finally:
            if not reader.ended:
                stream.send(wire.Cancel())
            stream.close()

    async def _cancel_late(self, stream: link.Stream) -> verdict.Refusal:
        """Cancel a call whose deadline passed; return the refusal for its caller.

        The agent is given a moment to confirm that the call did not run.
        """
        stream.send(wire.Cancel())
        try:
            refused = await asyncio.wait_for(_next_refusal(stream), CANCEL_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return verdict.may_have_run('deadline_passed', 504)
        return dataclasses.replace(refused, reason='deadline_passed', status=504)

    def _make_call(
        self,
        req: requests.Request,
        peer: peers.Peer,
        outcome: Outcome,
        traceparent: str,
    ) -> wire.Call:
        return wire.Call(
            f'{req.call_id}.{req.attempts}',
            peer.card.incarnation,
            req.workspace.name,
            int(req.rank),
            req.workspace.limits.weight,
            req.target,
            outcome.version,
            int(max(0, req.remaining_s) * 1000),
            req.cost,
            req.method,
            req.path,
            req.headers,
            req.body,
            traceparent,
            req.revision,
            req.stream,
            req.key,
            outcome.tokens,
        )

    def _new_key(self, req: requests.Request) -> str:
        return f'{req.workspace.name}/{req.target}/{self.make_ticket(req.target)}'

    def _owner_peer(
        self, req: requests.Request, owner: str | None
    ) -> peers.Peer | None:
        ticket = atmostonce.parse_ticket(req.key.rpartition('/')[2])
        for peer in self._members.alive_peers('agent', req.target):
            if peer.card.name != owner:
                continue
            if ticket is None or ticket.incarnation == peer.card.incarnation:
                return peer
        return None

    async def _refusal_without_owner(self, req: requests.Request) -> verdict.Refusal:
        """Return the refusal of a call whose key has no reachable owner.

        It is `not_run` only when no entry, here or elsewhere, forwarded the key.
        """
        if self._forward_log.was_forwarded(req.key) or self._members.departed_at:
            return verdict.may_have_run('home_unreachable', 503)
        listed = {
            cand.name for cand in self._members.listed_candidates('entry') if cand.name
        }
        peers = self._members.alive_peers('entry')
        reached = {self._members.card.name, *(peer.card.name for peer in peers)}
        if listed - reached:
            return verdict.may_have_run('home_unreachable', 503)
        query = wire.WasForwardedRequest(req.target, req.key)
        answers = await asyncio.gather(
            *(peer.channel.request(query, QUERY_TIMEOUT_S) for peer in peers),
            return_exceptions=True,
        )
        if all(isinstance(body, wire.YesNo) and not body.yes for body in answers):
            return verdict.not_run('home_unreachable', 503, 2)
        return verdict.may_have_run('home_unreachable', 503)


# Reasons that do not count as failures of the server in outlier detection.
_NOT_SERVER_FAULTS = frozenset(
    (
        'server_leaving',
        'queue_full',
        'deadline_unreachable',
        'workspace_queue_full',
        'displaced_by_urgent_work',
        'revision_not_here',
        'key_history_unknown',
    )
)


def _refusal_of(body: wire.Refused) -> verdict.Refusal:
    reported = verdict.Verdict(body.verdict)
    return verdict.Refusal(reported, body.reason, body.status, body.retry_after_s)


async def _next_refusal(stream: link.Stream) -> verdict.Refusal:
    while True:
        body = await stream.next()
        if isinstance(body, wire.Refused):
            return _refusal_of(body)


def _reset_answer(outcome: Outcome, sink: AnswerSink) -> None:
    """Discard the answer of the attempt before, which is not streamed."""
    outcome.version = ''
    outcome.head = None
    outcome.tokens = 0
    outcome.size_bytes = 0
    sink.discard_parts()


class _AnswerReader:
    """Reads the answer to one attempt, writes it to the sink and grants credit."""

    def __init__(
        self,
        dispatcher: CallDispatcher,
        req: requests.Request,
        peer: peers.Peer,
        sink: AnswerSink,
        outcome: Outcome,
    ) -> None:
        self._dispatcher = dispatcher
        self._req = req
        self._peer = peer
        self._sink = sink
        self._outcome = outcome
        self._started_at = time.monotonic()
        self._size_bytes = 0
        self._part_count = 0
        self.ended = False

    async def read(self, stream: link.Stream) -> None:
        while not self.ended:
            body = await stream.next()
            if isinstance(body, wire.AnswerPart):
                await self._handle_part(stream, body)
            elif isinstance(body, wire.AnswerHead):
                await self._handle_head(body)
            else:
                self._handle_end(body)

    def _handle_end(self, body: wire.Body) -> None:
        if isinstance(body, wire.Refused):
            self.ended = True
            raise _refusal_of(body)
        if isinstance(body, wire.AnswerEnd):
            self.ended = True
            if body.size != self._size_bytes:
                raise verdict.may_have_run('answer_short')

    async def _handle_head(self, head: wire.AnswerHead) -> None:
        elapsed_s = time.monotonic() - self._started_at
        self._dispatcher.outliers.record_result(
            self._peer.card.name, elapsed_s, self._started_at
        )
        if self._outcome.head is None:
            self._outcome.head = head
            self._outcome.version = head.version
            await self._sink.write_head(head)

    async def _handle_part(self, stream: link.Stream, part: wire.AnswerPart) -> None:
        self._size_bytes += len(part.body)
        self._outcome.size_bytes += len(part.body)
        self._outcome.tokens += part.tokens
        await self._sink.write_part(part.body)
        self._part_count += 1
        if self._part_count % CREDIT_STEP_PARTS == 0:
            stream.send(wire.Credit(CREDIT_STEP_PARTS))
