"""Exchange of published items between entries."""

import asyncio
import collections
import random
import typing
import weakref
import zlib
from collections.abc import Callable, Sequence

import msgspec

from primrosesaddle.core import positions, rendezvous
from primrosesaddle.fleet import fleetview, keptrecords
from primrosesaddle.membership import dispatching, link, membertable, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('STORE_REACHABLE', 'Feed', 'pack_items')

STORE_REACHABLE = 'in-touch'  # state label of an entry that the store answers
# Keys of the rendezvous hash, by which all entries select the same other entries.
READER_KEY = 'reader'
FORWARDER_KEY = 'relay'
# Entries of each other region that get changes, because a frozen one is detected late.
FORWARDERS_PER_REGION = 2
# Entries that watch the store. The first forwards what it reads. The second takes over
# if the first does not, as a frozen or isolated entry is detected only after seconds.
READER_COUNT = 2

# Items that a reader forwards, or that this process reads, arrive within this time.
FORWARD_DELAY_S = 0.15
# A peer of the same region has items sent there by a reader within this time.
SAME_REGION_DELAY_S = 0.5
# The second reader forwards what the first has not forwarded within this time. Entries
# that are not readers read the store 0.6 s after a change at the earliest.
TAKEOVER_DELAY_S = 0.3
PULL_TIMEOUT_S = 1.0
RETRY_S = 0.1  # when every peer with a higher revision has failed to answer
PACK_LEVEL = 1  # lowest level; it suffices as names in a configuration repeat
# A kept configuration may be large. Entries that lack it would pull it.
MAX_TOLD_BYTES = 16 * 1024
MAX_ITEMS_BYTES = 64 * 1024 * 1024  # limit of the uncompressed items in one message

_ROWS = msgspec.msgpack.Decoder(list[fleetview.Item])
_KEPT = msgspec.msgpack.Decoder(list[keptrecords.KeptRecord])


_Row = typing.TypeVar('_Row')


class _Leader(typing.NamedTuple):
    """A peer at a later position than this process, and that position."""

    channel: link.Channel
    card: wire.Card
    position: positions.Position


