"""The view of a store that was restored from a copy, and so began another era."""

import json
import random
import types

import pytest
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.fleet import fleetview, keptrecords, reader
from primrosesaddle.platform import records
from primrosesaddle.restrictions import homes

SEEDS = range(60)
STEPS = 120
DRAIN_S = 2.0  # within which a server that left gets no more calls
RETRY_S = reader.RETRY_CEILING_S  # the longest delay before the store is asked again
MAX_COPY_AGE = 12  # steps
SERVERS = ('a', 'b', 'c', 'd')
EVACUATION_KEY = 'op/evacuate/z'


def _make_view(clock):
    return fleetview.View(records.decode_record, clock, 5.0)


@pytest.fixture
def view(clock):
    """Return an empty view."""
    return _make_view(clock)


def _server_item(name, revision, state='ready', sequence=1, born=0):
    body = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': state,
        'coldRemainingMs': 0,
        'sequence': sequence,
        'born': born,
    }
    return fleetview.Item(f'servers/{name}', json.dumps(body).encode(), revision)


def _removal(name, revision):
    return fleetview.Item(f'servers/{name}', None, revision)


def _configuration_item(version, revision, **changes):
    body = json.dumps(stand.configuration(version, **changes)).encode()
    return fleetview.Item('op/config', body, revision)


def _apply_changes(view, items, *, era=1, source='store'):
    changes = fleetview.Changes(items, items[-1].revision, era=era)
    view.apply_changes(changes, source)


def _apply_snapshot(view, items, revision, *, era=1, source='store', **fields):
    snapshot = fleetview.Snapshot(items, revision, era, **fields)
    view.apply_snapshot(snapshot, source)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_item_with_a_revision_that_was_given_out_again_is_applied(view):
    """Guards against changes that are ignored for good after a restoration."""
    _apply_snapshot(view, [_server_item('a', 4), _configuration_item(1, 5)], 9)
    again = [
        _server_item('a', 6, 'draining', sequence=2),
        _configuration_item(2, 7),
    ]
    _apply_snapshot(view, again, 7, era=2)
    _assert_equal(
        (view.servers['a'].leaving, view.configuration.version, view.position),
        (True, 2, (2, 7)),
    )


def test_change_after_a_restoration_is_applied(view):
    """Its revision may be lower than those known from before."""
    _apply_snapshot(view, [_server_item('a', 4), _server_item('b', 9)], 9)
    _apply_snapshot(view, [_server_item('a', 4), _server_item('b', 5)], 5, era=2)
    _apply_changes(view, [_server_item('a', 6, 'draining'), _removal('b', 7)], era=2)
    _assert_equal([record.leaving for record in view.servers.values()], [True])


def test_server_that_left_before_a_restoration_stays_out_of_use(view):
    """The copy is from before the server drained, or was removed."""
    ready = [_server_item('a', 4), _server_item('b', 5)]
    _apply_snapshot(view, ready, 5)
    _apply_changes(view, [_server_item('a', 6, 'draining'), _removal('b', 7)])
    _apply_snapshot(view, ready, 5, era=2)
    _assert_equal([record.leaving for record in view.servers.values()], [True])
    _apply_snapshot(view, ready, 5, era=3)
    _assert_equal([record.leaving for record in view.servers.values()], [True])


@pytest.mark.parametrize(
    ('born', 'is_leaving'), [(1000, True), (2000, False), (0, False)]
)
def test_record_that_was_never_seen_of_a_server_that_left(view, born, is_leaving):
    """It is from before the draining, unless the server has started again since."""
    draining = _server_item('a', 9, 'draining', born=1000 if born else 0)
    _apply_snapshot(view, [draining], 9)
    _apply_snapshot(view, [_server_item('a', 4, born=born)], 5, era=2)
    _assert_equal(view.servers['a'].leaving, is_leaving)
    _apply_changes(view, [_server_item('a', 6, born=born, sequence=2)], era=2)
    _assert_equal(view.servers['a'].leaving, False)


