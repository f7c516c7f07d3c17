"""The weight cache: reads pieces of weights once and serves them to other processes.

Every piece has a primary among the entries of a region. The primaries in the origin's
region read from the origin, those of other regions from the former, and agents from
the primaries in their own region, so that each piece leaves the origin once and
enters each region once. For what a primary lacks, as after a restart, it asks other
entries that may hold it.
"""

import asyncio
import collections
import dataclasses
import random
import time
import typing
from collections.abc import Callable, Iterator, Sequence

from primrosesaddle.core import backoff
from primrosesaddle.membership import link, wire
from primrosesaddle.net import call
from primrosesaddle.staging import doubts, pieces, piecesources
from primrosesaddle.telemetry import journal

__all__ = ('WeightCache', 'Origin', 'Sources')

# Versions of each model: the newest, the one before it, and one being superseded.
KEPT_VERSIONS = 3
PEER_TIMEOUT_S = 2.5  # a piece takes 0.1 s on a free link
HELD_TIMEOUT_S = 0.5  # a request for what is held is answered at once
RETRY_S = 0.1
MAX_RETRY_S = 0.15  # the peer has already waited for as long
PARALLEL_READS = 3  # pieces that an entry reads at once; they fill the origin's link
# After a power failure machines come back within half a second of each other. An
# entry that did not know the others yet would read every piece from the origin.
DISCOVERY_TIMEOUT_S = 0.6
JOINING_S = 0.1  # from the first known other entry until all are known
SERVE_TIMEOUT_S = 0.15  # after this a peer gets no piece, and asks again later
POLL_S = 0.02  # between checks whether a piece has arrived
# Times that a primary lacks a piece until the sources after it are asked.
LACKS_PER_FALLBACK = 16
# Reads of a manifest that states another number of layers than is expected, until it is
# used without a number.
LAYER_COUNT_READS = 3
_READ_ERRORS = (call.CallFailed, TimeoutError, link.ChannelClosed, ValueError)
FAILURES_PER_LOG_LINE = 20  # one in this many failed reads is logged
MANIFEST_INDEX = -1  # stands for the digests in place of a piece
# Blocks in transit delay calls on the same link: two of them take 26 ms at the
# 3.8 Mbit/s of an agent's machine, and two are enough to keep the link busy. An
# agent reads two pieces at once, and one block of each.
BLOCK_BYTES = 6 * 1024
PARALLEL_BLOCKS = 2
AGENT_PARALLEL_BLOCKS = 1


class Origin(typing.Protocol):
    """The origin of weights."""

    async def read_digests(self, version: pieces.Version) -> pieces.Digests:
        """Return the digests of a version's pieces."""

    async def read_piece(self, version: pieces.Version, index: int) -> bytes:
        """Return a piece, which may be corrupt."""


class Sources(typing.NamedTuple):
    """Where a cache may read: functions that return entries and the origin.

    `get_origin` returns None when the origin may not be read. `get_shape` returns the
    shape of a model's weights, as far as the configuration tells.
    """

    list_peers: Callable[[], Sequence[piecesources.Peer]]
    get_origin: Callable[[], Origin | None]
    get_origin_region: Callable[[], str]
    get_shape: Callable[[str], pieces.Shape] = lambda model: pieces.Shape()


