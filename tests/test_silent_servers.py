"""Servers that fall silent for a while and go on, played against an entry."""

import asyncio
import random
import time

import pytest
from testtools import assertions, matchers

import enginestand
import platformstand as stand
from primrosesaddle.calls import backends, placement

REFUSE = stand.answer(503, b'', sealed=False, not_run=True)
EVENTS = b''.join(stand.event(number) for number in range(1, 7))


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _silent_first(servers, first, other):
    """Let the server that is called first run one script, and the others another."""

    async def script(seen):
        is_first = sum(len(server.seen) for server in servers) == 1
        await (first if is_first else other)(seen)

    for server in servers:
        server.script = script


def _pausing_stream(pause_s, before=3):
    """Return the script of a stream that is silent for a while after some events."""

    async def run(seen):
        await stand.stream(before, is_ended=False)(seen)
        await asyncio.sleep(pause_s)
        for number in range(before + 1, 7):
            part = stand.event(number)
            seen.writer.write(f'{len(part):x}\r\n'.encode() + part + b'\r\n')
            await seen.writer.drain()
        seen.writer.write(b'0\r\n\r\n')
        await seen.writer.drain()

    return run


def _count_calls(fleet):
    """Return the number of calls that the entry has at its servers."""
    known = fleet.entry.backends.list_servers('engines')
    return sum(len(backend.calls) for backend in known)


async def _answer_late(seen):
    await asyncio.sleep(2.2)
    await stand.send(seen, 200, b'late')


@pytest.mark.parametrize('other', [REFUSE, stand.close], ids=['refuses', 'closes'])
@pytest.mark.parametrize('pause_s', [1.3, 1.7])
def test_silent_stream_is_kept_if_the_other_server_fails(in_fleet, pause_s, other):
    """The first server goes on after its pause, and its stream is complete."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _pausing_stream(pause_s), other)

    async def check(fleet):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (EVENTS, True))

    in_fleet(check, *servers)


@pytest.mark.parametrize('other', [REFUSE, stand.close], ids=['refuses', 'closes'])
def test_stream_with_a_late_first_event_is_kept_if_the_other_server_fails(
    in_fleet, other
):
    """No event has been sent yet, so that the call would be refused as a whole."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _pausing_stream(2.2, before=0), other)

    async def check(fleet):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.status, reply.body, reply.whole), (200, EVENTS, True))

    in_fleet(check, *servers)


@pytest.mark.parametrize('other', [REFUSE, stand.close], ids=['refuses', 'closes'])
def test_late_answer_is_kept_if_the_other_server_fails(in_fleet, other):
    """An idempotent call is tried elsewhere after 1.6 s, and answered after 2.2 s."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _answer_late, other)

    async def check(fleet):
        reply = await fleet.call('/read/1')
        _assert_equal((reply.status, reply.body), (200, b'late'))

    in_fleet(check, *servers)


def test_silent_stream_that_goes_on_ends_the_attempt_at_the_other_server(in_fleet):
    """The other server's attempt has sent nothing yet when the first one goes on."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _pausing_stream(1.5), stand.hang)

    async def check(fleet):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (EVENTS, True))
        _assert_equal([len(server.seen) for server in servers], [1, 1])
        await fleet.until(lambda: not _count_calls(fleet))

    in_fleet(check, *servers)


def test_stream_has_no_event_twice_if_both_servers_continue_it(in_fleet):
    """Both send the rest at about the same time, and one of them is chosen."""
    servers = [stand.Server('a'), stand.Server('b')]

    async def slow_rest(seen):
        await asyncio.sleep(0.15)
        await stand.stream(6)(seen)

    _silent_first(servers, _pausing_stream(1.3), slow_rest)

    async def check(fleet):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (EVENTS, True))

    in_fleet(check, *servers)


@pytest.mark.parametrize('path', ['/chat/1', '/read/1', '/book/1'])
def test_call_outlives_its_route_and_service(in_fleet, path):
    """A new configuration drops both while the server is silent."""
    first = _pausing_stream(1.7) if path == '/chat/1' else _answer_late
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, first, stand.hang)

    async def check(fleet):
        call = asyncio.create_task(fleet.call(path))
        await asyncio.sleep(0.5)
        without = stand.configuration(2, routes=[], services=[])
        fleet.store.put('op/config', without)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        reply = await call
        _assert_equal((reply.status, reply.whole), (200, True))

    in_fleet(check, *servers)


