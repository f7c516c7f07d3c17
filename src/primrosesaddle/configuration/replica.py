"""Keep the catalogue of a process up to date.

In each data centre a few processes watch the configuration service. Every process
tells its peers its revision, and pulls from a peer that has a higher one. The
revision in force never goes back.
"""

import asyncio
import collections
import dataclasses
import random
import time
import typing
from collections.abc import Awaitable, Callable

from primrosesaddle.configuration import catalogue, service
from primrosesaddle.core import errors, httpio, rendezvous
from primrosesaddle.membership import link, membertable, wire
from primrosesaddle.telemetry import journal

__all__ = ('CatalogueReplica', 'is_reader')

READERS_PER_DATA_CENTRE = 2
READER_ROTATION_S = 60.0
WATCH_WAIT_S = 20.0
MAX_PREVIOUS_CATALOGUES = 16
PULL_TIMEOUT_S = 2.0
MAX_PULL_INTERVAL_S = 3.0
PEER_WAIT_S = 1.5
RETRY_FIRST_S = 0.3
RETRY_CEILING_S = 5.0
RECHECK_INTERVAL_S = 0.5

Listener = Callable[[catalogue.Catalogue], None]
Watch = Callable[[int, float], Awaitable[bytes | None]]


@dataclasses.dataclass
class RefusedRevision:
    """A catalogue refused while `revision` was in force; `message` is the reason."""

    revision: int
    message: str


def is_reader(name: str, data_centre: str, peer_names: list[str], now_s: float) -> bool:
    """Return whether a process watches the service for its data centre.

    The readers change every READER_ROTATION_S, so that a reader without a connection
    to the service does not leave its data centre without new revisions.
    """
    key = f'{data_centre}:{int(now_s // READER_ROTATION_S)}'
    return name in rendezvous.order(key, [*peer_names, name])[:READERS_PER_DATA_CENTRE]


