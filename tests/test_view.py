"""The view: published records, their expiry, and version ages."""

import json

import pytest
from testtools import assertions, matchers

from primrosesaddle.fleet import fleetview
from primrosesaddle.platform import records


@pytest.fixture
def view(clock):
    """Return an empty view."""
    return fleetview.View(records.decode_record, clock, 5.0)


def _server_item(name, revision, **changes):
    body = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        **changes,
    }
    return fleetview.Item(f'servers/{name}', json.dumps(body).encode(), revision)


def _version_item(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return fleetview.Item('op/version/m', body, revision)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_older_revision_changes_nothing(view):
    """Changes that arrive late or twice are ignored."""
    view.apply_changes(
        fleetview.Changes([_server_item('a', 5, state='draining')], 5), 'store'
    )
    view.apply_changes(fleetview.Changes([_server_item('a', 4)], 4), 'peer')
    _assert_equal((view.servers['a'].leaving, view.revision), (True, 5))


def test_late_answer_of_a_peer_does_not_bring_back_a_removed_server(view):
    """The answer is older than the first read, which does not list removals."""
    view.apply_snapshot(fleetview.Snapshot([_server_item('b', 41)], 50), 'store')
    late = fleetview.Changes([_server_item('a', 40), _server_item('b', 41)], 45)
    view.apply_changes(late, 'peer')
    _assert_equal(sorted(view.servers), ['b'])


def test_removed_server_does_not_come_back(view):
    """A record older than the removal is ignored."""
    view.apply_changes(fleetview.Changes([_server_item('a', 4)], 4), 'store')
    view.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 6)], 6), 'store'
    )
    view.apply_changes(fleetview.Changes([_server_item('a', 5)], 6), 'peer')
    _assert_equal(view.servers, {})


def test_servers_that_expire_in_an_outage_are_kept_for_the_grace_time(view, clock):
    """They stay until they would have been published again, and are dropped then."""
    view.apply_changes(
        fleetview.Changes([_server_item('a', 4), _server_item('b', 5)], 5), 'store'
    )
    view.record_store_recovery()
    gone = [fleetview.Item('servers/a', None, 6), fleetview.Item('servers/b', None, 7)]
    view.apply_changes(fleetview.Changes(gone, 7), 'store')
    _assert_equal(sorted(view.servers), ['a', 'b'])
    view.apply_changes(fleetview.Changes([_server_item('b', 8)], 8), 'store')
    clock.now += fleetview.EXPIRY_GRACE_S
    view.drop_expired_servers()
    _assert_equal(sorted(view.servers), ['b'])


def test_grace_time_of_expired_servers_is_taken_from_a_peer(view, clock):
    """The peer read the store first after an outage, so only it knows of the outage."""
    view.apply_changes(
        fleetview.Changes([_server_item('a', 4), _server_item('b', 5)], 5), 'store'
    )
    gone = [fleetview.Item('servers/a', None, 6), fleetview.Item('servers/b', None, 7)]
    changes = fleetview.Changes(gone, 7, expiring_s={'servers/a': 1.5})
    view.apply_changes(changes, 'peer')
    _assert_equal(sorted(view.servers), ['a'])
    _assert_equal(view.get_changes_since(5).expiring_s, {'servers/a': 1.5})
    clock.now += 1.5
    view.drop_expired_servers()
    _assert_equal(view.servers, {})


def _remove_by_peer(view, clock, answered_at):
    """Apply a removal by a peer that was without the store from 10 to 14 s."""
    view.apply_changes(fleetview.Changes([_server_item('a', 5)], 5), 'store')
    for at in answered_at:
        clock.now = at
        view.store_contact.record_answer(0.0)
    clock.now = 14.2
    changes = fleetview.Changes(
        [fleetview.Item('servers/a', None, 6)], 6, expiring_s={'servers/a': 2.2}
    )
    view.apply_changes(changes, 'peer')


def test_removal_by_a_peer_that_alone_lost_the_store_takes_effect_at_once(view, clock):
    """The store answered this entry, so there was no outage in which records expire."""
    _remove_by_peer(view, clock, [9.0, 11.0, 13.0, 14.1])
    _assert_equal(view.servers, {})
    _assert_equal(view.get_changes_since(5).expiring_s, {})


