"""The home of non-idempotent keys: an agent beside a plain service."""

import asyncio
import hashlib
import time

from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import verdict
from primrosesaddle.gateway import atmostonce, plainservice, scheduler
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('PlainServiceRunner', 'owners_digest')

ASK_TIMEOUT_S = 2.0
ASK_AGAIN_S = 0.1
SETTLE_WAIT_S = 1.0
LEAST_TIMEOUT_S = 0.05


def owners_digest(entry: catalogue.PlainService) -> str:
    """Return the digest of a service's list of homes."""
    return hashlib.sha256('\n'.join(entry.servers).encode()).hexdigest()[:16]


class PlainServiceRunner:
    """Run calls on a plain service; each non-idempotent key at most once."""

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
        self._runs: set[asyncio.Task[None]] = set()

    async def run(self, work: scheduler.ScheduledCall) -> None:
        """Run a call, and send its whole answer.

        Raises `Refusal` when there is no answer.
        """
        if work.call.key:
            answer = await self._run_once(work)
        else:
            answer = await self._call(work)
        work.cost = 1
        work.sender.reply(
            wire.AnswerHead(answer.status, '', work.call.revision, answer.headers),
        )
        await self._send_body(work, answer.body)

    async def stop(self, work: scheduler.ScheduledCall) -> None:
        """Leave a running call alone: a plain service cannot take it back."""

    async def query_entries(self) -> None:
        """Ask every entry for the keys it forwarded elsewhere, until cancelled."""
        while True:
            await asyncio.sleep(ASK_AGAIN_S)
            entry = self._config.current.get('service', self._serves)
            if entry is None:
                continue
            self._ledger.set_owners(owners_digest(entry))
            asked = [
                self._ask(peer)
                for peer in self._members.alive_peers('entry')
                if not self._ledger.has_reported(peer.card.incarnation)
            ]
            await asyncio.gather(*asked)

    @property
    def settled(self) -> bool:
        """Tell whether a key unknown here cannot have run elsewhere."""
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

    async def _ask(self, peer: peers.Peer) -> None:
        homes = self._ledger.homes
        asked = wire.PriorKeysRequest(self._serves, homes)
        try:
            body = await peer.channel.request(asked, ASK_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return
        if isinstance(body, wire.ForwardedKeys):
            self._ledger.add_forwarded_keys(peer.card.incarnation, homes, body.keys)
            journal.info(
                'home.cleared',
                entry=peer.card.name,
                doubted=len(body.keys),
            )

    async def _run_once(
        self, work: scheduler.ScheduledCall
    ) -> atmostonce.ServiceAnswer:
        call = work.call
        await self._wait_settled(work)
        fut = self._ledger.claim_key(
            call.key,
            _fingerprint(call),
            time.monotonic(),
            settled=self.settled,
        )
        if fut is None:
            fut = self._ledger.answer_future(call.key)
            task = asyncio.create_task(self._run_first(work))
            self._runs.add(task)
            task.add_done_callback(self._runs.discard)
        return await asyncio.shield(fut)

    async def _wait_settled(self, work: scheduler.ScheduledCall) -> None:
        """Give the entries a moment to answer a home that has just started."""
        if self._ledger.needs_no_history(work.call.key):
            return
        until = time.monotonic() + min(SETTLE_WAIT_S, work.remaining_s / 2)
        while not self.settled and time.monotonic() < until:
            await asyncio.sleep(ASK_AGAIN_S / 2)

    async def _run_first(self, work: scheduler.ScheduledCall) -> None:
        try:
            answer = await self._call(work)
        except verdict.Refusal as exc:
            self._ledger.record_refusal(work.call.key, exc)
        except Exception as exc:
            journal.error('home.failed', call=work.call.call_id, error=repr(exc))
            self._ledger.record_refusal(work.call.key, verdict.may_have_run('internal'))
        else:
            self._ledger.store_answer(work.call.key, answer)

    async def _call(self, work: scheduler.ScheduledCall) -> atmostonce.ServiceAnswer:
        call = work.call
        timeout_s = max(work.remaining_s, LEAST_TIMEOUT_S)
        headers = (
            *call.headers,
            ('X-Request-Id', call.call_id),
            ('traceparent', work.traceparent),
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

    async def _send_body(self, work: scheduler.ScheduledCall, body: bytes) -> None:
        for at in range(0, len(body), PART_BYTES):
            work.sender.write(body[at : at + PART_BYTES], 0)
        work.sender.finish()
        if body:
            await asyncio.wait_for(work.sender.send_queued(), max(work.remaining_s, 1))
        work.sender.reply(wire.AnswerEnd(len(body), 0))


PART_BYTES = 128 * 1024


def _fingerprint(call: wire.Call) -> str:
    head = f'{call.method} {call.path}\n'.encode()
    return hashlib.sha256(head + call.body).hexdigest()
