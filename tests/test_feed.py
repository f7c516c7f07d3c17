"""Published items among entries: read from the store by few, passed on once."""

import asyncio
import json
import random
import time
import zlib

import msgspec
import pytest
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.core import rendezvous
from primrosesaddle.fleet import feed, fleetview
from primrosesaddle.membership import dispatching, membertable, peers, wire
from primrosesaddle.platform import records

LARGE_ROUTES = 400
SETTLED_S = 3.5  # until entries agree on who reads, and earlier watches have ended


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


def _same(found, expected):
    assertions.assert_that(found, matchers.Equals(expected))


def _large(version):
    """Return a configuration with many routes."""
    found = stand.configuration(version)
    first = found['routes'][0]
    more = [
        {**first, 'name': f'r{number}', 'prefix': f'/more/{number}/'}
        for number in range(LARGE_ROUTES)
    ]
    return {**found, 'routes': [*found['routes'], *more]}


async def _all_adopt(fleet, version):
    await fleet.until(
        lambda: all(found.configuration_version == version for found in fleet.entries)
    )


async def _settle(fleet, joining):
    """Let more entries join, and agree on who reads."""
    for _ in range(joining):
        await fleet.join()
    await _all_adopt(fleet, 1)
    await asyncio.sleep(SETTLED_S)


def test_large_configuration_is_sent_to_few_entries(in_fleet):
    """The links between regions carry calls, which it would hold up."""

    async def check(fleet):
        for data_centre in ('dc-1', 'dc-2', 'dc-2', 'dc-2'):
            await fleet.join(data_centre)
        await _all_adopt(fleet, 1)
        await asyncio.sleep(SETTLED_S)
        before = fleet.store.sent['op/config']
        fleet.store.put('op/config', _large(2))
        await _all_adopt(fleet, 2)
        await asyncio.sleep(0.5)
        _same(fleet.store.sent['op/config'] - before, feed.READER_COUNT)

    in_fleet(check)


def test_entry_that_is_behind_asks_one_peer_for_what_it_lacks(in_fleet):
    """Asking all that are ahead at once fills the link on which they answer."""

    async def check(fleet):
        for _ in range(3):
            await fleet.join()
        await fleet.join(store=stand.free_address())
        await _all_adopt(fleet, 1)
        await asyncio.sleep(SETTLED_S)
        before = [found.feed.items_bytes for found in fleet.entries]
        fleet.store.put('op/config', _large(2))
        await _all_adopt(fleet, 2)
        await asyncio.sleep(1)
        after = [found.feed.items_bytes for found in fleet.entries]
        sent = [now - then for now, then in zip(after, before, strict=True)]
        _same(sum(count > 0 for count in sent), 1)

    in_fleet(check)


def test_entries_follow_a_change_that_those_who_read_do_not_hear(in_fleet):
    """Their watches fell silent; the others look at the store themselves in time."""

    async def check(fleet):
        await _settle(fleet, 3)
        fleet.store.mute = True
        fleet.store.put('op/config', _large(2))
        async with asyncio.timeout(fleet.cfg.bounds.configuration_s):
            await _all_adopt(fleet, 2)

    in_fleet(check)


def test_few_entries_read_soon_after_an_outage_of_the_store(in_fleet):
    """Each takes itself for one that reads until it knows the others."""

    async def check(fleet):
        await _settle(fleet, 3)
        fleet.store.down = True
        await asyncio.sleep(SETTLED_S)
        fleet.store.down = False
        await asyncio.sleep(2.0)
        before = fleet.store.sent['op/config']
        fleet.store.put('op/config', _large(2))
        await _all_adopt(fleet, 2)
        await asyncio.sleep(0.5)
        _same(fleet.store.sent['op/config'] - before, feed.READER_COUNT)

    in_fleet(check)


def test_entry_takes_over_when_one_that_reads_is_lost(in_fleet):
    """One of those that are left waits at the store again."""

    async def check(fleet):
        await _settle(fleet, 3)
        _same(fleet.store.watching, feed.READER_COUNT)
        lost = next(found for found in fleet.entries if found.feed.is_reader())
        await fleet.lose(lost)
        await asyncio.sleep(SETTLED_S)
        left = [found for found in fleet.entries if found is not lost]
        _same(sum(found.feed.is_reader() for found in left), feed.READER_COUNT)
        _same(fleet.store.watching, feed.READER_COUNT)

    in_fleet(check)


