"""Homes and evacuations: where calls and callers may go, without a network."""

import asyncio
import dataclasses
import functools
import json
import random
import types

import pytest
from testtools import assertions, matchers

import enginestand as stand
import platformstand
from primrosesaddle.calls import admission, backends, placement, routes, targets
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview, servers
from primrosesaddle.platform import records
from primrosesaddle.restrictions import evacuations, homes

REGIONS = {'d1': 'r1', 'd2': 'r2', 'd3': 'r2'}
WHOLE = (0, 4, 2)
SLOTS = 4  # of each server
EVACUATE = 'op/evacuate/'


@pytest.fixture
def view(clock):
    """Return an empty view."""
    return fleetview.View(records.decode_record, clock, 5.0)


@pytest.fixture
def known_backends():
    """Return servers a, b and c in three data centres, and x in an unknown one."""
    found = backends.Backends(float)
    stand.add_servers(
        found, a=('d1', WHOLE), b=('d2', WHOLE), c=('d3', WHOLE), x=('d9', WHOLE)
    )
    return found


@pytest.fixture
def placer(view, known_backends):
    """Return the placer of an entry in data centre d1 that both rules bind."""
    rules = (
        homes.make_rule(lambda: view.configuration, lambda: REGIONS),
        evacuations.make_rule(view.evacuations),
    )
    return placement.Placer(
        known_backends,
        'd1',
        REGIONS,
        random.Random(1),
        float,
        stand.no_fill_estimate,
        placement.Constraints(allowed=rules),
    )


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _list_allowed(placer, call):
    usable = placer.list_usable_servers(call, stand.SERVICE, 0)
    return ''.join(sorted(backend.server_id for backend in usable))


def _put(view, *names, source='store'):
    revision = view.revision + 1
    items = [fleetview.Item(EVACUATE + name, b'{}', revision) for name in names]
    view.apply_changes(fleetview.Changes(items, revision), source)


def _put_configuration(view, version, route_homes, workspace_homes='none'):
    """Publish a configuration; 'none' leaves the list of regions out."""
    conf = platformstand.configuration(version)
    for record, stated in (
        (conf['routes'][0], route_homes),
        (conf['tenants'][0], workspace_homes),
    ):
        if stated != 'none':
            record['allowedRegions'] = stated
    body = json.dumps(conf).encode()
    item = fleetview.Item('op/config', body, view.revision + 1)
    view.apply_changes(fleetview.Changes([item], item.revision), 'store')
    return view.configuration


@pytest.mark.parametrize(
    ('route_homes', 'workspace_homes', 'allowed'),
    [
        ('none', 'none', 'abcx'),
        (None, 'none', 'abcx'),
        ([], 'none', 'abcx'),
        (['r1'], 'none', 'a'),
        ('none', ['r2'], 'bc'),
        (['r1', 'r2'], ['r2'], 'bc'),
        (['r1'], ['r2'], ''),
        (['r1'], [], 'a'),
        (['r7'], 'none', ''),
        (['r7', 'r2'], 'none', 'bc'),
    ],
)
def test_both_lists_bind(view, placer, route_homes, workspace_homes, allowed):
    """Both were ignored. An empty list states none, unlike two that share none.

    A server in a data centre of which the region is unknown is at home nowhere.
    """
    conf = _put_configuration(view, 1, route_homes, workspace_homes)
    route = conf.find_route('shop.example', '/chat/1')
    owner = conf.find_workspace(platformstand.KEY)
    call = stand.make_call(homes=routes.compute_homes(route, owner), configuration=1)
    _assert_equal(_list_allowed(placer, call), allowed)
    _assert_equal(placer.count_slots(call, stand.SERVICE), SLOTS * len(allowed))
    reason = placer.explain_full_exclusion(call, stand.SERVICE)
    _assert_equal(bool(reason), not allowed)


@pytest.mark.parametrize(
    ('target', 'workspace', 'allowed'),
    [('/chat/1', 'w1', 'bc'), ('/gone/1', 'w1', 'a'), ('/chat/1', 'gone', 'a')],
)
def test_waiting_call_follows_a_changed_list(view, placer, target, workspace, allowed):
    """It keeps its own homes if its route or workspace is no longer there."""
    route = types.SimpleNamespace(host='shop.example')
    call = stand.make_call(
        homes=frozenset(('r1',)),
        configuration=1,
        route=route,
        target=target,
        workspace=workspace,
    )
    _put_configuration(view, 1, ['r1'])
    _assert_equal(_list_allowed(placer, call), 'a')
    _put_configuration(view, 2, ['r2'])
    _assert_equal(_list_allowed(placer, call), allowed)


@pytest.mark.parametrize(
    ('names', 'allowed', 'unknown'),
    [
        ([], 'abcx', ()),
        (['d1'], 'bcx', ()),
        (['d1', 'd2'], 'cx', ()),
        (['d1', 'd2', 'd3', 'd9'], '', ('d9',)),
        (['d8'], 'abcx', ('d8',)),
        ([''], 'abcx', ()),
    ],
)
def test_evacuated_servers_get_nothing_until_taken_back(
    view, placer, known_backends, names, allowed, unknown
):
    """The request was not read: a second one, all, an unknown name and an empty one."""
    _put(view, *names)
    call = stand.make_call()
    _assert_equal(_list_allowed(placer, call), allowed)
    published = [
        each.record for each in known_backends.list_servers(stand.SERVICE.name)
    ]
    status = evacuations.describe_status(view.evacuations.values(), published, REGIONS)
    _assert_equal(status.unknown, unknown)
    _assert_equal(status.slots_left, SLOTS * len(allowed))
    view.apply_snapshot(fleetview.Snapshot([], view.revision + 1), 'store')
    _assert_equal(_list_allowed(placer, call), 'abcx')