class Feed:
    """Send items to peers that lack them, and pull items from peers that have them.

    `items_bytes` counts the bytes of published items sent. `last_update_at` is the
    event loop's time when another entry last sent what it had read from the store.
    """

    def __init__(
        self,
        view: fleetview.View,
        members: membertable.MemberTable,
        dispatcher: dispatching.MessageDispatcher,
        origin_region: Callable[[], str],
        rand: random.Random,
    ) -> None:
        """Create a feed, and register its message handlers.

        `origin_region` returns the region of the origin. Entries there are preferred as
        readers of the store.
        """
        self._origin_region = origin_region
        self._view = view
        self._members = members
        self._rand = rand
        self._clock = asyncio.get_running_loop().time
        self._leaders: dict[str, _Leader] = {}
        self._has_leaders = asyncio.Event()
        self._told_kept: weakref.WeakKeyDictionary[link.Channel, int] = (
            weakref.WeakKeyDictionary()
        )  # the era of the kept records that a peer was told of
        self._forwarded_at = positions.START  # latest position that another entry sent
        self.items_bytes = 0
        self.last_update_at = 0.0
        dispatcher.register(wire.PullItems, self._answer_pull)
        dispatcher.register(wire.Items, self._handle_items)
        dispatcher.on_position = self._handle_position
        dispatcher.get_position = lambda: view.position

    async def run(self) -> None:
        """Pull items whenever a peer is at a later position, until cancelled."""
        while True:
            await self._has_leaders.wait()
            self._has_leaders.clear()
            try:
                await self._catch_up()
            except Exception as exc:
                # The task must go on, because nothing restarts it. Each message
                # from a peer at a later position sets the event again.
                journal.error('feed.failed', error=repr(exc))
                await asyncio.sleep(RETRY_S)

    def is_reader(self) -> bool:
        """Tell whether this process is one of those that watch the store."""
        return self._members.card.name in self._select_readers()

    def is_store_reached_by_others(self) -> bool:
        """Tell whether another entry says that the store answers it."""
        return any(
            STORE_REACHABLE in peer.state_labels
            for peer in self._members.alive_peers('entry')
        )

    def forward_changes(self, after: int) -> None:
        """Send the items read after a revision to other entries, if this is a reader.

        The revision is of the view's era.

        The first reader sends at once, to each entry of this region and to two of each
        other region. The second sends only if the first did not do so in time.
        """
        if self._view.revision <= after:
            return
        name = self._members.card.name
        readers = self._select_readers()
        if readers[0] == name:
            self._send_changes(after)
        elif name in readers:
            loop = asyncio.get_running_loop()
            loop.call_later(
                TAKEOVER_DELAY_S, self._take_over, after, self._view.position
            )

    def _take_over(self, after: int, read_up_to: positions.Position) -> None:
        """Send the items up to a position if no other entry has sent them."""
        if read_up_to.era != self._view.era or self._forwarded_at >= read_up_to:
            return
        journal.info('items.stood_in', after=after, revision=read_up_to.revision)
        self._send_changes(after)

    def _send_changes(self, after: int) -> None:
        """Send the items after a revision, if all removals since are known."""
        if after < self._view.history_from:
            return
        items = self._make_items(after, is_snapshot=False)
        receivers = [*self._same_region_entries(), *self._select_forwarders()]
        self._send(receivers, items)
        journal.info(
            'items.passed_on',
            after=after,
            revision=items.revision,
            size=len(items.packed),
            receivers=len(receivers),
        )

    def _select_readers(self) -> list[str]:
        """Return the names of the entries that watch the store, the first one first."""
        candidates = [
            peer.card
            for peer in self._members.alive_peers('entry')
            if STORE_REACHABLE in peer.state_labels and not peer.leaving
        ]
        candidates.append(self._members.card)
        region = self._origin_region()
        near = [card.name for card in candidates if card.region == region]
        far = [card.name for card in candidates if card.region != region]
        ordered = [
            *rendezvous.order(READER_KEY, near),
            *rendezvous.order(READER_KEY, far),
        ]
        return ordered[:READER_COUNT]

    def _same_region_entries(self) -> list[peers.Peer]:
        """Return the other entries of this region."""
        region = self._members.card.region
        return [
            peer
            for peer in self._members.alive_peers('entry')
            if peer.card.region == region
        ]

    def _select_forwarders(self) -> list[peers.Peer]:
        """Return entries of each other region, which forward items within it."""
        far: dict[str, dict[str, peers.Peer]] = collections.defaultdict(dict)
        for peer in self._members.alive_peers('entry'):
            if peer.card.region != self._members.card.region and not peer.leaving:
                far[peer.card.region][peer.card.name] = peer
        return [
            entries[name]
            for entries in far.values()
            for name in rendezvous.order(FORWARDER_KEY, entries)[:FORWARDERS_PER_REGION]
        ]

    def _send(self, receivers: Sequence[peers.Peer], items: wire.Items) -> None:
        for peer in receivers:
            peer.channel.send(items)
            self.items_bytes += len(items.packed)

    def _handle_items(self, channel: link.Channel, rid: int, body: wire.Items) -> None:
        """Apply items sent by a peer, unless items before them are missing here.

        Missing items are pulled later, as the peer is at a later position.
        """
        known = self._view.position
        self._forwarded_at = max(self._forwarded_at, body.position)
        if channel.card is None or (body.era, body.after) > known:
            return
        self._apply(body, channel.card.name)
        # A reader that was paused sends items that others have sent in the meantime.
        if body.position > known:
            self.last_update_at = self._clock()
            self._view.store_contact.record_told()
            if channel.card.region != self._members.card.region:
                self._send(self._same_region_entries(), body)

    def _handle_position(
        self, channel: link.Channel, position: positions.Position
    ) -> None:
        self._record_leader(channel, position)
        if position.era == self._view.era:
            self._tell_kept(channel)

    def _tell_kept(self, channel: link.Channel) -> None:
        """Tell an entry once in each era what holds in place of items.

        An entry that has read the restored store itself pulls nothing.
        """
        era = self._view.era
        if not self._view.kept_records or self._told_kept.get(channel) == era:
            return
        card = channel.card
        if card is None or card.role != 'entry':
            return
        self._told_kept[channel] = era
        if self.is_reader():
            records = self._view.kept_records.list_remaining()
            small = [
                kept for kept in records if len(kept.body or b'') <= MAX_TOLD_BYTES
            ]
            items = self._make_items(self._view.revision, is_snapshot=False)
            channel.send(msgspec.structs.replace(items, kept=pack_items(small)))

    def _record_leader(
        self, channel: link.Channel, position: positions.Position
    ) -> None:
        """Record an entry that is at a later position than the view."""
        card = channel.card
        if card is None or card.role != 'entry' or position <= self._view.position:
            return
        self._leaders[card.name] = _Leader(channel, card, position)
        self._has_leaders.set()

    async def _catch_up(self) -> None:
        """Pull from peers at a later position, one at a time, the nearest first.

        Only one peer is asked at a time, because the items use the same links as calls.
        """
        began_at = self._clock()
        tried: set[str] = set()
        if self._can_wait:
            await asyncio.sleep(FORWARD_DELAY_S)
        while leaders := self._find_leaders():
            near = [leader for leader in leaders if self._is_near(leader)]
            is_early = self._clock() - began_at < SAME_REGION_DELAY_S
            if not near and is_early and self._can_wait:
                await asyncio.sleep(FORWARD_DELAY_S)
                continue
            untried = _exclude(near, tried) or _exclude(leaders, tried)
            if not untried:
                tried.clear()
                await asyncio.sleep(RETRY_S)
                continue
            chosen = self._rand.choice(untried)
            tried.add(chosen.card.name)
            await self._pull(chosen)

    @property
    def _can_wait(self) -> bool:
        """Tell whether this process already has a configuration to serve with."""
        return self._view.configuration is not None

    def _find_leaders(self) -> list[_Leader]:
        """Return the peers whose position is still later, and drop the others."""
        self._leaders = {
            name: leader
            for name, leader in self._leaders.items()
            if leader.position > self._view.position and not leader.channel.closed
        }
        return list(self._leaders.values())

    def _is_near(self, leader: _Leader) -> bool:
        return leader.card.region == self._members.card.region

    async def _pull(self, leader: _Leader) -> None:
        """Pull the items after the position of the view from a peer, and apply them."""
        began = self._clock()
        name = leader.card.name
        pull_request = wire.PullItems(self._view.revision, self._view.era)
        try:
            body = await leader.channel.request(pull_request, PULL_TIMEOUT_S)
        except (TimeoutError, link.ChannelClosed) as exc:
            journal.info('items.unpulled', peer=name, error=repr(exc))
            return
        if not isinstance(body, wire.Items):
            return
        journal.info(
            'items.pulled',
            peer=name,
            after=pull_request.after,
            revision=body.revision,
            era=body.era,
            size=len(body.packed),
            took_s=round(self._clock() - began, 3),
        )
        self._apply(body, name)

    def _apply(self, body: wire.Items, name: str) -> None:
        """Apply packed items from the peer of a name; log items that are unreadable."""
        try:
            items = _unpack(body.packed, _ROWS)
            kept = _unpack(body.kept, _KEPT) if body.kept else []
        except ValueError as exc:
            journal.warning('items.unreadable', peer=name, error=str(exc))
            return
        # Ages come before the items, so that a version among them has an age at once.
        self._view.version_ages.merge_peer_ages(body.version_ages_s)
        if body.is_snapshot:
            snapshot = fleetview.Snapshot(
                items,
                body.revision,
                body.era,
                expiring_s=body.expiring_s,
                kept=tuple(kept),
            )
            self._view.apply_snapshot(snapshot, name)
        else:
            changes = fleetview.Changes(
                items,
                body.revision,
                expiring_s=body.expiring_s,
                era=body.era,
                kept=tuple(kept),
            )
            self._view.apply_changes(changes, name)

    def _answer_pull(
        self, channel: link.Channel, rid: int, body: wire.PullItems
    ) -> None:
        history_from = positions.Position(self._view.era, self._view.history_from)
        is_snapshot = body.position < history_from
        items = self._make_items(
            0 if is_snapshot else body.after, is_snapshot=is_snapshot
        )
        self.items_bytes += len(items.packed)
        channel.send(items, rid, reply=True)

    def _make_items(self, after: int, *, is_snapshot: bool) -> wire.Items:
        """Return the items after a revision as a message."""
        changes = self._view.get_changes_since(after)
        ages_s = self._view.version_ages.get_known_ages_s()
        packed = pack_items(changes.items)
        return wire.Items(
            packed,
            after,
            changes.revision,
            is_snapshot,
            ages_s,
            dict(changes.expiring_s),
            changes.era,
            pack_items(self._view.kept_records.list_remaining())
            if is_snapshot
            else b'',
        )


def _exclude(leaders: Sequence[_Leader], tried: set[str]) -> list[_Leader]:
    return [leader for leader in leaders if leader.card.name not in tried]


def pack_items(
    items: Sequence[fleetview.Item] | Sequence[keptrecords.KeptRecord],
) -> bytes:
    """Return items or kept records encoded as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(items), PACK_LEVEL)


def _unpack(
    packed: bytes, decoder: 'msgspec.msgpack.Decoder[list[_Row]]'
) -> list[_Row]:
    """Return the rows in bytes made by `pack_items`.

    Raises `ValueError` if they are malformed or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        rows = decoder.decode(decompressor.decompress(packed, MAX_ITEMS_BYTES))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(str(exc)) from None
    if not decompressor.eof:
        raise ValueError(f'items are truncated or larger than {MAX_ITEMS_BYTES} bytes')
    return rows
