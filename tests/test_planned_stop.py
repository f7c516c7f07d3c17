"""A planned stop of an entry: what it still takes, and how its last calls end."""

import asyncio
import json
import os
import signal
import socket

import pytest
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.calls import draining, request, routes
from primrosesaddle.core import clocks, pause, verdict
from primrosesaddle.process import run

CALLERS_GONE_S = 3.0  # after a stop began, callers know that the entry leaves
LEAVING = {'verdict': 'not_run', 'reason': 'leaving'}


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _assert_refused_unsent(reply):
    """Check that a caller is promised that its call has not run and never will."""
    _assert_equal(reply.status, 503)
    _assert_equal(json.loads(reply.body), LEAVING)
    assert float(reply.headers['retry-after']) < 0.5


def _make_call(kind, resumable):
    route = routes.Route(
        'r', 'h', '/', kind, 5.0, 1, 2, 0, (('s', 1.0),), resumable=resumable
    )
    return request.Call('c', 'GET', '/', (), b'', route, '', 0, 0.0, 5.0, 1)


def _make_pausing_script(pause_s, last_step):
    """Return a script that takes its last step after a pause."""

    async def script(seen):
        await asyncio.sleep(pause_s)
        await last_step(seen)

    return script


def _begin_stop(fleet):
    return asyncio.create_task(fleet.entry.stop())


