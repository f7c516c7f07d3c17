"""The feed: published items, as they pass from entry to entry."""

import asyncio
import collections
import random
import typing
import zlib
from collections.abc import Callable, Sequence

import msgspec

from primrosesaddle.core import rendezvous
from primrosesaddle.fleet import fleetview
from primrosesaddle.membership import dispatching, link, membertable, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('STORE_REACHABLE', 'Feed', 'pack_items')

STORE_REACHABLE = 'in-touch'  # the mark of an entry that the store answers
READER = 'reader'  # the keys by which all choose the same entries for a duty
RELAY = 'relay'
RELAYS = 2  # entries of each other region, as one that is frozen is missed late
# Entries that wait at the store. The first passes on what it reads; the other stands
# in for it, as one that is frozen or cut off is missed after seconds only.
READERS = 2

# What a reader of the store passes on, or this process reads itself, is here by then.
NEAR_LAG_S = 0.15
# By then a peer of the same region has it, if that is to come from a reader there.
FAR_LAG_S = 0.5
# The other entry that reads passes on what the first has not passed on by then. The
# others read the store 0.6 s after a change at the earliest.
STAND_IN_S = 0.3
PULL_TIMEOUT_S = 1.0
RETRY_S = 0.1  # when every peer that is ahead has failed to answer
PACK_LEVEL = 1  # the least effort; the names in a configuration repeat
MAX_ITEMS_BYTES = 64 * 1024 * 1024  # of the items in one message

_Rows = tuple[tuple[str, bytes | None, int], ...]
_ROWS = msgspec.msgpack.Decoder(_Rows)


class _Leader(typing.NamedTuple):
    """A peer whose view is ahead of this one, and the revision that it has."""

    channel: link.Channel
    card: wire.Card
    revision: int


