"""Servers that say that they are leaving, or that they want no calls for a while."""

import asyncio
import math

import pytest
from testtools import assertions, matchers
from tornado import httputil

import platformstand as stand
from primrosesaddle.calls import backends, notices
from primrosesaddle.fleet import servers
from primrosesaddle.net import upstream
from primrosesaddle.platform import wire

LEAVING = ('Server-Leaving: 1',)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _refuse(*extra):
    """Return a script that refuses calls without running them."""
    return stand.answer(503, b'', sealed=False, not_run=True, extra=extra)


@pytest.fixture
def known(clock):
    """Return an empty collection of backends."""
    return backends.Backends(clock)


def _record(server_id='a', start_time_ms=1, **changes):
    fields = {'leaving': False, 'address': '10.0.0.1:80', **changes}
    return servers.BackendServer(
        server_id=server_id,
        service='s',
        data_centre='d1',
        slots=4,
        models={},
        start_time_ms=start_time_ms,
        **fields,
    )


def _list_ids(known):
    return [backend.server_id for backend in known.list_servers('s')]


@pytest.mark.parametrize(
    'script',
    [
        stand.answer(extra=LEAVING),
        stand.answer(500, extra=LEAVING),
        _refuse(*LEAVING),
        stand.answer(421, b'', sealed=False, extra=LEAVING),
        stand.stream(2, extra=LEAVING),
    ],
    ids=['answer', 'failure', 'refusal', 'misdirected', 'stream'],
)
def test_leaving_server_gets_no_more_calls(in_fleet, script):
    """A server may say that it leaves in any answer, long before its record does."""
    leaving = stand.Server('a', script)
    staying = stand.Server('b', stand.hang)

    async def check(fleet):
        fleet.store.remove('servers/i-b')
        await fleet.until(lambda: fleet.known_servers() == {'i-a'})
        await fleet.call('/chat/1')
        staying.script = stand.stream(2)
        fleet.store.put('servers/i-b', staying.record())
        await fleet.until(lambda: fleet.known_servers() == {'i-b'})
        for _ in range(8):
            _assert_equal((await fleet.call('/chat/1')).status, 200)
        _assert_equal(len(leaving.seen), 1)

    in_fleet(check, leaving, staying)


def test_stream_goes_on_at_a_leaving_server(in_fleet):
    """Its head says that it leaves; what runs there is finished there."""
    server = stand.Server('a', stand.stream(5, pause_s=0.05, extra=LEAVING))

    async def check(fleet):
        running = asyncio.create_task(fleet.call('/chat/1'))
        await fleet.until(lambda: not fleet.known_servers())
        refused = await fleet.call('/read/1')
        _assert_equal((refused.status, len(server.seen)), (503, 1))
        reply = await running
        _assert_equal(
            (reply.status, reply.whole, reply.body.count(b'id:')), (200, True, 5)
        )

    in_fleet(check, server)


def test_connections_to_a_leaving_server_are_closed(in_fleet):
    """Kept connections are of no more use, and hold places of the server."""
    server = stand.Server('a')

    async def check(fleet):
        for _ in range(2):
            await fleet.call('/read/1')
        _assert_equal((server.connections, server.closed), (1, 0))
        server.script = stand.answer(extra=LEAVING)
        await fleet.call('/read/1')
        await fleet.until(lambda: server.closed == 1)

    in_fleet(check, server)


@pytest.mark.parametrize('notice', ['Server-Leaving: 1', 'Retry-After: 5'])
def test_call_is_withdrawn_while_a_connection_is_opened(in_fleet, monkeypatch, notice):
    """A notice may come between the choice of a server and the request."""
    first = stand.Server('a')
    second = stand.Server('b')
    may_answer = asyncio.Event()
    may_dial = asyncio.Event()
    dialled = []
    dial = upstream.dial

    async def slow_dial(address):
        if address == first.address:
            dialled.append(address)
            if len(dialled) == 2:
                await may_dial.wait()
        return await dial(address)

    async def refuse_later(seen):
        await may_answer.wait()
        await _refuse(notice)(seen)

    monkeypatch.setattr(upstream, 'dial', slow_dial)
    first.script = refuse_later

    async def check(fleet):
        await second.start()
        fleet.servers.append(second)
        refused = asyncio.create_task(fleet.call('/book/1'))
        await fleet.until(lambda: first.seen)
        withdrawn = asyncio.create_task(fleet.call('/book/2'))
        await fleet.until(lambda: len(dialled) == 2)
        may_answer.set()
        _assert_equal((await refused).status, 503)
        fleet.store.put('servers/i-b', second.record())
        await fleet.until(lambda: 'i-b' in fleet.known_servers())
        may_dial.set()
        _assert_equal((await withdrawn).status, 200)
        _assert_equal((len(first.seen), len(second.seen)), (1, 1))

    in_fleet(check, first)


