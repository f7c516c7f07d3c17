"""The depot: pieces that an entry reads once and passes on to agents.

Every piece has a home among the entries of a region. The homes in the origin's
region read from the origin, the homes elsewhere from those, and agents from the
homes in their own region, so that each piece leaves the origin once and enters
each region once. What a home lacks, as after a restart, other entries are asked
for if they hold it.
"""

import asyncio
import collections
import random
import typing
from collections.abc import Callable, Iterator, Sequence

from primrosesaddle.core import backoff
from primrosesaddle.membership import link, wire
from primrosesaddle.net import call
from primrosesaddle.staging import pieces, piecesources
from primrosesaddle.telemetry import journal

__all__ = ('WeightCache', 'Origin', 'Sources')

KEPT_VERSIONS = 3  # the newest, the one before, and one that is being superseded
PEER_TIMEOUT_S = 2.5  # a piece takes 0.1 s on a free link
HELD_TIMEOUT_S = 0.5  # what is held is answered at once
RETRY_S = 0.1
RETRY_CEILING_S = 0.15  # the other side has waited for as long already
PARALLEL_READS = 3  # reads at once of each entry, enough to fill the origin's link
# After a loss of power machines come back within half a second of each other. An
# entry that knew none of them yet would read every piece from the origin.
SETTLE_S = 0.6
JOINING_S = 0.1  # from the first other entry that is known until all are
SERVE_WAIT_S = 0.15  # a piece that is not there by then is asked for again later
TURN_S = 0.02  # between looks at whether a piece has come in its turn
PASSED_OVER = 16  # times that a home lacks a piece until another source is asked
BAD_PIECES = 4  # of one version, before its digests are read again
_UNREAD = (call.CallFailed, TimeoutError, link.ChannelClosed, ValueError)
LOGGED_FAILURES = 20  # of reads, of which one is logged
MANIFEST_INDEX = -1
# Blocks on their way delay calls on the same link: two of these take 26 ms at the
# 3.8 Mbit/s of an agent's machine, and two are enough to keep the link busy. An
# agent reads two pieces at once, and one block of each.
BLOCK_BYTES = 6 * 1024
BLOCKS_AHEAD = 2
AGENT_PARALLEL_BLOCKS = 1


class Origin(typing.Protocol):
    """Where weights come from."""

    async def read_digests(self, version: pieces.Version) -> pieces.Digests:
        """Read the digests of a version's pieces."""

    async def read_piece(self, version: pieces.Version, index: int) -> bytes:
        """Read a piece."""


class Sources(typing.NamedTuple):
    """Where a depot may read: entries by region, and the origin."""

    peers: Callable[[], Sequence[piecesources.Peer]]
    origin: Callable[[], Origin | None]
    origin_region: Callable[[], str]