@pytest.mark.parametrize('silent_s', [0.1, 1.0, 2.0, 2.3])
def test_removal_is_not_kept_by_an_entry_that_has_just_heard_from_the_store(
    view, clock, silent_s
):
    """However short the time was in which the peer could not reach the store."""
    _remove_by_peer(view, clock, [9.0, 14.2 - silent_s - 1.0, 14.2 - silent_s])
    _assert_equal(view.servers, {})


def test_entry_that_is_told_of_changes_by_others_is_in_contact(view, clock):
    """It asks the store nothing while others send it what they have read."""
    for at in (9.0, 10.5, 12.0, 13.5):
        clock.now = at
        view.store_contact.record_told()
    _remove_by_peer(view, clock, [])
    _assert_equal(view.servers, {})


@pytest.mark.parametrize('answered_at', [[9.9], [14.1], [8.5, 9.9, 13.9]])
def test_removal_is_kept_by_an_entry_that_did_not_hear_from_the_store_either(
    view, clock, answered_at
):
    """Its own calls may hang, and be answered as the store is back."""
    _remove_by_peer(view, clock, answered_at)
    _assert_equal(sorted(view.servers), ['a'])


def test_slow_answer_does_not_show_that_there_was_no_outage(view, clock):
    """The call may have waited until the store was back."""
    clock.now = 9.9
    view.store_contact.record_answer(0.0)
    clock.now = 13.9
    view.store_contact.record_answer(1.9)
    _remove_by_peer(view, clock, [])
    _assert_equal(sorted(view.servers), ['a'])


def test_removal_is_kept_by_an_entry_whose_last_call_failed(view, clock):
    """The store may have answered it once between two outages."""
    clock.now = 12.5
    view.store_contact.record_answer(0.0)
    clock.now = 13.0
    view.store_contact.record_failure()
    _remove_by_peer(view, clock, [])
    _assert_equal(sorted(view.servers), ['a'])


@pytest.mark.parametrize('era', [0, 1])
def test_records_that_a_restored_store_lacks_are_kept_after_a_cut_of_a_peer(
    view, clock, era
):
    """They are published again, unlike those that the same store lacks."""
    view.apply_changes(fleetview.Changes([_server_item('a', 5)], 5), 'store')
    for at in (11.5, 13.5):
        clock.now = at
        view.store_contact.record_answer(0.0)
    clock.now = 14.2
    snapshot = fleetview.Snapshot([], 6, era, expiring_s={'servers/a': 2.2})
    view.apply_snapshot(snapshot, 'peer')
    _assert_equal('a' in view.servers, bool(era))


def test_version_found_after_time_without_a_read_has_the_age_of_that_time(view, clock):
    """It may have been announced right after the previous read."""
    view.apply_changes(fleetview.Changes([_server_item('a', 4)], 4), 'store')
    view.apply_changes(
        fleetview.Changes([_version_item(2, 5)], 5, unseen_s=1.2), 'store'
    )
    clock.now += 3.0
    _assert_equal(view.version_ages.get_required_version('m', 4.2), 2)


def test_removal_some_time_after_an_outage_takes_effect_at_once(view, clock):
    """A server that is removed well after an outage has left by itself."""
    view.apply_changes(fleetview.Changes([_server_item('a', 4)], 4), 'store')
    view.record_store_recovery()
    clock.now += 0.5
    view.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 6)], 6), 'store'
    )
    _assert_equal(view.servers, {})


def test_removal_without_an_outage_takes_effect_at_once(view):
    """A server that is gone must get no more work."""
    view.apply_changes(fleetview.Changes([_server_item('a', 4)], 4), 'store')
    view.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 5)], 5), 'store'
    )
    _assert_equal(view.servers, {})


def test_snapshot_removes_items_that_it_lacks(view):
    """Items missing from a full read are removed, unless they are newer than it."""
    items = [_server_item('a', 4), _server_item('b', 5), _server_item('c', 9)]
    view.apply_changes(fleetview.Changes(items, 9), 'peer')
    view.apply_snapshot(fleetview.Snapshot([_server_item('a', 4)], 7), 'store')
    _assert_equal(sorted(view.servers), ['a', 'c'])


def _make_start(revision, born, **changes):
    """Return the changes up to a record of a start of a server."""
    item = _server_item('a', revision, born=born, **changes)
    return fleetview.Changes([item], revision)