class Peer:
    """The channel of a peer, whose messages an entry's switchboard takes."""

    def __init__(self, board, name='e2'):
        self._board = board
        self.card = _card(name)
        self.closed = False
        self.sent = []

    def send(self, body):
        """Keep what the entry sends to this peer."""
        self.sent.append(body)

    def tell(self, packed, after, revision):
        body = wire.Items(packed, after, revision, is_snapshot=False, version_ages_s={})
        self._board.dispatch(self, 0, body)


def _card(name):
    return wire.Card(name, 'entry', f'{name}-1', '10.0.0.1:1', 'r1', 'd1')


@pytest.fixture
def fed():
    """Return a function that runs a check with a view at revision 5 and a peer."""

    def run(check):
        async def main():
            board = dispatching.MessageDispatcher()
            rand = random.Random(1)
            members = membertable.MemberTable(
                _card('e1'), board.make_hooks(), None, rand
            )
            seen = fleetview.View(records.decode_record, lambda: 100.0, 5.0)
            seen.apply_changes(fleetview.Changes([], 5), 'store')
            feed.Feed(seen, members, board, str, rand)
            check(seen, Peer(board))

        asyncio.run(main())

    return run


def _packed_version(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return feed.pack_items([fleetview.Item('op/version/m', body, revision)])


def test_items_that_leave_something_out_are_not_taken(fed):
    """What came before them is asked for instead."""

    def check(seen, peer):
        peer.tell(_packed_version(2, 9), after=7, revision=9)
        _same((seen.revision, seen.version_ages.get_newest('m')), (5, 0))
        peer.tell(_packed_version(2, 9), after=5, revision=9)
        _same((seen.revision, seen.version_ages.get_newest('m')), (9, 2))

    fed(check)


@pytest.mark.parametrize(
    'packed',
    [b'no items', feed.pack_items([])[:-1], zlib.compress(msgspec.msgpack.encode(7))],
)
def test_unreadable_items_change_nothing(fed, packed):
    """They are cut off, or of another version of the program."""

    def check(seen, peer):
        peer.tell(packed, after=5, revision=9)
        _same(seen.revision, 5)

    fed(check)


@pytest.fixture
def second():
    """Return a function that runs a check with the feed of the second reader.

    The check gets the feed, its view, and the channel of the first reader.
    """

    def run(check):
        async def main():
            first, name = rendezvous.order(feed.READER_KEY, ['e1', 'e2'])
            board = dispatching.MessageDispatcher()
            rand = random.Random(1)
            members = membertable.MemberTable(
                _card(name), board.make_hooks(), None, rand
            )
            seen = fleetview.View(records.decode_record, lambda: 100.0, 5.0)
            seen.apply_snapshot(fleetview.Snapshot([], 5), 'store')
            leader = Peer(board, first)
            now = time.monotonic()
            members.peers[first] = peers.Peer(
                leader.card, leader, now, state_labels=(feed.STORE_REACHABLE,)
            )
            await check(feed.Feed(seen, members, board, str, rand), seen, leader)

        asyncio.run(main())

    return run


def test_second_reader_passes_on_what_the_first_does_not(second):
    """The first is frozen or cut off, and is taken to be alive for seconds."""

    async def check(fellows, seen, leader):
        seen.apply_changes(fleetview.Changes([], 6), 'store')
        fellows.forward_changes(5)
        await asyncio.sleep(2 * feed.TAKEOVER_DELAY_S)
        _same([(body.after, body.revision) for body in leader.sent], [(5, 6)])

    second(check)


def test_second_reader_is_silent_when_the_first_has_told(second):
    """What it would send crosses the links between regions once more."""

    async def check(fellows, seen, leader):
        seen.apply_changes(fleetview.Changes([], 6), 'store')
        fellows.forward_changes(5)
        leader.tell(feed.pack_items([]), after=5, revision=6)
        await asyncio.sleep(2 * feed.TAKEOVER_DELAY_S)
        _same(leader.sent, [])

    second(check)