class Feed:
    """Pass items on to peers that lack them, and take them from one that has them.

    `items_bytes` counts the bytes of published items sent. `last_update_at` is the
    event loop's time when another entry last sent what it had read from the store.
    """

    def __init__(
        self,
        seen: fleetview.View,
        members: membertable.MemberTable,
        board: dispatching.MessageDispatcher,
        origin_region: Callable[[], str],
        rand: random.Random,
    ) -> None:
        """Feed a view from peers, and peers from it.

        Entries of the origin's region read the store for the others, if there are any.
        """
        self._origin_region = origin_region
        self._view = seen
        self._members = members
        self._rand = rand
        self._clock = asyncio.get_running_loop().time
        self._leaders: dict[str, _Leader] = {}
        self._is_behind = asyncio.Event()
        self._told_revision = 0  # the newest that another entry has passed on
        self.items_bytes = 0
        self.last_update_at = 0.0
        board.register(wire.PullItems, self._answer_pull)
        board.register(wire.Items, self._hear)
        board.on_revision = self._note_revision
        board.get_revision = lambda: seen.revision

    async def run(self) -> None:
        """Catch up with peers whenever one is ahead, until cancelled."""
        while True:
            await self._is_behind.wait()
            self._is_behind.clear()
            try:
                await self._catch_up()
            except Exception as exc:
                # Nothing starts this task again; each message of a peer that is
                # ahead sets the event.
                journal.error('feed.failed', error=repr(exc))
                await asyncio.sleep(RETRY_S)

    def is_reader(self) -> bool:
        """Tell whether this process is to wait at the store for changes."""
        return self._members.card.name in self._readers()

    def forward_changes(self, after: int) -> None:
        """Tell other entries what was read past a revision, if that is ours to do.

        It goes to each entry of this region, and to two of each other region.
        """
        if self._view.revision <= after:
            return
        name = self._members.card.name
        readers = self._readers()
        if readers[0] == name:
            self._forward_changes(after)
        elif name in readers:
            loop = asyncio.get_running_loop()
            loop.call_later(STAND_IN_S, self._stand_in, after, self._view.revision)

    def _stand_in(self, after: int, revision: int) -> None:
        """Pass on what was read up to a revision if no other entry has done so."""
        if self._told_revision < revision:
            journal.info('items.stood_in', after=after, revision=revision)
            self._forward_changes(after)

    def _forward_changes(self, after: int) -> None:
        if after < self._view.history_from:
            return
        told = self._items_since(after, whole=False)
        receivers = [*self._fellows(), *self._relays()]
        self._send(receivers, told)
        journal.info(
            'items.passed_on',
            after=after,
            revision=told.revision,
            size=len(told.packed),
            receivers=len(receivers),
        )

    def _readers(self) -> list[str]:
        """Return the names of the entries that read the store, the first leading."""
        able = [
            peer.card
            for peer in self._members.alive_peers('entry')
            if STORE_REACHABLE in peer.state_labels and not peer.leaving
        ]
        able.append(self._members.card)
        region = self._origin_region()
        near = [card.name for card in able if card.region == region]
        far = [card.name for card in able if card.region != region]
        found = [*rendezvous.order(READER, near), *rendezvous.order(READER, far)]
        return found[:READERS]

    def _fellows(self) -> list[peers.Peer]:
        """Return the other entries of this region."""
        region = self._members.card.region
        return [
            peer
            for peer in self._members.alive_peers('entry')
            if peer.card.region == region
        ]

    def _relays(self) -> list[peers.Peer]:
        """Return entries of each other region, which pass on what they hear there."""
        far: dict[str, dict[str, peers.Peer]] = collections.defaultdict(dict)
        for peer in self._members.alive_peers('entry'):
            if peer.card.region != self._members.card.region and not peer.leaving:
                far[peer.card.region][peer.card.name] = peer
        return [
            found[name]
            for found in far.values()
            for name in rendezvous.order(RELAY, found)[:RELAYS]
        ]

    def _send(self, receivers: Sequence[peers.Peer], told: wire.Items) -> None:
        for peer in receivers:
            peer.channel.send(told)
            self.items_bytes += len(told.packed)

    def _hear(self, channel: link.Channel, rid: int, body: wire.Items) -> None:
        """Take what a peer read, unless something before it is missing here.

        The peer is asked for that, as its revision is ahead.
        """
        known = self._view.revision
        self._told_revision = max(self._told_revision, body.revision)
        if channel.card is None or body.after > known:
            return
        self._take(body, channel.card.name)
        # A reader that stood still tells what others have told meanwhile.
        if body.revision > known:
            self.last_update_at = self._clock()
            if channel.card.region != self._members.card.region:
                self._send(self._fellows(), body)

    def _note_revision(self, channel: link.Channel, revision: int) -> None:
        card = channel.card
        if card is None or card.role != 'entry' or revision <= self._view.revision:
            return
        self._leaders[card.name] = _Leader(channel, card, revision)
        self._is_behind.set()

    async def _catch_up(self) -> None:
        """Ask the peers that are ahead one after the other, the nearest first.

        What they send crosses the same links as calls do.
        """
        noticed_at = self._clock()
        tried: set[str] = set()
        if self._can_wait:
            await asyncio.sleep(NEAR_LAG_S)
        while leaders := self._find_leaders():
            near = [lead for lead in leaders if self._is_near(lead)]
            is_early = self._clock() - noticed_at < FAR_LAG_S
            if not near and is_early and self._can_wait:
                await asyncio.sleep(NEAR_LAG_S)
                continue
            found = _others(near, tried) or _others(leaders, tried)
            if not found:
                tried.clear()
                await asyncio.sleep(RETRY_S)
                continue
            chosen = self._rand.choice(found)
            tried.add(chosen.card.name)
            await self._pull(chosen)

    @property
    def _can_wait(self) -> bool:
        """Tell whether this process can serve meanwhile by what it has."""
        return self._view.configuration is not None

    def _find_leaders(self) -> list[_Leader]:
        """Return the peers that are still ahead, and forget the others."""
        self._leaders = {
            name: lead
            for name, lead in self._leaders.items()
            if lead.revision > self._view.revision and not lead.channel.closed
        }
        return list(self._leaders.values())

    def _is_near(self, lead: _Leader) -> bool:
        return lead.card.region == self._members.card.region

    async def _pull(self, lead: _Leader) -> None:
        """Take what a peer knows beyond this view."""
        began = self._clock()
        name = lead.card.name
        ask = wire.PullItems(self._view.revision)
        try:
            body = await lead.channel.request(ask, PULL_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed) as exc:
            journal.info('items.unpulled', peer=name, error=repr(exc))
            return
        if not isinstance(body, wire.Items):
            return
        journal.info(
            'items.pulled',
            peer=name,
            after=ask.after,
            revision=body.revision,
            size=len(body.packed),
            took_s=round(self._clock() - began, 3),
        )
        self._take(body, name)

    def _take(self, body: wire.Items, name: str) -> None:
        try:
            items = _unpack(body.packed)
        except ValueError as exc:
            journal.warning('items.unreadable', peer=name, error=str(exc))
            return
        # Before the items, so that a version among them has an age at once.
        self._view.namings.merge_peer_ages(body.version_ages_s)
        if body.is_snapshot:
            self._view.apply_snapshot(fleetview.Snapshot(items, body.revision), name)
        else:
            changes = fleetview.Changes(
                items, body.revision, expiring_s=body.expiring_s
            )
            self._view.apply_changes(changes, name)

    def _answer_pull(
        self, channel: link.Channel, rid: int, body: wire.PullItems
    ) -> None:
        whole = body.after < self._view.history_from
        told = self._items_since(0 if whole else body.after, whole=whole)
        self.items_bytes += len(told.packed)
        channel.send(told, rid, reply=True)

    def _items_since(self, after: int, *, whole: bool) -> wire.Items:
        found = self._view.get_changes_since(after)
        ages_s = self._view.namings.get_known_ages_s()
        packed = pack_items(found.items)
        return wire.Items(
            packed, after, found.revision, whole, ages_s, dict(found.expiring_s)
        )


def _others(leaders: Sequence[_Leader], tried: set[str]) -> list[_Leader]:
    return [lead for lead in leaders if lead.card.name not in tried]


def pack_items(items: Sequence[fleetview.Item]) -> bytes:
    """Return items as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(items), PACK_LEVEL)


def _unpack(packed: bytes) -> list[fleetview.Item]:
    """Return the items in compressed bytes.

    Raises `ValueError` when they cannot be read or are too large.
    """
    reader = zlib.decompressobj()
    try:
        rows = _ROWS.decode(reader.decompress(packed, MAX_ITEMS_BYTES))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(str(exc)) from None
    if not reader.eof:
        raise ValueError(f'items are cut off, or larger than {MAX_ITEMS_BYTES} bytes')
    return [fleetview.Item(*row) for row in rows]
