"""Fetch the wanted versions of weights, and serve their chunks to peers."""

import asyncio
import random
import time

from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import metrics
from primrosesaddle.weights import chunks, fetch, holders, pacing

__all__ = ('WeightTransfer',)

REPORT_INTERVAL_S = 0.2
REPORT_BYTES = 64
REPORT_BYTES_PER_S = 2048
REPORT_REFRESH_S = 2.0
NEWS_INTERVAL_S = 0.05
CHUNK_WAIT_S = 2.0
MAX_UPLOAD_BACKLOG_S = 1.0


class WeightTransfer:
    """Fetches wanted versions and serves held chunks, within the rates of the links."""

    def __init__(
        self,
        cfg: fetch.WeightsConfig,
        members: membertable.MemberTable,
        sources: fetch.Sources,
        counts: metrics.Metrics,
        rand: random.Random,
    ) -> None:
        """Create the transfers of a process."""
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
            self._on_chunk_stored,
        )
        self._fetches: dict[str, fetch.Fetch] = {}
        self._chunk_events: dict[tuple[str, int], asyncio.Event] = {}
        self._uploads: set[asyncio.Task[None]] = set()
        self._changed_digests: set[str] = set()
        self._new_digests: set[str] = set()

    def start_fetch(self, digest: str) -> fetch.Fetch:
        """Start the fetch of a version, unless it has started; return the fetch."""
        known = self._fetches.get(digest)
        if known is not None:
            return known
        fetching = fetch.Fetch(self._context, digest)
        self._fetches[digest] = fetching
        fetching.task = asyncio.create_task(fetching.run())
        return fetching

    def discard_version(self, digest: str) -> None:
        """Cancel the fetch of a version, and remove its chunks."""
        fetching = self._fetches.pop(digest, None)
        if fetching is not None and fetching.task is not None:
            fetching.task.cancel()
        self.table.drop_version(digest)
        self._holders.drop_version(digest)

    def progress(self) -> dict[str, float]:
        """Return the share of chunks held, from 0 to 1, of every version."""
        shares = {}
        for digest in {*self.table.digests, *self._fetches}:
            stored = self.table.get(digest)
            total = len(stored.manifest.chunks) if stored else 1
            shares[digest] = len(stored.chunks) / total if stored else 0.0
        return shares

    def drop_peer(self, peer: peers.Peer) -> None:
        """Remove the chunks recorded for a peer that has left."""
        self._holders.drop_peer(peer.card.name)

    def answer_chunk_request(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        """Answer a peer's request for a chunk or a manifest, in a task of its own."""
        task = asyncio.create_task(self._send_answer(channel, rid, body))
        self._uploads.add(task)
        task.add_done_callback(self._uploads.discard)

    def update_from_held_chunks(
        self, channel: link.Channel, body: wire.HeldChunks
    ) -> None:
        """Record the chunks that a peer reports to hold."""
        if channel.card is None:
            return
        stored = self.table.get(body.manifest)
        count = len(stored.manifest.chunks) if stored else len(body.bitmap) * 8
        bits = chunks.bits_from_bitmap(body.bitmap, count)
        name = channel.card.name
        fetching = self._fetches.get(body.manifest)
        self._holders.update_backlog(name, body.backlog_s)
        if self._holders.update(body.manifest, name, bits) and fetching is not None:
            fetching.record_peer_progress(name)

    async def run(self) -> None:
        """Report the held chunks to the neighbours, until cancelled.

        Chunks that are new to the region are reported every NEWS_INTERVAL_S, others
        within a budget of REPORT_BYTES_PER_S, and everything every REPORT_REFRESH_S.
        """
        reported_at = refreshed_at = time.monotonic()
        while True:
            await asyncio.sleep(NEWS_INTERVAL_S)
            now = time.monotonic()
            due_digests, self._new_digests = self._new_digests, set()
            if now - reported_at > report_interval_s(len(self._neighbours())):
                reported_at = now
                due_digests |= self._changed_digests
            if now - refreshed_at > REPORT_REFRESH_S:
                refreshed_at = now
                for held_digest in self.table.digests:
                    self._report_chunks(held_digest, everyone=True)
            self._changed_digests -= due_digests
            for digest in due_digests:
                self._report_chunks(digest)

    async def stop(self) -> None:
        """Stop all fetches and uploads."""
        tasks = [fetching.task for fetching in self._fetches.values() if fetching.task]
        for task in (*tasks, *self._uploads):
            task.cancel()
        await asyncio.gather(*tasks, *self._uploads, return_exceptions=True)

    def _on_chunk_stored(self, digest: str, index: int, *, is_new: bool) -> None:
        """Mark a version for a report, and wake requests that wait for the chunk."""
        (self._new_digests if is_new else self._changed_digests).add(digest)
        stored_event = self._chunk_events.pop((digest, index), None)
        if stored_event is not None:
            stored_event.set()

    async def _send_answer(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        """Send the manifest or chunk that a request names, once the links allow it."""
        stored = self.table.get(body.manifest)
        if body.index < 0:
            text = stored.text if stored else b''
            channel.send(wire.Chunk(bool(text), text), rid, reply=True)
            return
        if self._is_overloaded(channel):
            self._send_chunk(channel, rid, b'')
            return
        chunk = await self._await_chunk(body)
        if chunk:
            await self._wait_for_links(channel, body.manifest, len(chunk))
            self._metrics.count('chunk_bytes_served', len(chunk))
        self._send_chunk(channel, rid, chunk)

    def _send_chunk(self, channel: link.Channel, rid: int, chunk: bytes) -> None:
        """Answer a request with a chunk, which may be empty."""
        backlog_s = round(self.pacers.upload.backlog_s, 3)
        channel.send(wire.Chunk(bool(chunk), chunk, backlog_s), rid, reply=True)

    def _is_overloaded(self, channel: link.Channel) -> bool:
        """Return whether the upload backlog towards a peer is above the maximum."""
        backlog_s = self.pacers.upload.backlog_s
        if channel.card is not None:
            backlog_s = max(backlog_s, self.pacers.backlog_s(channel.card.region))
        return backlog_s > MAX_UPLOAD_BACKLOG_S

    async def _await_chunk(self, body: wire.ChunkRequest) -> bytes:
        """Return a chunk, waiting up to CHUNK_WAIT_S for it; empty if it is missing."""
        stored = self.table.get(body.manifest)
        if stored is None:
            return b''
        if body.index not in stored.chunks:
            key = (body.manifest, body.index)
            event = self._chunk_events.setdefault(key, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), CHUNK_WAIT_S)
            except TimeoutError:
                return b''
        return stored.chunks.get(body.index, b'')

    async def _wait_for_links(
        self, channel: link.Channel, digest: str, size_bytes: int
    ) -> None:
        """Wait until the links allow sending a number of bytes.

        A chunk for another region waits only for the link to that region, not behind
        the chunks for this one.
        """
        wait_s = self.pacers.upload.reserve(size_bytes)
        card = channel.card
        if card is None or card.region == self._members.card.region:
            await asyncio.sleep(wait_s)
            return
        rate = self._cfg.region_bytes_per_s * self._cfg.region_share
        fetching = self._fetches.get(digest)
        if fetching is not None:
            rate = fetching.region_rate(card.region)
        await self.pacers.region_pacer(card.region, rate).wait_to_send(size_bytes)

    def _report_chunks(self, digest: str, *, everyone: bool = False) -> None:
        """Report the held chunks to neighbours that lack some, or to all neighbours."""
        stored = self.table.get(digest)
        if stored is None:
            return
        backlog_s = round(self.pacers.upload.backlog_s, 3)
        report = wire.HeldChunks(digest, stored.bitmap, backlog_s)
        for peer in self._neighbours():
            known = self._holders.bits(digest, peer.card.name)
            if everyone or stored.bits & ~known:
                peer.channel.send(report)

    def _neighbours(self) -> list[peers.Peer]:
        """Return the agents in this region whose servers serve the same model."""
        region = self._members.card.region
        serving = self._context.serving_peers()
        return [peer for peer in serving if peer.card.region == region]


def report_interval_s(neighbours: int) -> float:
    """Return the interval in seconds that keeps reports to all within the budget."""
    return max(REPORT_INTERVAL_S, neighbours * REPORT_BYTES / REPORT_BYTES_PER_S)
