"""Calls to a plain service by its agent, the only owner of its idempotency keys."""

import asyncio
import hashlib
import time

from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import verdict
from primrosesaddle.gateway import atmostonce, plainservice, scheduler
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('PlainServiceRunner', 'owners_digest')

QUERY_TIMEOUT_S = 2.0
QUERY_INTERVAL_S = 0.1
HISTORY_WAIT_S = 1.0
MIN_CALL_TIMEOUT_S = 0.05


def owners_digest(entry: catalogue.PlainService) -> str:
    """Return the digest of the servers of a service, which own its keys."""
    return hashlib.sha256('\n'.join(entry.servers).encode()).hexdigest()[:16]


class PlainServiceRunner:
    """Run calls on a plain service; each non-idempotent key at most once.

    `serves` is the name of the service, `url` that of its server.
    """

    def __init__(
        self,
        url: str,
        serves: str,
        members: membertable.MemberTable,
        conf: replica.CatalogueReplica,
        ledger: atmostonce.KeyLedger,
    ) -> None:
        """Create the runner of one server of a service."""
        self._url = url
        self._serves = serves
        self._members = members
        self._config = conf
        self._ledger = ledger
        self._run_tasks: set[asyncio.Task[None]] = set()
        self._queries: dict[str, asyncio.Task[None]] = {}  # by incarnation of the entry

    async def run_call(self, scheduled: scheduler.ScheduledCall) -> None:
        """Run a call and send its complete answer.

        Raises `Refusal` when there is no answer.
        """
        if scheduled.call.key:
            answer = await self._run_or_reuse(scheduled)
        else:
            answer = await self._call_service(scheduled)
        scheduled.cost = 1
        scheduled.sender.reply(
            wire.AnswerHead(answer.status, '', scheduled.call.revision, answer.headers),
        )
        await self._send_body(scheduled, answer.body)

    async def cancel_call(self, scheduled: scheduler.ScheduledCall) -> None:
        """Do nothing: a call that reached a plain service cannot be cancelled."""

    async def query_entries(self) -> None:
        """Ask entries for the keys they sent to other owners, until cancelled.

        Every entry is asked until it has answered for the list of servers in force,
        each by itself: one that is silent does not delay the others.
        """
        try:
            while True:
                await asyncio.sleep(QUERY_INTERVAL_S)
                entry = self._config.current.get('service', self._serves)
                if entry is not None:
                    self._ledger.set_owners(owners_digest(entry))
                    self._start_queries()
        finally:
            for task in list(self._queries.values()):
                task.cancel()

    def _start_queries(self) -> None:
        for peer in self._members.alive_peers('entry'):
            incarnation = peer.card.incarnation
            if self._ledger.has_reported(incarnation) or incarnation in self._queries:
                continue
            self._queries[incarnation] = asyncio.create_task(self._query(peer))

    @property
    def history_complete(self) -> bool:
        """Tell whether all entries have reported the keys that they forwarded.

        A key that is unknown here has then not run elsewhere. This is false as
        long as an entry of the instance list is not connected.
        """
        linked = {
            peer.card.name: peer.card.incarnation
            for peer in self._members.peers.values()
            if peer.card.role == 'entry'
        }
        listed = {
            cand.name for cand in self._members.listed_candidates('entry') if cand.name
        }
        if not linked or listed - linked.keys():
            return False
        return self._ledger.is_history_complete(
            linked.values(), self._members.departed_at
        )

    async def _query(self, peer: peers.Peer) -> None:
        owners = self._ledger.owners
        query = wire.PriorKeysRequest(self._serves, owners)
        try:
            body = await peer.channel.request(query, QUERY_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return
        finally:
            self._queries.pop(peer.card.incarnation, None)
        if isinstance(body, wire.ForwardedKeys):
            self._ledger.add_forwarded_keys(peer.card.incarnation, owners, body.keys)
            journal.info(
                'home.cleared',
                entry=peer.card.name,
                doubted=len(body.keys),
            )

    async def _run_or_reuse(
        self, scheduled: scheduler.ScheduledCall
    ) -> atmostonce.ServiceAnswer:
        call = scheduled.call
        await self._wait_for_history(scheduled)
        answer_future = self._ledger.claim_key(
            call.key,
            _digest_request(call),
            time.monotonic(),
            history_complete=self.history_complete,
        )
        if answer_future is None:
            answer_future = self._ledger.answer_future(call.key)
            task = asyncio.create_task(self._run_claimed(scheduled))
            self._run_tasks.add(task)
            task.add_done_callback(self._run_tasks.discard)
        return await asyncio.shield(answer_future)

    async def _wait_for_history(self, scheduled: scheduler.ScheduledCall) -> None:
        """Wait a limited time for the reports of entries if a key depends on them.

        An owner that has just started lacks these reports.
        """
        if self._ledger.needs_no_history(scheduled.call.key):
            return
        deadline = time.monotonic() + min(HISTORY_WAIT_S, scheduled.remaining_s / 2)
        while not self.history_complete and time.monotonic() < deadline:
            await asyncio.sleep(QUERY_INTERVAL_S / 2)

    async def _run_claimed(self, scheduled: scheduler.ScheduledCall) -> None:
        try:
            answer = await self._call_service(scheduled)
        except verdict.Refusal as exc:
            self._ledger.record_refusal(scheduled.call.key, exc)
        except Exception as exc:
            journal.error('home.failed', call=scheduled.call.call_id, error=repr(exc))
            self._ledger.record_refusal(
                scheduled.call.key, verdict.may_have_run('internal')
            )
        else:
            self._ledger.store_answer(scheduled.call.key, answer)

    async def _call_service(
        self, scheduled: scheduler.ScheduledCall
    ) -> atmostonce.ServiceAnswer:
        call = scheduled.call
        timeout_s = max(scheduled.remaining_s, MIN_CALL_TIMEOUT_S)
        headers = (
            *call.headers,
            ('X-Request-Id', call.call_id),
            ('traceparent', scheduled.traceparent),
        )
        if call.key:
            headers = (*headers, ('Idempotency-Key', call.key.rpartition('/')[2]))
        return await plainservice.call_service(
            self._url,
            call.method,
            call.path,
            headers,
            call.body,
            timeout_s,
        )

    async def _send_body(self, scheduled: scheduler.ScheduledCall, body: bytes) -> None:
        for start in range(0, len(body), MAX_PART_BYTES):
            scheduled.sender.write(body[start : start + MAX_PART_BYTES], 0)
        scheduled.sender.finish()
        if body:
            await asyncio.wait_for(
                scheduled.sender.send_queued(), max(scheduled.remaining_s, 1)
            )
        scheduled.sender.reply(wire.AnswerEnd(len(body), 0))


MAX_PART_BYTES = 128 * 1024


def _digest_request(call: wire.Call) -> str:
    start_line = f'{call.method} {call.path}\n'.encode()
    return hashlib.sha256(start_line + call.body).hexdigest()
