"""The reader: what it asks of the store, and what it makes of late answers."""

import asyncio
import json
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.fleet import fleetview, reader
from primrosesaddle.net import call
from primrosesaddle.platform import records
from primrosesaddle.staging import pieces

BOUND_S = 2.0
READ_S = 0.3  # until a slow read is answered


class Store:
    """A source that answers by what tests set; `asked` tells what was asked of it."""

    def __init__(self):
        self.items = []
        self.newest = 5
        self.asked = []
        self.faults = []
        self.slow_s = 0.0
        self.forgotten = False

    async def read_all(self):
        await self._answer('all')
        return fleetview.Snapshot(list(self.items), self.newest)

    async def wait_changes(self, after, wait_s):
        await self._answer('changes')
        if self.forgotten:
            self.forgotten = False
            return None
        if after >= self.newest:
            await asyncio.sleep(wait_s)
        return fleetview.Changes(
            [item for item in self.items if item.revision > after], self.newest
        )

    async def revision(self):
        await self._answer('revision')
        return self.newest

    async def _answer(self, kind):
        self.asked.append(kind)
        await asyncio.sleep(self.slow_s)
        if self.faults:
            raise self.faults.pop(0)


class Feed:
    """What a reader knows of other entries."""

    def __init__(self):
        self.last_update_at = 0.0
        self.is_chosen = False

    def is_reader(self):
        return self.is_chosen

    def forward_changes(self, after):
        """Tell nobody."""


class Stand:
    """A reader over a scripted store."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.store = Store()
        self.feed = Feed()
        self.seen = fleetview.View(records.decode_record, self.clock, 5.0)
        self.reader = reader.Reader(
            self.store, self.seen, self.feed, BOUND_S, random.Random(1), self.clock
        )

    def age_s(self, version):
        return (
            self.clock() - self.seen.version_ages.get_announcement(version).announced_at
        )


@pytest.fixture
def reading():
    """Return a function that runs a check beside a reader."""

    def run(check):
        async def main():
            stand = Stand()
            task = asyncio.create_task(stand.reader.run())
            try:
                await check(stand)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _same(found, expected):
    assertions.assert_that(found, matchers.Equals(expected))


async def _until(check):
    for _ in range(500):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the state was not reached')


def _server(name, revision):
    body = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
    }
    return fleetview.Item(f'servers/{name}', json.dumps(body).encode(), revision)


def _version(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return fleetview.Item('op/version/m', body, revision)


def test_reader_goes_on_after_an_unexpected_error(reading):
    """Nothing starts it again, and the entry would keep what it knew then."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.feed.is_chosen = True
        stand.store.faults.append(KeyError('unforeseen'))
        stand.store.items.append(_server('a', 6))
        stand.store.newest = 6
        await _until(lambda: 'a' in stand.seen.servers)

    reading(check)


def test_entry_that_starts_does_not_read_again_what_a_peer_told(reading):
    """All entries that start would fill a link for longer than a read may take."""

    async def check(stand):
        stand.store.slow_s = READ_S
        stand.store.faults.append(call.CallFailed('took too long'))
        await _until(lambda: stand.store.asked)
        stand.seen.apply_snapshot(fleetview.Snapshot([_server('a', 4)], 4), 'peer')
        await _until(lambda: stand.reader.is_store_reachable)
        _same((stand.store.asked, stand.seen.revision), (['all', 'changes'], 5))

    reading(check)


def test_entry_that_is_fed_reads_no_changes_after_a_failed_look(reading):
    """They hold each revision of an item, and peers tell the last one, compressed."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.store.asked.clear()
        stand.store.faults.append(call.CallFailed('cut off'))
        await _until(lambda: len(stand.store.asked) == 2)
        _same(stand.store.asked, ['revision', 'revision'])

    reading(check)


def test_entry_that_stood_still_reads_what_has_changed(reading):
    """All that wake at once would fill a link with what they know already."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.store.asked.clear()
        stand.store.items.append(_server('a', 6))
        stand.store.newest = 6
        await stand.reader.refresh()
        _same((stand.store.asked, list(stand.seen.servers)), (['changes'], ['a']))

    reading(check)


