"""Bytes that are almost HTTP: no fault in the process, no answer to another's request.

A caller's bytes reach the parser of heads, chunks and sizes before anything is known of
it. A case that nobody thought of ends in an exception, leaves memory counted for good,
or shifts requests against answers. Seeded: `make fuzz` plays other cases.
"""

import asyncio
import itertools
import logging
import os
import re

import logbook
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import matchers
from testtools.assertions import assert_that

import platformstand as stand

CONNECTIONS = 6  # of an example, in the same process
EXAMPLES = 1000 if os.environ.get('HYPOTHESIS_PROFILE') == 'fuzz' else 60
READ_S = 0.1  # an answer that has not come by then is not awaited
_FAULTS = re.compile('event=(call.fault|task.failed|listener.failed)[^\n]*')
_IDS = itertools.count(1)
LINES = st.sampled_from(
    [
        'Content-Length: 4',
        'Content-Length: 4, 4',
        'Content-Length: 4, 5',
        'Content-Length: -1',
        'Content-Length: 99999999999999999999',
        'Content-Length: 70000',
        'Content-Length:',
        'Transfer-Encoding: chunked',
        'Transfer-Encoding: gzip, chunked',
        'Expect: 100-continue',
        'Connection: close',
        'X-Deadline-Ms: nan',
        'X-Deadline-Ms: 1e999',
        'X-Token-Count: 1,-1,,',
        'X-Prefix-Hash: :,:;,' + 'f' * 300 + ':1',
        'Last-Event-Id: 9' + '9' * 400,
        'X-Length-Hint: \x00\xff',
        'no colon here',
        ' folded',
        ': empty',
        'X-Large: ' + 'x' * 17000,
    ]
)
STARTS = st.sampled_from(
    [
        'POST /read/a HTTP/1.1',
        'HEAD /read/a HTTP/1.1',
        'GET /gone/a HTTP/1.1',
        'POST /read/a HTTP/1.0',
        'POST /read/\xe9?%00 HTTP/1.1',
        'POST  HTTP/1.1',
        'POST /read/a HTTP/9.9',
        '',
    ]
)
BODIES = st.sampled_from(
    [
        b'',
        b'{{}}',
        b'4\r\n{{}}\r\n0\r\n\r\n',
        b'4;x=y\r\n{{}}\r\n0\r\n\r\n',
        b'5\r\n{{}}\r\n0\r\n\r\n',
        b'-4\r\n{{}}\r\n',
        b'0\r\nX: y\r\n\r\n',
        b'ffffffffffffffffffff\r\n',
        b'\r\n' * 9,
        bytes(70000),
        b'11170\r\n' + bytes(70000) + b'\r\n0\r\n\r\n',
    ]
)
REQUESTS = st.tuples(STARTS, st.lists(LINES, max_size=4), BODIES, st.booleans())


def write_request(start: str, lines: list[str], body: bytes, *, has_key: bool) -> bytes:
    """Return a request with an id of its own."""
    head = [start, 'Host: shop.example', f'X-Attempt-Id: fuzz-{next(_IDS)}', *lines]
    if has_key:
        head.append(f'Authorization: Bearer {stand.KEY}')
    return '\r\n'.join(head).encode('latin1') + b'\r\n\r\n' + body


async def exchange(fleet: stand.Fleet, sent: bytes) -> bytes:
    """Send bytes on a new connection, and return what comes in answer."""
    reader, writer = await fleet.send(b'')
    received = bytearray()
    try:
        writer.write(sent)
        async with asyncio.timeout(READ_S):
            while chunk := await reader.read(65536):
                received += chunk
    except (OSError, TimeoutError):
        return bytes(received)
    finally:
        writer.transport.abort()
    return bytes(received)


async def play(fleet: stand.Fleet, sent: list[bytes]) -> None:
    """Send one example, and check the answers and what the entry holds after it."""
    answers = await asyncio.gather(*(exchange(fleet, each) for each in sent))
    for each, received in zip(sent, answers, strict=True):
        ids = set(re.findall(rb'X-Attempt-Id: (fuzz-\d+)', each))
        answered = set(re.findall(rb'(?i)x-attempt-id: (\S+)', received))
        assert answered <= ids, (each, received)
    held = fleet.entry._call_application._budget
    await fleet.until(lambda: not held.held_bytes and not held.incomplete_count)
    got = await fleet.call('/read/a')
    assert_that((got.status, got.body), matchers.Equals((200, b'done')))


class Faults(logging.Handler):
    """Collects what no code handled."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.found.append(record.getMessage())


@pytest.fixture
def faults():
    """Return what reaches the logs of tornado and the event loop as an error."""
    handler = Faults()
    logger = logging.getLogger('tornado')
    level = logger.level
    logger.setLevel(logging.ERROR)
    logger.addHandler(handler)
    yield handler
    logger.removeHandler(handler)
    logger.setLevel(level)


def test_bytes_that_are_almost_http(faults):
    with asyncio.Runner() as runner, logbook.TestHandler(level='INFO') as lines:
        runner.get_loop().set_exception_handler(
            lambda loop, context: faults.found.append(str(context))
        )
        fleet = stand.Fleet()
        runner.run(fleet.start(stand.Server('a')))

        @given(st.lists(st.lists(REQUESTS, max_size=3), max_size=CONNECTIONS))
        @settings(deadline=None, max_examples=EXAMPLES)
        def check(drawn):
            sent = [
                b''.join(
                    write_request(start, more, body, has_key=has_key)
                    for start, more, body, has_key in requests
                )
                for requests in drawn
            ]
            runner.run(play(fleet, sent))
            noted = [line for line in lines.formatted_records if _FAULTS.search(line)]
            assert_that(noted, matchers.Equals([]))
            assert_that(faults.found, matchers.Equals([]))
            lines.records.clear()

        try:
            check()
        finally:
            runner.run(fleet.stop())
