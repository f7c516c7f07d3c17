"""Fetch the chunks of a version from peers, the store and the origin."""

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

MAX_PEER_JOBS = 6
MAX_UPSTREAM_JOBS = 16
MAX_STORE_JOBS = 2
MANIFEST_PEERS = 2
MANIFEST_TURN_S = 1.5
MAX_MANIFEST_TURNS = 8
MIN_STORE_RETRY_S = 0.02
ROUND_INTERVAL_S = 0.1
BATCH_DELAY_S = 0.03
PEER_RETRY_S = 0.1
PLAN_INTERVAL_S = 0.5
MIN_REQUEST_TIMEOUT_S = 6.0
MANIFEST_TIMEOUT_S = 1.6
STORE_RETRY_S = 0.3
STORE_RETRY_CEILING_S = 4.0
ATTEMPTS_PER_ORIGIN_READ = 3


@dataclasses.dataclass(frozen=True)
class WeightsConfig:
    """The sources of weights, and the rates of the links in bytes a second.

    Transfers get `machine_share` of the machine's link and `region_share` of each
    link between regions. With `proportional`, agents fetch in proportion to the
    rates of their links, else all the same number of chunks.
    """

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
    """A callback that is called after a chunk was stored."""

    def __call__(self, digest: str, index: int, *, is_new: bool) -> None:
        """Handle a stored chunk; `is_new` when no one else in the region has it."""


@dataclasses.dataclass
class Sources:
    """Functions that read the store or the origin.

    Each takes the base URL and a digest, and raises `HttpFailure`.
    """

    manifest: Read
    chunk: Read


@dataclasses.dataclass
class Context:
    """State that all fetches of a process share."""

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
        """Return the agents alive whose servers serve the same model."""
        return self.members.alive_peers('agent', self.members.card.serves)

    def region_holders(self, digest: str) -> dict[str, int]:
        """Return the chunks of the known peers in this region, as bits by name."""
        region = self.members.card.region
        known = self.members.peers
        return self.holders.usable_holders(
            digest,
            lambda name: name in known and known[name].card.region == region,
        )

    def region_chunk_bits(self, digest: str) -> int:
        """Return the chunks that any peer in this region holds, as bits."""
        return holders.unite(self.region_holders(digest).values())


