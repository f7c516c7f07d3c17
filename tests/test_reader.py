"""The reader: its requests to the store, and the handling of late answers."""

import asyncio
import json
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.core import positions
from primrosesaddle.fleet import fleetview, outages, reader
from primrosesaddle.net import call
from primrosesaddle.platform import records
from primrosesaddle.staging import pieces

BOUND_S = 2.0
READ_S = 0.3  # duration of a slow read


class Store:
    """A source that answers as tests set it; `requests` records the requests made."""

    def __init__(self):
        self.items = []
        self.newest_revision = 5
        self.era = 0
        self.watched_era = 0  # if it is later than `era`
        self.requests = []
        self.faults = []
        self.delay_s = 0.0
        self.is_history_gone = False

    async def read_all(self):
        await self._answer('all')
        return fleetview.Snapshot(list(self.items), self.newest_revision, self.era)

    async def wait_changes(self, after, wait_s):
        await self._answer('changes')
        if self.is_history_gone:
            self.is_history_gone = False
            return None
        if after >= self.newest_revision:
            await asyncio.sleep(wait_s)
        return fleetview.Changes(
            [item for item in self.items if item.revision > after],
            self.newest_revision,
            era=max(self.era, self.watched_era),
        )

    async def position(self):
        await self._answer('revision')
        return positions.Position(self.era, self.newest_revision)

    async def _answer(self, kind):
        self.requests.append(kind)
        await asyncio.sleep(self.delay_s)
        if self.faults:
            raise self.faults.pop(0)


class Feed:
    """A feed of which tests set whether this entry is a reader."""

    def __init__(self):
        self.last_update_at = 0.0
        self.is_selected = False
        self.is_reached_by_others = False

    def is_store_reached_by_others(self):
        return self.is_reached_by_others

    def is_reader(self):
        return self.is_selected

    def forward_changes(self, after):
        """Do nothing."""


class Fixture:
    """A reader with its view, feed and scripted store."""

    def __init__(self, slept_s=0.0):
        self.clock = asyncio.get_running_loop().time
        self.store = Store()
        self.feed = Feed()
        self.view = fleetview.View(
            records.decode_record, lambda: self.clock() + slept_s, 5.0
        )
        self.reader = reader.Reader(
            self.store, self.view, self.feed, BOUND_S, random.Random(1), self.clock
        )

    def age_s(self, version):
        return (
            self.clock() - self.view.version_ages.get_announcement(version).announced_at
        )


@pytest.fixture
def reading():
    """Return a function that runs a check beside a reader."""

    def run(check, **options):
        async def main():
            fixture = Fixture(**options)
            task = asyncio.create_task(fixture.reader.run())
            try:
                await check(fixture)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


async def _until(check):
    for _ in range(500):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the state was not reached')


def _server_item(name, revision):
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


