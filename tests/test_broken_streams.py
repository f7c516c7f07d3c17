"""Streams that break off, and what another server may add to them."""

import pytest
from testtools import assertions, matchers

import platformstand as stand

EVENT_COUNT = 6
BROKEN_AFTER = 3
EVENT_STREAM = 'Content-Type: text/event-stream'
JSON = 'Content-Type: application/json'
ERROR = b'{"error": "unknown event"}'
TEXT = b'first part\n\nsecond part'

# Name: status, header lines besides the call's id, and body. None of them goes on with
# a stream that has begun.
OTHER_ANSWERS = {
    'signed 400': (400, (f'{stand.SEAL}: seal-2', JSON), ERROR),
    'signed 404': (404, (f'{stand.SEAL}: seal-2', JSON), ERROR),
    'signed 500': (500, (f'{stand.SEAL}: seal-2', JSON), ERROR),
    'signed 503': (503, (f'{stand.SEAL}: seal-2', JSON), ERROR),
    'signed error of events': (
        500,
        (f'{stand.SEAL}: seal-2', EVENT_STREAM),
        stand.event(4),
    ),
    'signed redirect': (302, (f'{stand.SEAL}: seal-2', 'Location: /chat/2'), b''),
    'signed success of another type': (200, (f'{stand.SEAL}: seal-2', JSON), ERROR),
    'signed text with blank lines': (
        200,
        (f'{stand.SEAL}: seal-2', 'Content-Type: text/plain'),
        TEXT,
    ),
    'signed success without a type': (200, (f'{stand.SEAL}: seal-2',), b''),
    'signed success without a body': (204, (f'{stand.SEAL}: seal-2',), b''),
    'unsigned stream': (200, (EVENT_STREAM,), stand.event(4)),
    'refusal': (503, ('X-Not-Executed: 1', JSON), ERROR),
}
# What follows the last complete event of a stream that ends inside an event.
TORN_EVENTS = {
    'id': b'id: 4',
    'data': b'id: 4\ndata: wo',
    'missing blank line': b'id: 4\ndata: word-4\n',
}


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _join_events(first, last):
    return b''.join(stand.event(number) for number in range(first, last + 1))


def _send_until_close(*parts, status=200, lines=(EVENT_STREAM,)):
    """Return a script that sends a signed answer without a length, then closes."""

    async def run(seen):
        head = [
            f'HTTP/1.1 {status} Status',
            f'X-Attempt-Id: {seen.request_id}',
            f'{stand.SEAL}: seal-{status}',
            *lines,
        ]
        seen.writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
        for part in parts:
            await seen.writer.drain()
            seen.writer.write(part)
        await seen.writer.drain()
        raise ConnectionError

    return run


def _send_whole(status, lines, body):
    """Return a script that sends an answer with its length."""

    async def run(seen):
        head = [
            f'HTTP/1.1 {status} Status',
            f'X-Attempt-Id: {seen.request_id}',
            *lines,
        ]
        if status != 204:
            head.append(f'Content-Length: {len(body)}')
        seen.writer.write('\r\n'.join(head).encode() + b'\r\n\r\n' + body)
        await seen.writer.drain()

    return run


def _break_off():
    return stand.stream(EVENT_COUNT, breaks_after=BROKEN_AFTER)


def _play(in_fleet, check, *scripts, max_attempts=2):
    """Run a check in a fleet where the n-th send to any server gets the n-th script.

    Each script has a server of its own; `/live/` is a stream that cannot be resumed.
    """
    servers = [stand.Server(name) for name in 'abc'[: max(2, len(scripts))]]
    sent = []

    async def script(seen):
        sent.append(seen)
        await scripts[len(sent) - 1](seen)

    for server in servers:
        server.script = script
    document = stand.configuration(2)
    chat = document['routes'][0]
    chat['maxAttempts'] = max_attempts
    document['routes'].append(
        {**chat, 'name': 'r/live/', 'prefix': '/live/', 'streamResume': False}
    )

    async def run(fleet):
        fleet.store.put('op/config', document)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        await check(fleet, sent)

    in_fleet(run, *servers)


