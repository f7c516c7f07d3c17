"""A planned stop of an entry: what it still takes, and how its last calls end."""

import asyncio
import json

from testtools import assertions, matchers

import platformstand as stand

CALLERS_GONE_S = 3.0  # after a stop began, callers know that the entry leaves
LEAVING = {'verdict': 'not_run', 'reason': 'leaving'}


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _assert_refused_unsent(reply):
    """Check that a caller is promised that its call has not run and never will."""
    _assert_equal(reply.status, 503)
    _assert_equal(json.loads(reply.body), LEAVING)
    assert float(reply.headers['retry-after']) < 0.5


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
