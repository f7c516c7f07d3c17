"""Failures that operators of similar systems have reported, played against an entry."""

import asyncio
import json
import socket
import struct

import pytest
from testtools import assertions, matchers

import platformstand as stand


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


async def _send_copy(seen, status, body, request_id):
    """Send an answer that belongs to another request, without an id if it is empty."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'X-Attempt-Id: {request_id}')
    lines.append('X-Not-Executed: 1' if status == 503 else f'{stand.SEAL}: seal-1')
    seen.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    await seen.writer.drain()


@pytest.mark.parametrize('has_id', [True, False])
@pytest.mark.parametrize('status', [200, 503])
def test_late_copy_of_an_answer_reaches_nobody(in_fleet, status, has_id):
    """It arrives on a kept connection, where the next call waits for its answer.

    A copied refusal must not be taken for the promise that the next call did not run.
    """
    first = stand.Server('a')
    second = stand.Server('b')

    async def script(seen):
        if len(first.seen) == 1:
            await stand.send(seen, 200, b'first')
            return
        earlier = first.seen[0].request_id if has_id else ''
        await _send_copy(seen, status, b'copied', earlier)
        await asyncio.sleep(0.05)
        await stand.send(seen, 200, b'second')

    first.script = script

    async def check(fleet):
        _assert_equal((await fleet.call('/read/1')).body, b'first')
        reply = await fleet.call('/read/2')
        _assert_equal((reply.status, reply.body), (200, b'second'))
        _assert_equal((len(first.seen), first.connections), (2, 1))
        fleet.store.put('servers/i-b', second.record())
        await fleet.until(lambda: 'i-b' in fleet.known_servers())
        _assert_equal(second.seen, [])

    in_fleet(check, first)


def test_copied_refusal_does_not_make_a_booking_run_twice(in_fleet):
    """A booking that runs at one server must not be sent to a second one."""
    servers = [stand.Server('a'), stand.Server('b')]
    ran = []

    async def script(seen):
        if '/read/' in seen.line:
            await stand.answer(503, b'', sealed=False, not_run=True)(seen)
            await asyncio.sleep(0.05)
            await _send_copy(seen, 503, b'', seen.request_id)
            return
        ran.append(seen.request_id)
        await _send_copy(seen, 503, b'', '0000')
        await stand.send(seen, 200, b'booked')

    for server in servers:
        server.script = script

    async def check(fleet):
        for number in range(6):
            await fleet.call(f'/read/{number}')
            reply = await fleet.call(f'/book/{number}')
            _assert_equal((reply.status, reply.body), (200, b'booked'))
        _assert_equal((len(ran), len(set(ran))), (6, 6))

    in_fleet(check, *servers)


def test_stopping_entry_closes_the_connections_that_callers_keep(in_fleet):
    """A request on one of them would be accepted, and cut off when the process ends.

    The caller sees the close, and knows that what it sends then was not read.
    """
    server = stand.Server('a')

    async def check(fleet):
        reader, writer = await fleet.open('/read/1')
        _assert_equal((await stand.read_answer(reader)).status, 200)
        await fleet.entry.stop()
        rest = await asyncio.wait_for(reader.read(), 1.0)
        _assert_equal((rest, len(server.seen)), (b'', 1))
        writer.close()

    in_fleet(check, server, grace_s=4.5)


def test_calls_accepted_before_and_during_a_stop_are_answered(in_fleet):
    """Callers keep sending until they learn that the entry leaves."""

    async def slow(seen):
        await asyncio.sleep(0.3)
        await stand.send(seen, 200, b'done')

    servers = [stand.Server('a', slow), stand.Server('b', slow)]

    async def check(fleet):
        calls = []
        stopping = None
        for number in range(30):
            calls.append(asyncio.create_task(fleet.call('/read/1')))
            await asyncio.sleep(0.05)
            if number == 10:
                stopping = asyncio.create_task(fleet.entry.stop())
        replies = await asyncio.gather(*calls)
        _assert_equal({reply.status for reply in replies} <= {200, 503}, True)
        sent = sum(len(server.seen) for server in servers)
        _assert_equal(sum(reply.status == 200 for reply in replies), sent)
        await stopping

    in_fleet(check, *servers, grace_s=5.0)


def test_slow_stream_is_not_cut_if_no_other_server_can_continue_it(in_fleet):
    """A pause of 1.5 s is long, but callers wait for longer than that."""
    server = stand.Server('a', stand.stream(3, pause_s=1.5))

    async def check(fleet):
        reply = await fleet.call('/chat/1', deadline_ms=4900)
        expected = b''.join(stand.event(number) for number in range(1, 4))
        _assert_equal((reply.body, reply.whole, len(server.seen)), (expected, True, 1))

    in_fleet(check, server)


def test_late_answer_is_delivered_if_no_other_server_can_give_one(in_fleet):
    """An attempt is given up for another server only where there is one."""

    async def late(seen):
        await asyncio.sleep(2.0)
        await stand.send(seen, 200, b'late')

    server = stand.Server('a', late)

    async def check(fleet):
        reply = await fleet.call('/read/1')
        _assert_equal((reply.status, reply.body, len(server.seen)), (200, b'late', 1))

    in_fleet(check, server)


def test_stalled_stream_that_sends_single_bytes_continues_elsewhere(in_fleet):
    """A byte now and then is no progress: only complete events are."""
    servers = [stand.Server('a'), stand.Server('b')]

    async def script(seen):
        if 'last-event-id' in seen.headers:
            await stand.stream(4)(seen)
            return
        await stand.stream(1, is_ended=False)(seen)
        while True:
            seen.writer.write(b'1\r\n:\r\n')
            await seen.writer.drain()
            await asyncio.sleep(0.1)

    for server in servers:
        server.script = script

    async def check(fleet):
        began = asyncio.get_running_loop().time()
        reply = await fleet.call('/chat/1')
        expected = b''.join(stand.event(number) for number in range(1, 5))
        _assert_equal((reply.body, reply.whole), (expected, True))
        assert asyncio.get_running_loop().time() - began < 2.0

    in_fleet(check, *servers)


def test_entry_that_starts_in_an_outage_uses_nothing_that_was_withdrawn(in_fleet):
    """Its peers know that a server left and that a key was taken away."""
    left = stand.Server('a')
    staying = stand.Server('b')
    other = {'name': 'w2', 'apiKeys': ['key-of-w2'], 'priority': 1}

    async def check(fleet):
        fleet.store.remove('servers/i-a')
        fleet.store.put('op/config', stand.configuration(2, tenants=[other]))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        await fleet.until(lambda: fleet.known_servers() == {'i-b'})
        fleet.store.down = True
        await fleet.join()
        for _ in range(40):
            reply = await fleet.call('/read/1', key='key-of-w1')
            assert reply.status in {401, 503}, reply.status
            await fleet.call('/read/1', key='key-of-w2')
        await fleet.until(lambda: fleet.known_servers() == {'i-b'})
        _assert_equal((await fleet.call('/read/1', key='key-of-w2')).status, 200)
        _assert_equal((await fleet.call('/read/1', key='key-of-w1')).status, 401)
        _assert_equal(left.seen, [])

    in_fleet(check, left, staying)


@pytest.mark.parametrize(
    ('framing', 'is_reset'),
    [
        ('Content-Length: 40', False),
        ('Content-Length: 40', True),
        ('Transfer-Encoding: chunked', False),
        ('Transfer-Encoding: chunked', True),
        ('Connection: close', True),
    ],
)
@pytest.mark.parametrize('path', ['/book/1', '/read/1', '/chat/1'])
def test_answer_that_breaks_off_does_not_look_complete(
    in_fleet, path, framing, is_reset
):
    """A server may break off with a close or a reset, at any place of an answer."""

    async def script(seen):
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Attempt-Id: {seen.request_id}\r\n{stand.SEAL}: seal-1\r\n'
            f'{framing}\r\n\r\n'
        )
        part = stand.event(1)
        if 'chunked' in framing:
            part = f'{len(part):x}\r\n'.encode() + part + b'\r\n'
        seen.writer.write(head.encode() + part)
        await seen.writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            sock = seen.writer.get_extra_info('socket')
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            seen.writer.transport.abort()
        raise ConnectionError

    servers = [stand.Server('a', script), stand.Server('b', script)]

    async def check(fleet):
        reply = await fleet.call(path)
        assert reply.status >= 500 or not reply.whole, (reply.status, reply.body)

    in_fleet(check, *servers)


@pytest.mark.parametrize('path', ['/book/1', '/read/1', '/chat/1'])
def test_work_of_a_server_that_falls_silent_is_neither_repeated_nor_given_up(
    in_fleet, path
):
    """Its record lapses and its agent does not report; the call runs on."""
    may_answer = asyncio.Event()

    async def held(seen):
        await may_answer.wait()
        if '/chat/' in seen.line:
            await stand.stream(2)(seen)
        else:
            await stand.send(seen, 200, b'done')

    servers = [stand.Server('a', held), stand.Server('b', held)]

    async def check(fleet):
        running = asyncio.create_task(fleet.call(path))
        await fleet.until(lambda: servers[0].seen or servers[1].seen)
        busy = servers[0] if servers[0].seen else servers[1]
        fleet.store.remove(f'servers/i-{busy.name}')
        await fleet.until(lambda: f'i-{busy.name}' not in fleet.known_servers())
        await asyncio.sleep(0.5)
        may_answer.set()
        reply = await running
        _assert_equal((reply.status, reply.whole), (200, True))
        _assert_equal(sum(len(server.seen) for server in servers), 1)

    in_fleet(check, *servers)


_DEEP = '[' * 100_000 + ']' * 100_000
ODD_RECORDS = {
    'nested arrays': ('"sequence": 1', f'"sequence": 1, "more": {_DEEP}'),
    'nested objects': (
        '"sequence": 1',
        '"sequence": 1, "more": ' + '{"a":' * 100_000 + '1' + '}' * 100_000,
    ),
    'nested in a known field': ('"models": [', f'"models": [{_DEEP}, '),
    'slots beyond 64 bits': ('"slots": 4', f'"slots": {2**70}'),
    'slots of 5,000 digits': ('"slots": 4', '"slots": ' + '9' * 5000),
    'slots beyond a float': ('"slots": 4', '"slots": 1e999'),
    'start beyond 64 bits': ('"sequence": 1', f'"sequence": 1, "born": {2**70}'),
    'negative start': ('"sequence": 1', '"sequence": 1, "born": -1'),
    'not a number': ('"coldRemainingMs": 0', '"coldRemainingMs": NaN'),
    'time beyond a float': ('"coldRemainingMs": 0', '"coldRemainingMs": 1e999'),
    'layers out of range': (
        '"sequence": 1',
        f'"sequence": 1, "layers": {{"from": -1, "to": {2**70}, "version": 1}}',
    ),
    'version beyond 64 bits': ('"version": 1', f'"version": {2**70}'),
    'port 0': (':PORT"', ':0"'),
    'port 65536': (':PORT"', ':65536"'),
    'port 99999': (':PORT"', ':99999"'),
    'negative port': (':PORT"', ':-1"'),
    'port of 5,000 digits': (':PORT"', ':' + '9' * 5000 + '"'),
    'no port': (':PORT"', '"'),
    'number out of range in the address': ('"127.0.0.1:', '"999.0.0.1:'),
    'host name': ('"127.0.0.1:', '"localhost:'),
    'digits of another script': (':PORT"', ':٨٠"'),
    'a megabyte of text': ('"service": "engines"', f'"service": "{"x" * 2**20}"'),
    'a megabyte in the version': ('"version": "v1"', f'"version": "{"x" * 2**20}"'),
    'slots of another type': ('"slots": 4', '"slots": [4]'),
    'service of another type': ('"service": "engines"', '"service": {"engines": 1}'),
    'no object': None,
}


@pytest.mark.parametrize('odd', list(ODD_RECORDS))
def test_odd_record_among_those_of_the_servers_is_left_out(in_fleet, odd):
    """Another writer may leave anything there; the entry goes on with the others.

    It is read by a watch of a running entry, and with all items by one that starts.
    """
    server = stand.Server('a')

    async def check(fleet):
        good = stand.Server('odd').record(address='127.0.0.1:PORT')
        text = json.dumps(good)
        if ODD_RECORDS[odd] is None:
            text = '[]'
        else:
            before, after = ODD_RECORDS[odd]
            assert before in text
            text = text.replace(before, after)
        fleet.store.put('servers/i-odd', text.replace('PORT', '80').encode())
        fleet.store.put('servers/i-last', server.record(sequence=9))
        await fleet.until(lambda: 'i-last' in fleet.known_servers())
        _assert_equal(fleet.known_servers(), {'i-a', 'i-last'})
        _assert_equal((await fleet.call('/read/1')).status, 200)
        await fleet.entry.stop()
        await fleet.restart()
        await fleet.until(fleet.known_servers)
        _assert_equal(fleet.known_servers(), {'i-a', 'i-last'})
        fleet.store.put('op/config', stand.configuration(2))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        _assert_equal((await fleet.call('/read/1')).status, 200)

    in_fleet(check, server)


def test_two_records_of_one_address_do_not_disturb_each_other(in_fleet):
    """Another writer copied a server's record under a second id."""
    server = stand.Server('a')

    async def script(seen):
        is_own = seen.headers['x-expect-instance'] == 'i-a'
        await stand.answer(200 if is_own else 421, b'', sealed=is_own)(seen)

    server.script = script

    async def check(fleet):
        fleet.store.put('servers/i-copy', server.record())
        await fleet.until(lambda: len(fleet.known_servers()) == 2)
        for _ in range(10):
            _assert_equal((await fleet.call('/book/1')).status, 200)
        fleet.store.remove('servers/i-copy')
        await fleet.until(lambda: fleet.known_servers() == {'i-a'})
        _assert_equal((await fleet.call('/book/1')).status, 200)

    in_fleet(check, server)


@pytest.mark.parametrize(
    'header',
    [
        'X-Token-Count: inf,1e999',
        'X-Token-Count: nan',
        'Last-Event-Id: 1e999',
        'X-Length-Hint: -inf',
    ],
)
def test_absurd_number_of_a_caller_is_ignored(in_fleet, header):
    """The call is served as if the header were missing."""
    server = stand.Server('a')
    name, _, text = header.partition(': ')

    async def check(fleet):
        reply = await fleet.call('/read/1', headers={name: text})
        _assert_equal(reply.status, 200)

    in_fleet(check, server)


@pytest.mark.parametrize(
    'header',
    [
        'X-Server-Load: ²,1,4',
        f'X-Server-Load: {"9" * 5000},0,4',
        'Keep-Alive: timeout=²',
    ],
)
def test_absurd_number_of_a_server_is_ignored(in_fleet, header):
    """The answer is passed on as if the header were missing."""
    server = stand.Server('a', stand.answer(extra=(header,)))

    async def check(fleet):
        _assert_equal((await fleet.call('/book/1')).status, 200)

    in_fleet(check, server)