def test_peer_is_told_what_is_known_instead_of_the_older_state_of_a_copy(view, clock):
    """A peer that starts after a restoration knows nothing from before it."""
    ready = [_server_item('a', 4), _server_item('b', 5), _configuration_item(1, 3)]
    _apply_snapshot(view, ready, 5)
    newer = [
        _server_item('a', 6, 'draining'),
        _removal('b', 7),
        _configuration_item(2, 8),
    ]
    _apply_changes(view, newer)
    _apply_snapshot(view, ready, 5, era=2)
    peer = _make_view(clock)
    _pull(peer, view)
    _assert_equal(
        (list(peer.servers), peer.servers['a'].leaving, peer.configuration.version),
        (['a'], True, 2),
    )


def test_server_that_a_restored_store_lacks_is_kept_for_the_grace_time(view, clock):
    """It registered after the copy was taken, and will do so again if it is alive."""
    _apply_snapshot(view, [_server_item('a', 4), _server_item('b', 5)], 5)
    _apply_snapshot(view, [], 3, era=2)
    _assert_equal(sorted(view.servers), ['a', 'b'])
    _apply_changes(view, [_server_item('b', 4, sequence=2)], era=2)
    clock.now += fleetview.LACKING_SERVER_S
    view.drop_expired_servers()
    _assert_equal(sorted(view.servers), ['b'])


def test_grace_time_of_a_restoration_is_taken_from_a_peer(view):
    """The peer adopted the era before, so less of the time is left."""
    item = _server_item('a', 4)
    _apply_snapshot(view, [item], 5)
    kept = (keptrecords.KeptRecord(item.key, item.body, 0, 0.5),)
    _apply_snapshot(view, [], 3, era=2, source='peer', kept=kept)
    _assert_equal(view.kept_records.list_remaining(), kept)


def test_server_that_registers_again_and_leaves_at_once_is_dropped(view, clock):
    """A peer that has not read that yet does not bring it back."""
    peer = _make_view(clock)
    for each in (view, peer):
        _apply_snapshot(each, [_server_item('a', 4)], 5)
        _apply_snapshot(each, [], 3, era=2)
    _apply_changes(view, [_removal('a', 5)], era=2)
    _assert_equal((list(view.servers), list(peer.servers)), ([], ['a']))
    kept = peer.kept_records.list_remaining()
    view.apply_changes(fleetview.Changes([], 5, era=2, kept=kept), 'peer')
    _assert_equal(list(view.servers), [])


def test_evacuation_that_a_restored_store_lacks_is_kept_for_a_time(view, clock):
    """Guards against calls to a data centre whose evacuation was lost."""
    item = fleetview.Item(EVACUATION_KEY, b'{}', 4)
    _apply_snapshot(view, [item], 5)
    _apply_snapshot(view, [], 3, era=2)
    clock.now += fleetview.RESTORATION_S - 0.1
    view.drop_expired_servers()
    _assert_equal(list(view.evacuations), [EVACUATION_KEY])
    clock.now += 0.2
    view.drop_expired_servers()
    _assert_equal(view.evacuations, {})


def test_evacuation_that_is_published_again_stays_in_force(view, clock):
    """The time for which a lost one is kept does not end it."""
    _apply_snapshot(view, [fleetview.Item(EVACUATION_KEY, b'{}', 4)], 5)
    _apply_snapshot(view, [], 3, era=2)
    _apply_changes(view, [fleetview.Item(EVACUATION_KEY, b'{}', 4)], era=2)
    clock.now += 2 * fleetview.RESTORATION_S
    view.drop_expired_servers()
    _assert_equal(list(view.evacuations), [EVACUATION_KEY])


def test_configuration_does_not_go_back_to_that_of_a_copy(view):
    """The one in force stays until a newer one is published."""
    _apply_snapshot(view, [_configuration_item(1, 4)], 5)
    _apply_changes(view, [_configuration_item(2, 6)])
    _apply_snapshot(view, [_configuration_item(1, 4)], 5, era=2)
    _assert_equal(view.configuration.version, 2)
    _apply_snapshot(view, [], 3, era=3)
    _assert_equal(view.configuration.version, 2)


