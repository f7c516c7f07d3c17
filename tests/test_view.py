"""The view: adoption of published records, lapses, peers that catch up."""

import json

import pytest
from testtools import assertions, matchers

from primrosesaddle.fleet import fleetview
from primrosesaddle.platform import records


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock that stands until it is moved."""
    return Clock()


@pytest.fixture
def seen(clock):
    """Return an empty view."""
    return fleetview.View(records.decode_record, clock, 5.0)


def _server(name, revision, **changes):
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


def _version(number, revision):
    body = json.dumps({'model': 'm', 'version': number}).encode()
    return fleetview.Item('op/version/m', body, revision)


def _same(found, expected):
    assertions.assert_that(found, matchers.Equals(expected))


def test_older_revision_changes_nothing(seen):
    """Changes that come late or twice are ignored."""
    seen.apply_changes(
        fleetview.Changes([_server('a', 5, state='draining')], 5), 'store'
    )
    seen.apply_changes(fleetview.Changes([_server('a', 4)], 4), 'peer')
    _same((seen.servers['a'].leaving, seen.revision), (True, 5))


def test_late_answer_of_a_peer_does_not_bring_back_a_removed_server(seen):
    """The first read of the store overtook the answer, and told of no removal."""
    seen.apply_snapshot(fleetview.Snapshot([_server('b', 41)], 50), 'store')
    late = fleetview.Changes([_server('a', 40), _server('b', 41)], 45)
    seen.apply_changes(late, 'peer')
    _same(sorted(seen.servers), ['b'])


def test_removed_server_does_not_come_back(seen):
    """A record from before a removal stays out."""
    seen.apply_changes(fleetview.Changes([_server('a', 4)], 4), 'store')
    seen.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 6)], 6), 'store'
    )
    seen.apply_changes(fleetview.Changes([_server('a', 5)], 6), 'peer')
    _same(seen.servers, {})


def test_servers_that_lapse_in_an_outage_are_kept_for_a_while(seen, clock):
    """They stay until they would be back, and go then."""
    seen.apply_changes(
        fleetview.Changes([_server('a', 4), _server('b', 5)], 5), 'store'
    )
    seen.record_store_recovery()
    gone = [fleetview.Item('servers/a', None, 6), fleetview.Item('servers/b', None, 7)]
    seen.apply_changes(fleetview.Changes(gone, 7), 'store')
    _same(sorted(seen.servers), ['a', 'b'])
    seen.apply_changes(fleetview.Changes([_server('b', 8)], 8), 'store')
    clock.now += fleetview.EXPIRY_GRACE_S
    seen.drop_expired_servers()
    _same(sorted(seen.servers), ['b'])


def test_servers_that_lapse_are_kept_by_entries_that_a_peer_tells(seen, clock):
    """The peer was first to hear from the store after an outage."""
    seen.apply_changes(
        fleetview.Changes([_server('a', 4), _server('b', 5)], 5), 'store'
    )
    gone = [fleetview.Item('servers/a', None, 6), fleetview.Item('servers/b', None, 7)]
    told = fleetview.Changes(gone, 7, expiring_s={'servers/a': 1.5})
    seen.apply_changes(told, 'peer')
    _same(sorted(seen.servers), ['a'])
    _same(seen.get_changes_since(5).expiring_s, {'servers/a': 1.5})
    clock.now += 1.5
    seen.drop_expired_servers()
    _same(seen.servers, {})


def test_version_found_by_a_look_now_and_then_is_as_old_as_the_pause(seen, clock):
    """It may have been named right after the look before."""
    seen.apply_changes(fleetview.Changes([_server('a', 4)], 4), 'store')
    seen.apply_changes(fleetview.Changes([_version(2, 5)], 5, unseen_s=1.2), 'store')
    clock.now += 3.0
    _same(seen.version_ages.get_required_version('m', 4.2), 2)


def test_removal_some_time_after_an_outage_is_at_once(seen, clock):
    """What is removed once the store answers again has left by itself."""
    seen.apply_changes(fleetview.Changes([_server('a', 4)], 4), 'store')
    seen.record_store_recovery()
    clock.now += 0.5
    seen.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 6)], 6), 'store'
    )
    _same(seen.servers, {})


def test_removal_without_an_outage_is_at_once(seen):
    """A server that is gone gets no more work."""
    seen.apply_changes(fleetview.Changes([_server('a', 4)], 4), 'store')
    seen.apply_changes(
        fleetview.Changes([fleetview.Item('servers/a', None, 5)], 5), 'store'
    )
    _same(seen.servers, {})


def test_snapshot_removes_what_it_lacks(seen):
    """What a whole read lacks is gone, unless it is newer than the read."""
    items = [_server('a', 4), _server('b', 5), _server('c', 9)]
    seen.apply_changes(fleetview.Changes(items, 9), 'peer')
    seen.apply_snapshot(fleetview.Snapshot([_server('a', 4)], 7), 'store')
    _same(sorted(seen.servers), ['a', 'c'])


def test_earlier_start_does_not_replace_a_later_one(seen):
    """A late record of the start before is ignored."""
    seen.apply_changes(fleetview.Changes([_server('a', 4, born=2000)], 4), 'store')
    seen.apply_changes(
        fleetview.Changes([_server('a', 5, born=1000, sequence=9)], 5), 'store'
    )
    _same(seen.servers['a'].start_time_ms, 2000)


def test_required_version_follows_the_age(seen, clock):
    """A named version is required from the bound on, each from its own naming."""
    seen.apply_snapshot(fleetview.Snapshot([], 1), 'store')
    seen.apply_changes(fleetview.Changes([_version(2, 4)], 4), 'store')
    clock.now += 2
    seen.apply_changes(fleetview.Changes([_version(3, 5)], 5), 'store')
    _same(
        (
            seen.version_ages.get_newest('m'),
            seen.version_ages.get_required_version('m', 8.0),
        ),
        (3, 0),
    )
    clock.now += 6.5
    _same(seen.version_ages.get_required_version('m', 8.0), 2)
    clock.now += 2
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_version_that_the_first_read_finds_is_taken_for_an_older_one(seen, clock):
    """It is required after what is left of the bound, if no peer knows its age."""
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 4)], 9), 'store')
    _same(seen.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 3.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_version_that_a_later_read_finds_is_new(seen, clock):
    """A process that was in step before takes what it finds for newly named."""
    seen.apply_snapshot(fleetview.Snapshot([], 1), 'store')
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 4)], 9), 'store')
    clock.now += 7.9
    _same(seen.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 0.1
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_assumed_age_does_not_become_known_through_a_peer(seen, clock):
    """A process that was in step, but hears of a version from a peer, assumes too."""
    seen.apply_snapshot(fleetview.Snapshot([_version(2, 4)], 4), 'store')
    clock.now += 60
    seen.apply_changes(fleetview.Changes([_version(3, 9)], 9), 'peer')
    _same(seen.version_ages.get_known_ages_s(), {})
    clock.now += 3.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_process_that_stood_still_does_not_see_a_version_named(seen, clock):
    """What is read right after a pause may be as old as the pause is long."""
    seen.apply_snapshot(fleetview.Snapshot([_version(2, 4)], 4), 'store')
    seen.drop_expired_servers()
    clock.now += 4.0
    seen.apply_changes(fleetview.Changes([_version(3, 9)], 9), 'store')
    _same(seen.version_ages.get_known_ages_s(), {})
    clock.now += 4.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_refresh_after_a_pause_does_not_see_a_version_named(seen, clock):
    """The whole read that follows the first sweep after a pause tells no age either."""
    seen.apply_snapshot(fleetview.Snapshot([_version(2, 4)], 4), 'store')
    seen.drop_expired_servers()
    clock.now += 4.0
    seen.drop_expired_servers()
    clock.now += 0.1
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 9)], 9), 'store')
    _same(seen.version_ages.get_known_ages_s(), {})


def test_slow_read_after_a_pause_does_not_shorten_the_pause(seen, clock):
    """A version may have been named at the beginning of the pause."""
    seen.apply_snapshot(fleetview.Snapshot([_version(2, 4)], 4), 'store')
    seen.drop_expired_servers()
    clock.now += 4.0
    seen.drop_expired_servers()
    clock.now += 1.0
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 9)], 9), 'store')
    clock.now += 3.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_first_read_of_the_store_after_a_peer_told_is_no_sight(seen, clock):
    """A peer that lags behind does not make the first read a later one."""
    seen.apply_snapshot(fleetview.Snapshot([_version(2, 4)], 4), 'peer')
    clock.now += 0.02
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 9)], 9), 'store')
    clock.now += 3.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_known_age_goes_before_an_assumed_one(seen, clock):
    """A peer that saw a version named just now spares calls a refusal."""
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 4)], 9), 'store')
    seen.version_ages.merge_peer_ages({'m@3': 0.5})
    clock.now += 7.4
    _same(seen.version_ages.get_required_version('m', 8.0), 0)
    clock.now += 0.1
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_assumed_age_is_not_told(seen):
    """Peers hear only what some process saw."""
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 4)], 9), 'store')
    _same(seen.version_ages.get_known_ages_s(), {})
    seen.version_ages.merge_peer_ages({'m@3': 0.5})
    _same(seen.version_ages.get_known_ages_s(), {'m@3': 0.5})


def test_age_that_comes_before_the_first_read_is_kept(seen, clock):
    """A version is required by its age, but only once it is published here."""
    seen.version_ages.merge_peer_ages({'m@2': 9.0, 'm@3': 1.0})
    _same(seen.version_ages.get_required_version('m', 8.0), 0)
    seen.apply_snapshot(fleetview.Snapshot([_version(3, 4)], 9), 'store')
    _same(seen.version_ages.get_required_version('m', 8.0), 2)
    clock.now += 7.0
    _same(seen.version_ages.get_required_version('m', 8.0), 3)


def test_peer_tells_how_old_a_version_is(seen, clock):
    """A process that learns late takes the earlier time of its peer."""
    seen.apply_changes(fleetview.Changes([_version(2, 4)], 4), 'peer')
    seen.version_ages.merge_peer_ages({'m@2': 7.0})
    clock.now += 1.5
    _same(seen.version_ages.get_required_version('m', 8.0), 2)


def test_peer_that_is_behind_gets_changes_or_all(seen):
    """Changes reach back to the first read; before that, all is told."""
    seen.apply_snapshot(fleetview.Snapshot([_server('a', 4)], 6), 'store')
    seen.apply_changes(fleetview.Changes([_server('b', 7)], 7), 'store')
    seen.apply_changes(
        fleetview.Changes([fleetview.Item('servers/b', None, 8)], 8), 'store'
    )
    told = seen.get_changes_since(6)
    _same([(item.key, item.body) for item in told.items], [('servers/b', None)])
    _same(seen.history_from, 6)


def test_record_that_is_nested_too_deeply_names_no_server(seen):
    """The decoder gives up on it with an error of another kind."""
    deep = b'[' * 5000 + b']' * 5000
    body = (_server('a', 6).body or b'')[:-1] + b', "more": ' + deep + b'}'
    found = [fleetview.Item('servers/a', body, 6), _server('b', 7)]
    seen.apply_changes(fleetview.Changes(found, 7), 'store')
    _same((sorted(seen.servers), seen.revision), (['b'], 7))


def test_peer_gets_all_from_one_that_read_past_a_removal(seen, clock):
    """The server came and went between two whole reads, so only the peer knew it."""
    peer = fleetview.View(records.decode_record, clock, 5.0)
    for each in (seen, peer):
        each.apply_snapshot(fleetview.Snapshot([], 10), 'store')
    peer.apply_changes(fleetview.Changes([_server('a', 12)], 12), 'store')
    seen.apply_snapshot(fleetview.Snapshot([], 20), 'store')
    assertions.assert_that(seen.history_from, matchers.GreaterThan(peer.revision))


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
def test_malformed_record_names_no_server(seen, change):
    """A record with a field of another type is passed over, and the known one goes."""
    seen.apply_changes(
        fleetview.Changes([_server('a', 4), _server('b', 5)], 5), 'store'
    )
    seen.apply_changes(fleetview.Changes([_server('a', 6, **change)], 6), 'store')
    _same(sorted(seen.servers), ['b'])
