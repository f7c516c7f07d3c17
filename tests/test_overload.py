"""Too little room for all calls: entries that share engines, in virtual time."""

import asyncio
import dataclasses
import random

import pytest
from bench import overloadworld as world
from testtools import assertions, matchers

import enginestand as stand
from primrosesaddle.calls import admission, backends, placement, routes
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.overload import comeback, control, floors, ranks, shares

ROOM = 20 * 7.9  # calls per second that 20 engines can serve
ALIKE = (
    world.Kind('long', 0.4, 1, 0.5, 1330, 110),
    world.Kind('medium', 0.3, 1, 0.4, 827, 110),
    world.Kind('short', 0.3, 1, 0.4, 647, 70),
)
RANKED = (
    world.Kind('deferrable', 0.34, 2, 1.0, 1330, 110),
    world.Kind('urgent', 0.43, 0, 0.4, 827, 110),
    world.Kind('brief', 0.23, 1, 0.4, 647, 70),
)
PAID_AND_FREE = (
    world.Kind('free', 0.4, 0, 0.4, 827, 110, workspace_rank=2),
    world.Kind('paid', 0.4, 2, 1.0, 1330, 110, workspace_rank=0),
    world.Kind('paid brief', 0.2, 1, 0.4, 647, 70, workspace_rank=0),
)


def _play(kinds, rates, **options):
    played = world.World(world.make_sharing_entry)
    played.run(kinds, rates, **options)
    return played


@pytest.mark.parametrize(('excess', 'in_time'), [(1.25, 0.6), (2.0, 0.35)])
def test_most_of_what_there_is_room_for_is_in_time(excess, in_time):
    """Calls that are all let in queue at the engines until nearly all are late.

    Once the load is back at 0.6 of the room, calls are in time within two seconds.
    """
    played = _play(ALIKE, [(4, ROOM / 2), (20, excess * ROOM), (6, 0.6 * ROOM)])
    during = played.sum_windows('', 6, 24)
    afterwards = played.sum_windows('', 26, 30)
    assertions.assert_that(during.share_in_time, matchers.GreaterThan(in_time))
    assertions.assert_that(afterwards.share_in_time, matchers.GreaterThan(0.9))
    for kind in ALIKE:
        served = played.sum_windows(kind.name, 6, 24).share_served
        assertions.assert_that(
            served, matchers.GreaterThan(during.share_served / 2), kind.name
        )


def test_urgent_calls_are_in_time_while_the_least_urgent_flood():
    """Entries fill the engines with the least urgent calls that each of them has."""
    played = _play(
        RANKED,
        [(4, 0.6 * ROOM), (8, 0.7 * ROOM)],
        extra_rates={1: {'deferrable': 3.2}},
    )
    burst = played.sum_windows('', 4, 12)
    urgent = played.sum_windows('urgent', 4, 12)
    deferrable = played.sum_windows('deferrable', 4, 12)
    assertions.assert_that(urgent.share_in_time, matchers.GreaterThan(0.85))
    assertions.assert_that(
        deferrable.share_served, matchers.GreaterThan(burst.share_served / 4)
    )


def test_a_flood_of_low_workspaces_leaves_room_to_the_high_ones():
    """A workspace's rank takes precedence, also over the most urgent route.

    The flood is still served a quarter as often as all calls are.
    """
    played = _play(
        PAID_AND_FREE,
        [(4, 0.6 * ROOM), (8, 0.7 * ROOM)],
        extra_rates={1: {'free': 3.2}},
    )
    burst = played.sum_windows('', 4, 12)
    free = played.sum_windows('free', 4, 12)
    for name in ('paid', 'paid brief'):
        paid = played.sum_windows(name, 4, 12)
        assertions.assert_that(paid.share_in_time, matchers.GreaterThan(0.85), name)
    assertions.assert_that(
        free.share_served, matchers.GreaterThan(burst.share_served / 4)
    )