class Fetch:
    """The fetch of one version, within the rates of the links."""

    def __init__(self, ctx: Context, digest: str) -> None:
        """Prepare the fetch of a version by its manifest's digest."""
        self._ctx = ctx
        self._started_at = time.monotonic()
        self._last_progress_at = self._started_at
        self._peer_progress_at: dict[str, float] = {}
        self._plan: fetchplan.Plan | None = None
        self._positions: dict[int, int] = {}
        self._planned_at = 0.0
        self._planned_rates: dict[str, dict[str, float]] = {}
        self._fetching: set[int] = set()
        self._chunk_upload_s = 0.0
        self._peer_jobs: set[asyncio.Task[None]] = set()
        self._upstream_jobs: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._outstanding: collections.Counter[str] = collections.Counter()
        self.digest = digest
        self.done = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def record_peer_progress(self, name: str) -> None:
        """Record that a peer reported new chunks."""
        self._last_progress_at = time.monotonic()
        self._peer_progress_at[name] = self._last_progress_at
        self._wake.set()

    def region_rate(self, region: str) -> float:
        """Return the rate in bytes a second at which to send to another region."""
        share = 1.0
        if self._plan is not None:
            share = self._plan.outgoing_share(region, self._ctx.members.card.name)
        return self._ctx.cfg.region_bytes_per_s * self._ctx.cfg.region_share * share

    async def run(self) -> None:
        """Fetch until every chunk is stored."""
        stored = await self._add_version()
        self._chunk_upload_s = (
            stored.manifest.chunk_bytes / self._ctx.pacers.upload.rate
        )
        try:
            while not stored.is_complete:
                self._update_plan(stored)
                self._start_jobs(stored)
                await self._wait_for_next_round()
        finally:
            for job in (*self._peer_jobs, *self._upstream_jobs):
                job.cancel()
        self.done.set()
        journal.info(
            'weights.whole',
            version=stored.manifest.name,
            digest=self.digest,
            seconds=round(time.monotonic() - self._started_at, 3),
        )

    async def _add_version(self) -> chunks.StoredVersion:
        """Read the manifest until a valid one is there, and add the version."""
        attempt_count = 0
        while True:
            text = await self._read_manifest(attempt_count)
            if text:
                try:
                    return self._ctx.table.add_version(self.digest, text)
                except (manifest.ManifestError, MemoryError) as exc:
                    journal.error(
                        'weights.manifest_refused',
                        digest=self.digest,
                        error=str(exc),
                    )
            attempt_count += 1
            ceiling = min(MANIFEST_TURN_S, STORE_RETRY_S * attempt_count)
            await asyncio.sleep(self._ctx.rand.uniform(0.05, ceiling))

    async def _read_manifest(self, attempt_count: int) -> bytes:
        """Read the manifest; return its bytes, or none when the source lacks it.

        Every MANIFEST_TURN_S, one more agent may read it from the store or the
        origin, at every other attempt. All other reads go to peers.
        """
        position = self._manifest_position()
        waited_s = time.monotonic() - self._started_at
        if waited_s < position * MANIFEST_TURN_S or attempt_count % 2:
            return await self._request_manifest()
        cfg = self._ctx.cfg
        url = cfg.origin if attempt_count % ATTEMPTS_PER_ORIGIN_READ == 2 else cfg.store
        try:
            return await self._ctx.sources.manifest(url, self.digest)
        except httpio.HttpFailure as exc:
            error = str(exc)
            journal.warning('weights.manifest_unread', digest=self.digest, error=error)
            return b''

    def _manifest_position(self) -> int:
        """Return this agent's turn to read the manifest from the store, from 0."""
        names = [
            name
            for names_in_region in self._list_receiver_rates().values()
            for name in names_in_region
        ]
        position = rendezvous.order(self.digest, names).index(
            self._ctx.members.card.name
        )
        return min(position, MAX_MANIFEST_TURNS)

    async def _request_manifest(self) -> bytes:
        """Request the manifest from peers; return its bytes, or none.

        Asked are some peers, those in this region first, and one far peer.
        """
        region = self._ctx.members.card.region
        candidates = self._ctx.serving_peers()
        self._ctx.rand.shuffle(candidates)
        candidates.sort(key=lambda peer: peer.card.region != region)
        selected = [*candidates[:MANIFEST_PEERS], *candidates[-1:]]
        for peer in selected:
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

    async def _wait_for_next_round(self) -> None:
        """Wait ROUND_INTERVAL_S, or for news and then BATCH_DELAY_S for more."""
        try:
            await asyncio.wait_for(self._wake.wait(), ROUND_INTERVAL_S)
        except TimeoutError:
            return
        await asyncio.sleep(BATCH_DELAY_S)
        self._wake.clear()

    def _start_jobs(self, stored: chunks.StoredVersion) -> None:
        """Start fetches from upstream and from holders in this region, as allowed."""
        holder_bits = self._ctx.region_holders(self.digest)
        missing = [
            index for index in stored.missing_indexes if index not in self._fetching
        ]
        for index in self._list_due_chunks(stored, missing, holder_bits):
            if len(self._upstream_jobs) >= self._max_upstream_jobs(index):
                continue
            self._start_job(
                self._upstream_jobs, index, self._fetch_upstream(stored, index)
            )
        while len(self._peer_jobs) < MAX_PEER_JOBS:
            missing = [index for index in missing if index not in self._fetching]
            picked = fetchplan.pick_next_chunk(
                missing,
                holder_bits,
                self._expected_wait_s,
                self._ctx.rand,
            )
            if picked is None:
                return
            index, name = picked
            self._outstanding[name] += 1
            job = self._fetch_from_region(stored, index, name)
            self._start_job(self._peer_jobs, index, job)

    def _max_upstream_jobs(self, index: int) -> int:
        """Return the number of upstream fetches at a time, by the source of a chunk."""
        # The store answers in the order of the requests. If a fetcher requested all
        # its chunks at once, it would be served before others can start to relay.
        if self._plan is not None and self._plan.upstreams[index].from_store:
            return MAX_STORE_JOBS
        return MAX_UPSTREAM_JOBS

    def _expected_wait_s(self, name: str) -> float:
        """Return the seconds until a holder would send, infinite at its limit."""
        upload_s = self._chunk_upload_s * self._outstanding[name]
        if self._outstanding[name] >= fetchplan.IN_FLIGHT_PER_HOLDER:
            return float('inf')
        return self._ctx.holders.backlog_s(name) + upload_s

    def _start_job(
        self,
        jobs: set['asyncio.Task[None]'],
        index: int,
        work: Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a fetch of a chunk as a task that is removed from `jobs` when it ends."""
        self._fetching.add(index)
        task = asyncio.create_task(work)
        jobs.add(task)

        def on_end(job: 'asyncio.Task[None]') -> None:
            jobs.discard(job)
            self._fetching.discard(index)
            self._wake.set()
            if not job.cancelled() and job.exception() is not None:
                journal.error('fetch.failed', error=repr(job.exception()))

        task.add_done_callback(on_end)

    def _list_due_chunks(
        self,
        stored: chunks.StoredVersion,
        missing: list[int],
        holder_bits: dict[str, int],
    ) -> list[int]:
        """Return the chunks that this agent must fetch from upstream now, shuffled."""
        plan = self._plan
        if plan is None:
            return []
        lease_duration_s = fetchplan.lease_s(
            stored.manifest.chunk_bytes, self._upstream_bytes_per_s
        )
        region_bits = holders.unite(holder_bits.values())
        due = [
            index
            for index in missing
            if index in self._positions
            and not region_bits >> index & 1
            and self._may_fetch_upstream(plan, index, lease_duration_s)
        ]
        self._ctx.rand.shuffle(due)
        return due

    def _may_fetch_upstream(
        self,
        plan: fetchplan.Plan,
        index: int,
        lease_duration_s: float,
    ) -> bool:
        """Return whether the leases of all fetchers before this agent have expired."""
        position = self._positions[index]
        now = time.monotonic()
        idle_s = [
            now - self._peer_progress_at.get(name, self._last_progress_at)
            for name in plan.fetchers[index][:position]
        ]
        return fetchplan.may_fetch(idle_s, lease_duration_s)

    async def _fetch_upstream(self, stored: chunks.StoredVersion, index: int) -> None:
        """Fetch a chunk as a fetcher of this region, from the store or a peer."""
        plan = typing.cast(fetchplan.Plan, self._plan)
        name = ''
        if not plan.upstreams[index].from_store:
            name = self._select_upstream_peer(plan, index)
        if not name:
            await self._fetch_from_store(stored, index)
        elif not await self._fetch_from_peer(stored, index, name):
            await asyncio.sleep(self._ctx.rand.uniform(PEER_RETRY_S / 2, PEER_RETRY_S))

    async def _fetch_from_region(
        self,
        stored: chunks.StoredVersion,
        index: int,
        name: str,
    ) -> None:
        """Fetch a chunk from a holder in this region; wait after a failure."""
        try:
            if not await self._fetch_from_peer(stored, index, name):
                await asyncio.sleep(
                    self._ctx.rand.uniform(PEER_RETRY_S / 2, PEER_RETRY_S)
                )
        finally:
            self._outstanding[name] -= 1

    def _select_upstream_peer(self, plan: fetchplan.Plan, index: int) -> str:
        """Select a peer of the upstream region, if possible the chunk's first fetcher.

        Return its name, empty when no peer there is usable.
        """
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

    async def _fetch_from_peer(
        self, stored: chunks.StoredVersion, index: int, name: str
    ) -> bool:
        """Request a chunk from a peer and store it; return whether it was stored."""
        peer = self._ctx.members.peers.get(name)
        if peer is None:
            self._ctx.holders.drop_peer(name)
            return False
        await self._ctx.pacers.download.wait_idle()
        try:
            body = await peer.channel.request(
                wire.ChunkRequest(self.digest, index),
                self._request_timeout_s(stored),
            )
        except (TimeoutError, link.ChannelClosed):
            self._suspend_peer(name, 'no_answer')
            return False
        if not isinstance(body, wire.Chunk):
            return False
        self._ctx.holders.update_backlog(name, body.backlog_s)
        if not body.found:
            return False
        if self._store_chunk(stored, index, body.body):
            return True
        self._suspend_peer(name, 'corrupt_chunk')
        return False

    def _suspend_peer(self, name: str, reason: str) -> None:
        journal.warning('weights.held_back', peer=name, reason=reason)
        self._ctx.holders.suspend(name)

    def _request_timeout_s(self, stored: chunks.StoredVersion) -> float:
        """Return the seconds to wait for a chunk from a peer."""
        return (
            MIN_REQUEST_TIMEOUT_S
            + 3 * stored.manifest.chunk_bytes / self._upstream_bytes_per_s
        )

    @property
    def _upstream_bytes_per_s(self) -> float:
        """Return the share of a link between regions of each first fetcher."""
        first_fetchers = set()
        if self._plan is not None:
            first_fetchers = {names[0] for names in self._plan.fetchers if names}
        cfg = self._ctx.cfg
        return cfg.region_bytes_per_s * cfg.region_share / max(1, len(first_fetchers))

    async def _fetch_from_store(self, stored: chunks.StoredVersion, index: int) -> None:
        """Read a chunk from the store or origin until it is held in the region."""
        cfg = self._ctx.cfg
        attempt_count = 0
        while index not in stored.chunks:
            attempt_count += 1
            url = cfg.store if attempt_count % ATTEMPTS_PER_ORIGIN_READ else cfg.origin
            await self._ctx.pacers.download.wait_idle()
            body = await self._read_from_store(url, stored, index)
            if body and self._store_chunk(stored, index, body):
                self._ctx.metrics.count('chunk_bytes_from_store', len(body))
                return
            ceiling = min(STORE_RETRY_CEILING_S, STORE_RETRY_S * 2**attempt_count)
            await asyncio.sleep(self._ctx.rand.uniform(MIN_STORE_RETRY_S, ceiling))
            if self._ctx.region_chunk_bits(self.digest) >> index & 1:
                return

    async def _read_from_store(
        self,
        url: str,
        stored: chunks.StoredVersion,
        index: int,
    ) -> bytes:
        """Return the bytes of a chunk, or none when it cannot be read."""
        try:
            return await self._ctx.sources.chunk(url, stored.manifest.chunks[index])
        except httpio.HttpFailure as exc:
            journal.debug('weights.chunk_unread', index=index, error=str(exc))
            return b''

    def _store_chunk(
        self, stored: chunks.StoredVersion, index: int, body: bytes
    ) -> bool:
        """Store a chunk after verification; return whether it was intact."""
        self._ctx.pacers.download.reserve(len(body))
        if not self._ctx.table.store_chunk(stored.digest, index, body):
            journal.warning('weights.corrupt', digest=stored.digest, index=index)
            self._ctx.metrics.count('chunks_corrupt')
            return False
        is_new = not self._ctx.region_chunk_bits(self.digest) >> index & 1
        self._ctx.on_chunk_stored(stored.digest, index, is_new=is_new)
        return True

    def _update_plan(self, stored: chunks.StoredVersion) -> None:
        """Make a new plan when receivers changed, at most every PLAN_INTERVAL_S."""
        now = time.monotonic()
        if now - self._planned_at < PLAN_INTERVAL_S:
            return
        self._planned_at = now
        rates = self._list_receiver_rates()
        if rates == self._planned_rates:
            return
        self._planned_rates = rates
        receivers = fetchplan.Receivers(rates, self._ctx.cfg.store_region)
        self._plan = fetchplan.make_plan(
            self.digest,
            len(stored.manifest.chunks),
            self._ctx.members.card.region,
            receivers,
        )
        self._positions = self._plan.positions_of(self._ctx.members.card.name)

    def _list_receiver_rates(self) -> dict[str, dict[str, float]]:
        """Return the rendezvous weights of the receiving agents, by region and name."""
        card = self._ctx.members.card
        rates: dict[str, dict[str, float]] = {
            card.region: {card.name: card.link_bytes_per_s or 1.0},
        }
        default_rate = card.link_bytes_per_s or 1.0
        for cand in self._ctx.members.listed_candidates('agent'):
            if cand.serves == card.serves and not self._ctx.members.is_lost(cand.name):
                rates.setdefault(cand.region, {})[cand.name] = default_rate
        for peer in self._ctx.serving_peers():
            region_rates = rates.setdefault(peer.card.region, {})
            region_rates[peer.card.name] = peer.card.link_bytes_per_s or 1.0
            if peer.leaving:
                region_rates.pop(peer.card.name)
        if self._ctx.cfg.proportional:
            return {
                region_name: fetchplan.capped_weights(region_rates)
                for region_name, region_rates in rates.items()
            }
        return {
            region_name: dict.fromkeys(region_rates, 1.0)
            for region_name, region_rates in rates.items()
        }