@pytest.mark.parametrize('count', [3, 4])
def test_silent_calls_leave_retries_to_others_if_no_slot_is_free(in_fleet, count):
    """A retry that is not sent must not count against the budget of all calls."""
    servers = [stand.Server('a'), stand.Server('b')]

    async def script(seen):
        if '/read/' in seen.line:
            await _answer_late(seen)
            return
        await asyncio.sleep(3.0)
        await stand.send(seen, 200, b'done')

    for server in servers:
        server.script = script

    async def check(fleet):
        retries = fleet.entry._forwarder._deps.retry_budget
        calls = [asyncio.create_task(fleet.call('/read/1')) for _ in range(count)]
        await asyncio.sleep(0.1)
        calls += [asyncio.create_task(fleet.call('/book/1')) for _ in range(8 - count)]
        replies = await asyncio.gather(*calls)
        _assert_equal([reply.status for reply in replies], [200] * 8)
        _assert_equal(retries.has_retry('engines'), True)

    in_fleet(check, *servers)


def test_fault_of_one_attempt_spares_the_other(in_fleet):
    """The silent server goes on though the further attempt ends with an exception."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _pausing_stream(1.5), stand.hang)

    async def check(fleet):
        forwarder = fleet.entry._forwarder
        connect = forwarder._connect

        async def fail_at_the_second_server(attempt, call):
            if call.tried:
                raise RuntimeError('fault')
            return await connect(attempt, call)

        forwarder._connect = fail_at_the_second_server
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (EVENTS, True))

    in_fleet(check, *servers)


def test_connection_stays_open_if_the_time_limit_passes_just_after_the_answer(in_fleet):
    """The caller keeps it for its next request."""
    server = stand.Server('a', stand.stream(3))

    async def check(fleet):
        forwarder = fleet.entry._forwarder
        send_answer = forwarder._send_answer

        def send_at_the_limit(attempt, call, sink):
            send_answer(attempt, call, sink)
            time.sleep(max(0.0, call.deadline_at - forwarder._clock()) + 0.01)

        forwarder._send_answer = send_at_the_limit
        reader, writer = await fleet.open('/chat/1', deadline_ms=600)
        _assert_equal((await stand.read_answer(reader)).whole, True)
        await asyncio.sleep(0.2)
        _assert_equal(reader.at_eof(), False)
        writer.close()

    in_fleet(check, server)


def _make_large_event(number):
    return f'id: {number}\ndata: '.encode() + b'x' * 60_000 + b'\n\n'


def test_caller_that_reads_slowly_does_not_make_its_server_silent(in_fleet):
    """Nothing is received from the server while the caller reads nothing."""
    servers = [stand.Server('a'), stand.Server('b')]
    parts = [_make_large_event(number) for number in range(1, 301)]

    async def script(seen):
        await stand.stream(0, is_ended=False)(seen)
        for part in (*parts, b''):
            seen.writer.write(f'{len(part):x}\r\n'.encode() + part + b'\r\n')
            await seen.writer.drain()

    for server in servers:
        server.script = script

    async def check(fleet):
        reader, writer = await fleet.open('/chat/1')
        writer.transport.pause_reading()
        await asyncio.sleep(2.5)
        writer.transport.resume_reading()
        reply = await stand.read_answer(reader)
        _assert_equal((reply.body == b''.join(parts), reply.whole), (True, True))
        _assert_equal(sum(len(server.seen) for server in servers), 1)
        writer.close()

    in_fleet(check, *servers)


def test_caller_that_leaves_does_not_count_against_a_silent_server(in_fleet):
    """No other server has continued the answer."""
    servers = [stand.Server('a'), stand.Server('b')]
    _silent_first(servers, _pausing_stream(30.0), stand.hang)

    async def check(fleet):
        _, writer = await fleet.open('/chat/1')
        await asyncio.sleep(1.6)
        writer.close()
        await fleet.until(lambda: not _count_calls(fleet))
        known = fleet.entry.backends.list_servers('engines')
        _assert_equal({backend.failure_share for backend in known}, {0.0})

    in_fleet(check, *servers)


def test_server_that_failed_twice_gets_calls_again():
    """Two pauses, minutes ago, must not keep all calls from it while it is idle."""
    now = [-300.0]
    known = backends.Backends(lambda: now[0])
    placer = placement.Placer(
        known,
        'd1',
        {},
        random.Random(1),
        lambda: now[0],
        enginestand.no_fill_estimate,
    )
    enginestand.add_servers(known, a=('d1', (0, 4, 2)), b=('d1', (0, 4, 2)))
    for _ in range(2):
        known.get_by_id('a').record_outcome(failed=True)
    now[0] = 0.0
    call = enginestand.make_call()
    chosen = {
        placer.choose_server(call, enginestand.SERVICE, 0).backend.server_id
        for _ in range(200)
    }
    _assert_equal(chosen, {'a', 'b'})