@pytest.mark.parametrize('era', [1, 2])
def test_other_configuration_with_the_version_in_force_is_adopted(view, era):
    """The operator has lost that version, and has given its number to another one."""
    _apply_snapshot(view, [_configuration_item(2, 4)], 5)
    other = _configuration_item(2, 6, limits={'idleTimeoutMs': 1234})
    _apply_snapshot(view, [other], 6, era=era)
    _assert_equal(view.configuration.limits.idle_timeout_s, 1.234)


def test_entry_that_starts_after_a_restoration_adopts_that_other_one_too(view, clock):
    """It has the lost configuration from a peer alone."""
    _apply_snapshot(view, [_configuration_item(3, 4)], 4)
    _apply_changes(view, [_configuration_item(4, 6)])
    _apply_snapshot(view, [_configuration_item(3, 4)], 4, era=2)
    started = _make_view(clock)
    _pull(started, view)
    _assert_equal(started.configuration.version, 4)
    other = _configuration_item(4, 5, limits={'idleTimeoutMs': 1234})
    _apply_changes(started, [other], era=2)
    _assert_equal(started.configuration.limits.idle_timeout_s, 1.234)


def test_peer_is_told_the_configuration_in_force(view, clock):
    """The copy has an older one that this process never saw."""
    _apply_snapshot(view, [_configuration_item(4, 10)], 10)
    _apply_snapshot(view, [_configuration_item(3, 4)], 5, era=2)
    peer = _make_view(clock)
    _pull(peer, view)
    _assert_equal(peer.configuration.version, 4)


def test_peer_at_the_same_position_is_told_what_holds_in_place_of_items(view, clock):
    """It started after a server had left, and read the copy itself."""
    ready = [_server_item('a', 4), _server_item('b', 5)]
    _apply_snapshot(view, ready, 5)
    _apply_changes(view, [_server_item('a', 6, 'draining'), _removal('b', 7)])
    peer = _make_view(clock)
    for each in (view, peer):
        _apply_snapshot(each, ready, 5, era=2)
    _pull(peer, view)
    _assert_equal([record.leaving for record in peer.servers.values()], [True])
    _apply_changes(peer, [_server_item('a', 6)], era=2)
    _assert_equal([record.leaving for record in peer.servers.values()], [False])


def test_server_that_the_store_goes_on_to_list_is_used_at_last(view, clock):
    """It was removed for silence, and its heartbeats change nothing in the store."""
    _apply_snapshot(view, [_server_item('a', 4)], 4)
    _apply_changes(view, [_removal('a', 6)])
    _apply_snapshot(view, [_server_item('a', 4)], 4, era=2)
    clock.now += fleetview.RESTORATION_S
    view.drop_expired_servers()
    _assert_equal(list(view.servers), ['a'])


def test_record_that_a_second_copy_lists_again_is_not_dropped(view, clock):
    """The first copy lacked it, so it was kept for a limited time."""
    lost = [_server_item('a', 4), fleetview.Item(EVACUATION_KEY, b'{}', 5)]
    _apply_snapshot(view, [], 3)
    _apply_changes(view, lost)
    _apply_snapshot(view, [], 3, era=2)
    _apply_snapshot(view, lost, 5, era=3)
    clock.now += 2 * fleetview.RESTORATION_S
    view.drop_expired_servers()
    _assert_equal(
        (list(view.servers), list(view.evacuations)), (['a'], [EVACUATION_KEY])
    )


@pytest.mark.parametrize('has_left', ['draining', 'removed'])
def test_peer_that_lagged_behind_does_not_bring_a_server_back(view, clock, has_left):
    """It was cut off just before the loss, and reads the restored store first."""
    lagging = _make_view(clock)
    for each in (view, lagging):
        _apply_snapshot(each, [_server_item('a', 4)], 4)
        _apply_changes(each, [_server_item('a', 6, sequence=2)])
    last = _server_item('a', 8, 'draining') if has_left == 'draining' else None
    _apply_changes(view, [last or _removal('a', 8)])
    _apply_snapshot(lagging, [_server_item('a', 4)], 5, era=2)
    _pull(view, lagging)
    in_use = [name for name, record in view.servers.items() if not record.leaving]
    _assert_equal(in_use, [])


