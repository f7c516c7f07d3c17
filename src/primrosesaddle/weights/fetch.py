"""The fetch of one version: chunks from peers, the store and the origin."""

import asyncio
import collections
import dataclasses
import random
import time
import typing
from collections.abc import Awaitable, Callable, Coroutine

from primrosesaddle.core import httpio, rendezvous
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import journal, metrics
from primrosesaddle.weights import chunks, fetchplan, holders, manifest, pacing

__all__ = ('Fetch', 'Sources', 'WeightsConfig')

PARALLEL = 6
UPSTREAM_PARALLEL = 16
STORE_PARALLEL = 2
MANIFEST_PEERS = 2
MANIFEST_TURN_S = 1.5
MANIFEST_TURNS = 8
POLL_S = 0.02
TICK_S = 0.1
ROUND_S = 0.03
RETRY_S = 0.1
PLAN_INTERVAL_S = 0.5
WANT_TIMEOUT_S = 6.0
MANIFEST_TIMEOUT_S = 1.6
STORE_RETRY_S = 0.3
STORE_RETRY_CEILING_S = 4.0
ORIGIN_EVERY = 3


@dataclasses.dataclass(frozen=True)
class WeightsConfig:
    """Where weights come from, and the rates of the links in bytes a second."""

    store: str
    origin: str
    store_region: str
    machine_bytes_per_s: float
    region_bytes_per_s: float
    memory_bytes: int
    machine_share: float = 0.9
    region_share: float = 0.8
    proportional: bool = False


Read = Callable[[str, str], Awaitable[bytes]]


class OnChunkStored(typing.Protocol):
    """What is told that a chunk was kept; `news` when it is new to the region."""

    def __call__(self, digest: str, index: int, *, news: bool) -> None:
        """Take the word."""


@dataclasses.dataclass
class Sources:
    """The functions that read the store and the origin."""

    manifest: Read
    chunk: Read


@dataclasses.dataclass
class Context:
    """What the fetches of a process share."""

    cfg: WeightsConfig
    members: membertable.MemberTable
    sources: Sources
    metrics: metrics.Metrics
    rand: random.Random
    table: chunks.ChunkTable
    pacers: pacing.Pacers
    holders: holders.Holders
    on_chunk_stored: OnChunkStored

    def serving_peers(self) -> list[peers.Peer]:
        """Return the living agents whose servers serve the same."""
        return self.members.alive_peers('agent', self.members.card.serves)

    def region_holders(self, digest: str) -> dict[str, int]:
        """Return what the living holders in this region hold, as bits."""
        region = self.members.card.region
        known = self.members.peers
        return self.holders.usable_holders(
            digest,
            lambda name: name in known and known[name].card.region == region,
        )

    def region_chunk_bits(self, digest: str) -> int:
        """Return the chunks that anyone in this region holds, as bits."""
        return holders.unite(self.region_holders(digest).values())