@pytest.mark.parametrize('source', ['store', 'peer'])
@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_server_whose_clock_was_set_back_is_adopted(view, source, state):
    """All records of a start lower than the known one were ignored for good."""
    view.apply_changes(_make_start(4, 2000), 'store')
    view.apply_changes(_make_start(5, 1000), source)
    _assert_equal(view.servers['a'].start_time_ms, 1000)
    view.apply_changes(_make_start(6, 1000, state=state, sequence=9), source)
    server = view.servers['a']
    _assert_equal((server.start_time_ms, server.leaving), (1000, state == 'draining'))


def test_full_read_replaces_a_start_by_a_lower_one(view):
    """The records between may have been missed."""
    view.apply_changes(_make_start(4, 2000), 'store')
    item = _server_item('a', 9, born=1000, state='draining')
    view.apply_snapshot(fleetview.Snapshot([item], 9), 'store')
    server = view.servers['a']
    _assert_equal((server.start_time_ms, server.leaving), (1000, True))


@pytest.mark.parametrize('source', ['store', 'peer'])
@pytest.mark.parametrize(('first', 'second'), [(1000, 2000), (2000, 1000)])
def test_late_record_of_the_previous_start_is_ignored(view, source, first, second):
    """Its revision is the lower one, whichever of the starts is."""
    view.apply_changes(_make_start(4, first), 'store')
    view.apply_changes(_make_start(6, second), 'store')
    late = fleetview.Changes([_server_item('a', 5, born=first, sequence=9)], 6)
    view.apply_changes(late, source)
    _assert_equal(view.servers['a'].start_time_ms, second)


def test_version_is_required_once_its_age_reaches_the_bound(view, clock):
    """The age of each version counts from its own announcement."""
    view.apply_snapshot(fleetview.Snapshot([], 1), 'store')
    view.apply_changes(fleetview.Changes([_version_item(2, 4)], 4), 'store')
    clock.now += 2
    view.apply_changes(fleetview.Changes([_version_item(3, 5)], 5), 'store')
    _assert_equal(
        (
            view.version_ages.get_newest('m'),
            view.version_ages.get_required_version('m', 8.0),
        ),
        (3, 0),
    )
    clock.now += 6.5
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 2)
    clock.now += 2
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_version_in_the_first_read_gets_the_assumed_age(view, clock):
    """It is required after the rest of the bound, if no peer knows its age."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 3.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_late_first_read_makes_the_assumed_age_higher(view, clock):
    """The version may have been announced just before this process started.

    All processes were killed and entries read the store four seconds after their start:
    an age as of the start let calls begin on the older version past its bound.
    """
    clock.now += 2.5
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 0.5
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_version_in_a_later_read_is_new(view, clock):
    """A process that was up to date takes a new version for just announced."""
    view.apply_snapshot(fleetview.Snapshot([], 1), 'store')
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    clock.now += 7.9
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 0.1
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_assumed_age_does_not_become_known_through_a_peer(view, clock):
    """A version received from a peer without its age has an assumed age, too."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(2, 4)], 4), 'store')
    clock.now += 60
    view.apply_changes(fleetview.Changes([_version_item(3, 9)], 9), 'peer')
    _assert_equal(view.version_ages.get_known_ages_s(), {})
    clock.now += 3.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_version_read_after_a_pause_has_no_known_age(view, clock):
    """It may have been announced at any time during the pause."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(2, 4)], 4), 'store')
    view.drop_expired_servers()
    clock.now += 4.0
    view.apply_changes(fleetview.Changes([_version_item(3, 9)], 9), 'store')
    _assert_equal(view.version_ages.get_known_ages_s(), {})
    clock.now += 4.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_version_in_a_full_read_after_a_pause_has_no_known_age(view, clock):
    """The same holds if `drop_expired_servers` ran between pause and read."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(2, 4)], 4), 'store')
    view.drop_expired_servers()
    clock.now += 4.0
    view.drop_expired_servers()
    clock.now += 0.1
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 9)], 9), 'store')
    _assert_equal(view.version_ages.get_known_ages_s(), {})