def test_only_newer_records_end_an_evacuation(view, clock):
    """Neither an outage, nor a peer that has read less, takes it back."""
    _put(view, 'd1')
    view.apply_snapshot(fleetview.Snapshot([], 0), 'peer')
    view.record_store_recovery()
    clock.now += 60.0
    view.drop_expired_servers()
    _assert_equal(list(view.evacuations), [f'{EVACUATE}d1'])
    told = fleetview.View(records.decode_record, clock, 5.0)
    told.apply_changes(view.get_changes_since(0), 'peer')
    _assert_equal(told.evacuations, view.evacuations)
    view.apply_snapshot(fleetview.Snapshot([], view.revision + 1), 'peer')
    _assert_equal(view.evacuations, {})


def test_chain_leaves_out_restricted_members(view, placer, known_backends):
    """Every token passes through all members, so that each has to be allowed."""
    stand.add_servers(
        known_backends,
        a=('d1', stand.FIRST_HALF),
        b=('d1', stand.SECOND_HALF),
        c=('d2', stand.FIRST_HALF),
        d=('d2', stand.SECOND_HALF),
    )
    call = stand.make_call()
    _put(view, 'd1')
    choice = placer.choose_server(call, stand.SERVICE, 0)
    members = [member.backend.server_id for member in choice.chain]
    _assert_equal(members, ['c', 'd'])
    at_home = stand.make_call(homes=frozenset(('r1',)))
    _assert_equal(placer.choose_server(at_home, stand.SERVICE, 0), None)


@pytest.mark.parametrize(
    ('stated', 'region', 'expected'),
    [
        (None, 'r3', '123'),
        (['r1'], 'r2', '12'),
        (['r1'], 'r1', '1'),
        (['r1'], '', '1'),
        (['r7'], 'r2', '2'),
        (['r7'], 'r8', ''),
        ([], 'r3', '3'),
    ],
)
def test_callers_are_led_home_or_to_their_own_region(stated, region, expected):
    """The directory named all entries, also where bodies may not be sent."""
    known = [homes.EntryAddress(number, f'r{number}') for number in '123']
    stated = None if stated is None else frozenset(stated)
    selected = homes.select_entries(known, stated, region)
    _assert_equal(''.join(entry.address for entry in selected), expected)


def test_calls_at_a_full_home_hold_up_no_others(view, placer, known_backends):
    """They waited in one queue, first come first served; one that is shut out ends."""
    for backend in known_backends.list_servers(stand.SERVICE.name):
        backend.update_load(99 if backend.server_id == 'a' else 0, 0.0)

    async def check():
        queue = admission.Admission(placer, lambda model: 0, float)
        at_home = stand.make_call(homes=frozenset(('r1',)))
        waiting = asyncio.create_task(queue.acquire_slot(at_home, stand.SERVICE))
        await asyncio.sleep(0)
        free = await queue.acquire_slot(stand.make_call(), stand.SERVICE)
        assert free.backend.server_id != 'a'
        granted = queue._queues[stand.SERVICE.name]
        rates = [
            granted.compute_grant_rate(0.0, functools.partial(queue.may_serve, call))
            for call in (at_home, stand.make_call())
        ]
        _assert_equal(rates, [0.0, 1 / admission.RATE_WINDOW_S])
        _put(view, 'd1')
        queue.refuse_excluded()
        for wait in (waiting, queue.acquire_slot(at_home, stand.SERVICE)):
            with pytest.raises(verdict.Refusal) as refused:
                await wait
            _assert_equal((refused.value.status, refused.value.retryable), (503, True))
            assert refused.value.retry_after_s > 0
            assert 'evacuated=d1:1' in refused.value.reason
        _assert_equal(queue.excluded_count, 2)

    asyncio.run(asyncio.wait_for(check(), 5.0))


def test_weights_of_services_count_where_the_call_may_go(known_backends):
    """A route with two targets drew one that has no server in the call's homes."""
    conf = routes.make_configuration(
        1, [], [stand.SERVICE, routes.Service('other', 8)], None, None
    )
    far = servers.BackendServer('f', 'other', 'f:1', 'd2', 4, False, {})
    records = [each.record for each in known_backends.list_servers(stand.SERVICE.name)]
    known_backends.update_records([*records, far])
    route = dataclasses.replace(stand.ROUTE, targets=(('engines', 1.0), ('other', 99)))
    for may_serve, expected in (
        (lambda backend: backend.record.data_centre == 'd1', 'engines'),
        (lambda backend: False, 'other'),
    ):
        chosen = targets.select_service(
            route, conf, known_backends, random.Random(1), may_serve
        )
        _assert_equal(chosen.name, expected)


def test_server_that_is_being_filled_elsewhere_promises_nothing(placer, known_backends):
    """A call was told to come back when a server is ready to which it may not go."""
    stand.add_servers(known_backends, a=('d1', (0, 0, 0)), b=('d2', (0, 0, 0)))
    for name, ready_in_s in (('a', 5.0), ('b', 1.0)):
        report = backends.Report(0.0, 0, 0, {}, False, ready_in_s=ready_in_s)
        known_backends.update_report(f'{name}:1', report)
    call = stand.make_call(homes=frozenset(('r2',)))
    _assert_equal(placer.estimate_ready_s(call, stand.SERVICE, 0), 1.0)