def test_shares_of_free_slots_add_up_over_the_entries():
    """Sixteen entries that see two free slots would send sixteen calls or more."""
    rand = random.Random(1)
    load = shares.ServerLoad(12, 10, 1)
    reports = 500
    taken = [
        shares.compute_own_limit(load, 12, 1 / 16, rand.random()) - load.own
        for _ in range(16 * reports)
    ]
    assertions.assert_that(sum(taken) / reports, matchers.LessThan(2))
    assertions.assert_that(sum(taken) / reports, matchers.GreaterThan(1))


def test_calls_beyond_the_target_are_given_up_by_all_entries():
    """A server that has a queue would keep it for as long as the load lasts."""
    load = shares.ServerLoad(12, 20, 5)
    limit = shares.compute_own_limit(load, 12, 5 / 20, 0.0)
    assertions.assert_that(limit, matchers.Equals(3))


def test_less_urgent_calls_leave_no_slots_to_calls_that_do_not_come():
    """Slots that are kept for nobody are lost to those who wait."""
    recent = ranks.RecentCalls()
    recent.record(8, 0.0)
    target = ranks.compute_target(12, 8, recent.list_shares())
    assertions.assert_that(target, matchers.GreaterThan(12))
    recent.record(0, 0.1)
    target = ranks.compute_target(12, 8, recent.list_shares())
    assertions.assert_that(target, matchers.LessThan(11))


def test_room_is_graded_by_the_workspaces_rank_and_then_by_the_routes():
    """Nine ranks that each leave a quarter free would leave the last ones no slot."""
    recent = ranks.RecentCalls()
    for rank in range(9):
        recent.record(rank, 0.0)
    targets = [
        ranks.compute_target(12, rank, recent.list_shares()) for rank in range(9)
    ]
    assertions.assert_that(targets, matchers.Equals(sorted(targets, reverse=True)))
    assertions.assert_that(len(set(targets)), matchers.Equals(9))
    assertions.assert_that(targets[-1], matchers.GreaterThan(12 * 0.4))


def test_three_routes_without_workspaces_leave_slots_for_each_rank():
    """Where no workspace states a rank, routes alone decide about the room."""
    recent = ranks.RecentCalls()
    for rank in (0, 4, 8):
        recent.record(rank, 0.0)
    targets = [
        ranks.compute_target(12, rank, recent.list_shares()) for rank in (0, 4, 8)
    ]
    for target, expected in zip(targets, (16, 12.4, 5.8), strict=True):
        assertions.assert_that(abs(target - expected), matchers.LessThan(1e-9))


def test_few_slots_have_few_urgent_calls_queued_behind_them():
    """Four calls behind the one slot of a server are late before they run."""
    target = ranks.compute_target(1, ranks.FIRST, [0.5, 0.5])
    assertions.assert_that(target, matchers.LessThan(3))


def test_a_group_that_is_never_served_is_behind_until_it_is():
    """Urgent calls alone may fill all slots for as long as they come."""
    memory = floors.Floors()
    for index in range(10):
        memory.record(('route=a',), index / 10, served=True)
        memory.record(('route=b',), index / 10, served=False)
    behind = memory.find_behind(('route=a', 'route=b'), 1.0)
    assertions.assert_that(behind, matchers.Equals('route=b'))
    for _ in range(10):
        memory.record(('route=b',), 1.0, served=True)
    behind = memory.find_behind(('route=a', 'route=b'), 1.0)
    assertions.assert_that(behind, matchers.Equals(''))


def test_callers_with_much_time_left_come_back_while_the_load_may_be_gone():
    """A caller that can wait for a minute was asked to stay away for half of it."""
    times = [comeback.choose_retry_s(60.0, draw / 10) for draw in range(10)]
    assertions.assert_that(max(times), matchers.LessThan(4.0))
    assertions.assert_that(len(set(times)), matchers.Equals(10))


def test_refused_callers_are_spread_over_the_middle_of_their_time():
    """Callers that come back together meet each other."""
    times = [comeback.choose_retry_s(6.0, draw / 10) for draw in range(10)]
    assertions.assert_that(min(times), matchers.GreaterThan(1.0))
    assertions.assert_that(max(times), matchers.LessThan(4.0))
    assertions.assert_that(len(set(times)), matchers.Equals(10))