def test_slow_read_after_a_pause_does_not_shorten_the_pause(view, clock):
    """A version may have been announced at the beginning of the pause."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(2, 4)], 4), 'store')
    view.drop_expired_servers()
    clock.now += 4.0
    view.drop_expired_servers()
    clock.now += 1.0
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 9)], 9), 'store')
    clock.now += 3.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_first_read_of_the_store_after_a_peer_gives_the_assumed_age(view, clock):
    """Items from a lagging peer must not make the first read count as a later one."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(2, 4)], 4), 'peer')
    clock.now += 0.02
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 9)], 9), 'store')
    clock.now += 3.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_known_age_replaces_an_assumed_one(view, clock):
    """With the assumed age, calls would be refused earlier than necessary."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    view.version_ages.merge_peer_ages({'m@3': 0.5})
    clock.now += 7.4
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 0.1
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_assumed_age_is_not_sent_to_peers(view):
    """Peers get only ages that some process observed."""
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    _assert_equal(view.version_ages.get_known_ages_s(), {})
    view.version_ages.merge_peer_ages({'m@3': 0.5})
    _assert_equal(view.version_ages.get_known_ages_s(), {'m@3': 0.5})


def test_age_received_before_the_first_read_is_kept(view, clock):
    """A version is required by its age, but only once it is published here."""
    view.version_ages.merge_peer_ages({'m@2': 9.0, 'm@3': 1.0})
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 0)
    view.apply_snapshot(fleetview.Snapshot([_version_item(3, 4)], 9), 'store')
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 2)
    clock.now += 7.0
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 3)


def test_age_from_a_peer_is_used(view, clock):
    """A process that gets a version late uses the earlier time of its peer."""
    view.apply_changes(fleetview.Changes([_version_item(2, 4)], 4), 'peer')
    view.version_ages.merge_peer_ages({'m@2': 7.0})
    clock.now += 1.5
    _assert_equal(view.version_ages.get_required_version('m', 8.0), 2)


def test_changes_since_the_first_read_include_removals(view):
    """A peer behind the first read has to get a snapshot instead."""
    view.apply_snapshot(fleetview.Snapshot([_server_item('a', 4)], 6), 'store')
    view.apply_changes(fleetview.Changes([_server_item('b', 7)], 7), 'store')
    view.apply_changes(
        fleetview.Changes([fleetview.Item('servers/b', None, 8)], 8), 'store'
    )
    changes = view.get_changes_since(6)
    _assert_equal(
        [(item.key, item.body) for item in changes.items], [('servers/b', None)]
    )
    _assert_equal(view.history_from, 6)


def test_record_that_is_nested_too_deeply_is_ignored(view):
    """The decoder raises another error for it than for malformed records."""
    deep = b'[' * 5000 + b']' * 5000
    body = (_server_item('a', 6).body or b'')[:-1] + b', "more": ' + deep + b'}'
    items = [fleetview.Item('servers/a', body, 6), _server_item('b', 7)]
    view.apply_changes(fleetview.Changes(items, 7), 'store')
    _assert_equal((sorted(view.servers), view.revision), (['b'], 7))


def test_history_starts_at_a_snapshot(view, clock):
    """A server added and removed between two full reads is known to the peer only.

    The peer must get a snapshot, as its removal would be missing from the changes.
    """
    peer = fleetview.View(records.decode_record, clock, 5.0)
    for each in (view, peer):
        each.apply_snapshot(fleetview.Snapshot([], 10), 'store')
    peer.apply_changes(fleetview.Changes([_server_item('a', 12)], 12), 'store')
    view.apply_snapshot(fleetview.Snapshot([], 20), 'store')
    assertions.assert_that(view.history_from, matchers.GreaterThan(peer.revision))


@pytest.mark.parametrize(
    'change',
    [
        {'slots': -1},
        {'slots': True},
        {'address': 'host:80'},
        {'state': 'idle'},
        {'born': 1.5},
        {'models': 'none'},
    ],
)
def test_malformed_record_removes_the_server(view, change):
    """A record with an invalid field is ignored, and the earlier record is dropped."""
    view.apply_changes(
        fleetview.Changes([_server_item('a', 4), _server_item('b', 5)], 5), 'store'
    )
    view.apply_changes(fleetview.Changes([_server_item('a', 6, **change)], 6), 'store')
    _assert_equal(sorted(view.servers), ['b'])
