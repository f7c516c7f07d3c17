"""Endless answers: a faulty server sends bytes until its connection is closed."""

import asyncio
import gc
import time
import tracemalloc

import logbook
import pytest
from testtools import assertions, matchers

import enginestand
import platformstand as stand
from primrosesaddle.calls import attempts, events, silence
from primrosesaddle.net import call

OBJECTIVE_MS = 80
LIMIT_MS = 300
MARGIN_S = 0.3
STALL_S = 0.12  # the servers share the processor with the entry
MAX_SENT_BYTES = 256 * 1024 * 1024
MAX_SENDING_S = 6.0
FAST = 0.0
SLOW = 0.03

_OK = b'HTTP/1.1 200 OK\r\n'
_OWN_ID = b'X-Attempt-Id: {id}\r\n'
_SIGNED = _OK + _OWN_ID + b'X-Response-Seal: seal-1\r\n'
_REFUSED = b'HTTP/1.1 503 Busy\r\n' + _OWN_ID + b'X-Not-Executed: 1\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_OTHER = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: 0000\r\n'
_LARGE_CHUNK = b'8000\r\n' + b'x' * 0x8000 + b'\r\n'
_SMALL_CHUNK = b'4\r\nxxxx\r\n'

# Name: bytes sent once, and bytes sent repeatedly after them.
HEADS = {
    'noise': (b'', bytes(range(128, 256)) * 32),
    'status line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'header lines': (_SIGNED, b'X-More: more\r\n' * 200),
    'header line': (_SIGNED + b'X-More: ', b'x' * 4096),
    'empty lines': (b'', b'\r\n' * 2048),
    'informational heads': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'answers to other calls': (b'', _OTHER + b'Content-Length: 2\r\n\r\nno'),
}
BODIES = {
    'body until the close': (_SIGNED + b'\r\n', b'x' * 0x8000),
    'chunked body': (_SIGNED + _CHUNKED, _LARGE_CHUNK),
    'body in small chunks': (_SIGNED + _CHUNKED, _SMALL_CHUNK * 400),
    'chunk extension': (_SIGNED + _CHUNKED + b'4;', b'x' * 4096),
    'trailer': (_SIGNED + _CHUNKED + b'0\r\n', b'X-More: more\r\n' * 200),
    'length beyond any': (
        _SIGNED + b'Content-Length: 999999999999\r\n\r\n',
        b'x' * 0x8000,
    ),
    'unsigned body': (_OK + _OWN_ID + b'\r\n', b'x' * 0x8000),
    'body of another call': (_OTHER + b'\r\n', b'x' * 0x8000),
    'body of a refusal': (_REFUSED, b'x' * 0x8000),
}
EVENTS = {
    'event': (_SIGNED + _CHUNKED, _LARGE_CHUNK),
    'event until the close': (_SIGNED + b'\r\n', b'data: x\n' * 400),
    'old events': (_SIGNED + b'\r\n', b'id: 0\ndata: x\n\n' * 200),
}
ANSWERS = HEADS | BODIES | EVENTS
# Answers sent slowly, a few bytes at a time.
TRICKLED = {
    name: (ANSWERS[name][0], ANSWERS[name][1][:8])
    for name in ('noise', 'header line', 'body until the close', 'unsigned body')
} | {
    'chunked body': (_SIGNED + _CHUNKED, _SMALL_CHUNK),
    'event until the close': (_SIGNED + b'\r\n', b'data: x\n'),
    'old events': (_SIGNED + b'\r\n', b'id: 0\ndata: x\n\n'),
}
FAST_CASES = [(name, *ANSWERS[name], FAST) for name in ANSWERS]
SLOW_CASES = [(name, *TRICKLED[name], SLOW) for name in TRICKLED]


def _cases(*groups):
    cases = [case for group in groups for case in group]
    return pytest.mark.parametrize(
        ('begin', 'unit', 'pause_s'),
        [case[1:] for case in cases],
        ids=[f'{"slow" if case[3] else "fast"} {case[0]}' for case in cases],
    )


def endless(begin, unit, pause_s=FAST):
    """Return a script that sends bytes until the connection is closed."""

    async def run(seen):
        writer = seen.writer
        writer.write(begin.replace(b'{id}', seen.request_id.encode()))
        until = time.monotonic() + MAX_SENDING_S
        total = len(begin)
        while total < MAX_SENT_BYTES and time.monotonic() < until:
            writer.write(unit)
            await writer.drain()
            total += len(unit)
            await asyncio.sleep(pause_s)

    return run


