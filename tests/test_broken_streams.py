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
