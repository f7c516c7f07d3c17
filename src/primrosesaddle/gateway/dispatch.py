"""The entry's way of a call: choose an agent, relay, and retry where truthful."""

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

__all__ = ('CallDispatcher', 'Outcome', 'AnswerSink')

CANCEL_WAIT_S = 0.4
GRACE_S = 0.05
CREDIT_STEP = answersender.CREDIT_WINDOW_PARTS // 4
MAX_ATTEMPTS = 4
ASK_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.02


class AnswerSink(typing.Protocol):
    """Where an answer goes."""

    async def write_head(self, head: wire.AnswerHead) -> None:
        """Take the start of an answer."""

    async def write_part(self, body: bytes) -> None:
        """Take a piece, and return when the caller has room for more."""

    def discard_parts(self) -> None:
        """Drop the pieces of an answer that is not streamed."""


@dataclasses.dataclass
class Outcome:
    """How far the answer to a call has come."""

    server: str = ''
    version: str = ''
    head: wire.AnswerHead | None = None
    tokens: int = 0
    size: int = 0
    may_have_run: bool = False


class CallDispatcher:
    """Relay calls to agents."""

    def __init__(
        self,
        members: membertable.MemberTable,
        conf: replica.CatalogueReplica,
        book: atmostonce.ForwardLog,
        counts: metrics.Metrics,
        tracer: traces.Tracer,
        rand: random.Random,
    ) -> None:
        """Create the dispatcher of an entry."""
        self._members = members
        self._config = conf
        self._book = book
        self._metrics = counts
        self._tracer = tracer
        self._rand = rand
        self._in_flight: collections.Counter[str] = collections.Counter()
        self.outliers = router.OutlierDetector()
        self.budget = router.RetryBudget()

    async def relay_chat(self, req: requests.Request, sink: AnswerSink) -> Outcome:
        """Relay a chat completion, resumed elsewhere when a server is lost.

        Return how it went. Raises `Refusal` when there is no whole answer.
        """
        model = self._model_of(req.target)
        return await self._try_servers(req, sink, resumes=model.engine.resumes)

    async def relay_idempotent(
        self, req: requests.Request, sink: AnswerSink
    ) -> Outcome:
        """Relay a call to a plain service that may be repeated.

        Return how it went. Raises `Refusal` when there is no whole answer.
        """
        return await self._try_servers(req, sink, resumes=False)

    async def relay_at_most_once(
        self,
        req: requests.Request,
        entry: catalogue.PlainService,
        sink: AnswerSink,
    ) -> Outcome:
        """Relay a call that must not be repeated, to the home of its key.

        Return how it went. Raises `Refusal` when there is no whole answer.
        """
        if not req.key:
            req.key = self._new_key(req)
        home = atmostonce.key_owner_of(req.key, entry.servers)
        peer = self._home_peer(req, home)
        if peer is None:
            raise await self._without_home(req)
        now = time.monotonic()
        self._book.record_forward(req.key, peer.card.name, peer.card.incarnation, now)
        outcome = Outcome()
        try:
            await self._attempt(req, peer, sink, outcome)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                self._book.undo_forward(req.key)
            raise
        return outcome

    def make_ticket(self, service: str) -> atmostonce.Ticket:
        """Return a new ticket, on a server of a service that lives now.

        Raises `Refusal` when there is none.
        """
        peers = self._living(service)
        if not peers:
            raise verdict.not_run('no_server_lives', 503, 1)
        card = self._rand.choice(peers).card
        nonce = f'{self._rand.getrandbits(96):024x}'
        return atmostonce.Ticket(card.name, card.incarnation, nonce)

    def answer_prior_keys(
        self,
        channel: link.Channel,
        rid: int,
        asked: wire.PriorKeysRequest,
        homes: str,
    ) -> None:
        """Tell a home which of a service's keys went elsewhere.

        An entry that goes by other homes, or by another incarnation of the one
        that asks, does not answer.
        """
        peer = self._members.find_by_channel(channel)
        if peer is None or asked.owners_digest != homes:
            return
        keys = self._book.keys_sent_elsewhere(
            f'/{asked.service}/',
            peer.card.name,
            peer.card.incarnation,
        )
        channel.send(wire.ForwardedKeys(keys), rid, reply=True)

    def answer_forwarded(
        self,
        channel: link.Channel,
        rid: int,
        asked: wire.WasForwardedRequest,
    ) -> None:
        """Tell another entry whether a key was forwarded from here."""
        channel.send(wire.YesNo(self._book.was_forwarded(asked.key)), rid, reply=True)

    def forget_peer(self, peer: peers.Peer) -> None:
        """Drop what is known of an agent that left."""
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
        self.budget.record_call()
        while True:
            peer = self._choose(req, tried, outcome)
            tried.add(peer.card.name)
            try:
                await self._attempt(req, peer, sink, outcome)
            except verdict.Refusal as exc:
                self._decide_retry(req, exc, outcome, resumes=resumes)
                await asyncio.sleep(self._rand.uniform(0, RETRY_PAUSE_S))
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
        """Return when another attempt is due, else raise the final refusal."""
        outcome.may_have_run = outcome.may_have_run or not exc.retryable
        begun = req.stream and outcome.size > 0
        final = (
            exc.status in {400, 404, 422, 499, 504}
            or (begun and not resumes)
            or req.attempts >= MAX_ATTEMPTS
            or req.remaining_s <= 0
            or not self.budget.try_spend_retry()
        )
        if final:
            if outcome.may_have_run and exc.retryable:
                raise verdict.may_have_run(exc.reason, exc.status)
            raise exc
        self._metrics.count('retries', reason=exc.reason)

    def _choose(
        self,
        req: requests.Request,
        tried: set[str],
        outcome: Outcome,
    ) -> peers.Peer:
        peers = {
            peer.card.name: peer
            for peer in self._living(req.target)
            if not outcome.version or peer.versions.get(req.target) == outcome.version
        }
        untried = {name: peer for name, peer in peers.items() if name not in tried}
        servers = [self._server(peer) for peer in (untried or peers).values()]
        now = time.monotonic()
        found = router.choose_server(
            self.outliers.exclude_outliers(servers, now),
            req.prefix,
            self._rand,
        )
        if found is None:
            refusal = verdict.not_run('no_server_lives', 503, 1)
            if outcome.may_have_run:
                refusal = verdict.may_have_run('no_server_lives', 503)
            raise refusal
        return peers[found.name]

    def _living(self, target: str) -> list[peers.Peer]:
        served = self._config.current.get('adapter', target)
        serves = served.base if served else target
        plain = self._config.current.get('service', target) is not None
        return [
            peer
            for peer in self._members.alive_peers('agent', serves)
            if not peer.leaving and (plain or target in peer.versions)
        ]

    def _server(self, peer: peers.Peer) -> router.Server:
        mine = self._members.card
        distance = 2
        if peer.card.region == mine.region:
            distance = 0 if peer.card.data_centre == mine.data_centre else 1
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
            _restart(outcome, sink)
        span = self._tracer.start_span(
            'entry.attempt',
            traces.traceparent_of(req.span),
            server=peer.card.name,
        )
        began = time.monotonic()
        self._in_flight[peer.card.name] += 1
        try:
            await self._relay(req, peer, sink, outcome, span)
        except verdict.Refusal as exc:
            if exc.status >= 500 and exc.reason not in _BLAMELESS:
                self.outliers.record_result(peer.card.name, None, began)
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
        call = self._call(req, peer, outcome, traces.traceparent_of(span))
        try:
            stream = peer.channel.open_stream(call)
        except link.ChannelClosed:
            raise verdict.not_run('server_lost') from None
        reader = _Reader(self, req, peer, sink, outcome)
        try:
            async with asyncio.timeout(max(req.remaining_s, 0) + GRACE_S):
                await reader.read(stream)
        except link.ChannelClosed:
            raise verdict.may_have_run('server_lost') from None
        except TimeoutError:
            raise await self._cancel(stream) from None
        finally:
            if not reader.ended:
                stream.send(wire.Cancel())
            stream.close()

    async def _cancel(self, stream: link.Stream) -> verdict.Refusal:
        stream.send(wire.Cancel())
        try:
            refused = await asyncio.wait_for(_next_refusal(stream), CANCEL_WAIT_S)
        except (TimeoutError, link.ChannelClosed):
            return verdict.may_have_run('deadline_passed', 504)
        return dataclasses.replace(refused, reason='deadline_passed', status=504)

    def _call(
        self,
        req: requests.Request,
        peer: peers.Peer,
        outcome: Outcome,
        parent: str,
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
            parent,
            req.revision,
            req.stream,
            req.key,
            outcome.tokens,
        )

    def _new_key(self, req: requests.Request) -> str:
        return f'{req.workspace.name}/{req.target}/{self.make_ticket(req.target)}'

    def _home_peer(self, req: requests.Request, home: str | None) -> peers.Peer | None:
        ticket = atmostonce.parse_ticket(req.key.rpartition('/')[2])
        for peer in self._members.alive_peers('agent', req.target):
            if peer.card.name != home:
                continue
            if ticket is None or ticket.incarnation == peer.card.incarnation:
                return peer
        return None

    async def _without_home(self, req: requests.Request) -> verdict.Refusal:
        if self._book.was_forwarded(req.key) or self._members.departed_at:
            return verdict.may_have_run('home_unreachable', 503)
        listed = {
            cand.name for cand in self._members.listed_candidates('entry') if cand.name
        }
        peers = self._members.alive_peers('entry')
        known = {self._members.card.name, *(peer.card.name for peer in peers)}
        if listed - known:
            return verdict.may_have_run('home_unreachable', 503)
        asked = wire.WasForwardedRequest(req.target, req.key)
        told = await asyncio.gather(
            *(peer.channel.request(asked, ASK_TIMEOUT_S) for peer in peers),
            return_exceptions=True,
        )
        if all(isinstance(body, wire.YesNo) and not body.yes for body in told):
            return verdict.not_run('home_unreachable', 503, 2)
        return verdict.may_have_run('home_unreachable', 503)