def _fail_first(servers, script, healthy_script):
    """Return a script that runs `script` for the first call only, then the other."""

    async def run(seen):
        if sum(len(server.seen) for server in servers) == 1:
            await script(seen)
        else:
            await healthy_script(seen)

    return run


async def _measure_longest_stall(work):
    """Return the result of a coroutine and the longest stall of the event loop.

    Garbage is collected first: a full collection of the whole suite's process takes
    about as long as `STALL_S`, and would be taken for a stall of the entry.
    """
    gc.collect()
    task = asyncio.ensure_future(work)
    longest_s = 0.0
    while not task.done():
        began = time.monotonic()
        await asyncio.sleep(0.005)
        longest_s = max(longest_s, time.monotonic() - began - 0.005)
    return task.result(), longest_s


def _short_objective_configuration():
    """Return a configuration with which silent attempts are ended soon."""
    document = stand.configuration(2)
    for route in document['routes']:
        route['targetLatencyMs'] = OBJECTIVE_MS
    chat = document['routes'][0]
    document['routes'].append(
        {**chat, 'name': 'r/live/', 'prefix': '/live/', 'streamResume': False}
    )
    return document


@pytest.fixture(scope='module')
def loop_runner():
    """Return a runner of one event loop, and a list of fleets that stop in it."""
    stopping = []
    with asyncio.Runner() as runner:
        yield runner, stopping

        async def wait_until_stopped():
            await asyncio.gather(*stopping)

        runner.run(wait_until_stopped())


@pytest.fixture
def in_fleet(monkeypatch, loop_runner):
    """Return a function that runs a check in a fleet with short timeouts."""
    monkeypatch.setattr(silence, 'STREAM_SILENCE_LIMIT_S', 0.2)
    monkeypatch.setattr(silence, 'FIRST_EVENT_LIMIT_S', 0.1)
    runner, stopping = loop_runner

    def run(check, *servers):
        async def main():
            fleet = stand.Fleet()
            try:
                await fleet.start(*servers)
                fleet.store.put('op/config', _short_objective_configuration())
                await fleet.until(lambda: fleet.entry.configuration_version == 2)
                await check(fleet)
            finally:
                stopping.append(asyncio.ensure_future(fleet.stop()))

        runner.run(main())

    return run