@pytest.fixture
def engines():
    """Return a control, a function that sets the load of two engines, and its parts."""
    now = [10.0]
    known = backends.Backends(lambda: now[0])
    models = {stand.MODEL: layers.Span(0, 4, 1)}
    known.update_records(
        servers.BackendServer(name, 'engines', f'{name}:1', 'd1', 12, False, models)
        for name in ('a', 'b')
    )
    room = control.Control(
        known, lambda: 16, random.Random(1), lambda: now[0], lambda model: 1
    )

    def set_load(active, age_s=0.0, loading=()):
        now[0] += 1.0
        for name in ('a', 'b'):
            active_there, held = (0, {}) if name in loading else (active, models)
            report = backends.Report(now[0] - age_s, active_there, 0, held, False)
            known.update_report(f'{name}:1', report)
        return known.get_by_id('a')

    return room, set_load, known, lambda: now[0]


@pytest.mark.parametrize(
    ('entries', 'is_engaged'), [(4, False), (12, False), (13, True)]
)
def test_room_is_shared_where_entries_are_more_than_the_slots_of_a_server(
    entries, is_engaged
):
    """A few entries were late and refused more often by shares than by own counts."""
    known = backends.Backends(lambda: 10.0)
    models = {stand.MODEL: layers.Span(0, 4, 1)}
    known.update_records(
        [servers.BackendServer('a', 'engines', 'a:1', 'd1', 12, False, models)]
    )
    known.update_report('a:1', backends.Report(10.0, 12, 0, models, False))
    room = control.Control(
        known, lambda: entries, random.Random(1), lambda: 10.0, lambda model: 1
    )
    assertions.assert_that(room.is_engaged('engines'), matchers.Equals(is_engaged))


def test_nothing_is_limited_while_half_of_the_slots_are_free(engines):
    """Callers are not held back, let alone refused, while there is room."""
    room, set_load, _, _ = engines
    limit = room.limit_own_calls(stand.make_call(), set_load(5))
    assertions.assert_that(limit, matchers.Is(None))


def test_servers_that_hold_no_allowed_version_are_no_room(engines):
    """While most servers load a new version, the others are full at a small use."""
    room, set_load, _, _ = engines
    set_load(12, loading=('b',))
    assertions.assert_that(room.get_use('engines'), matchers.Equals(1.0))


def test_an_entry_without_fresh_reports_decides_by_its_own_counts(engines):
    """An entry that is cut off would keep the limit of the last report for ever."""
    room, set_load, _, _ = engines
    backend = set_load(12, age_s=backends.LOAD_STALE_S + 0.1)
    limit = room.limit_own_calls(stand.make_call(), backend)
    assertions.assert_that(limit, matchers.Is(None))


def test_loads_in_answers_stand_for_missing_reports(engines):
    """After a restart of all processes, agents are not linked for some seconds."""
    room, set_load, _, _ = engines
    backend = set_load(0, age_s=backends.REPORT_STALE_S + 0.1)
    backend.update_load(20, backend.report.received_at + 0.9)
    call = stand.make_call()
    backend.add_call(call)
    assertions.assert_that(
        room.limit_own_calls(call, backend), matchers.LessThan(12 / 4)
    )


def test_a_late_retry_takes_no_slot_that_a_call_in_time_needs(engines):
    """A late answer takes the room of one that would be in time."""
    room, set_load, _, _ = engines
    retry = stand.make_call(spent_s=2.0)
    limit = room.limit_own_calls(retry, set_load(11))
    assertions.assert_that(limit, matchers.Equals(0))


def test_a_call_of_a_route_that_is_behind_goes_with_the_most_urgent(engines):
    """The least urgent route would be starved by a flood of urgent calls."""
    room, set_load, _, _ = engines
    set_load(12)
    route = dataclasses.replace(stand.ROUTE, name='rare', rank=2)
    starved = stand.make_call(route=route, rank=8)
    for _ in range(10):
        room.record_granted(stand.make_call(), 'engines')
        room.record_refused(starved, 'engines', 'rank')
    assertions.assert_that(
        room.find_rank(starved, 'engines'), matchers.Equals(ranks.FIRST)
    )