@pytest.mark.parametrize('other', list(OTHER_ANSWERS))
def test_answer_that_is_no_continuation_does_not_end_a_stream(in_fleet, other):
    """It is an attempt that failed, and the stream goes on at a third server."""

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, EVENT_COUNT), True))
        resumed = [seen.headers.get('last-event-id') for seen in sent]
        _assert_equal(resumed, [None, '3', '3'])
        _assert_equal(len({seen.headers['x-expect-instance'] for seen in sent}), 3)

    _play(
        in_fleet,
        check,
        _break_off(),
        _send_whole(*OTHER_ANSWERS[other]),
        stand.stream(EVENT_COUNT),
        max_attempts=3,
    )


@pytest.mark.parametrize('other', list(OTHER_ANSWERS))
def test_stream_that_nobody_continues_is_broken_off_visibly(in_fleet, other):
    """Without a further attempt the caller sees whole events, and no end."""

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal(
            (reply.status, reply.body, reply.whole),
            (200, _join_events(1, BROKEN_AFTER), False),
        )
        _assert_equal(len(sent), 2)

    _play(in_fleet, check, _break_off(), _send_whole(*OTHER_ANSWERS[other]))


def test_stream_ends_if_its_continuation_has_no_events(in_fleet):
    """The first server had sent all events, but not the end."""

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, BROKEN_AFTER), True))

    _play(in_fleet, check, _break_off(), stand.stream(BROKEN_AFTER))


def test_error_after_a_stream_that_has_not_begun_is_forwarded_unchanged(in_fleet):
    """The part of an event that the first server sent must not come before it."""
    first = stand.stream(0, is_ended=False)

    async def breaks_inside_first_event(seen):
        await first(seen)
        seen.writer.write(b'8\r\nid: 1\nda\r\n')
        await seen.writer.drain()
        raise ConnectionError

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.status, reply.body), (404, ERROR))
        _assert_equal(reply.headers[stand.SEAL.lower()], 'seal-2')
        _assert_equal(len(sent), 2)

    other = _send_whole(*OTHER_ANSWERS['signed 404'])
    _play(in_fleet, check, breaks_inside_first_event, other)


def test_body_of_a_failed_attempt_is_no_part_of_the_stream(in_fleet):
    """An error may hold events too, which are kept until its end."""

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.status, reply.whole), (200, True))
        _assert_equal((reply.body, len(sent)), (_join_events(1, EVENT_COUNT), 2))

    failed = _send_whole(*OTHER_ANSWERS['signed error of events'])
    _play(in_fleet, check, failed, stand.stream(EVENT_COUNT))


def test_answer_of_another_type_to_a_stream_is_forwarded_unchanged(in_fleet):
    """Its blank lines end no events."""
    answer = OTHER_ANSWERS['signed text with blank lines']

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.status, reply.body, reply.whole), (200, TEXT, True))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_whole(*answer))


def test_answer_of_another_type_that_breaks_off_is_not_joined_with_the_next(in_fleet):
    """Without event ids nothing tells where the next server would have to go on."""
    claims = ('Content-Type: text/plain', f'Content-Length: {2 * len(TEXT)}')

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.status, reply.body, reply.whole), (200, TEXT, True))
        _assert_equal(len(sent), 2)

    _play(
        in_fleet,
        check,
        _send_until_close(TEXT, lines=claims),
        _send_whole(*OTHER_ANSWERS['signed text with blank lines']),
    )