def test_items_of_an_earlier_era_change_nothing(view):
    """An answer of the store, or of a peer that lags behind, may arrive late."""
    _apply_snapshot(view, [_server_item('a', 4)], 5, era=2)
    _apply_snapshot(view, [_server_item('b', 8)], 9, era=1)
    for source in ('store', 'peer'):
        _apply_changes(view, [_removal('a', 9)], era=1, source=source)
    _assert_equal((list(view.servers), view.position), (['a'], (2, 5)))


def test_changes_of_a_later_era_are_not_applied_without_a_snapshot(view):
    """They do not tell which of the known items the restored store lacks."""
    _apply_snapshot(view, [_server_item('a', 4)], 5)
    _apply_changes(view, [_removal('a', 9)], era=2)
    _assert_equal((list(view.servers), view.position), (['a'], (1, 5)))


@pytest.mark.parametrize('kind', ['server', 'configuration', 'version'])
def test_what_a_restored_store_lacks_is_told_to_a_peer_that_starts(view, clock, kind):
    """The peer would act otherwise than the process that tells it."""
    items = {
        'server': _server_item('a', 4),
        'configuration': _configuration_item(2, 4),
        'version': fleetview.Item('op/version/m', b'{"model":"m","version":3}', 4),
    }
    _apply_snapshot(view, [items[kind]], 5)
    _apply_snapshot(view, [], 3, era=2)
    peer = _make_view(clock)
    _pull(peer, view)
    looks = [
        (
            sorted(each.servers),
            getattr(each.configuration, 'version', 0),
            each.version_ages.get_newest('m'),
        )
        for each in (view, peer)
    ]
    _assert_equal(looks[1], looks[0])


def test_server_removed_between_the_return_and_the_read_is_dropped_in_time(view, clock):
    """It is in the copy; its removal is acknowledged before an entry reads the era."""
    _apply_snapshot(view, [_server_item('a', 4)], 5)
    clock.now += RETRY_S
    _apply_snapshot(view, [], 6, era=2)
    clock.now += DRAIN_S - RETRY_S + 0.1
    view.drop_expired_servers()
    _assert_equal(list(view.servers), [])


def test_waiting_call_follows_another_configuration_with_its_version(view):
    """The homes of its route change with the content, not with the version."""
    _apply_snapshot(view, [_configuration_item(2, 4)], 4)
    document = stand.configuration(2)
    first = document['routes'][0]
    route = view.configuration.find_route(first['host'], first['prefix'])
    waiting = types.SimpleNamespace(
        homes_source=view.configuration,
        route=route,
        target=route.prefix,
        workspace='',
        homes=None,
    )
    at_home = [{**each, 'allowedRegions': ['r-9']} for each in document['routes']]
    _apply_snapshot(view, [_configuration_item(2, 6, routes=at_home)], 6, era=2)
    homes.update_homes(waiting, view.configuration)
    _assert_equal(waiting.homes, frozenset(('r-9',)))