class Fetch:
    """Bring one version in, within the links, until it is whole."""

    def __init__(self, ctx: Context, digest: str) -> None:
        """Prepare the fetch of a version by its manifest's digest."""
        self._ctx = ctx
        self._began = time.monotonic()
        self._moved = self._began
        self._progress_at: dict[str, float] = {}
        self._plan: fetchplan.Plan | None = None
        self._turns: dict[int, int] = {}
        self._planned = 0.0
        self._wanted: dict[str, dict[str, float]] = {}
        self._busy: set[int] = set()
        self._chunk_s = 0.0
        self._near_jobs: set[asyncio.Task[None]] = set()
        self._far_jobs: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._outstanding: collections.Counter[str] = collections.Counter()
        self.digest = digest
        self.done = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def record_peer_progress(self, name: str) -> None:
        """Note that a peer holds something new."""
        self._moved = time.monotonic()
        self._progress_at[name] = self._moved
        self._wake.set()

    def region_rate(self, region: str) -> float:
        """Return this process's part of the link to another region."""
        share = 1.0
        if self._plan is not None:
            share = self._plan.outgoing_share(region, self._ctx.members.card.name)
        return self._ctx.cfg.region_bytes_per_s * self._ctx.cfg.region_share * share

    async def run(self) -> None:
        """Fetch until every chunk is held."""
        holding = await self._open()
        self._chunk_s = holding.manifest.chunk_bytes / self._ctx.pacers.upload.rate
        try:
            while not holding.is_complete:
                self._replan(holding)
                self._start_jobs(holding)
                await self._next_round()
        finally:
            for job in (*self._near_jobs, *self._far_jobs):
                job.cancel()
        self.done.set()
        journal.info(
            'weights.whole',
            version=holding.manifest.name,
            digest=self.digest,
            seconds=round(time.monotonic() - self._began, 3),
        )

    async def _open(self) -> chunks.StoredVersion:
        attempts = 0
        while True:
            text = await self._read_manifest(attempts)
            if text:
                try:
                    return self._ctx.table.add_version(self.digest, text)
                except (manifest.ManifestError, MemoryError) as exc:
                    journal.error(
                        'weights.manifest_refused',
                        digest=self.digest,
                        error=str(exc),
                    )
            attempts += 1
            ceiling = min(MANIFEST_TURN_S, STORE_RETRY_S * attempts)
            await asyncio.sleep(self._ctx.rand.uniform(0.05, ceiling))

    async def _read_manifest(self, attempts: int) -> bytes:
        """Read the manifest from peers; one agent in turn reads it from the store."""
        place = self._manifest_place()
        waited_s = time.monotonic() - self._began
        if waited_s < place * MANIFEST_TURN_S or attempts % 2:
            return await self._ask_manifest()
        cfg = self._ctx.cfg
        url = cfg.origin if attempts % ORIGIN_EVERY == 2 else cfg.store
        try:
            return await self._ctx.sources.manifest(url, self.digest)
        except httpio.HttpFailure as exc:
            error = str(exc)
            journal.warning('weights.manifest_unread', digest=self.digest, error=error)
            return b''

    def _manifest_place(self) -> int:
        names = [name for found in self._wanting().values() for name in found]
        place = rendezvous.order(self.digest, names).index(self._ctx.members.card.name)
        return min(place, MANIFEST_TURNS)

    async def _ask_manifest(self) -> bytes:
        region = self._ctx.members.card.region
        fellows = self._ctx.serving_peers()
        self._ctx.rand.shuffle(fellows)
        fellows.sort(key=lambda peer: peer.card.region != region)
        asked = [*fellows[:MANIFEST_PEERS], *fellows[-1:]]
        for peer in asked:
            try:
                body = await peer.channel.request(
                    wire.ChunkRequest(self.digest, -1),
                    MANIFEST_TIMEOUT_S,
                )
            except (TimeoutError, link.ChannelClosed):
                continue
            if isinstance(body, wire.Chunk) and body.found:
                return body.body
        return b''

    async def _next_round(self) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), TICK_S)
        except TimeoutError:
            return
        await asyncio.sleep(ROUND_S)
        self._wake.clear()

    def _start_jobs(self, holding: chunks.StoredVersion) -> None:
        nearby = self._ctx.region_holders(self.digest)
        missing = [
            index for index in holding.missing_indexes if index not in self._busy
        ]
        for index in self._due(holding, missing, nearby):
            if len(self._far_jobs) >= self._far_limit(index):
                continue
            self._start(self._far_jobs, index, self._take_upstream(holding, index))
        while len(self._near_jobs) < PARALLEL:
            missing = [index for index in missing if index not in self._busy]
            found = fetchplan.pick_next_chunk(
                missing,
                nearby,
                self._expected_wait,
                self._ctx.rand,
            )
            if found is None:
                return
            index, name = found
            self._outstanding[name] += 1
            job = self._take_nearby(holding, index, name)
            self._start(self._near_jobs, index, job)

    def _far_limit(self, index: int) -> int:
        # The store answers in the order of asking: a fetcher that asked for all of
        # its chunks at once would be served before the others begin to pass on.
        if self._plan is not None and self._plan.upstreams[index].from_store:
            return STORE_PARALLEL
        return UPSTREAM_PARALLEL

    def _expected_wait(self, name: str) -> float:
        paced_s = self._chunk_s * self._outstanding[name]
        if self._outstanding[name] >= fetchplan.IN_FLIGHT_PER_HOLDER:
            return float('inf')
        return self._ctx.holders.backlog_s(name) + paced_s

    def _start(
        self,
        jobs: set['asyncio.Task[None]'],
        index: int,
        work: Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        self._busy.add(index)
        task = asyncio.create_task(work)
        jobs.add(task)

        def ended(job: 'asyncio.Task[None]') -> None:
            jobs.discard(job)
            self._busy.discard(index)
            self._wake.set()
            if not job.cancelled() and job.exception() is not None:
                journal.error('fetch.failed', error=repr(job.exception()))

        task.add_done_callback(ended)

    def _due(
        self,
        holding: chunks.StoredVersion,
        missing: list[int],
        nearby: dict[str, int],
    ) -> list[int]:
        plan = self._plan
        if plan is None:
            return []
        lease = fetchplan.lease_s(holding.manifest.chunk_bytes, self._least_rate)
        held = holders.unite(nearby.values())
        due = [
            index
            for index in missing
            if index in self._turns
            and not held >> index & 1
            and self._is_due(plan, index, lease)
        ]
        self._ctx.rand.shuffle(due)
        return due

    def _is_due(
        self,
        plan: fetchplan.Plan,
        index: int,
        lease: float,
    ) -> bool:
        turn = self._turns[index]
        now = time.monotonic()
        quiet_s = [
            now - self._progress_at.get(name, self._moved)
            for name in plan.fetchers[index][:turn]
        ]
        return fetchplan.may_fetch(quiet_s, lease)

    async def _take_upstream(self, holding: chunks.StoredVersion, index: int) -> None:
        plan = typing.cast(fetchplan.Plan, self._plan)
        name = ''
        if not plan.upstreams[index].from_store:
            name = self._upstream_peer(plan, index)
        if not name:
            await self._take_from_store(holding, index)
        elif not await self._take(holding, index, name):
            await asyncio.sleep(self._ctx.rand.uniform(RETRY_S / 2, RETRY_S))

    async def _take_nearby(
        self,
        holding: chunks.StoredVersion,
        index: int,
        name: str,
    ) -> None:
        try:
            if not await self._take(holding, index, name):
                await asyncio.sleep(self._ctx.rand.uniform(RETRY_S / 2, RETRY_S))
        finally:
            self._outstanding[name] -= 1

    def _upstream_peer(self, plan: fetchplan.Plan, index: int) -> str:
        region = plan.upstreams[index].region
        usable = [
            peer.card.name
            for peer in self._ctx.serving_peers()
            if peer.card.region == region
            and not self._ctx.holders.is_suspended(peer.card.name)
        ]
        first = plan.upstream_fetchers[region][index]
        if first in usable:
            return first
        self._ctx.members.keep_linked(first)
        known = [
            name for name in usable if self._ctx.holders.holds(self.digest, name, index)
        ]
        return self._ctx.rand.choice(known or usable) if usable else ''

    async def _take(self, holding: chunks.StoredVersion, index: int, name: str) -> bool:
        peer = self._ctx.members.peers.get(name)
        if peer is None:
            self._ctx.holders.drop_peer(name)
            return False
        await self._ctx.pacers.download.wait_idle()
        try:
            body = await peer.channel.request(
                wire.ChunkRequest(self.digest, index),
                self._timeout_s(holding),
            )
        except (TimeoutError, link.ChannelClosed):
            self._hold_back(name, 'no_answer')
            return False
        if not isinstance(body, wire.Chunk):
            return False
        self._ctx.holders.update_backlog(name, body.backlog_s)
        if not body.found:
            return False
        if self._keep(holding, index, body.body):
            return True
        self._hold_back(name, 'corrupt_chunk')
        return False

    def _hold_back(self, name: str, reason: str) -> None:
        journal.warning('weights.held_back', peer=name, reason=reason)
        self._ctx.holders.suspend(name)

    def _timeout_s(self, holding: chunks.StoredVersion) -> float:
        return WANT_TIMEOUT_S + 3 * holding.manifest.chunk_bytes / self._least_rate

    @property
    def _least_rate(self) -> float:
        firsts = set()
        if self._plan is not None:
            firsts = {names[0] for names in self._plan.fetchers if names}
        cfg = self._ctx.cfg
        return cfg.region_bytes_per_s * cfg.region_share / max(1, len(firsts))

    async def _take_from_store(self, holding: chunks.StoredVersion, index: int) -> None:
        cfg = self._ctx.cfg
        attempts = 0
        while index not in holding.chunks:
            attempts += 1
            url = cfg.store if attempts % ORIGIN_EVERY else cfg.origin
            await self._ctx.pacers.download.wait_idle()
            body = await self._read_chunk(url, holding, index)
            if body and self._keep(holding, index, body):
                self._ctx.metrics.count('chunk_bytes_from_store', len(body))
                return
            ceiling = min(STORE_RETRY_CEILING_S, STORE_RETRY_S * 2**attempts)
            await asyncio.sleep(self._ctx.rand.uniform(POLL_S, ceiling))
            if self._ctx.region_chunk_bits(self.digest) >> index & 1:
                return

    async def _read_chunk(
        self,
        url: str,
        holding: chunks.StoredVersion,
        index: int,
    ) -> bytes:
        try:
            return await self._ctx.sources.chunk(url, holding.manifest.chunks[index])
        except httpio.HttpFailure as exc:
            journal.debug('weights.chunk_unread', index=index, error=str(exc))
            return b''

    def _keep(self, holding: chunks.StoredVersion, index: int, body: bytes) -> bool:
        self._ctx.pacers.download.reserve(len(body))
        if not self._ctx.table.store_chunk(holding.digest, index, body):
            journal.warning('weights.corrupt', digest=holding.digest, index=index)
            self._ctx.metrics.count('chunks_corrupt')
            return False
        news = not self._ctx.region_chunk_bits(self.digest) >> index & 1
        self._ctx.on_chunk_stored(holding.digest, index, news=news)
        return True

    def _replan(self, holding: chunks.StoredVersion) -> None:
        now = time.monotonic()
        if now - self._planned < PLAN_INTERVAL_S:
            return
        self._planned = now
        wanting = self._wanting()
        if wanting == self._wanted:
            return
        self._wanted = wanting
        peering = fetchplan.Receivers(wanting, self._ctx.cfg.store_region)
        self._plan = fetchplan.make_plan(
            self.digest,
            len(holding.manifest.chunks),
            self._ctx.members.card.region,
            peering,
        )
        self._turns = self._plan.positions_of(self._ctx.members.card.name)

    def _wanting(self) -> dict[str, dict[str, float]]:
        mine = self._ctx.members.card
        rates: dict[str, dict[str, float]] = {
            mine.region: {mine.name: mine.link_bytes_per_s or 1.0},
        }
        usual = mine.link_bytes_per_s or 1.0
        for cand in self._ctx.members.listed_candidates('agent'):
            if cand.serves == mine.serves and not self._ctx.members.is_lost(cand.name):
                rates.setdefault(cand.region, {})[cand.name] = usual
        for peer in self._ctx.serving_peers():
            region = rates.setdefault(peer.card.region, {})
            region[peer.card.name] = peer.card.link_bytes_per_s or 1.0
            if peer.leaving:
                region.pop(peer.card.name)
        if self._ctx.cfg.proportional:
            return {
                name: fetchplan.capped_weights(found) for name, found in rates.items()
            }
        return {name: dict.fromkeys(found, 1.0) for name, found in rates.items()}