async def _send_slowly(fleet, path, sent_at):
    """Send the first byte of a body at once, and the last one at a later time."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n'
        f'X-Deadline-Ms: 4000\r\nAuthorization: Bearer {stand.KEY}\r\n'
        'Content-Length: 2\r\n\r\n{'
    )
    reader, writer = await fleet.send(head.encode())
    await asyncio.sleep(sent_at - asyncio.get_running_loop().time())
    writer.write(b'}')
    reply = await stand.read_answer(reader)
    writer.close()
    return reply


@pytest.mark.parametrize(
    ('kind', 'resumable', 'after_s', 'remaining_s', 'expected'),
    [
        (routes.RouteKind.NON_IDEMPOTENT, False, 0.0, 7.0, True),
        (routes.RouteKind.NON_IDEMPOTENT, False, 0.0, 7.1, False),
        (routes.RouteKind.NON_IDEMPOTENT, False, 6.0, 0.9, True),
        (routes.RouteKind.STREAM, False, 0.0, 30.0, False),
        (routes.RouteKind.STREAM, True, 2.9, 30.0, True),
        (routes.RouteKind.STREAM, True, 3.0, 30.0, False),
        (routes.RouteKind.STREAM, True, 3.0, 4.0, True),
        (routes.RouteKind.IDEMPOTENT, False, 2.9, 5.0, True),
        (routes.RouteKind.IDEMPOTENT, False, 3.0, 5.0, False),
        (routes.RouteKind.IDEMPOTENT, False, 7.1, 0.1, False),
    ],
)
def test_only_what_ends_in_time_is_taken_while_leaving(
    clock, kind, resumable, after_s, remaining_s, expected
):
    """Callers come for 3 s, and every call has to be answered after 7 s."""
    drain = draining.Drain(clock)
    call = _make_call(kind, resumable)
    _assert_equal(drain.admits(call, 1e9), True)
    drain.start(clock.now + CALLERS_GONE_S, clock.now + 7.0)
    clock.now += after_s
    _assert_equal(drain.admits(call, remaining_s), expected)


def test_call_that_may_have_run_is_not_refused_while_leaving(clock):
    """Refusing it would promise that it did not run."""
    drain = draining.Drain(clock)
    call = _make_call(routes.RouteKind.IDEMPOTENT, resumable=False)
    drain.start(clock.now, clock.now + 7.0)
    _assert_equal(drain.admits(call, 8.0), False)
    call.record_verdict(verdict.Verdict.MAY_HAVE_RUN)
    _assert_equal(drain.admits(call, 8.0), True)


def test_booking_that_could_outlast_the_grace_is_refused_from_the_start(in_fleet):
    """It would be cut at the end, and its caller could not know whether it ran."""
    server = stand.Server('a')

    async def check(fleet):
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.1)
        _assert_refused_unsent(await fleet.call('/book/1', deadline_ms=4000))
        _assert_equal(server.seen, [])
        _assert_equal((await fleet.call('/book/2', deadline_ms=800)).status, 200)
        _assert_equal((await fleet.call('/read/3', deadline_ms=4000)).status, 200)
        await stopping

    in_fleet(check, server, grace_s=2.5)


def test_booking_that_waits_as_a_stop_begins_is_refused_unsent(in_fleet):
    """It was taken before the stop, and got a server during it."""
    server = stand.Server('a', _make_pausing_script(0.5, stand.answer()))

    async def check(fleet):
        fleet.store.put('servers/i-a', server.record(slots=1, sequence=2))
        await fleet.until(
            lambda: fleet.entry.backends.get_by_id('i-a').record.slots == 1
        )
        first = asyncio.create_task(fleet.call('/read/1'))
        await fleet.until(lambda: server.seen)
        second = asyncio.create_task(fleet.call('/book/2'))
        await asyncio.sleep(0.1)
        stopping = _begin_stop(fleet)
        _assert_refused_unsent(await asyncio.wait_for(second, 0.3))
        _assert_equal((await first).status, 200)
        await stopping
        _assert_equal(len(server.seen), 1)

    in_fleet(check, server, grace_s=2.5)


def test_request_whose_body_comes_late_in_a_stop_is_refused_unsent(in_fleet):
    """Its head came while callers were still expected; its limit counts from there."""
    server = stand.Server('a')

    async def check(fleet):
        began = asyncio.get_running_loop().time()
        stopping = _begin_stop(fleet)
        await asyncio.sleep(CALLERS_GONE_S - 0.3)
        slow = _send_slowly(fleet, '/read/1', began + CALLERS_GONE_S + 0.2)
        _assert_refused_unsent(await slow)
        _assert_equal(server.seen, [])
        await stopping

    in_fleet(check, server, grace_s=5.0)


def test_call_that_waits_until_late_in_a_stop_is_refused_unsent(in_fleet):
    """It was taken while callers were expected, and got a server after that."""
    server = stand.Server('a', _make_pausing_script(0.7, stand.answer()))

    async def check(fleet):
        fleet.store.put('servers/i-a', server.record(slots=1, sequence=2))
        await fleet.until(
            lambda: fleet.entry.backends.get_by_id('i-a').record.slots == 1
        )
        stopping = _begin_stop(fleet)
        await asyncio.sleep(CALLERS_GONE_S - 0.5)
        first = asyncio.create_task(fleet.call('/read/1'))
        await fleet.until(lambda: server.seen)
        _assert_refused_unsent(await fleet.call('/read/2'))
        _assert_equal((await first).status, 200)
        _assert_equal(len(server.seen), 1)
        await stopping

    in_fleet(check, server, grace_s=5.0)


def test_call_that_a_server_refuses_late_in_a_stop_goes_to_no_other(in_fleet):
    """The promise that it did not run is still true, and another entry has time."""
    refusing = stand.answer(503, b'', sealed=False, not_run=True)
    servers = [stand.Server(name) for name in 'ab']
    for server in servers:
        server.script = _make_pausing_script(0.5, refusing)

    async def check(fleet):
        stopping = _begin_stop(fleet)
        await asyncio.sleep(CALLERS_GONE_S - 0.3)
        _assert_refused_unsent(await fleet.call('/read/1'))
        _assert_equal(sum(len(server.seen) for server in servers), 1)
        await stopping

    in_fleet(check, *servers, grace_s=5.0)


def test_stream_that_breaks_off_late_in_a_stop_is_continued(in_fleet):
    """Its caller has a part of it, and nothing can be promised any more."""
    servers = [
        stand.Server(name, stand.stream(4, breaks_after=2, pause_s=0.3))
        for name in 'ab'
    ]

    async def check(fleet):
        stopping = _begin_stop(fleet)
        await asyncio.sleep(CALLERS_GONE_S - 0.3)
        reply = await fleet.call('/chat/1')
        expected = b''.join(stand.event(number) for number in range(1, 5))
        _assert_equal((reply.body, reply.whole), (expected, True))
        await stopping

    in_fleet(check, *servers, grace_s=5.0)


def test_calls_at_the_end_of_the_grace_get_a_final_answer(in_fleet):
    """They were cut with no answer when the process ended."""
    server = stand.Server('a', stand.hang)

    async def check(fleet):
        paths = '/read/1', '/chat/2', '/book/3'
        calls = [asyncio.create_task(fleet.call(path)) for path in paths]
        await fleet.until(lambda: len(server.seen) == len(paths))
        await fleet.entry.stop()
        replies = await asyncio.wait_for(asyncio.gather(*calls), 0.1)
        _assert_equal([reply.status for reply in replies], [502] * len(paths))
        told = [json.loads(reply.body)['verdict'] for reply in replies]
        _assert_equal(told, ['may_have_run'] * len(paths))

    in_fleet(check, server, grace_s=1.5)


def test_call_that_waits_at_the_end_of_the_grace_is_refused_unsent(in_fleet):
    """No server got it, so that another entry may serve it."""
    server = stand.Server('a', stand.hang)

    async def check(fleet):
        fleet.store.put('servers/i-a', server.record(slots=1, sequence=2))
        await fleet.until(
            lambda: fleet.entry.backends.get_by_id('i-a').record.slots == 1
        )
        first = asyncio.create_task(fleet.call('/read/1'))
        await fleet.until(lambda: server.seen)
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.6)
        second = asyncio.create_task(fleet.call('/read/2'))
        await stopping
        _assert_refused_unsent(await asyncio.wait_for(second, 0.1))
        _assert_equal((await asyncio.wait_for(first, 0.1)).status, 502)
        _assert_equal(len(server.seen), 1)

    in_fleet(check, server, grace_s=1.5)


def test_request_still_being_read_at_the_end_of_the_grace_is_refused(in_fleet):
    """Its caller learns that it may go to another entry."""
    server = stand.Server('a')

    async def check(fleet):
        head = (
            'POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n'
            f'X-Deadline-Ms: 400\r\nAuthorization: Bearer {stand.KEY}\r\n'
            'Content-Length: 2\r\n\r\n{'
        )
        reader, writer = await fleet.send(head.encode())
        await asyncio.sleep(0.1)
        await fleet.entry.stop()
        reply = await asyncio.wait_for(stand.read_answer(reader), 0.1)
        _assert_refused_unsent(reply)
        writer.write(b'}')
        await asyncio.sleep(0.1)
        _assert_equal((await reader.read(), server.seen), (b'', []))
        writer.close()

    in_fleet(check, server, grace_s=1.5)


def test_stream_cut_at_the_end_of_the_grace_does_not_look_complete(in_fleet):
    """Its caller has to see that events are missing."""
    server = stand.Server('a', stand.stream(100, pause_s=0.1))

    async def check(fleet):
        call = asyncio.create_task(fleet.call('/chat/1'))
        await fleet.until(lambda: server.seen)
        await fleet.entry.stop()
        reply = await asyncio.wait_for(call, 0.1)
        _assert_equal((reply.status, reply.whole), (200, False))
        assert reply.body.startswith(stand.event(1))

    in_fleet(check, server, grace_s=1.5)


def test_stop_waits_until_a_slow_caller_has_read_its_answer(in_fleet):
    """The end of the process would cut off what the caller has not read yet."""
    body = bytes(7 * 1024 * 1024)
    server = stand.Server('a', stand.answer(body=body))

    async def check(fleet):
        host, _, port = fleet.cfg.listen.callers.rpartition(':')
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        sock.sendall(
            b'POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a1\r\n'
            b'X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n'
            b'Authorization: Bearer ' + stand.KEY.encode() + b'\r\n\r\n'
        )
        await fleet.until(lambda: server.seen)
        stopping = _begin_stop(fleet)
        await asyncio.sleep(CALLERS_GONE_S + 1.0)
        _assert_equal(stopping.done(), False)
        reader, writer = await asyncio.open_connection(sock=sock)
        reply = await stand.read_answer(reader)
        _assert_equal((reply.status, reply.body == body), (200, True))
        writer.close()
        await stopping

    in_fleet(check, server, grace_s=8.0)


def test_second_signal_leaves_no_call_without_an_answer(in_fleet, tmp_path):
    """It ends the stop early, and cut every call before."""
    server = stand.Server('a', stand.hang)
    path = tmp_path / 'settings'
    path.touch()

    async def do_nothing():
        """Start nothing: the fleet has started the entry."""

    async def check(fleet):
        fleet.entry.start = do_nothing
        running = asyncio.create_task(
            run.run_process(lambda _: fleet.entry, str(path), lambda _: fleet.cfg)
        )
        call = asyncio.create_task(fleet.call('/book/1'))
        await fleet.until(lambda: server.seen)
        os.kill(os.getpid(), signal.SIGTERM)
        await fleet.until(lambda: not fleet.entry.ready)
        os.kill(os.getpid(), signal.SIGTERM)
        reply = await asyncio.wait_for(call, 0.5)
        _assert_equal(reply.status, 502)
        await asyncio.wait_for(running, 1.0)

    in_fleet(check, server, grace_s=8.0)


def test_stop_ends_in_time_after_the_machine_was_suspended(in_fleet, monkeypatch):
    """The steady clock stands still meanwhile, the grace does not."""
    server = stand.Server('a', stand.hang)
    slept_s = [0.0]
    read = clocks.seconds_since_boot
    monkeypatch.setattr(clocks, 'seconds_since_boot', lambda: read() + slept_s[0])

    async def check(fleet):
        call = asyncio.create_task(fleet.call('/read/1'))
        await fleet.until(lambda: server.seen)
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.2)
        slept_s[0] = 2.0
        _assert_refused_unsent(await fleet.call('/book/2', deadline_ms=2000))
        slept_s[0] = 3.5
        await asyncio.wait_for(stopping, 0.7)
        _assert_equal((await asyncio.wait_for(call, 0.1)).status, 502)

    in_fleet(check, server, grace_s=4.0)


def test_grace_counts_from_before_a_pause_in_which_the_signal_came(
    in_fleet, monkeypatch
):
    """The process learns of the signal when it runs again, the platform counts on."""
    server = stand.Server('a')
    slept_s = [0.0]
    read = clocks.seconds_since_boot
    monkeypatch.setattr(clocks, 'seconds_since_boot', lambda: read() + slept_s[0])

    async def check(fleet):
        slept_s[0] = 3.0
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.1)
        _assert_refused_unsent(await fleet.call('/book/1', deadline_ms=2000))
        await asyncio.wait_for(stopping, 1.5)
        _assert_equal(server.seen, [])

    in_fleet(check, server, grace_s=5.0)


def test_signal_noticed_after_a_pause_may_be_as_old_as_the_pause():
    """The process may first notice that time has passed, and then the signal."""
    pauses = pause.PauseDetector(100.0)
    _assert_equal(pauses.observe(101.0), False)
    _assert_equal(pauses.earliest_time(101.5), 101.5)
    _assert_equal(pauses.earliest_time(105.0), 101.0)
    _assert_equal(pauses.observe(105.0), True)
    _assert_equal(pauses.earliest_time(105.1), 101.0)
    pauses.observe(105.2)
    _assert_equal(pauses.earliest_time(105.1 + pause.NOTICE_S), 105.1 + pause.NOTICE_S)


def test_booking_without_a_limit_of_its_own_has_that_of_its_route(in_fleet):
    """The route's limit changes during the stop, and the newest one decides."""
    server = stand.Server('a')
    changed = stand.configuration(2)
    for route in changed['routes']:
        route['timeoutMs'] = {'/book/': 300, '/brief/': 5000}.get(route['prefix'], 5000)

    async def check(fleet):
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.1)
        _assert_refused_unsent(await fleet.call('/book/1', deadline_ms=0))
        _assert_equal((await fleet.call('/brief/1', deadline_ms=0)).status, 200)
        fleet.store.put('op/config', changed)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        _assert_equal((await fleet.call('/book/2', deadline_ms=0)).status, 200)
        _assert_refused_unsent(await fleet.call('/brief/2', deadline_ms=0))
        _assert_equal(len(server.seen), 2)
        await stopping

    in_fleet(check, server, grace_s=2.5)


def test_entry_without_its_store_leaves_in_the_same_way(in_fleet):
    """It may be out of touch as the signal comes."""
    server = stand.Server('a', _make_pausing_script(0.2, stand.answer()))

    async def check(fleet):
        fleet.store.down = True
        early = asyncio.create_task(fleet.call('/book/1'))
        await fleet.until(lambda: server.seen)
        stopping = _begin_stop(fleet)
        await asyncio.sleep(0.1)
        _assert_refused_unsent(await fleet.call('/book/2'))
        _assert_equal((await early).status, 200)
        _assert_equal((await fleet.call('/brief/3')).status, 200)
        await stopping
        _assert_equal(len(server.seen), 2)

    in_fleet(check, server, grace_s=2.5)
