"""Who may hold memory for a body, and who goes first when it or connections are short.

Wrong, callers that stop short of the end of their bodies keep all memory, ordinary ones
are dropped in their place, and what was dropped is counted for good.
"""

import asyncio

import pytest
from testtools import matchers
from testtools.assertions import assert_that

import platformstand as stand
from primrosesaddle.net import bodies, connections, discarding
from primrosesaddle.process import capacity

MIB = 1024 * 1024
LARGE = 4 * MIB


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Connection:
    head_began_at = None

    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def budget(clock: Clock) -> bodies.BodyBudget:
    return bodies.BodyBudget(16 * MIB, clock)


def hold(budget: bodies.BodyBudget, dropped: list[str], name: str) -> bodies.Holding:
    return budget.make_holding(
        lambda: dropped.append(name), lambda: dropped.append(f'late {name}')
    )


def test_body_without_progress_for_longest_goes_first(clock, budget):
    dropped: list[str] = []
    held = {name: hold(budget, dropped, name) for name in 'abc'}
    assert all(each.extend_to(LARGE) for each in held.values())
    clock.now += bodies.STALLED_S
    held['a'].receive(bodies.PROGRESS_BYTES)
    assert hold(budget, dropped, 'd').extend_to(LARGE)
    assert_that(dropped, matchers.Equals(['b']))


def test_single_bytes_are_no_progress(clock, budget):
    dropped: list[str] = []
    slow = hold(budget, dropped, 'slow')
    assert slow.extend_to(3 * LARGE)
    clock.now += bodies.STALLED_S
    slow.receive(1)
    assert hold(budget, dropped, 'other').extend_to(LARGE)
    assert_that(dropped, matchers.Equals(['slow']))


def test_bodies_that_progress_or_are_complete_are_not_dropped(clock, budget):
    dropped: list[str] = []
    whole = hold(budget, dropped, 'whole')
    assert whole.extend_to(2 * LARGE)
    whole.complete()
    clock.now += bodies.STALLED_S
    assert hold(budget, dropped, 'new').extend_to(LARGE)
    assert not hold(budget, dropped, 'refused').extend_to(LARGE)
    assert_that(dropped, matchers.Equals([]))


def test_small_body_has_room_beside_large_ones(budget):
    admitted = [hold(budget, [], 'large').extend_to(MIB) for _ in range(16)]
    assert_that(admitted.count(True), matchers.Equals(14))
    assert hold(budget, [], 'small').extend_to(bodies.SMALL_BODY_BYTES)


def test_released_and_dropped_bodies_hold_nothing(clock, budget):
    first, second = (hold(budget, [], name) for name in 'ab')
    assert first.extend_to(LARGE)
    assert second.extend_to(LARGE)
    first.release()
    first.release()
    clock.now += bodies.STALLED_S
    assert budget.drop_stalled()
    assert not budget.drop_stalled()
    assert_that(budget.held_bytes, matchers.Equals(0))
    assert_that(budget.incomplete_count, matchers.Equals(0))


def test_late_body_is_reported_until_its_deadline_moves(clock, budget):
    dropped: list[str] = []
    held = hold(budget, dropped, 'a')
    held.deadline_at = clock.now + 1
    budget.expire()
    clock.now += 1
    budget.expire()
    held.deadline_at = clock.now + 1
    budget.expire()
    assert_that(dropped, matchers.Equals(['late a']))


def test_connection_idle_for_longest_goes_first(clock):
    table = connections.ConnectionTable(2, clock)
    first, busy, third = Connection(), Connection(), Connection()
    for conn in (first, busy):
        assert table.make_room()
        table.add(conn)
    table.begin_request(busy)
    assert table.make_room()
    table.add(third)
    assert first.is_closed
    table.begin_request(third)
    assert not table.make_room()
    table.close_busy = lambda: busy
    assert table.make_room()
    assert_that(table.count, matchers.Equals(1))