def test_entry_that_woke_after_history_is_gone_reads_everything(reading):
    """The changes since then cannot be told."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.store.asked.clear()
        stand.store.items.append(_server('a', 6))
        stand.store.newest = 6
        stand.store.forgotten = True
        await stand.reader.refresh()
        _same(
            (stand.store.asked, list(stand.seen.servers)), (['changes', 'all'], ['a'])
        )

    reading(check)


def test_version_that_is_named_during_a_slow_read_is_as_old_as_the_read(reading):
    """It may have been named right after the last look."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.store.slow_s = 4 * READ_S
        await _until(lambda: stand.store.asked[-1] == 'revision')
        named_at = stand.clock()
        stand.store.items.append(_version(2, 6))
        stand.store.newest = 6
        await _until(lambda: stand.seen.version_ages.get_newest('m') == 2)
        age_s = stand.clock() - named_at
        found_s = stand.age_s(pieces.Version('m', 2))
        assertions.assert_that(found_s, matchers.GreaterThan(age_s - 0.1))

    reading(check)


def test_lost_answer_does_not_make_a_version_new(reading):
    """It may have been named before the question that was not answered."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        asked_at = stand.clock()
        stand.store.slow_s = READ_S
        stand.store.faults.append(call.CallFailed('lost'))
        stand.store.items.append(_version(2, 6))
        stand.store.newest = 6
        await _until(lambda: stand.seen.version_ages.get_newest('m') == 2)
        age_s = stand.clock() - asked_at
        found_s = stand.age_s(pieces.Version('m', 2))
        assertions.assert_that(found_s, matchers.GreaterThan(age_s - 0.1))

    reading(check)


def test_wait_to_be_told_does_not_put_off_the_next_look(reading):
    """What changed during the wait must be in force in time as well."""

    async def check(stand):
        await _until(lambda: stand.reader.is_store_reachable)
        stand.store.newest = 6
        await _until(lambda: stand.store.asked[-1] == 'revision')
        await asyncio.sleep(0.5)
        changed_at = stand.clock()
        stand.seen.apply_changes(fleetview.Changes([], 6), 'peer')
        stand.feed.last_update_at = changed_at - 0.5
        stand.store.items.append(_server('a', 7))
        stand.store.newest = 7
        await _until(lambda: 'a' in stand.seen.servers)
        late_s = stand.clock() - changed_at
        most_s = (reader.CHECK_SHARE + reader.RECEIVE_SHARE) * BOUND_S
        assertions.assert_that(late_s, matchers.LessThan(most_s))

    reading(check)


async def _outlast(stand, changed):
    """Remove a server, let the reader find out, and return whether it is kept."""
    stand.store.items.append(_server('a', 6))
    stand.store.newest = 6
    await _until(lambda: 'a' in stand.seen.servers)
    await changed()
    await _until(lambda: stand.seen.revision == 7 and stand.reader.is_store_reachable)
    return 'a' in stand.seen.servers


def test_server_that_lapsed_is_kept_when_history_is_gone_too(reading):
    """The read of everything after an outage may take longer than that of changes."""

    async def check(stand):
        async def change():
            stand.store.items.clear()
            stand.store.newest = 7
            stand.store.slow_s = READ_S + fleetview.OUTAGE_REMOVAL_WINDOW_S
            stand.store.faults += [call.CallFailed('down'), call.CallFailed('down')]
            stand.store.forgotten = True

        _same(await _outlast(stand, change), True)

    reading(check)


def test_server_that_lapsed_is_kept_after_an_outage_of_one_silent_watch(reading):
    """The store is back before a second read could fail."""

    async def check(stand):
        async def change():
            stand.store.items[:] = [fleetview.Item('servers/a', None, 7)]
            stand.store.newest = 7
            stand.store.slow_s = reader.OUTAGE_S
            stand.store.faults.append(call.CallFailed('silent'))
            await _until(lambda: not stand.store.faults)
            stand.store.slow_s = 0.0

        _same(await _outlast(stand, change), True)

    reading(check)
