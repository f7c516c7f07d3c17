"""Published items: read from the store by few entries, and forwarded to the others."""

import asyncio
import json
import random
import time
import zlib

import msgspec
import pytest
from demo import ports
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.core import positions, rendezvous
from primrosesaddle.fleet import feed, fleetview
from primrosesaddle.membership import dispatching, membertable, peers, wire
from primrosesaddle.platform import records

LARGE_ROUTES = 400
SETTLED_S = 3.5  # until entries agree on the readers, and earlier watches have ended


@pytest.fixture
def in_fleet():
    """Return a function that runs a check in a fleet of entries."""

    def run(check):
        async def main():
            fleet = stand.Fleet()
            try:
                await fleet.start()
                await check(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _large_configuration(version):
    """Return a configuration with many routes."""
    document = stand.configuration(version)
    first = document['routes'][0]
    more = [
        {**first, 'name': f'r{number}', 'prefix': f'/more/{number}/'}
        for number in range(LARGE_ROUTES)
    ]
    return {**document, 'routes': [*document['routes'], *more]}


async def _wait_until_adopted(fleet, version):
    await fleet.until(
        lambda: all(entry.configuration_version == version for entry in fleet.entries)
    )


async def _settle(fleet, count):
    """Start more entries, and wait until all agree on the readers."""
    for _ in range(count):
        await fleet.join()
    await _wait_until_adopted(fleet, 1)
    await asyncio.sleep(SETTLED_S)


def test_large_configuration_is_sent_to_few_entries(in_fleet):
    """It would delay calls on the links between regions."""

    async def check(fleet):
        for data_centre in ('dc-1', 'dc-2', 'dc-2', 'dc-2'):
            await fleet.join(data_centre)
        await _wait_until_adopted(fleet, 1)
        await asyncio.sleep(SETTLED_S)
        before = fleet.store.sent['op/config']
        fleet.store.put('op/config', _large_configuration(2))
        await _wait_until_adopted(fleet, 2)
        await asyncio.sleep(0.5)
        _assert_equal(fleet.store.sent['op/config'] - before, feed.READER_COUNT)

    in_fleet(check)


def test_entry_without_store_pulls_from_one_peer(in_fleet):
    """Answers of several peers at once would fill the entry's link."""

    async def check(fleet):
        for _ in range(3):
            await fleet.join()
        await fleet.join(store=ports.free_address())
        await _wait_until_adopted(fleet, 1)
        await asyncio.sleep(SETTLED_S)
        before = [entry.feed.items_bytes for entry in fleet.entries]
        fleet.store.put('op/config', _large_configuration(2))
        await _wait_until_adopted(fleet, 2)
        await asyncio.sleep(1)
        after = [entry.feed.items_bytes for entry in fleet.entries]
        sent = [now - then for now, then in zip(after, before, strict=True)]
        _assert_equal(sum(count > 0 for count in sent), 1)

    in_fleet(check)


def test_change_is_adopted_in_time_if_the_watches_of_readers_are_silent(in_fleet):
    """The other entries check the store's revision themselves."""

    async def check(fleet):
        await _settle(fleet, 3)
        fleet.store.mute = True
        fleet.store.put('op/config', _large_configuration(2))
        async with asyncio.timeout(fleet.cfg.bounds.configuration_s):
            await _wait_until_adopted(fleet, 2)

    in_fleet(check)


def test_few_entries_read_the_store_soon_after_an_outage(in_fleet):
    """Each entry takes itself for a reader at first, until it knows the others."""

    async def check(fleet):
        await _settle(fleet, 3)
        fleet.store.down = True
        await asyncio.sleep(SETTLED_S)
        fleet.store.down = False
        await asyncio.sleep(2.0)
        before = fleet.store.sent['op/config']
        fleet.store.put('op/config', _large_configuration(2))
        await _wait_until_adopted(fleet, 2)
        await asyncio.sleep(0.5)
        _assert_equal(fleet.store.sent['op/config'] - before, feed.READER_COUNT)

    in_fleet(check)


def test_entry_takes_over_if_a_reader_is_lost(in_fleet):
    """One of the remaining entries must watch the store instead."""

    async def check(fleet):
        await _settle(fleet, 3)
        _assert_equal(fleet.store.watching, feed.READER_COUNT)
        lost = next(entry for entry in fleet.entries if entry.feed.is_reader())
        await fleet.lose(lost)
        await asyncio.sleep(SETTLED_S)
        remaining = [entry for entry in fleet.entries if entry is not lost]
        _assert_equal(
            sum(entry.feed.is_reader() for entry in remaining), feed.READER_COUNT
        )
        _assert_equal(fleet.store.watching, feed.READER_COUNT)

    in_fleet(check)


class Peer:
    """The channel of a peer whose messages are passed to a dispatcher."""

    def __init__(self, dispatcher, name='e2'):
        self._dispatcher = dispatcher
        self.card = _card(name)
        self.closed = False
        self.sent = []

    def send(self, body, rid=0, *, reply=False):
        """Record a message that the entry sends to this peer."""
        self.sent.append(body)

    def receive_items(self, packed, after, revision, era=0):
        body = wire.Items(
            packed, after, revision, is_snapshot=False, version_ages_s={}, era=era
        )
        self._dispatcher.dispatch(self, 0, body)

    def state_position(self, position):
        self._dispatcher.on_position(self, positions.Position(*position))

    def receive_pull(self, after, era):
        self._dispatcher.dispatch(self, 1, wire.PullItems(after, era))


def _card(name):
    return wire.Card(name, 'entry', f'{name}-1', '10.0.0.1:1', 'r1', 'd1')


@pytest.fixture
def fed():
    """Return a function that runs a check with a view at revision 5 and a peer."""

    def run(check):
        async def main():
            dispatcher = dispatching.MessageDispatcher()
            rand = random.Random(1)
            members = membertable.MemberTable(
                _card('e1'), dispatcher.make_hooks(), None, rand
            )
            view = fleetview.View(records.decode_record, lambda: 100.0, 5.0)
            view.apply_changes(fleetview.Changes([], 5), 'store')
            feed.Feed(view, members, dispatcher, str, rand)
            check(view, Peer(dispatcher))

        asyncio.run(main())

    return run


def _packed_version(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return feed.pack_items([fleetview.Item('op/version/m', body, revision)])


def test_items_after_a_gap_are_not_applied(fed):
    """The revisions in between are missing and have to be pulled first."""

    def check(view, peer):
        peer.receive_items(_packed_version(2, 9), after=7, revision=9)
        _assert_equal((view.revision, view.version_ages.get_newest('m')), (5, 0))
        peer.receive_items(_packed_version(2, 9), after=5, revision=9)
        _assert_equal((view.revision, view.version_ages.get_newest('m')), (9, 2))

    fed(check)


@pytest.mark.parametrize(('era', 'after'), [(1, 3), (3, 1)])
def test_items_of_another_era_are_not_applied(fed, era, after):
    """Their revisions may be lower or higher than those of this era by chance."""

    def check(view, peer):
        view.apply_snapshot(fleetview.Snapshot([], 3, 2), 'store')
        peer.receive_items(_packed_version(2, 9), after=after, revision=9, era=era)
        _assert_equal((view.position, view.version_ages.get_newest('m')), ((2, 3), 0))

    fed(check)


def _configure(view, version, revision, era=2):
    body = json.dumps(stand.configuration(version)).encode()
    item = fleetview.Item('op/config', body, revision)
    view.apply_snapshot(fleetview.Snapshot([item], revision, era), 'store')


def test_peer_in_the_same_era_is_told_once_what_holds_in_place_of_items(fed):
    """It read the restored store itself, so it pulls nothing."""

    def check(view, peer):
        _configure(view, 2, 8, era=1)
        _configure(view, 1, 3)
        for _ in range(2):
            peer.state_position((2, 3))
        _assert_equal([(body.after, body.revision) for body in peer.sent], [(3, 3)])
        other = fleetview.View(records.decode_record, lambda: 100.0, 5.0)
        _configure(other, 1, 3)
        receiver = dispatching.MessageDispatcher()
        members = membertable.MemberTable(
            _card('e3'), receiver.make_hooks(), None, random.Random(1)
        )
        feed.Feed(other, members, receiver, str, random.Random(1))
        receiver.dispatch(Peer(receiver, 'e1'), 0, peer.sent[0])
        _assert_equal(other.configuration.version, 2)

    fed(check)


@pytest.mark.parametrize(('after', 'era'), [(9, 1), (2, 2)])
def test_peer_that_may_lack_removals_is_sent_all_items(fed, after, era):
    """A peer in an earlier era may be at a higher revision."""

    def check(view, peer):
        view.apply_snapshot(fleetview.Snapshot([], 3, 2), 'store')
        peer.receive_pull(after, era)
        _assert_equal(
            [(body.is_snapshot, body.position) for body in peer.sent], [(True, (2, 3))]
        )

    fed(check)


@pytest.mark.parametrize(
    'packed',
    [b'no items', feed.pack_items([])[:-1], zlib.compress(msgspec.msgpack.encode(7))],
)
def test_unreadable_items_change_nothing(fed, packed):
    """They are truncated, or of another version of the program."""

    def check(view, peer):
        peer.receive_items(packed, after=5, revision=9)
        _assert_equal(view.revision, 5)

    fed(check)


@pytest.fixture
def second_reader():
    """Return a function that runs a check with the feed of the second reader.

    The check gets the feed, its view, and the channel of the first reader.
    """

    def run(check):
        async def main():
            first, name = rendezvous.order(feed.READER_KEY, ['e1', 'e2'])
            dispatcher = dispatching.MessageDispatcher()
            rand = random.Random(1)
            members = membertable.MemberTable(
                _card(name), dispatcher.make_hooks(), None, rand
            )
            view = fleetview.View(records.decode_record, lambda: 100.0, 5.0)
            view.apply_snapshot(fleetview.Snapshot([], 5), 'store')
            leader = Peer(dispatcher, first)
            now = time.monotonic()
            members.peers[first] = peers.Peer(
                leader.card, leader, now, state_labels=(feed.STORE_REACHABLE,)
            )
            await check(feed.Feed(view, members, dispatcher, str, rand), view, leader)

        asyncio.run(main())

    return run


def test_second_reader_forwards_what_the_first_does_not(second_reader):
    """A frozen or isolated first reader counts as alive for seconds."""

    async def check(item_feed, view, leader):
        view.apply_changes(fleetview.Changes([], 6), 'store')
        item_feed.forward_changes(5)
        await asyncio.sleep(2 * feed.TAKEOVER_DELAY_S)
        _assert_equal([(body.after, body.revision) for body in leader.sent], [(5, 6)])

    second_reader(check)


def test_second_reader_sends_nothing_if_the_first_has_sent(second_reader):
    """The items would cross the links between regions a second time."""

    async def check(item_feed, view, leader):
        view.apply_changes(fleetview.Changes([], 6), 'store')
        item_feed.forward_changes(5)
        leader.receive_items(feed.pack_items([]), after=5, revision=6)
        await asyncio.sleep(2 * feed.TAKEOVER_DELAY_S)
        _assert_equal(leader.sent, [])

    second_reader(check)