class WeightCache:
    """Read pieces once, check them, keep them and pass them on."""

    def __init__(
        self,
        name: str,
        region: str,
        sources: Sources,
        rand: random.Random,
        blocks_ahead: int = BLOCKS_AHEAD,
    ) -> None:
        """Create the empty depot of a process; an agent is no home of any piece."""
        self._blocks_ahead = blocks_ahead
        self._name = name
        self._region = region
        self._sources = sources
        self._rand = rand
        self._digests: dict[pieces.Version, pieces.Digests] = {}
        self._held: dict[pieces.Version, dict[int, bytes]] = {}
        self._reading: dict[tuple[pieces.Version, int], asyncio.Task[None]] = {}
        self._bad: collections.Counter[pieces.Version] = collections.Counter()
        self._lacking: collections.Counter[tuple[pieces.Version, int]]
        self._lacking = collections.Counter()
        self._failures = 0
        self._filling: set[pieces.Version] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self.origin_bytes = 0
        self.peer_bytes = 0

    async def fetch_digests(self, version: pieces.Version) -> pieces.Digests:
        """Return the digests of a version, read as often as it takes."""
        while True:
            known = self._digests.get(version)
            if known is not None:
                return known
            await self._read_once(version, MANIFEST_INDEX)

    async def fetch_piece(self, version: pieces.Version, index: int) -> bytes:
        """Return a checked piece, read as often as it takes."""
        attempts = 0
        while True:
            body = await self.try_fetch_piece(version, index)
            if body is not None:
                return body
            await asyncio.sleep(
                backoff.delay_s(attempts, RETRY_S, RETRY_CEILING_S, self._rand)
            )
            attempts += 1

    async def try_fetch_piece(
        self, version: pieces.Version, index: int
    ) -> bytes | None:
        """Return a checked piece, or None when one attempt brought none."""
        body = self._held.get(version, {}).get(index)
        if body is None:
            await self._read_once(version, index)
            body = self._held.get(version, {}).get(index)
        return body

    async def prefetch(self, version: pieces.Version) -> None:
        """Read the pieces of which this process is the home, a few at once."""
        await self._settle()
        digests = await self.fetch_digests(version)
        indexes = iter(piecesources.interleave_indexes(len(digests.pieces)))
        workers = [self._prefetch_some(version, indexes) for _ in range(PARALLEL_READS)]
        self._filling.add(version)
        try:
            await asyncio.gather(*workers)
        finally:
            self._filling.discard(version)
        held = len(self._held.get(version, {}))
        journal.info(
            'depot.filled',
            version=version.label,
            pieces=held,
            origin_bytes=self.origin_bytes,
            peer_bytes=self.peer_bytes,
        )

    async def _settle(self) -> None:
        """Wait until the other entries are known, or are taken to be none."""
        looks = int(SETTLE_S / TURN_S)
        while looks and len(self._sources.peers()) < 2:
            looks -= 1
            await asyncio.sleep(TURN_S)
        await asyncio.sleep(JOINING_S)

    async def _prefetch_some(
        self, version: pieces.Version, indexes: Iterator[int]
    ) -> None:
        for index in indexes:
            if self._is_home(version, index):
                await self.fetch_piece(version, index)

    def drop_version(self, version: pieces.Version) -> None:
        """Drop all that is held of a version."""
        self._held.pop(version, None)
        self._digests.pop(version, None)

    def serve_request(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        """Answer a peer that wants digests or a piece."""
        task = asyncio.create_task(self._serve(channel, rid, body))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(
        self, channel: link.Channel, rid: int, body: wire.ChunkRequest
    ) -> None:
        version = pieces.parse_label(body.manifest)
        if version is None:
            channel.send(wire.Chunk(False, b''), rid, reply=True)
            return
        if body.held_only:
            found = self._holds(version, body.index)
        else:
            found = await self._await_wanted(version, body.index)
        part = found[body.begin : body.end or len(found)]
        channel.send(wire.Chunk(bool(found), part), rid, reply=True)

    def _holds(self, version: pieces.Version, index: int) -> bytes:
        """Return digests or a piece when they are held, else nothing."""
        if index != MANIFEST_INDEX:
            return self._held.get(version, {}).get(index, b'')
        digests = self._digests.get(version)
        if digests is None:
            return b''
        return '\n'.join((str(digests.layer_count), *digests.pieces)).encode()

    async def _await_wanted(self, version: pieces.Version, index: int) -> bytes:
        try:
            return await asyncio.wait_for(self._wanted(version, index), SERVE_WAIT_S)
        except TimeoutError:
            return b''

    async def _wanted(self, version: pieces.Version, index: int) -> bytes:
        digests = await self.fetch_digests(version)
        if index == MANIFEST_INDEX:
            return self._holds(version, index)
        if not 0 <= index < len(digests.pieces):
            return b''
        if version in self._filling and self._is_home(version, index):
            # The pieces come in turn; one more read at once would delay them all.
            while version in self._filling:
                body = self._held.get(version, {}).get(index)
                if body is not None:
                    return body
                await asyncio.sleep(TURN_S)
        return await self.fetch_piece(version, index)

    async def _read_once(self, version: pieces.Version, index: int) -> None:
        """Read digests or a piece, or wait for the read that is under way."""
        key = (version, index)
        task = self._reading.get(key)
        # The callback that drops a task that is done may not have run yet.
        if task is None or task.done():
            task = asyncio.create_task(self._read(version, index))
            self._reading[key] = task
            task.add_done_callback(lambda done: self._forget_read(key, done))
        await asyncio.shield(task)

    def _forget_read(
        self, key: tuple[pieces.Version, int], done: 'asyncio.Task[None]'
    ) -> None:
        if self._reading.get(key) is done:
            self._reading.pop(key)

    async def _read(self, version: pieces.Version, index: int) -> None:
        try:
            body = await self._read_from(version, index)
        except _UNREAD as exc:
            self._note_failure(version, index, exc)
            body = b''
        if index == MANIFEST_INDEX:
            if not body:
                await asyncio.sleep(RETRY_S)
            return
        digests = self._digests.get(version)
        if digests is None or not body:
            return
        if pieces.matches_digest(digests, index, body):
            self._held.setdefault(version, {})[index] = body
            return
        journal.warning('piece.spoilt', version=version.label, index=index)
        self._bad[version] += 1
        if self._bad[version] % BAD_PIECES == 0:
            # The digests themselves may have come spoilt.
            self._digests.pop(version, None)
            await self._read_once(version, MANIFEST_INDEX)

    def _note_failure(
        self, version: pieces.Version, index: int, exc: Exception
    ) -> None:
        """Log the first failure in a row, and then one in many."""
        self._failures += 1
        if self._failures % LOGGED_FAILURES == 1:
            journal.info(
                'piece.unread',
                version=version.label,
                index=index,
                failures=self._failures,
                error=repr(exc),
            )

    async def _read_from(self, version: pieces.Version, index: int) -> bytes:
        waits = False
        for peer, held in self._upstreams(version, index):
            if waits and not held:
                continue
            if peer.channel is None:
                return await self._read_origin(version, index)
            try:
                body = await self._read_peer(peer.channel, version, index, held)
            except (TimeoutError, link.ChannelClosed) as exc:
                journal.info('piece.no_answer', peer=peer.name, error=repr(exc))
                continue
            if body:
                self._take(version, index, body)
                return body
            waits = waits or self._waits_for(version, index, held)
        return b''

    def _take(self, version: pieces.Version, index: int, body: bytes) -> None:
        """Count what a peer sent, and keep it when it is digests."""
        self.peer_bytes += len(body)
        if index == MANIFEST_INDEX:
            layer_count, *found = body.decode().split('\n')
            self._keep(version, found, int(layer_count))

    def _waits_for(self, version: pieces.Version, index: int, held: bool) -> bool:
        """Tell whether a home that lacks a piece is asked again, not passed over."""
        if held:
            return False
        key = (version, index)
        self._lacking[key] += 1
        return self._lacking[key] % PASSED_OVER != 0

    async def _read_peer(
        self, channel: link.Channel, version: pieces.Version, index: int, held: bool
    ) -> bytes:
        """Read digests or a piece, block by block, two of them on their way.

        What may not be held is asked for by its first block alone.
        """
        found: list[bytes] = []
        ahead: list[asyncio.Task[bytes]] = []
        begin = 0
        try:
            while not found or len(found[-1]) == BLOCK_BYTES:
                while len(ahead) < (1 if held and not found else self._blocks_ahead):
                    end = begin + BLOCK_BYTES
                    ask = wire.ChunkRequest(version.label, index, begin, end, held)
                    ahead.append(asyncio.create_task(_ask(channel, ask)))
                    begin = end
                found.append(await ahead.pop(0))
        finally:
            for task in ahead:
                task.cancel()
        return b''.join(found)

    async def _read_origin(self, version: pieces.Version, index: int) -> bytes:
        origin = self._sources.origin()
        if origin is None:
            await asyncio.sleep(RETRY_S)  # others may have answered at once
            raise call.CallFailed('no origin is known')
        if index == MANIFEST_INDEX:
            found = await origin.read_digests(version)
            self._keep(version, found.pieces, found.layer_count)
            return b'read'
        body = await origin.read_piece(version, index)
        self.origin_bytes += len(body)
        return body

    def _keep(
        self, version: pieces.Version, found: Sequence[str], layer_count: int
    ) -> None:
        self._digests[version] = pieces.Digests(version, tuple(found), layer_count)
        self._held.setdefault(version, {})
        while len(self._held) > KEPT_VERSIONS:
            oldest = min(self._held, key=lambda held: held.number)
            self._held.pop(oldest)
            self._digests.pop(oldest, None)

    def _upstreams(
        self, version: pieces.Version, index: int
    ) -> list[piecesources.Source]:
        """Return where to read, in order."""
        origin = piecesources.Peer('origin', self._sources.origin_region(), None)
        everyone = self._sources.peers()
        found = piecesources.list_sources(
            self._name, self._region, origin, version, index, everyone
        )
        if index == MANIFEST_INDEX and self._bad[version]:
            # Entries may have passed spoilt digests on to each other.
            return [source for source in found if not source.only_if_held]
        return found

    def _is_home(self, version: pieces.Version, index: int) -> bool:
        """Tell whether this process is the home of a piece in its region."""
        everyone = self._sources.peers()
        return piecesources.is_primary(
            self._name, self._region, version, index, everyone
        )


async def _ask(channel: link.Channel, ask: wire.ChunkRequest) -> bytes:
    timeout_s = HELD_TIMEOUT_S if ask.held_only else PEER_TIMEOUT_S
    body = await channel.request(ask, timeout_s)
    return body.body if isinstance(body, wire.Chunk) and body.found else b''