def test_other_entries_are_told_of_a_leaving_server(in_fleet):
    """One answer is enough for all entries, and for one that starts afterwards."""
    leaving = stand.Server('a', stand.answer(extra=LEAVING))
    staying = stand.Server('b')

    async def check(fleet):
        await fleet.join()
        await fleet.until(lambda: len(fleet.known_servers()) == 2)
        await fleet.until(
            lambda: all(each.mesh.count_entries() == 2 for each in fleet.entries)
        )
        for _ in range(20):
            await fleet.call('/read/1')
        _assert_equal(len(leaving.seen), 1)
        told, _ = fleet.entries
        await fleet.until(
            lambda: (
                [backend.server_id for backend in told.backends.list_servers('engines')]
                == ['i-b']
            )
        )
        await fleet.join()
        await fleet.until(lambda: fleet.known_servers() == {'i-b'})
        await fleet.until(lambda: fleet.entry.mesh.count_entries() == 3)
        _assert_equal(fleet.known_servers(), {'i-b'})

    in_fleet(check, leaving, staying)


def test_agent_tells_that_its_server_leaves(known):
    """Its report holds for the start that it names, not for a later one."""
    known.update_records([_record()])
    known.mark_leaving_at('10.0.0.1:80', 2)
    _assert_equal(_list_ids(known), ['a'])
    known.mark_leaving_at('10.0.0.1:80', 1)
    _assert_equal(_list_ids(known), [])


def test_replacement_of_a_leaving_server_is_used(known):
    """Neither the same id nor the same address makes it the server that left."""
    known.update_records([_record()])
    known.learn_leaving(('a', 1), 'test')
    known.update_records([_record(), _record('b')])
    _assert_equal(_list_ids(known), ['b'])
    known.update_records([_record(start_time_ms=2), _record('b')])
    _assert_equal(sorted(_list_ids(known)), ['a', 'b'])


def test_notices_hold_while_a_record_is_missing(known, clock):
    """After an outage of the store a record may lapse, and come back unchanged."""
    known.update_records([_record(), _record('b')])
    known.learn_leaving(('a', 1), 'test')
    known.request_quiet(known.get_by_id('b'), 5.0)
    known.update_records([])
    known.update_records([_record(), _record('b')])
    _assert_equal(_list_ids(known), ['b'])
    backend = known.get_by_id('b')
    _assert_equal(known.is_usable(backend), False)
    clock.now += 5.0
    _assert_equal(known.is_usable(backend), True)


def test_notice_of_a_server_without_a_known_start_ends_with_its_record(known):
    """A record that comes back then may be of another start."""
    known.update_records([_record(start_time_ms=0)])
    known.learn_leaving(('a', 0), 'test')
    known.update_records([])
    known.update_records([_record(start_time_ms=0)])
    _assert_equal(_list_ids(known), ['a'])


def test_server_that_wants_no_calls_gets_none(in_fleet):
    """It gets calls again when the time that it stated is over, and not before."""
    quiet = stand.Server('a', _refuse('Retry-After: 0.6'))
    other = stand.Server('b')

    async def check(fleet):
        while not quiet.seen:
            await fleet.call('/read/1')
        quiet_from = asyncio.get_running_loop().time()
        quiet.script = stand.answer()
        while asyncio.get_running_loop().time() < quiet_from + 0.5:
            _assert_equal((await fleet.call('/read/1')).status, 200)
        _assert_equal(len(quiet.seen), 1)
        backend = fleet.entry.backends.get_by_id('i-a')
        _assert_equal((backend.failure_share, backend.suspect_count), (0.0, 0))
        await asyncio.sleep(0.2)
        while len(quiet.seen) < 2:
            _assert_equal((await fleet.call('/read/1')).status, 200)

    in_fleet(check, quiet, other)


def test_quiet_quiet_serversare_waited_for_if_there_is_time(in_fleet):
    """The objective is 0.8 s, so that a call can wait for 0.3 s and be on time."""
    server = stand.Server('a', _refuse('Retry-After: 0.3'))

    async def check(fleet):
        _assert_equal((await fleet.call('/read/1')).status, 503)
        server.script = stand.answer()
        _assert_equal((await fleet.call('/read/1')).status, 200)
        _assert_equal(len(server.seen), 2)

    in_fleet(check, server)