_BLAMELESS = frozenset(
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
    found = verdict.Verdict(body.verdict)
    return verdict.Refusal(found, body.reason, body.status, body.retry_after_s)


async def _next_refusal(stream: link.Stream) -> verdict.Refusal:
    while True:
        body = await stream.next()
        if isinstance(body, wire.Refused):
            return _refusal_of(body)


def _restart(outcome: Outcome, sink: AnswerSink) -> None:
    outcome.version = ''
    outcome.head = None
    outcome.tokens = 0
    outcome.size = 0
    sink.discard_parts()


class _Reader:
    """Read the answers of one attempt into a sink."""

    def __init__(
        self,
        owner: CallDispatcher,
        req: requests.Request,
        peer: peers.Peer,
        sink: AnswerSink,
        outcome: Outcome,
    ) -> None:
        self._owner = owner
        self._req = req
        self._peer = peer
        self._sink = sink
        self._outcome = outcome
        self._began = time.monotonic()
        self._size = 0
        self._parts = 0
        self.ended = False

    async def read(self, stream: link.Stream) -> None:
        while not self.ended:
            body = await stream.next()
            if isinstance(body, wire.AnswerPart):
                await self._part(stream, body)
            elif isinstance(body, wire.AnswerHead):
                await self._head(body)
            else:
                self._end(body)

    def _end(self, body: wire.Body) -> None:
        if isinstance(body, wire.Refused):
            self.ended = True
            raise _refusal_of(body)
        if isinstance(body, wire.AnswerEnd):
            self.ended = True
            if body.size != self._size:
                raise verdict.may_have_run('answer_short')

    async def _head(self, head: wire.AnswerHead) -> None:
        elapsed = time.monotonic() - self._began
        self._owner.outliers.record_result(self._peer.card.name, elapsed, self._began)
        if self._outcome.head is None:
            self._outcome.head = head
            self._outcome.version = head.version
            await self._sink.write_head(head)

    async def _part(self, stream: link.Stream, part: wire.AnswerPart) -> None:
        self._size += len(part.body)
        self._outcome.size += len(part.body)
        self._outcome.tokens += part.tokens
        await self._sink.write_part(part.body)
        self._parts += 1
        if self._parts % CREDIT_STEP == 0:
            stream.send(wire.Credit(CREDIT_STEP))