@pytest.mark.parametrize('torn', list(TORN_EVENTS))
@pytest.mark.parametrize('events', [0, 1, BROKEN_AFTER])
def test_stream_that_closes_inside_an_event_goes_on_elsewhere(in_fleet, torn, events):
    """It has no length, so only the torn event tells that it broke off."""
    whole = _join_events(1, events)
    part = TORN_EVENTS[torn].replace(b'4', str(events + 1).encode())

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, EVENT_COUNT), True))
        resumed = [seen.headers.get('last-event-id') for seen in sent]
        _assert_equal(resumed, [None, str(events) if events else None])

    _play(in_fleet, check, _send_until_close(whole, part), stand.stream(EVENT_COUNT))


@pytest.mark.parametrize('torn', list(TORN_EVENTS))
@pytest.mark.parametrize('path', ['/chat/1', '/live/1'])
def test_torn_event_does_not_reach_the_caller(in_fleet, path, torn):
    """Where no attempt is left, or none allowed, the stream ends visibly before it."""
    script = _send_until_close(_join_events(1, BROKEN_AFTER), TORN_EVENTS[torn])

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.body, reply.whole), (_join_events(1, BROKEN_AFTER), False))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, script, max_attempts=1)


@pytest.mark.parametrize('part', [b'', b'id: 1\ndata: wo', b'\r\n'])
@pytest.mark.parametrize('path', ['/chat/1', '/live/1'])
def test_stream_that_closes_before_its_first_event_is_no_success(in_fleet, path, part):
    """The server ended after the head, or in the first event."""

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal(reply.status, 502)
        assert stand.SEAL.lower() not in reply.headers
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_until_close(part), max_attempts=1)


@pytest.mark.parametrize('part', [b'', b'id: 4\nda', stand.event(4) + b'id: 5\n'])
@pytest.mark.parametrize('max_attempts', [2, 3])
def test_continuation_that_closes_early_does_not_end_a_stream(
    in_fleet, part, max_attempts
):
    """It has no length, and closes before an event or inside one."""

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        got = BROKEN_AFTER + part.count(b'\n\n')
        expected = _join_events(1, EVENT_COUNT if max_attempts == 3 else got)
        _assert_equal((reply.body, reply.whole), (expected, max_attempts == 3))
        _assert_equal(len(sent), max_attempts)

    scripts = _break_off(), _send_until_close(part), stand.stream(EVENT_COUNT)
    _play(in_fleet, check, *scripts[:max_attempts], max_attempts=max_attempts)


@pytest.mark.parametrize('path', ['/chat/1', '/live/1'])
@pytest.mark.parametrize('end', [b'', b'\n', b'\r\n'])
@pytest.mark.parametrize('stated', [(EVENT_STREAM,), (f'{EVENT_STREAM};a=b',), ()])
def test_stream_that_closes_after_an_event_is_complete(in_fleet, path, end, stated):
    """A server may mark the end of its answer by closing; it is not made twice."""
    body = _join_events(1, EVENT_COUNT) + end

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.body, reply.whole), (200, body, True))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_until_close(body, lines=stated))


@pytest.mark.parametrize('path', ['/chat/1', '/live/1', '/read/1', '/book/1'])
def test_answer_of_another_type_is_complete_when_it_closes(in_fleet, path):
    """Only a stream of events tells by itself that it is not complete."""

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.body, reply.whole), (200, TEXT, True))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_until_close(TEXT, lines=('Content-Type: text/plain',)))


def _send_framed(framing, body, stated=(EVENT_STREAM,)):
    """Return a script that sends a stream of which the framing is complete."""
    line = f'Content-Length: {len(body)}'
    if framing == 'chunks':
        line = 'Transfer-Encoding: chunked'
        body = f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'
    return _send_until_close(body, lines=(*stated, line))


@pytest.mark.parametrize('torn', list(TORN_EVENTS))
@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('events', [0, BROKEN_AFTER])
def test_torn_event_in_a_complete_framing_goes_on_elsewhere(
    in_fleet, framing, torn, events
):
    """A stream that ended inside an event reached the caller as if it were whole."""
    part = TORN_EVENTS[torn].replace(b'4', str(events + 1).encode())
    script = _send_framed(framing, _join_events(1, events) + part)

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, EVENT_COUNT), True))
        resumed = [seen.headers.get('last-event-id') for seen in sent]
        _assert_equal(resumed, [None, str(events) if events else None])

    _play(in_fleet, check, script, stand.stream(EVENT_COUNT))