def test_a_high_workspace_goes_before_the_most_urgent_route_of_a_low_one(engines):
    """The platform lets a workspace's rank take precedence over a route's."""
    room, set_load, _, _ = engines
    set_load(12)
    paid = dataclasses.replace(stand.ROUTE, rank=2)
    high = stand.make_call(
        route=paid, rank=routes.compute_rank(paid, routes.Workspace('w1', 0))
    )
    low = stand.make_call(
        rank=routes.compute_rank(stand.ROUTE, routes.Workspace('w2', 1))
    )
    for call in (high, low):
        room.record_arrival(call, 'engines')
    assertions.assert_that(
        room.find_rank(high, 'engines'),
        matchers.LessThan(room.find_rank(low, 'engines')),
    )
    limits = [
        [room.limit_own_calls(call, set_load(10)) for _ in range(40)]
        for call in (high, low)
    ]
    assertions.assert_that(sum(limits[0]), matchers.GreaterThan(5))
    assertions.assert_that(sum(limits[1]), matchers.Equals(0))


def test_the_rank_of_a_call_is_found_once_for_all_servers(engines, monkeypatch):
    """At 670 servers, a choice took 10 ms more while entries competed."""
    room, set_load, _, _ = engines
    backend = set_load(12)
    found = []
    find_behind = floors.Floors.find_behind
    monkeypatch.setattr(
        floors.Floors,
        'find_behind',
        lambda *args: found.append(args) or find_behind(*args),
    )
    call = stand.make_call()
    for _ in range(670):
        room.limit_own_calls(call, backend)
    assertions.assert_that(len(found), matchers.Equals(1))


def test_late_retries_go_behind_calls_of_the_last_rank(engines):
    """A late answer takes the turn of a call that can be in time."""
    room, set_load, _, _ = engines
    set_load(12)
    last = stand.make_call(rank=routes.RANK_COUNT - 1)
    retry = stand.make_call(rank=0, spent_s=2.0)
    assertions.assert_that(
        room.find_rank(retry, 'engines'),
        matchers.GreaterThan(room.find_rank(last, 'engines')),
    )


def test_a_deferrable_route_of_a_higher_workspace_goes_before_an_urgent_one(engines):
    """A workspace's rank takes precedence over a route's, also where room lacks."""
    room, set_load, _, _ = engines
    set_load(12)
    deferrable = stand.make_call(
        route=dataclasses.replace(stand.ROUTE, name='deferrable', rank=2), rank=2
    )
    urgent = stand.make_call(rank=3)
    assertions.assert_that(
        room.find_rank(deferrable, 'engines'),
        matchers.LessThan(room.find_rank(urgent, 'engines')),
    )


def test_a_refusal_tells_what_decided_it_and_counts_it(engines):
    """Operators could not tell a lack of room from a preference for other calls."""
    room, set_load, known, clock = engines
    set_load(12)
    placer = placement.Placer(
        known,
        'd1',
        {},
        random.Random(1),
        clock,
        stand.no_fill_estimate,
        placement.Constraints(own_limit=room.limit_own_calls),
    )
    queue = admission.Admission(placer, lambda model: 1, clock, room)
    now = clock()
    call = stand.make_call(
        route=stand.ROUTE_WITH_SHORT_OBJECTIVE, arrived_at=now, deadline_at=now + 6.0
    )

    async def ask():
        waiting = asyncio.create_task(queue.acquire_slot(call, stand.SERVICE))
        granting = asyncio.create_task(queue.run())
        await asyncio.sleep(0)
        set_load(12)  # a second later
        await asyncio.wait([waiting])
        granting.cancel()
        return waiting.exception()

    refusal = asyncio.run(ask())
    assertions.assert_that(refusal.reason, matchers.Contains('decided_by=use use=1.0'))
    assertions.assert_that(refusal.retry_after_s, matchers.GreaterThan(1.0))