def test_call_is_refused_at_once_if_all_quiet_serversare_quiet(in_fleet):
    """The refusal states when the first of them wants calls again."""
    quiet_servers = [
        stand.Server('a', _refuse('Retry-After: 3')),
        stand.Server('b', _refuse('Retry-After: 4')),
    ]

    async def check(fleet):
        _assert_equal((await fleet.call('/read/1')).status, 503)
        began = asyncio.get_running_loop().time()
        reply = await fleet.call('/read/1')
        assert asyncio.get_running_loop().time() - began < 0.3
        _assert_equal((reply.status, 'not_run' in reply.body.decode()), (503, True))
        assert 2.5 < float(reply.headers['retry-after']) <= 3.0
        _assert_equal([len(server.seen) for server in quiet_servers], [1, 1])

    in_fleet(check, *quiet_servers)


def test_waiting_calls_are_refused_when_the_last_server_becomes_quiet(in_fleet):
    """What waits for a place would be held in vain."""
    server = stand.Server('a')
    gate = asyncio.Event()

    async def held(seen):
        await gate.wait()
        await _refuse('Retry-After: 3')(seen)

    server.script = held

    async def check(fleet):
        running = [asyncio.create_task(fleet.call('/book/1')) for _ in range(4)]
        await fleet.until(lambda: len(server.seen) == 4)
        waiting = asyncio.create_task(fleet.call('/book/1'))
        await asyncio.sleep(0.1)
        _assert_equal(waiting.done(), False)
        gate.set()
        began = asyncio.get_running_loop().time()
        reply = await waiting
        assert asyncio.get_running_loop().time() - began < 0.3
        _assert_equal((reply.status, len(server.seen)), (503, 4))
        assert float(reply.headers['retry-after']) > 2.0
        await asyncio.gather(*running)

    in_fleet(check, server)


@pytest.mark.parametrize(
    ('status', 'lines', 'expected_s'),
    [
        (503, [], 0.0),
        (503, ['2'], 2.0),
        (429, ['0.25'], 0.25),
        (503, ['0'], 0.0),
        (503, ['-3'], 0.0),
        (503, ['1e9'], notices.MAX_QUIET_S),
        (503, ['inf'], notices.MAX_QUIET_S),
        (503, ['nan'], notices.UNREADABLE_QUIET_S),
        (503, ['soon'], notices.UNREADABLE_QUIET_S),
        (503, [''], notices.UNREADABLE_QUIET_S),
        (503, ['Wed, 21 Oct 2026 07:28:00 GMT'], notices.UNREADABLE_QUIET_S),
        (503, ['1', '3'], 3.0),
        (503, ['soon', '3'], 3.0),
        (200, ['2'], 0.0),
    ],
)
def test_requested_time_is_read_and_bounded(known, clock, status, lines, expected_s):
    """Servers may state no time, several, an absurd one, or something unreadable."""
    headers = httputil.HTTPHeaders()
    for line in lines:
        headers.add('Retry-After', line)
    quiet_s = wire.read_head(upstream.Head(status, 'Status', headers)).quiet_s
    known.update_records([_record()])
    backend = known.get_by_id('a')
    if quiet_s:
        known.request_quiet(backend, quiet_s)
    until = backend.quiet_until or clock.now
    assert math.isclose(until - clock.now, expected_s)
    _assert_equal(known.is_usable(backend), expected_s == 0.0)


def test_shorter_request_does_not_end_a_longer_one(known, clock):
    """Answers to calls that were sent at once may come in any order."""
    known.update_records([_record()])
    backend = known.get_by_id('a')
    known.request_quiet(backend, 4.0)
    known.request_quiet(backend, 1.0)
    _assert_equal(backend.quiet_until, clock.now + 4.0)


def test_number_of_notices_is_bounded(clock):
    """Servers come and go for as long as a process runs."""
    kept = notices.Notices(clock)
    for number in range(notices.MAX_INCARNATIONS + 5):
        kept.mark_leaving(('a', number))
        kept.request_quiet(('a', number), 1.0)
    _assert_equal(len(kept.list_leaving()), notices.MAX_INCARNATIONS)
    _assert_equal(kept.is_leaving(('a', 4)), False)
    _assert_equal(kept.get_quiet_until(('a', 4)), 0.0)