@pytest.mark.parametrize('torn', list(TORN_EVENTS))
@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('path', ['/chat/1', '/live/1'])
def test_torn_event_in_a_complete_framing_does_not_reach_the_caller(
    in_fleet, path, framing, torn
):
    """Where no attempt is left, or none allowed, the stream ends visibly before it."""
    script = _send_framed(framing, _join_events(1, BROKEN_AFTER) + TORN_EVENTS[torn])

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.body, reply.whole), (_join_events(1, BROKEN_AFTER), False))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, script, max_attempts=1)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_torn_event_in_a_framed_continuation_does_not_end_a_stream(in_fleet, framing):
    """The stream goes on at a third server, from the last whole event."""
    script = _send_framed(framing, stand.event(4) + b'id: 5')

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, EVENT_COUNT), True))
        resumed = [seen.headers.get('last-event-id') for seen in sent]
        _assert_equal(resumed, [None, '3', '4'])

    scripts = _break_off(), script, stand.stream(EVENT_COUNT)
    _play(in_fleet, check, *scripts, max_attempts=3)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_torn_event_of_a_stream_without_a_type_goes_on_elsewhere(in_fleet, framing):
    """Its first event tells that it is a stream."""
    script = _send_framed(framing, _join_events(1, BROKEN_AFTER) + b'id: 4', stated=())

    async def check(fleet, sent):
        reply = await fleet.call('/chat/1')
        _assert_equal((reply.body, reply.whole), (_join_events(1, EVENT_COUNT), True))

    _play(in_fleet, check, script, stand.stream(EVENT_COUNT))


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('path', ['/chat/1', '/live/1'])
def test_framed_body_without_events_or_a_type_is_kept_whole(in_fleet, path, framing):
    """Nothing tells that it is a stream."""

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.body, reply.whole), (200, b'done', True))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_framed(framing, b'done', stated=()))


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('path', ['/read/1', '/book/1'])
def test_framed_body_of_another_route_is_kept_whole(in_fleet, path, framing):
    """Its events are no stream, and nothing is missing of the server's body."""
    body = _join_events(1, BROKEN_AFTER) + b'id: 4'

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.body, reply.whole), (200, body, True))
        _assert_equal(len(sent), 1)

    _play(in_fleet, check, _send_framed(framing, body))


# Where the head of an answer is cut, counted from its end.
HEAD_CUTS = {
    'before the empty line': 2,
    'in the last line end': 3,
    'in the last header': 9,
    'after the status line': None,
}


@pytest.mark.parametrize('cut', list(HEAD_CUTS))
@pytest.mark.parametrize('framing', ['Content-Length: 40', 'Connection: close'])
@pytest.mark.parametrize('path', ['/chat/1', '/live/1', '/read/1', '/book/1'])
def test_answer_that_closes_inside_its_head_is_no_success(in_fleet, path, framing, cut):
    """Neither its status nor a part of its headers may reach the caller."""

    async def script(seen):
        status_line = 'HTTP/1.1 200 OK\r\n'
        head = (
            f'{status_line}{EVENT_STREAM}\r\nX-Attempt-Id: {seen.request_id}\r\n'
            f'{stand.SEAL}: seal-1\r\n{framing}\r\n\r\n'
        )
        kept = HEAD_CUTS[cut]
        seen.writer.write((head[:-kept] if kept else status_line).encode())
        await seen.writer.drain()
        raise ConnectionError

    async def check(fleet, sent):
        reply = await fleet.call(path)
        _assert_equal(reply.status, 502)
        assert stand.SEAL.lower() not in reply.headers
        _assert_equal(len(sent), 2 if path in {'/chat/1', '/read/1'} else 1)

    _play(in_fleet, check, script, script)