def test_slow_head_is_closed_and_an_idle_connection_is_not(clock):
    table = connections.ConnectionTable(2, clock)
    table.header_timeout_s = 3.0
    idle, slow = Connection(), Connection()
    table.add(idle)
    table.add(slow)
    slow.head_began_at = clock.now
    clock.now += 3.1
    table.close_slow_heads()
    assert slow.is_closed
    assert not idle.is_closed


def test_refused_body_is_dropped_within_limits(clock):
    discarder = discarding.Discarder(clock)
    large, slow = Connection(), Connection()
    discarder.add(large)
    discarder.add(slow)
    discarder.receive(large, discarding.MAX_DISCARDED_BYTES)
    assert not large.is_closed
    discarder.receive(large, 1)
    assert large.is_closed
    clock.now += discarding.MAX_DISCARD_S
    discarder.close_expired()
    assert slow.is_closed


@pytest.mark.parametrize('memory_mb', [120, 200, 430, 820])
def test_shares_of_memory_fit_into_it_and_take_the_largest_body(memory_mb):
    memory = memory_mb * 1_000_000
    planned = capacity.plan_capacity(memory, 6150)
    held = planned.answer_bytes + planned.body_bytes
    held += planned.caller_connections * capacity.CONNECTION_BYTES
    assert_that(held, matchers.LessThan(memory - capacity.MIN_BASE_BYTES))
    usable = planned.body_bytes * (1 - bodies.RESERVE_SHARE)
    assert_that(usable, matchers.GreaterThan(LARGE))


def run_before_entry(play) -> None:
    """Let a function play at an entry of this process."""

    async def run() -> None:
        fleet = stand.Fleet()
        try:
            await fleet.start(stand.Server('a'))
            await play(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())


def test_body_that_comes_too_late_is_refused_with_a_promise():
    async def play(fleet: stand.Fleet) -> None:
        head = (
            b'POST /read/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 1\r\n'
            b'X-Deadline-Ms: 300\r\nContent-Length: 100\r\n'
            b'Authorization: Bearer ' + stand.KEY.encode() + b'\r\n\r\nx'
        )
        reader, writer = await fleet.send(head)
        got = await stand.read_answer(reader)
        writer.close()
        assert_that(got.status, matchers.Equals(408))
        assert_that(got.headers['x-attempt-id'], matchers.Equals('1'))
        assert_that(fleet.servers[0].seen, matchers.Equals([]))

    run_before_entry(play)


def test_limits_of_the_configuration_in_force_hold():
    async def play(fleet: stand.Fleet) -> None:
        large = {'X-Large': 'x' * 5000}
        got = await fleet.call('/read/a', body=bytes(3000), headers=large)
        assert_that(got.status, matchers.Equals(200))
        limits = {**stand.configuration()['limits'], 'maxBodyBytes': 2000}
        limits['maxHeaderBytes'] = 4096
        fleet.store.put('op/config', stand.configuration(2, limits=limits))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        got = await fleet.call('/read/a', headers=large)
        assert_that(got.status, matchers.Equals(431))
        got = await fleet.call('/read/a', body=bytes(2001))
        assert_that(got.status, matchers.Equals(413))
        got = await fleet.call('/read/a', body=bytes(2000))
        assert_that(got.status, matchers.Equals(200))

    run_before_entry(play)


def test_large_body_reaches_its_server_unchanged():
    async def play(fleet: stand.Fleet) -> None:
        body = bytes(range(256)) * 16000
        got = await fleet.call('/read/a', body=body)
        assert_that(got.status, matchers.Equals(200))
        assert fleet.servers[0].seen[0].body == body

    run_before_entry(play)


def test_closed_connections_are_forgotten():
    async def play(fleet: stand.Fleet) -> None:
        app = fleet.entry._call_application
        for _ in range(5):
            assert_that((await fleet.call('/read/a')).status, matchers.Equals(200))
        await fleet.until(lambda: not app._requests)

    run_before_entry(play)