def _version_item(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return fleetview.Item('op/version/m', body, revision)


def test_reader_goes_on_after_an_unexpected_error(reading):
    """Nothing restarts it, so the entry would never see changes again."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.feed.is_selected = True
        fixture.store.faults.append(KeyError('unforeseen'))
        fixture.store.items.append(_server_item('a', 6))
        fixture.store.newest_revision = 6
        await _until(lambda: 'a' in fixture.view.servers)

    reading(check)


def test_starting_entry_reads_only_changes_after_a_peer_sent_items(reading):
    """Full reads by all starting entries would take longer than a read may."""

    async def check(fixture):
        fixture.store.delay_s = READ_S
        fixture.store.faults.append(call.CallFailed('took too long'))
        await _until(lambda: fixture.store.requests)
        fixture.view.apply_snapshot(
            fleetview.Snapshot([_server_item('a', 4)], 4), 'peer'
        )
        await _until(lambda: fixture.reader.is_store_reachable)
        _assert_equal(
            (fixture.store.requests, fixture.view.revision), (['all', 'changes'], 5)
        )

    reading(check)


def test_failed_revision_check_is_repeated_without_reading_changes(reading):
    """Changes hold every revision of an item; peers send only the last, compressed."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.requests.clear()
        fixture.store.faults.append(call.CallFailed('cut off'))
        await _until(lambda: len(fixture.store.requests) == 2)
        _assert_equal(fixture.store.requests, ['revision', 'revision'])

    reading(check)


def test_entry_reads_changes_after_a_pause(reading):
    """Full reads by all entries that resume at once would fill a link needlessly."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.requests.clear()
        fixture.store.items.append(_server_item('a', 6))
        fixture.store.newest_revision = 6
        await fixture.reader.refresh()
        _assert_equal(
            (fixture.store.requests, list(fixture.view.servers)), (['changes'], ['a'])
        )

    reading(check)


def test_entry_reads_all_items_after_a_pause_if_history_is_gone(reading):
    """The store no longer has the changes since then."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.requests.clear()
        fixture.store.items.append(_server_item('a', 6))
        fixture.store.newest_revision = 6
        fixture.store.is_history_gone = True
        await fixture.reader.refresh()
        _assert_equal(
            (fixture.store.requests, list(fixture.view.servers)),
            (['changes', 'all'], ['a']),
        )

    reading(check)


def test_version_announced_during_a_slow_read_has_the_age_of_the_read(reading):
    """It may have been announced right after the previous read."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.delay_s = 4 * READ_S
        await _until(lambda: fixture.store.requests[-1] == 'revision')
        named_at = fixture.clock()
        fixture.store.items.append(_version_item(2, 6))
        fixture.store.newest_revision = 6
        await _until(lambda: fixture.view.version_ages.get_newest('m') == 2)
        age_s = fixture.clock() - named_at
        found_s = fixture.age_s(pieces.Version('m', 2))
        assertions.assert_that(found_s, matchers.GreaterThan(age_s - 0.1))

    reading(check)


@pytest.mark.parametrize('era', [0, 1])
def test_version_found_by_a_read_of_all_items_is_not_new(reading, era):
    """It may have been announced right after the previous read."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        named_at = fixture.clock()
        fixture.store.items.append(_version_item(2, 6))
        fixture.store.newest_revision = 6
        fixture.store.is_history_gone = era == 0
        fixture.store.era = era
        await _until(lambda: fixture.view.version_ages.get_newest('m') == 2)
        age_s = fixture.clock() - named_at
        found_s = fixture.age_s(pieces.Version('m', 2))
        assertions.assert_that(found_s, matchers.GreaterThan(age_s - 0.1))

    reading(check)


def test_lost_answer_does_not_make_a_version_new(reading):
    """It may have been announced before the request that was not answered."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        requested_at = fixture.clock()
        fixture.store.delay_s = READ_S
        fixture.store.faults.append(call.CallFailed('lost'))
        fixture.store.items.append(_version_item(2, 6))
        fixture.store.newest_revision = 6
        await _until(lambda: fixture.view.version_ages.get_newest('m') == 2)
        age_s = fixture.clock() - requested_at
        found_s = fixture.age_s(pieces.Version('m', 2))
        assertions.assert_that(found_s, matchers.GreaterThan(age_s - 0.1))

    reading(check)


def test_wait_for_peers_does_not_delay_the_next_revision_check(reading):
    """A change during the wait must be in force in time as well."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.newest_revision = 6
        await _until(lambda: fixture.store.requests[-1] == 'revision')
        await asyncio.sleep(0.5)
        changed_at = fixture.clock()
        fixture.view.apply_changes(fleetview.Changes([], 6), 'peer')
        fixture.feed.last_update_at = changed_at - 0.5
        fixture.store.items.append(_server_item('a', 7))
        fixture.store.newest_revision = 7
        await _until(lambda: 'a' in fixture.view.servers)
        delay_until_known_s = fixture.clock() - changed_at
        limit_s = (reader.CHECK_SHARE + reader.RECEIVE_SHARE) * BOUND_S
        assertions.assert_that(delay_until_known_s, matchers.LessThan(limit_s))

    reading(check)


async def _is_kept_after(fixture, change):
    """Publish a server, run a change of the store, and return whether it is kept."""
    fixture.store.items.append(_server_item('a', 6))
    fixture.store.newest_revision = 6
    await _until(lambda: 'a' in fixture.view.servers)
    await change()
    await _until(
        lambda: fixture.view.revision == 7 and fixture.reader.is_store_reachable
    )
    return 'a' in fixture.view.servers


def test_expired_server_is_kept_if_history_is_gone_too(reading):
    """The full read after an outage may take longer than a read of changes."""

    async def check(fixture):
        async def change():
            fixture.store.items.clear()
            fixture.store.newest_revision = 7
            fixture.store.delay_s = READ_S + outages.REMOVAL_WINDOW_S
            fixture.store.faults += [call.CallFailed('down'), call.CallFailed('down')]
            fixture.store.is_history_gone = True

        _assert_equal(await _is_kept_after(fixture, change), True)

    reading(check)


def test_expired_server_is_kept_after_an_outage_of_one_silent_watch(reading):
    """The store is back before a second read could fail."""

    async def check(fixture):
        async def change():
            fixture.store.items[:] = [fleetview.Item('servers/a', None, 7)]
            fixture.store.newest_revision = 7
            fixture.store.delay_s = reader.OUTAGE_S
            fixture.store.faults.append(call.CallFailed('silent'))
            await _until(lambda: not fixture.store.faults)
            fixture.store.delay_s = 0.0

        _assert_equal(await _is_kept_after(fixture, change), True)

    reading(check)


@pytest.mark.parametrize('evidence', ['changes', 'labels'])
def test_server_that_leaves_after_an_outage_of_one_entry_is_dropped(
    reading, monkeypatch, evidence
):
    """The store turned this entry away and served the others, so nothing expired.

    A server that is removed right after it has left, and must get no calls.
    """
    monkeypatch.setattr(reader, 'OTHERS_LABEL_S', 1.5)

    async def check(fixture):
        async def change():
            faults = [call.CallFailed('busy') for _ in range(20)]
            fixture.store.faults += faults
            await _until(lambda: len(fixture.store.faults) < 18)
            fixture.feed.is_reached_by_others = evidence == 'labels'
            await asyncio.sleep(1.5)
            if evidence == 'changes':
                fixture.feed.last_update_at = fixture.clock()
            await asyncio.sleep(2.5)
            fixture.store.items[:] = [fleetview.Item('servers/a', None, 7)]
            fixture.store.newest_revision = 7
            fixture.store.faults.clear()

        _assert_equal(await _is_kept_after(fixture, change), False)

    reading(check)


def test_expired_server_is_kept_if_others_have_just_regained_the_store(reading):
    """After an outage for all, one entry is the first that is served again."""

    async def check(fixture):
        async def change():
            fixture.store.faults += [call.CallFailed('busy') for _ in range(20)]
            await _until(lambda: len(fixture.store.faults) < 18)
            await asyncio.sleep(2.0)
            fixture.store.items[:] = [fleetview.Item('servers/a', None, 7)]
            fixture.store.newest_revision = 7
            fixture.feed.last_update_at = fixture.clock()
            fixture.store.faults.clear()

        _assert_equal(await _is_kept_after(fixture, change), True)

    reading(check)


@pytest.mark.parametrize('is_reader', [True, False])
@pytest.mark.parametrize('newest_revision', [3, 9])
def test_restored_store_is_read_as_a_whole(reading, is_reader, newest_revision):
    """Changes after a revision of an earlier era leave out what came before it."""

    async def check(fixture):
        fixture.store.items.append(_server_item('a', 2))
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.feed.is_selected = is_reader
        fixture.store.items.append(_server_item('b', 3))
        fixture.store.newest_revision = newest_revision
        fixture.store.era = 1
        await _until(lambda: 'b' in fixture.view.servers)
        _assert_equal(fixture.view.position, (1, newest_revision))

    reading(check)


def test_entry_reads_a_restored_store_as_a_whole_after_a_pause(reading):
    """The store may have been restored during the pause."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.items.append(_server_item('a', 3))
        fixture.store.era = 1
        await fixture.reader.refresh()
        _assert_equal(list(fixture.view.servers), ['a'])

    reading(check)


@pytest.mark.parametrize(('era', 'revision'), [(1, 9), (2, 4)])
def test_store_behind_what_peers_know_is_asked_few_times(reading, era, revision):
    """Guards against thousands of reads a second, each of which tells nothing new."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.feed.is_selected = True
        snapshot = fleetview.Snapshot([_server_item('a', 5)], 5, 2)
        fixture.view.apply_snapshot(snapshot, 'peer')
        fixture.store.era, fixture.store.newest_revision = era, revision
        fixture.store.requests.clear()
        await asyncio.sleep(1.0)
        _assert_equal(
            (list(fixture.view.servers), fixture.reader.is_store_reachable),
            (['a'], False),
        )
        assertions.assert_that(
            len(fixture.store.requests), matchers.LessThan(1.0 / reader.RETRY_FIRST_S)
        )

    reading(check)


def _start_cut(stores):
    for store in stores:
        store.faults += [call.CallFailed('cut off') for _ in range(40)]


@pytest.mark.parametrize(
    ('cut_s', 'is_for_all', 'is_kept'),
    [
        pytest.param(3.5, False, False, id='own'),
        pytest.param(3.5, True, True, id='for-all'),
        pytest.param(0.7, False, False, id='own-and-short'),
        pytest.param(1.2, False, False, id='own-1.2'),
        pytest.param(2.0, False, False, id='own-2.0'),
    ],
)
def test_others_keep_a_removed_server_only_if_the_store_was_away_for_all(
    reading, cut_s, is_for_all, is_kept
):
    """The entry that was cut off cannot tell, and says that records have expired."""

    async def check(fixture):
        other = Fixture()
        task = asyncio.create_task(other.reader.run())
        both = (fixture, other)
        for each in both:
            each.store.items.append(_server_item('a', 6))
            each.store.newest_revision = 6
        await _until(lambda: all('a' in each.view.servers for each in both))
        _start_cut([each.store for each in both if is_for_all or each is fixture])
        await _until(lambda: len(fixture.store.faults) < 40)
        await asyncio.sleep(cut_s)
        # Entries that were served all the while have not asked again yet.
        for each in both if is_for_all else [fixture]:
            each.store.items[:] = [fleetview.Item('servers/a', None, 7)]
            each.store.newest_revision = 7
            each.store.faults.clear()
        await _until(lambda: fixture.view.revision == 7)
        told = fixture.view.get_changes_since(6)
        other.view.apply_changes(told, 'peer')
        _assert_equal(
            (list(told.expiring_s), 'a' in other.view.servers),
            (['servers/a'], is_kept),
        )
        task.cancel()

    reading(check)


def test_others_keep_a_removed_server_if_their_calls_hung_in_the_outage(reading):
    """They have not noticed it, as no call of theirs has failed yet."""

    async def check(fixture):
        other = Fixture()
        task = asyncio.create_task(other.reader.run())
        both = (fixture, other)
        for each in both:
            each.store.items.append(_server_item('a', 6))
            each.store.newest_revision = 6
        await _until(lambda: all('a' in each.view.servers for each in both))
        other.store.delay_s = 3.0
        await _until(lambda: other.store.requests[-1] == 'revision')
        _start_cut([fixture.store])
        await asyncio.sleep(3.5)
        fixture.store.items[:] = [fleetview.Item('servers/a', None, 7)]
        fixture.store.newest_revision = 7
        fixture.store.faults.clear()
        await _until(lambda: fixture.view.revision == 7)
        other.view.apply_changes(fixture.view.get_changes_since(6), 'peer')
        _assert_equal(list(other.view.servers), ['a'])
        task.cancel()

    reading(check)


def test_answers_count_as_contact_on_a_machine_that_has_slept(reading):
    """The clocks of reader and view are apart by the time of the sleep."""

    async def check(fixture):
        contact = fixture.view.store_contact
        await _until(lambda: not contact.may_have_missed_outage)
        _assert_equal(contact.silent_s < 2.0, True)

    reading(check, slept_s=1000.0)


def test_watch_in_a_later_era_than_all_items_is_not_repeated_at_once(reading):
    """Guards against reads of all items one after the other, without a pause."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.feed.is_selected = True
        fixture.store.watched_era = 1
        fixture.store.requests.clear()
        await asyncio.sleep(1.0)
        assertions.assert_that(
            len(fixture.store.requests),
            matchers.LessThan(2 * 1.0 / reader.RETRY_FIRST_S),
        )

    reading(check)


def test_one_spoilt_era_does_not_lose_the_store_for_good(reading):
    """All later answers look as if they came from before it."""

    async def check(fixture):
        fixture.store.era = 2**40
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.store.era = 1
        await asyncio.sleep(3.0)
        _assert_equal(fixture.reader.is_store_reachable, True)

    reading(check)


def test_store_that_is_behind_is_not_read_in_full_again_and_again(reading):
    """All items may be megabytes; the position alone tells that it is behind."""

    async def check(fixture):
        await _until(lambda: fixture.reader.is_store_reachable)
        fixture.feed.is_selected = True
        fixture.store.newest_revision = 4
        fixture.store.is_history_gone = True
        fixture.store.requests.clear()
        await asyncio.sleep(3.5)
        assertions.assert_that(
            fixture.store.requests.count('all'), matchers.LessThan(3)
        )

    reading(check)
