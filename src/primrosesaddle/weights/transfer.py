"""Transfer of weights: what a process fetches, holds and serves to its peers."""

import asyncio
import random
import time

from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import metrics
from primrosesaddle.weights import chunks, fetch, holders, pacing

__all__ = ('WeightTransfer',)

HAVE_INTERVAL_S = 0.2
HAVE_BYTES = 64
HAVE_BYTES_PER_S = 2048
HAVE_REFRESH_S = 2.0
NEWS_INTERVAL_S = 0.05
HOLD_S = 2.0
UPLOAD_BACKLOG_S = 1.0


class WeightTransfer:
    """Fetch the wanted versions, serve what is held, keep within the links."""

    def __init__(
        self,
        cfg: fetch.WeightsConfig,
        members: membertable.MemberTable,
        sources: fetch.Sources,
        counts: metrics.Metrics,
        rand: random.Random,
    ) -> None:
        """Create a process's part in the spread."""
        self.table = chunks.ChunkTable(cfg.memory_bytes)
        self.pacers = pacing.Pacers(cfg.machine_bytes_per_s, cfg.machine_share)
        self._cfg = cfg
        self._members = members
        self._metrics = counts
        self._holders = holders.Holders()
        self._context = fetch.Context(
            cfg,
            members,
            sources,
            counts,
            rand,
            self.table,
            self.pacers,
            self._holders,
            self._kept,
        )
        self._fetches: dict[str, fetch.Fetch] = {}
        self._arrived: dict[tuple[str, int], asyncio.Event] = {}
        self._uploads: set[asyncio.Task[None]] = set()
        self._dirty: set[str] = set()
        self._news: set[str] = set()

    def start_fetch(self, digest: str) -> fetch.Fetch:
        """Begin to fetch a version, unless that is under way; return the fetch."""
        known = self._fetches.get(digest)
        if known is not None:
            return known
        begun = fetch.Fetch(self._context, digest)
        self._fetches[digest] = begun
        begun.task = asyncio.create_task(begun.run())
        return begun

    def discard_version(self, digest: str) -> None:
        """Stop the fetch of a version at once, and forget what is held of it."""
        begun = self._fetches.pop(digest, None)
        if begun is not None and begun.task is not None:
            begun.task.cancel()
        self.table.drop_version(digest)
        self._holders.drop_version(digest)

    def progress(self) -> dict[str, float]:
        """Return the held share of every version."""
        found = {}
        for digest in {*self.table.digests, *self._fetches}:
            holding = self.table.get(digest)
            total = len(holding.manifest.chunks) if holding else 1
            found[digest] = len(holding.chunks) / total if holding else 0.0
        return found

    def drop_peer(self, peer: peers.Peer) -> None:
        """Forget what a peer held that is gone."""
        self._holders.drop_peer(peer.card.name)

    def answer_want(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        """Answer a peer's request for a chunk or a manifest."""
        task = asyncio.create_task(self._serve(channel, rid, body))
        self._uploads.add(task)
        task.add_done_callback(self._uploads.discard)

    def update_from_have(self, channel: link.Channel, body: wire.HeldChunks) -> None:
        """Take a peer's word of what it holds."""
        if channel.card is None:
            return
        holding = self.table.get(body.manifest)
        count = len(holding.manifest.chunks) if holding else len(body.bitmap) * 8
        told = chunks.bits_from_bitmap(body.bitmap, count)
        name = channel.card.name
        begun = self._fetches.get(body.manifest)
        self._holders.update_backlog(name, body.backlog_s)
        if self._holders.update(body.manifest, name, told) and begun is not None:
            begun.record_peer_progress(name)

    async def run(self) -> None:
        """Tell the neighbours what is held, until cancelled.

        What is new to the region is told at once, the rest as the budget allows.
        """
        told_at = refreshed_at = time.monotonic()
        while True:
            await asyncio.sleep(NEWS_INTERVAL_S)
            now = time.monotonic()
            due, self._news = self._news, set()
            if now - told_at > have_interval_s(len(self._neighbours())):
                told_at = now
                due |= self._dirty
            if now - refreshed_at > HAVE_REFRESH_S:
                refreshed_at = now
                for held in self.table.digests:
                    self._tell_neighbours(held, everyone=True)
            self._dirty -= due
            for digest in due:
                self._tell_neighbours(digest)

    async def stop(self) -> None:
        """Stop all fetches and uploads."""
        tasks = [begun.task for begun in self._fetches.values() if begun.task]
        for task in (*tasks, *self._uploads):
            task.cancel()
        await asyncio.gather(*tasks, *self._uploads, return_exceptions=True)

    def _kept(self, digest: str, index: int, *, news: bool) -> None:
        (self._news if news else self._dirty).add(digest)
        event = self._arrived.pop((digest, index), None)
        if event is not None:
            event.set()

    async def _serve(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        holding = self.table.get(body.manifest)
        if body.index < 0:
            text = holding.text if holding else b''
            channel.send(wire.Chunk(bool(text), text), rid, reply=True)
            return
        if self._is_behind(channel):
            self._answer(channel, rid, b'')
            return
        chunk = await self._await_chunk(body)
        if chunk:
            await self._pass(channel, body.manifest, len(chunk))
            self._metrics.count('chunk_bytes_served', len(chunk))
        self._answer(channel, rid, chunk)

    def _answer(self, channel: link.Channel, rid: int, chunk: bytes) -> None:
        backlog_s = round(self.pacers.upload.backlog_s, 3)
        channel.send(wire.Chunk(bool(chunk), chunk, backlog_s), rid, reply=True)

    def _is_behind(self, channel: link.Channel) -> bool:
        backlog_s = self.pacers.upload.backlog_s
        if channel.card is not None:
            backlog_s = max(backlog_s, self.pacers.backlog_s(channel.card.region))
        return backlog_s > UPLOAD_BACKLOG_S

    async def _await_chunk(self, body: wire.ChunkRequest) -> bytes:
        holding = self.table.get(body.manifest)
        if holding is None:
            return b''
        if body.index not in holding.chunks:
            key = (body.manifest, body.index)
            event = self._arrived.setdefault(key, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), HOLD_S)
            except TimeoutError:
                return b''
        return holding.chunks.get(body.index, b'')

    async def _pass(self, channel: link.Channel, digest: str, size: int) -> None:
        """Wait for the links; what leaves the region does not wait behind the rest."""
        wait_s = self.pacers.upload.reserve(size)
        card = channel.card
        if card is None or card.region == self._members.card.region:
            await asyncio.sleep(wait_s)
            return
        rate = self._cfg.region_bytes_per_s * self._cfg.region_share
        begun = self._fetches.get(digest)
        if begun is not None:
            rate = begun.region_rate(card.region)
        await self.pacers.region_pacer(card.region, rate).wait_to_send(size)

    def _tell_neighbours(self, digest: str, *, everyone: bool = False) -> None:
        """Tell the neighbours that lack something that is held here, or all."""
        holding = self.table.get(digest)
        if holding is None:
            return
        backlog_s = round(self.pacers.upload.backlog_s, 3)
        told = wire.HeldChunks(digest, holding.bitmap, backlog_s)
        for peer in self._neighbours():
            known = self._holders.bits(digest, peer.card.name)
            if everyone or holding.bits & ~known:
                peer.channel.send(told)

    def _neighbours(self) -> list[peers.Peer]:
        region = self._members.card.region
        fellows = self._context.serving_peers()
        return [peer for peer in fellows if peer.card.region == region]


def have_interval_s(neighbours: int) -> float:
    """Return the interval that keeps the word to all neighbours within its budget."""
    return max(HAVE_INTERVAL_S, neighbours * HAVE_BYTES / HAVE_BYTES_PER_S)