class CatalogueReplica:
    """The catalogue in force in this process, replicated from service and peers."""

    def __init__(
        self, members: membertable.MemberTable, watch: Watch, rand: random.Random
    ) -> None:
        """Create a replica without a catalogue; `watch` reads from the service."""
        self.current = catalogue.EMPTY
        self.refused: RefusedRevision | None = None
        self.service_reachable = False
        self.adopted_at = 0.0
        self.listeners: list[Listener] = []
        self._members = members
        self._watch = watch
        self._rand = rand
        self._previous_catalogues: collections.deque[catalogue.Catalogue] = (
            collections.deque(
                maxlen=MAX_PREVIOUS_CATALOGUES,
            )
        )
        self._adopted_event = asyncio.Event()
        self._pulling_from: set[link.Channel] = set()
        self._pull_tasks: set[asyncio.Task[None]] = set()

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 if there is none yet."""
        return self.current.revision

    def adopt(self, cat: catalogue.Catalogue, via: str) -> bool:
        """Put a catalogue in force if it is newer; return whether it was.

        `via` is the source, the service or the name of a peer, for the log.
        """
        if cat.sort_key <= self.current.sort_key:
            return False
        if cat.revision == self.current.revision:
            journal.error('config.conflict', revision=cat.revision, via=via)
        self._previous_catalogues.append(self.current)
        self.current = cat
        self.adopted_at = time.monotonic()
        journal.info(
            'config.adopted',
            revision=cat.revision,
            digest=cat.digest,
            via=via,
        )
        for listener in self.listeners:
            _call_listener(listener, cat)
        self._adopted_event.set()
        self._adopted_event = asyncio.Event()
        self._members.broadcast_heartbeat(leaving=self._members.leaving)
        return True

    def adopt_document(self, text: bytes, via: str) -> bool:
        """Adopt a published document if it is valid and newer; return whether it was.

        A document with any fault is refused, and the catalogue in force stays.
        """
        try:
            cat = catalogue.parse(text, via)
        except errors.FaultGroup as exc:
            self._record_refusal(text, errors.describe(exc))
            return False
        return self.adopt(cat, via)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision or a later one is in force; return whether it is."""
        deadline = time.monotonic() + timeout_s
        while self.revision < revision:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return False
            try:
                await asyncio.wait_for(self._adopted_event.wait(), remaining_s)
            except TimeoutError:
                return False
        return True

    def pull_if_newer(self, channel: link.Channel, revision: int) -> None:
        """Pull from a peer whose message carried a higher revision."""
        if revision > self.revision and channel not in self._pulling_from:
            self._pulling_from.add(channel)
            task = asyncio.create_task(self.pull(channel))
            self._pull_tasks.add(task)
            task.add_done_callback(self._pull_tasks.discard)

    async def pull(self, channel: link.Channel) -> None:
        """Pull from a peer what is newer than the catalogue here; ignore failures."""
        try:
            await self.pull_or_raise(channel, PULL_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return
        finally:
            self._pulling_from.discard(channel)

    def answer_pull(
        self, channel: link.Channel, rid: int, body: wire.PullCatalogue
    ) -> None:
        """Answer a peer's pull with a delta, or in full when its base is not known."""
        base = next(
            (cat for cat in self._previous_catalogues if cat.digest == body.digest),
            catalogue.EMPTY,
        )
        if body.digest == self.current.digest:
            base = self.current
        delta = catalogue.make_delta(base, self.current)
        channel.send(wire.CatalogueDelta(delta), rid, reply=True)

    async def run(self) -> None:
        """Follow the service and the peers, until cancelled."""
        await self._pull_from_first_peers()
        await asyncio.gather(self._watch_service(), self._pull_from_random_peers())

    async def pull_or_raise(self, channel: link.Channel, timeout_s: float) -> None:
        """Pull from a peer, and adopt its catalogue if it is newer.

        Raises `TimeoutError` or `ChannelClosed` when the peer does not answer.
        """
        request = wire.PullCatalogue(self.current.digest)
        body = await channel.request(request, timeout_s)
        if not isinstance(body, wire.CatalogueDelta):
            return
        delta = body.delta
        if delta.revision < self.revision or delta.digest == self.current.digest:
            return
        cat = catalogue.apply_delta(self.current, delta)
        if cat is None:
            full_body = await channel.request(wire.PullCatalogue(''), timeout_s)
            if isinstance(full_body, wire.CatalogueDelta):
                cat = catalogue.apply_delta(catalogue.EMPTY, full_body.delta)
        peer = channel.card.name if channel.card else 'peer'
        if cat is None:
            journal.error('config.delta_unfit', revision=delta.revision, via=peer)
            return
        self.adopt(cat, peer)

    async def _pull_from_first_peers(self) -> None:
        """Wait up to PEER_WAIT_S for peers, and pull from some before reading."""
        deadline = time.monotonic() + PEER_WAIT_S
        while time.monotonic() < deadline and not self._members.peers:
            await asyncio.sleep(0.05)
        channels = [peer.channel for peer in list(self._members.peers.values())[:4]]
        await asyncio.gather(*(self.pull(channel) for channel in channels))

    async def _watch_service(self) -> None:
        """Read new revisions from the service while this process is a reader."""
        failures = 0
        while True:
            if not self._is_reader():
                await asyncio.sleep(RECHECK_INTERVAL_S)
                continue
            try:
                text = await self._watch(self.revision, WATCH_WAIT_S)
            except httpio.HttpFailure as exc:
                self.service_reachable = False
                failures += 1
                journal.warning('config.unreachable', error=str(exc))
                ceiling = min(RETRY_CEILING_S, RETRY_FIRST_S * 2 ** min(failures, 8))
                await asyncio.sleep(self._rand.uniform(RETRY_FIRST_S, ceiling))
                continue
            failures = 0
            self.service_reachable = True
            if text is not None and not self.adopt_document(text, 'service'):
                await asyncio.sleep(
                    self._rand.uniform(RECHECK_INTERVAL_S, 2 * RECHECK_INTERVAL_S)
                )

    def _is_reader(self) -> bool:
        card = self._members.card
        peer_names = self._members.names_in_data_centre(card.data_centre)
        return is_reader(card.name, card.data_centre, peer_names, time.time())

    async def _pull_from_random_peers(self) -> None:
        """Pull from a random peer at random intervals, until cancelled."""
        while True:
            await asyncio.sleep(
                self._rand.uniform(MAX_PULL_INTERVAL_S / 2, MAX_PULL_INTERVAL_S)
            )
            alive = [
                *self._members.alive_peers('entry'),
                *self._members.alive_peers('agent'),
            ]
            if alive:
                await self.pull(self._rand.choice(alive).channel)

    def _record_refusal(self, text: bytes, message: str) -> None:
        """Keep the reason of a refusal; log it when it is a new one."""
        known = self.refused
        if known is None or known.message != message:
            journal.error(
                'config.refused',
                size=len(text),
                faults=message,
                kept=self.current.revision,
            )
        self.refused = RefusedRevision(self.current.revision, message)


def make_watch(url: str) -> Watch:
    """Return a function that watches the configuration service at an address."""

    async def watch(after: int, wait_s: float) -> bytes | None:
        return await service.watch_catalogue(url, after, wait_s)

    return watch


def _call_listener(listener: Listener, cat: catalogue.Catalogue) -> None:
    """Call a listener, and log an exception that it raises."""
    try:
        listener(cat)
    except Exception as exc:
        journal.error('listener.failed', error=repr(exc))


def summarize(replica: CatalogueReplica) -> dict[str, typing.Any]:
    """Return the state of the replica for operators."""
    refused = replica.refused
    return {
        'revision': replica.revision,
        'digest': replica.current.digest,
        'service_reachable': replica.service_reachable,
        'refused': refused.message if refused else None,
    }