@pytest.fixture
def lines():
    """Return a function that returns the lines logged so far."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield lambda: [record.message for record in handler.records]


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


@pytest.mark.parametrize(
    ('path', 'part', 'healthy_script', 'expected'),
    [
        ('/read/1', b'half of', stand.answer(), b'done'),
        (
            '/chat/1',
            stand.event(1),
            stand.stream(2),
            stand.event(1) + stand.event(2),
        ),
    ],
    ids=['kept answer', 'stream'],
)
def test_answer_until_the_close_is_incomplete_if_this_side_closed(
    in_fleet, path, part, healthy_script, expected
):
    """Such an attempt must be repeated at another server, not end the answer."""
    servers = [stand.Server('a'), stand.Server('b')]

    async def falls_silent(seen):
        head = _SIGNED.replace(b'{id}', seen.request_id.encode())
        seen.writer.write(head + b'\r\n' + part)
        await stand.hang(seen)

    script = _fail_first(servers, falls_silent, healthy_script)
    for server in servers:
        server.script = script

    async def check(fleet):
        got = await fleet.call(path)
        _assert_equal((got.status, got.body, got.whole), (200, expected, True))

    in_fleet(check, *servers)


def test_endless_event_in_small_parts_takes_linear_time():
    """The time must grow with the size, not with its square."""
    splitter = events.EventSplitter()
    began = time.process_time()
    for _ in range(8000):
        splitter.feed(b'data: part of the same event\r\nx')
    assert time.process_time() - began < 1.0
    _assert_equal(len(splitter.take_remainder()), 8000 * 31)


@pytest.mark.parametrize('ending', [b'\n\n', b'\r\n\r\n', b'\n\r\n'])
@pytest.mark.parametrize('size', [1, 2, 3, 7])
def test_events_are_split_the_same_in_parts_of_any_size(ending, size):
    """The end of an event that arrives in two parts must be found."""
    sent = b''.join(b'id: %d\ndata: x' % number + ending for number in range(1, 6))
    splitter = events.EventSplitter(2)
    parts = [sent[begin : begin + size] for begin in range(0, len(sent), size)]
    passed_on = b''.join(splitter.feed(part) for part in parts)
    _assert_equal(
        (passed_on, splitter.take_remainder()), (sent[2 * len(sent) // 5 :], b'')
    )


@_cases(FAST_CASES, SLOW_CASES)
def test_endless_answer_to_a_call_that_may_run_only_once(
    in_fleet, begin, unit, pause_s
):
    """The call ends in time as one that may have run; it is not repeated."""
    servers = [stand.Server('a'), stand.Server('b')]
    for server in servers:
        server.script = endless(begin, unit, pause_s)

    async def check(fleet):
        loop = asyncio.get_running_loop()
        began = loop.time()
        got, stall_s = await _measure_longest_stall(
            fleet.call('/book/1', deadline_ms=LIMIT_MS)
        )
        assert loop.time() - began < LIMIT_MS / 1000 + MARGIN_S
        assert got.status in {502, 504}
        assert b'xxxx' not in got.body
        assert 'x-response-seal' not in got.headers
        assert stall_s < STALL_S
        _assert_equal(sum(len(server.seen) for server in servers), 1)
        await fleet.until(lambda: sum(server.closed for server in servers) == 1)

    in_fleet(check, *servers)


@_cases(FAST_CASES)
def test_log_gives_the_reason_of_an_endless_answer(
    in_fleet, lines, begin, unit, pause_s
):
    """The log line of the attempt gives the reason."""
    server = stand.Server('a', endless(begin, unit, pause_s))

    async def check(fleet):
        got = await fleet.call('/book/1', deadline_ms=LIMIT_MS)
        broken = [line for line in lines() if 'event=attempt.' in line]
        _assert_equal(len(broken), int(got.status == 502))
        assert all(' why=' in line and 'why=""' not in line for line in broken)

    in_fleet(check, server)


@_cases(FAST_CASES, SLOW_CASES)
def test_endless_answer_to_a_call_that_may_be_repeated(in_fleet, begin, unit, pause_s):
    """Another server answers the call in time."""
    servers = [stand.Server('a'), stand.Server('b')]
    script = _fail_first(servers, endless(begin, unit, pause_s), stand.answer())
    for server in servers:
        server.script = script

    async def check(fleet):
        got = await fleet.call('/read/1')
        _assert_equal((got.status, got.body), (200, b'done'))
        _assert_equal(sum(len(server.seen) for server in servers), 2)
        await fleet.until(lambda: sum(server.closed for server in servers) >= 1)

    in_fleet(check, *servers)


@_cases(FAST_CASES, SLOW_CASES)
def test_endless_answer_to_a_stream(in_fleet, begin, unit, pause_s):
    """Another server continues the stream, with each event once."""
    servers = [stand.Server('a'), stand.Server('b')]
    script = _fail_first(servers, endless(begin, unit, pause_s), stand.stream(4))
    for server in servers:
        server.script = script

    async def check(fleet):
        got, stall_s = await _measure_longest_stall(fleet.call('/chat/1'))
        expected = b''.join(stand.event(number) for number in range(1, 5))
        _assert_equal((got.status, got.body, got.whole), (200, expected, True))
        assert stall_s < STALL_S

    in_fleet(check, *servers)


def test_large_answers_at_once_are_bounded_together(in_fleet, monkeypatch):
    """Many answers, each within its own limit, must not use up the memory."""
    server = stand.Server('a', _large(6 * 1024 * 1024))
    monkeypatch.setattr(server, 'record', _record_with_slots(server, 64))

    async def check(fleet):
        tracemalloc.start()
        try:
            got = await asyncio.gather(
                *(fleet.call('/book/1', deadline_ms=2500) for _ in range(30))
            )
            assert tracemalloc.get_traced_memory()[1] < 100 * 1024 * 1024
        finally:
            tracemalloc.stop()
        _assert_equal({found.status for found in got} <= {502, 504}, True)
        _assert_equal(len(server.seen), 30)
        server.script = stand.answer(200, b'x' * 1024 * 1024)
        _assert_equal((await fleet.call('/book/1')).status, 200)

    in_fleet(check, server)


def test_memory_that_is_released_is_free():
    """Another answer may use what was reserved, so nothing may be held on to."""

    async def check():
        attempt = attempts.Attempt(None, enginestand.make_call(), None)
        attempt.on_body(b'x' * 1024 * 1024)
        attempt.release_memory()
        _assert_equal(sum(map(len, attempt.body)), 0)

    asyncio.run(check())


# What no answer can come of, however long it goes on.
FRAMING = {
    'informational heads': ANSWERS['informational heads'],
    'chunk size': (_SIGNED + _CHUNKED, b'0' * 4096),
    'chunk extension': ANSWERS['chunk extension'],
    'trailer': ANSWERS['trailer'],
    'body of another call': ANSWERS['body of another call'],
    'extension after an event': (
        _SIGNED + _CHUNKED + b'10\r\nid: 1\ndata: xxx\n\n\r\n4;',
        b'x' * 4096,
    ),
}
MAX_UNPARSED_BYTES = 32 * 1024 * 1024  # with what sockets on both sides hold


@pytest.mark.parametrize('path', ['/book/1', '/live/1'])
@pytest.mark.parametrize('name', list(FRAMING))
def test_framing_without_end_is_cut_off_before_the_time_limit(in_fleet, path, name):
    """It was read for as long as the call might take, instead of other answers."""
    sent = []
    begin, unit = FRAMING[name]

    async def script(seen):
        seen.writer.write(begin.replace(b'{id}', seen.request_id.encode()))
        while sum(sent) < MAX_SENT_BYTES:
            seen.writer.write(unit)
            await seen.writer.drain()
            sent.append(len(unit))
            await asyncio.sleep(0)

    server = stand.Server('a', script)

    async def check(fleet):
        got = await fleet.call(path, deadline_ms=4000)
        assert got.status == 502 or not got.whole
        assert sum(sent) < MAX_UNPARSED_BYTES
        await fleet.until(lambda: server.closed == 1)

    in_fleet(check, server)


def _record_with_slots(server, slots):
    record = server.record()
    return lambda **fields: {**record, 'slots': slots, **fields}


def _large(size):
    """Return a script that sends `size` bytes of a body without an end."""

    async def run(seen):
        seen.writer.write(_SIGNED.replace(b'{id}', seen.request_id.encode()) + b'\r\n')
        for _ in range(size // 0x8000):
            seen.writer.write(b'x' * 0x8000)
            await seen.writer.drain()
        await seen.writer.wait_closed()

    return run


# Answers to these calls carry no id, so an answer to another call is accepted.
@_cases([case for case in FAST_CASES if case[0] != 'answers to other calls'])
def test_endless_answer_to_a_call_of_this_system(loop_runner, begin, unit, pause_s):
    """Calls to store, origin and engine fail in time, with limited memory."""
    server = stand.Server('a', endless(begin, unit, pause_s))
    client = call.Client(server.address)

    async def check():
        await server.start()
        tracemalloc.start()
        try:
            with pytest.raises(call.CallFailed) as failed:
                await client.call('GET', '/piece', 0.5)
            assert tracemalloc.get_traced_memory()[1] < 16 * 1024 * 1024
        finally:
            tracemalloc.stop()
            await server.stop()
        assert 'GET' in str(failed.value)

    loop_runner[0].run(check())


def _stream_numbered_events(sent):
    """Return a script that streams complete events until the connection is closed."""

    async def run(seen):
        head = _SIGNED.replace(b'{id}', seen.request_id.encode()) + b'\r\n'
        seen.writer.write(head)
        for number in range(1, 100_000):
            event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 4096)
            seen.writer.write(event)
            await seen.writer.drain()
            sent.append(len(event))
            await asyncio.sleep(0)

    return run


def test_endless_events_end_visibly_at_the_time_limit(in_fleet):
    """The answer is left incomplete after complete events, in order."""
    server = stand.Server('a', _stream_numbered_events([]))

    async def check(fleet):
        got = await fleet.call('/chat/1', deadline_ms=LIMIT_MS)
        _assert_equal((got.status, got.whole), (200, False))
        splitter = events.EventSplitter()
        _assert_equal(
            (splitter.feed(got.body), splitter.take_remainder()), (got.body, b'')
        )
        _assert_equal(splitter.event_count, splitter.last_id)
        await fleet.until(lambda: server.closed == 1)

    in_fleet(check, server)


def test_endless_events_to_a_caller_that_does_not_read(in_fleet):
    """The server is read no faster than the caller reads, and closed in time."""
    sent = []
    server = stand.Server('a', _stream_numbered_events(sent))

    async def check(fleet):
        tracemalloc.start()
        try:
            _, writer = await fleet.open('/chat/1', deadline_ms=1000)
            await fleet.until(lambda: server.closed == 1)
            assert tracemalloc.get_traced_memory()[1] < 16 * 1024 * 1024
        finally:
            tracemalloc.stop()
        # What the socket buffers of two connections and the buffers of the entry hold.
        assert sum(sent) < 64 * 1024 * 1024
        writer.close()

    in_fleet(check, server)