class PlainStore:
    """A store, with the values by key that its writers want it to hold."""

    def __init__(self, rand):
        self.era = 1
        self.revision = 1
        self.wanted = {}
        self._rand = rand
        self._items = {}
        self._events = []
        self._copies = []
        self._writes = 0

    def step(self):
        """Write, remove or restore something."""
        self._copies.append((self.revision, dict(self._items), list(self._events)))
        del self._copies[:-MAX_COPY_AGE]
        action = self._rand.choice(('put', 'put', 'put', 'remove', 'restore', 'again'))
        keys = [f'servers/{name}' for name in SERVERS]
        keys += [EVACUATION_KEY, 'op/config']
        key = self._rand.choice(keys)
        if action == 'put':
            self._write_wanted(key)
        elif action == 'remove' and key != 'op/config':
            self.wanted.pop(key, None)
            self._put(key, None)
        elif action == 'restore':
            self._restore()
        elif action == 'again':
            self.publish_again(self._rand.sample(keys, 3))

    def publish_again(self, keys):
        """Write again what the writers of these keys want."""
        for key in keys:
            value = self.wanted.get(key)
            self._put(key, None if value is None else self._encode(key, value))

    def read_all(self):
        return fleetview.Snapshot(list(self._items.values()), self.revision, self.era)

    def read_changes(self, after):
        events = [item for item in self._events if item.revision > after]
        return fleetview.Changes(events, self.revision, era=self.era)

    def _write_wanted(self, key):
        if key == 'op/config':
            self.wanted[key] = self.wanted.get(key, 0) + 1
        else:
            self.wanted[key] = self._rand.choice(('ready', 'draining'))
        self._put(key, self._encode(key, self.wanted[key]))

    def _encode(self, key, value):
        self._writes += 1
        if key == 'op/config':
            return _configuration_item(value, 0).body
        if key == EVACUATION_KEY:
            return json.dumps({'write': self._writes}).encode()
        return _server_item('', 0, value, self._writes).body

    def _put(self, key, body):
        if body is None and key not in self._items:
            return
        self.revision += 1
        item = fleetview.Item(key, body, self.revision)
        self._events.append(item)
        if body is None:
            self._items.pop(key)
        else:
            self._items[key] = item

    def _restore(self):
        self.revision, items, events = self._rand.choice(self._copies)
        self._items, self._events = dict(items), list(events)
        self.era += 1


def _read_store(view, store):
    if view.era == store.era and view.revision <= store.revision and view.revision:
        view.apply_changes(store.read_changes(view.revision), 'store')
    else:
        view.apply_snapshot(store.read_all(), 'store')


def _pull(view, peer):
    """Pull from a peer as entries do, or be told at the same position."""
    if peer.position < view.position:
        return
    is_snapshot = view.position < (peer.era, peer.history_from)
    told = peer.get_changes_since(0 if is_snapshot else view.revision)
    if is_snapshot:
        snapshot = fleetview.Snapshot(
            told.items,
            told.revision,
            told.era,
            expiring_s=told.expiring_s,
            kept=peer.kept_records.list_remaining(),
        )
        view.apply_snapshot(snapshot, 'peer')
    else:
        told = told._replace(kept=peer.kept_records.list_remaining())
        view.apply_changes(told, 'peer')


def _published(view):
    servers = {
        f'servers/{name}': 'draining' if record.leaving else 'ready'
        for name, record in view.servers.items()
    }
    conf = view.configuration
    configuration = {} if conf is None else {'op/config': conf.version}
    return {**servers, **configuration, **dict.fromkeys(view.evacuations, True)}


@pytest.mark.parametrize('seed', SEEDS)
def test_all_views_end_equal_to_a_store_that_was_restored_again_and_again(seed, clock):
    """Whatever the order in which they read it and each other, none goes back."""
    rand = random.Random(seed)
    store = PlainStore(rand)
    views = [_make_view(clock) for _ in range(3)]
    for _ in range(STEPS):
        store.step()
        clock.now += 0.2
        view = rand.choice(views)
        before = view.position, getattr(view.configuration, 'version', 0)
        if rand.random() < 0.5:
            _read_store(view, store)
        else:
            _pull(view, rand.choice(views))
        view.drop_expired_servers()
        after = view.position, getattr(view.configuration, 'version', 0)
        assertions.assert_that(after[0], matchers.Not(matchers.LessThan(before[0])))
        assertions.assert_that(after[1], matchers.Not(matchers.LessThan(before[1])))
    for view in views:
        _read_store(view, store)
    keys = [f'servers/{name}' for name in SERVERS]
    store.publish_again([*keys, EVACUATION_KEY, 'op/config'])
    for view in views:
        _read_store(view, store)
    clock.now += fleetview.RESTORATION_S
    for view in views:
        view.drop_expired_servers()
    wanted = {
        key: True if key == EVACUATION_KEY else value
        for key, value in store.wanted.items()
    }
    _assert_equal([_published(view) for view in views], [wanted] * 3)