class WeightCache:
    """Reads pieces once, verifies them, stores them and serves them to peers.

    `origin_bytes` and `peer_bytes` count what was read from the origin and peers.
    """

    def __init__(
        self,
        name: str,
        region: str,
        sources: Sources,
        rand: random.Random,
        parallel_blocks: int = PARALLEL_BLOCKS,
    ) -> None:
        """Create the empty cache of a process.

        `name` is that of the process; an agent is never a primary. `parallel_blocks`
        is the number of blocks of a piece that are requested at once.
        """
        self._parallel_blocks = parallel_blocks
        self._name = name
        self._region = region
        self._sources = sources
        self._rand = rand
        self._digests: dict[pieces.Version, pieces.Digests] = {}
        self._held: dict[pieces.Version, dict[int, bytes]] = {}
        self._reading: dict[tuple[pieces.Version, int], asyncio.Task[None]] = {}
        self._doubts = doubts.Doubts(time.monotonic)
        self._wrong_layer_counts: collections.Counter[pieces.Version]
        self._wrong_layer_counts = collections.Counter()
        # Fingerprints of manifests that were refused, for other processes to check.
        self._refused: dict[pieces.Version, str] = {}
        self._lack_counts: collections.Counter[tuple[pieces.Version, int]]
        self._lack_counts = collections.Counter()
        self._failures = 0
        self._prefetching: set[pieces.Version] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self.origin_bytes = 0
        self.peer_bytes = 0

    async def fetch_digests(self, version: pieces.Version) -> pieces.Digests:
        """Return the digests of a version; retry until they are read."""
        while True:
            digests = self._digests.get(version)
            if digests is not None:
                return digests
            await self._read_shared(version, MANIFEST_INDEX)

    async def fetch_piece(self, version: pieces.Version, index: int) -> bytes:
        """Return a verified piece; retry until it is read."""
        attempts = 0
        while True:
            body = await self.try_fetch_piece(version, index)
            if body is not None:
                return body
            await asyncio.sleep(
                backoff.delay_s(attempts, RETRY_S, MAX_RETRY_S, self._rand)
            )
            attempts += 1

    async def try_fetch_piece(
        self, version: pieces.Version, index: int
    ) -> bytes | None:
        """Return a verified piece, or None when one attempt did not yield it."""
        body = self._held.get(version, {}).get(index)
        if body is None and not self._doubts.get_delay_s(version, index):
            await self._read_shared(version, index)
            body = self._held.get(version, {}).get(index)
        return body

    async def prefetch(self, version: pieces.Version) -> None:
        """Read the pieces of which this process is the primary, a few at once."""
        await self._await_peers()
        digests = await self.fetch_digests(version)
        indexes = iter(piecesources.interleave_indexes(len(digests.pieces)))
        workers = [
            self._prefetch_pieces(version, indexes) for _ in range(PARALLEL_READS)
        ]
        self._prefetching.add(version)
        try:
            await asyncio.gather(*workers)
        finally:
            self._prefetching.discard(version)
        held = len(self._held.get(version, {}))
        journal.info(
            'depot.filled',
            version=version.label,
            pieces=held,
            origin_bytes=self.origin_bytes,
            peer_bytes=self.peer_bytes,
        )

    async def _await_peers(self) -> None:
        """Wait until other entries are known, or assume that there are none."""
        checks_left = int(DISCOVERY_TIMEOUT_S / POLL_S)
        while checks_left and len(self._sources.list_peers()) < 2:
            checks_left -= 1
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(JOINING_S)

    async def _prefetch_pieces(
        self, version: pieces.Version, indexes: Iterator[int]
    ) -> None:
        for index in indexes:
            if self._is_primary(version, index):
                await self.fetch_piece(version, index)

    def drop_version(self, version: pieces.Version) -> None:
        """Drop the pieces and digests of a version."""
        self._held.pop(version, None)
        self._digests.pop(version, None)
        self._refused.pop(version, None)
        self._wrong_layer_counts.pop(version, None)
        self._doubts.drop_version(version)

    def serve_request(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        """Answer a peer's request for digests or a piece, in a task of its own."""
        task = asyncio.create_task(self._answer_request(channel, rid, body))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _answer_request(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        version = pieces.parse_label(body.manifest)
        if version is None:
            channel.send(wire.Chunk(False, b''), rid, reply=True)
            return
        if body.held_only:
            found = self._get_held(version, body.index)
        else:
            found = await self._await_requested(version, body)
        part = found[body.begin : body.end or len(found)]
        channel.send(wire.Chunk(bool(found), part), rid, reply=True)

    def _get_held(self, version: pieces.Version, index: int) -> bytes:
        """Return digests or a piece if they are held, else empty bytes."""
        if index != MANIFEST_INDEX:
            return self._held.get(version, {}).get(index, b'')
        digests = self._digests.get(version)
        if digests is None:
            return b''
        return '\n'.join((str(digests.layer_count), *digests.pieces)).encode()

    async def _await_requested(
        self, version: pieces.Version, body: wire.ChunkRequest
    ) -> bytes:
        if body.index == MANIFEST_INDEX:
            found = self._get_requested_digests(version, body.doubted)
        else:
            found = self._get_requested(version, body.index)
        try:
            return await asyncio.wait_for(found, SERVE_TIMEOUT_S)
        except TimeoutError:
            return b''

    async def _get_requested_digests(
        self, version: pieces.Version, doubted: str
    ) -> bytes:
        """Return digests; those that a peer doubts are read again before."""
        digests = await self.fetch_digests(version)
        if digests.fingerprint == doubted and self._doubts.start_reread(version):
            await self._read_shared(version, MANIFEST_INDEX)
        return self._get_held(version, MANIFEST_INDEX)

    async def _get_requested(self, version: pieces.Version, index: int) -> bytes:
        digests = await self.fetch_digests(version)
        if not 0 <= index < len(digests.pieces):
            return b''
        if version in self._prefetching and self._is_primary(version, index):
            # The piece is about to be prefetched; a further parallel read would delay
            # all pieces.
            while version in self._prefetching:
                body = self._held.get(version, {}).get(index)
                if body is not None:
                    return body
                await asyncio.sleep(POLL_S)
        return await self.fetch_piece(version, index)

    async def _read_shared(self, version: pieces.Version, index: int) -> None:
        """Read digests or a piece, or wait for a read that is under way."""
        key = (version, index)
        task = self._reading.get(key)
        # The callback that removes a finished task may not have run yet.
        if task is None or task.done():
            task = asyncio.create_task(self._read(version, index))
            self._reading[key] = task
            task.add_done_callback(lambda done: self._remove_read(key, done))
        await asyncio.shield(task)

    def _remove_read(
        self, key: tuple[pieces.Version, int], done: 'asyncio.Task[None]'
    ) -> None:
        if self._reading.get(key) is done:
            self._reading.pop(key)

    async def _read(self, version: pieces.Version, index: int) -> None:
        """Read digests or a piece once, and store a piece that is intact."""
        try:
            body = await self._read_from_sources(version, index)
        except _READ_ERRORS as exc:
            self._record_failure(version, index, exc)
            body = b''
        if index == MANIFEST_INDEX:
            if version not in self._digests:
                delay_s = self._doubts.get_delay_s(version, MANIFEST_INDEX)
                await asyncio.sleep(max(RETRY_S, delay_s))
            return
        digests = self._digests.get(version)
        if digests is None or not body:
            return
        if pieces.matches_digest(digests, index, body):
            self._held.setdefault(version, {})[index] = body
            self._doubts.record_intact(version, index)
            return
        journal.warning('piece.spoilt', version=version.label, index=index)
        is_doubted = self._doubts.record_corrupt(version, index)
        if is_doubted and self._doubts.start_reread(version):
            journal.warning('manifest.doubted', version=version.label, index=index)
            await self._read_shared(version, MANIFEST_INDEX)

    def _record_failure(
        self, version: pieces.Version, index: int, exc: Exception
    ) -> None:
        """Count a failed read, and log the first and then one in many."""
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            journal.info(
                'piece.unread',
                version=version.label,
                index=index,
                failures=self._failures,
                error=repr(exc),
            )

    async def _read_from_sources(self, version: pieces.Version, index: int) -> bytes:
        """Read digests or a piece from the first source that has it.

        Returns empty bytes when none has. When a primary lacks the piece, the sources
        that would read it from elsewhere are skipped, as the primary is asked again.
        """
        waits_for_primary = False
        for peer, only_if_held in self._list_sources(version, index):
            if waits_for_primary and not only_if_held:
                continue
            if peer.channel is None:
                return await self._read_origin(version, index)
            body = await self._ask_peer(
                peer.name, peer.channel, version, index, only_if_held
            )
            if body:
                return body
            if body is None:
                continue
            waits_for_primary = waits_for_primary or self._has_to_wait(
                version, index, only_if_held
            )
        return b''

    async def _ask_peer(
        self,
        name: str,
        channel: link.Channel,
        version: pieces.Version,
        index: int,
        only_if_held: bool,
    ) -> bytes | None:
        """Return digests or a piece from a peer, empty bytes if it has none.

        Returns None if there is no answer, or if the digests in it are refused.
        """
        try:
            body = await self._read_peer(channel, version, index, only_if_held)
            self.peer_bytes += len(body)
            if body and index == MANIFEST_INDEX:
                layer_count, *digests = body.decode().split('\n')
                self._store_digests(version, digests, int(layer_count))
        except (TimeoutError, link.ChannelClosed, ValueError) as exc:
            journal.info('piece.no_answer', peer=name, error=repr(exc))
            return None
        return body

    def _has_to_wait(
        self, version: pieces.Version, index: int, only_if_held: bool
    ) -> bool:
        """Return whether to ask a primary that lacks a piece again, not the origin."""
        if only_if_held:
            return False
        key = (version, index)
        self._lack_counts[key] += 1
        return self._lack_counts[key] % LACKS_PER_FALLBACK != 0

    async def _read_peer(
        self,
        channel: link.Channel,
        version: pieces.Version,
        index: int,
        only_if_held: bool,
    ) -> bytes:
        """Read digests or a piece from a peer, some blocks at once.

        If the peer may not hold it, only the first block is requested at first, and
        if it is asked to read digests again, which may change their length.
        """
        doubted = self._get_doubted(version, index)
        count_at_first = 1 if only_if_held or doubted else self._parallel_blocks
        blocks: list[bytes] = []
        requested: list[asyncio.Task[bytes]] = []
        begin = 0
        try:
            while not blocks or len(blocks[-1]) == BLOCK_BYTES:
                count = self._parallel_blocks if blocks else count_at_first
                while len(requested) < count:
                    block = wire.ChunkRequest(
                        version.label,
                        index,
                        begin,
                        begin + BLOCK_BYTES,
                        only_if_held,
                        doubted,
                    )
                    requested.append(
                        asyncio.create_task(_request_block(channel, block))
                    )
                    begin += BLOCK_BYTES
                    doubted = ''
                blocks.append(await requested.pop(0))
        finally:
            for task in requested:
                task.cancel()
        return b''.join(blocks)

    async def _read_origin(self, version: pieces.Version, index: int) -> bytes:
        origin = self._sources.get_origin()
        if origin is None:
            await asyncio.sleep(RETRY_S)  # peers may have answered at once
            raise call.CallFailed('no origin is known')
        if index == MANIFEST_INDEX:
            found = await origin.read_digests(version)
            self._store_digests(version, found.pieces, found.layer_count)
            return b'read'
        body = await origin.read_piece(version, index)
        self.origin_bytes += len(body)
        return body

    def _store_digests(
        self, version: pieces.Version, digests: Sequence[str], layer_count: int
    ) -> None:
        """Store digests, and drop the model's oldest versions above `KEPT_VERSIONS`.

        Raises `ValueError` for digests that the origin cannot have published.
        """
        found = pieces.Digests(version, tuple(digests), layer_count)
        shape = self._sources.get_shape(version.model)
        try:
            pieces.check_digests(found, shape)
            found = self._check_layer_count(found, shape)
        except ValueError as exc:
            journal.warning('manifest.refused', version=version.label, error=str(exc))
            self._refused[version] = found.fingerprint
            self._doubts.record_corrupt(version, MANIFEST_INDEX)
            raise
        self._refused.pop(version, None)
        self._doubts.record_accepted(version, MANIFEST_INDEX)
        known = self._digests.get(version)
        self._digests[version] = found
        if known is not None and known != found:
            journal.warning('manifest.replaced', version=version.label)
            self._doubts.record_new_digests(version)
        held = self._held.setdefault(version, {})
        self._held[version] = {
            index: body
            for index, body in held.items()
            if known == found or pieces.matches_digest(found, index, body)
        }
        others = [
            other
            for other in self._held
            if other.model == version.model and other != version
        ]
        others.sort(key=lambda other: other.number, reverse=True)
        for other in others[KEPT_VERSIONS - 1 :]:
            self.drop_version(other)

    def _check_layer_count(
        self, found: pieces.Digests, shape: pieces.Shape
    ) -> pieces.Digests:
        """Return digests with a number of layers that may be used.

        Which pieces a layer needs follows from that number. Digests that state another
        one than is expected are refused, and after some reads are used without it:
        every layer then needs all pieces.

        Raises `ValueError` if they are refused.
        """
        expected = shape.layer_count
        if expected in {0, found.layer_count}:
            return found
        version = found.version
        self._wrong_layer_counts[version] += 1
        if self._wrong_layer_counts[version] < LAYER_COUNT_READS:
            raise ValueError(
                f'{version.label} has {found.layer_count} layers, not {expected}'
            )
        return dataclasses.replace(found, layer_count=0)

    def _list_sources(
        self, version: pieces.Version, index: int
    ) -> list[piecesources.Source]:
        """Return the sources of digests or a piece, in the order of their use."""
        origin = piecesources.Peer('origin', self._sources.get_origin_region(), None)
        entries = self._sources.list_peers()
        found = piecesources.list_sources(
            self._name, self._region, origin, version, index, entries
        )
        if self._get_doubted(version, index):
            # Entries may have sent each other corrupt digests.
            return [source for source in found if not source.only_if_held]
        return found

    def _get_doubted(self, version: pieces.Version, index: int) -> str:
        """Return the fingerprint of the digests that a read is to replace, '' if none.

        Digests are read while some are known only if these are doubted.
        """
        if index != MANIFEST_INDEX:
            return ''
        known = self._digests.get(version)
        if known is not None:
            return known.fingerprint
        return self._refused.get(version, '')

    def _is_primary(self, version: pieces.Version, index: int) -> bool:
        """Return whether this process is the primary of a piece in its region."""
        entries = self._sources.list_peers()
        return piecesources.is_primary(
            self._name, self._region, version, index, entries
        )


async def _request_block(channel: link.Channel, block: wire.ChunkRequest) -> bytes:
    """Return a block that a peer sends, empty bytes if it does not have it."""
    timeout_s = HELD_TIMEOUT_S if block.held_only else PEER_TIMEOUT_S
    body = await channel.request(block, timeout_s)
    return body.body if isinstance(body, wire.Chunk) and body.found else b''
