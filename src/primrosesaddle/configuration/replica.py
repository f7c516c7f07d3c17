"""Spread of the catalogue: few readers, push and pull among peers, never back."""

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
ROTATION_S = 60.0
WATCH_S = 20.0
HISTORY = 16
PULL_TIMEOUT_S = 2.0
ANTI_ENTROPY_S = 3.0
PEER_GRACE_S = 1.5
RETRY_FIRST_S = 0.3
RETRY_CEILING_S = 5.0
IDLE_S = 0.5

Listener = Callable[[catalogue.Catalogue], None]
Watch = Callable[[int, float], Awaitable[bytes | None]]


@dataclasses.dataclass
class RefusedRevision:
    """A published catalogue that was not adopted, and why."""

    revision: int
    message: str


def is_reader(name: str, data_centre: str, fellows: list[str], now: float) -> bool:
    """Tell whether a process watches the service for its data centre.

    The readers change with time, so that one that is cut off from the service
    does not keep the news from its data centre.
    """
    key = f'{data_centre}:{int(now // ROTATION_S)}'
    return name in rendezvous.order(key, [*fellows, name])[:READERS_PER_DATA_CENTRE]


class CatalogueReplica:
    """The revision in force in this process, and how it is kept up to date."""

    def __init__(
        self, members: membertable.MemberTable, watch: Watch, rand: random.Random
    ) -> None:
        """Create the state of a process that has adopted nothing."""
        self.current = catalogue.EMPTY
        self.refused: RefusedRevision | None = None
        self.service_reachable = False
        self.adopted_at = 0.0
        self.listeners: list[Listener] = []
        self._members = members
        self._watch = watch
        self._rand = rand
        self._history: collections.deque[catalogue.Catalogue] = collections.deque(
            maxlen=HISTORY,
        )
        self._changed = asyncio.Event()
        self._pulling: set[link.Channel] = set()
        self._pulls: set[asyncio.Task[None]] = set()

    @property
    def revision(self) -> int:
        """Return the revision in force, zero before any."""
        return self.current.revision

    def adopt(self, cat: catalogue.Catalogue, via: str) -> bool:
        """Put a catalogue in force if it is newer, and return whether it was."""
        if cat.sort_key <= self.current.sort_key:
            return False
        if cat.revision == self.current.revision:
            journal.error('config.conflict', revision=cat.revision, via=via)
        self._history.append(self.current)
        self.current = cat
        self.adopted_at = time.monotonic()
        journal.info(
            'config.adopted',
            revision=cat.revision,
            digest=cat.digest,
            via=via,
        )
        for listener in self.listeners:
            _inform(listener, cat)
        self._changed.set()
        self._changed = asyncio.Event()
        self._members.broadcast_heartbeat(leaving=self._members.leaving)
        return True

    def adopt_document(self, text: bytes, via: str) -> bool:
        """Take a published document, and return whether it was adopted.

        An invalid one is refused whole; the last good one stays in force.
        """
        try:
            cat = catalogue.parse(text, via)
        except errors.FaultGroup as exc:
            self._refuse(text, errors.describe(exc))
            return False
        return self.adopt(cat, via)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision is in force, and return whether it is."""
        deadline = time.monotonic() + timeout_s
        while self.revision < revision:
            left = deadline - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return False
        return True

    def pull_if_newer(self, channel: link.Channel, revision: int) -> None:
        """Pull from a peer whose message carried a higher revision."""
        if revision > self.revision and channel not in self._pulling:
            self._pulling.add(channel)
            task = asyncio.create_task(self.pull(channel))
            self._pulls.add(task)
            task.add_done_callback(self._pulls.discard)

    async def pull(self, channel: link.Channel) -> None:
        """Ask a peer for what it holds beyond the revision in force here."""
        try:
            await self.pull_or_raise(channel, PULL_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed):
            return
        finally:
            self._pulling.discard(channel)

    def answer_pull(
        self, channel: link.Channel, rid: int, body: wire.PullCatalogue
    ) -> None:
        """Answer a peer's pull with a delta, or the whole when it is far behind."""
        base = next(
            (cat for cat in self._history if cat.digest == body.digest),
            catalogue.EMPTY,
        )
        if body.digest == self.current.digest:
            base = self.current
        delta = catalogue.make_delta(base, self.current)
        channel.send(wire.CatalogueDelta(delta), rid, reply=True)

    async def run(self) -> None:
        """Keep up with the service and the peers, until cancelled."""
        await self._ask_peers_first()
        await asyncio.gather(self._watch_service(), self._exchange())

    async def pull_or_raise(self, channel: link.Channel, timeout_s: float) -> None:
        """Hear from a peer now, and adopt what it holds beyond this process.

        Raises `TimeoutError` or `ChannelClosed` when it does not answer.
        """
        asked = wire.PullCatalogue(self.current.digest)
        body = await channel.request(asked, timeout_s)
        if not isinstance(body, wire.CatalogueDelta):
            return
        delta = body.delta
        if delta.revision < self.revision or delta.digest == self.current.digest:
            return
        cat = catalogue.apply_delta(self.current, delta)
        if cat is None:
            again = await channel.request(wire.PullCatalogue(''), timeout_s)
            if isinstance(again, wire.CatalogueDelta):
                cat = catalogue.apply_delta(catalogue.EMPTY, again.delta)
        peer = channel.card.name if channel.card else 'peer'
        if cat is None:
            journal.error('config.delta_unfit', revision=delta.revision, via=peer)
            return
        self.adopt(cat, peer)

    async def _ask_peers_first(self) -> None:
        deadline = time.monotonic() + PEER_GRACE_S
        while time.monotonic() < deadline and not self._members.peers:
            await asyncio.sleep(0.05)
        channels = [peer.channel for peer in list(self._members.peers.values())[:4]]
        await asyncio.gather(*(self.pull(channel) for channel in channels))

    async def _watch_service(self) -> None:
        failures = 0
        while True:
            if not self._reads():
                await asyncio.sleep(IDLE_S)
                continue
            try:
                text = await self._watch(self.revision, WATCH_S)
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
                await asyncio.sleep(self._rand.uniform(IDLE_S, 2 * IDLE_S))

    def _reads(self) -> bool:
        card = self._members.card
        fellows = self._members.names_in_data_centre(card.data_centre)
        return is_reader(card.name, card.data_centre, fellows, time.time())

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(self._rand.uniform(ANTI_ENTROPY_S / 2, ANTI_ENTROPY_S))
            fresh = [
                *self._members.alive_peers('entry'),
                *self._members.alive_peers('agent'),
            ]
            if fresh:
                await self.pull(self._rand.choice(fresh).channel)

    def _refuse(self, text: bytes, message: str) -> None:
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
    """Return the function that watches the service at an address."""

    async def watch(after: int, wait_s: float) -> bytes | None:
        return await service.watch_catalogue(url, after, wait_s)

    return watch


def _inform(listener: Listener, cat: catalogue.Catalogue) -> None:
    try:
        listener(cat)
    except Exception as exc:
        journal.error('listener.failed', error=repr(exc))


def summarize(config: CatalogueReplica) -> dict[str, typing.Any]:
    """Return the state of the configuration for operators."""
    refused = config.refused
    return {
        'revision': config.revision,
        'digest': config.current.digest,
        'service_reachable': config.service_reachable,
        'refused': refused.message if refused else None,
    }
