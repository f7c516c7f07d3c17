"""Statuses by which a server may wrongly seem to promise that it did not run a call.

Guards against a booking that is made twice: callers repeat a call that may run only
once after 408, 421, 429 and 503, which some servers also answer after they ran it.
"""

import pytest
from testtools import assertions, matchers

import platformstand as stand

# 421 always means that a server did not run the call.
STATUSES = (408, 429, 503)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _publish_stream_that_cannot_resume(fleet):
    document = stand.configuration(2)
    chat = document['routes'][0]
    document['routes'].append(
        {**chat, 'name': 'r/live/', 'prefix': '/live/', 'streamResume': False}
    )
    fleet.store.put('op/config', document)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', ['/book/1', '/live/1'])
def test_refusal_status_of_a_call_that_may_have_run_is_no_promise(
    in_fleet, path, status
):
    """The caller gets 502 without a seal, and the call is sent to no other server."""
    script = stand.answer(status, b'no confirmation', extra=('Retry-After: 0',))
    servers = [stand.Server('a', script), stand.Server('b', script)]

    async def check(fleet):
        _publish_stream_that_cannot_resume(fleet)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.whole), (502, True))
        assert stand.SEAL.lower() not in reply.headers
        assert b'may_have_run' in reply.body
        _assert_equal(sum(len(server.seen) for server in servers), 1)

    in_fleet(check, *servers)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', ['/read/1', '/chat/1'])
def test_repeatable_call_goes_elsewhere_after_such_a_status(in_fleet, path, status):
    """It is a failure of its server; the last one is no promise either."""
    failing = stand.answer(status, b'no confirmation')
    servers = [stand.Server('a', failing), stand.Server('b', failing)]

    async def check(fleet):
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.whole), (502, True))
        assert stand.SEAL.lower() not in reply.headers
        _assert_equal([len(server.seen) for server in servers], [1, 1])

    in_fleet(check, *servers)


@pytest.mark.parametrize('status', [*STATUSES, 421])
def test_server_that_did_not_run_a_call_is_believed(in_fleet, status):
    """It says so in a header, or by 421; the promise of the entry is true then."""
    script = stand.answer(status, b'', sealed=False, not_run=status != 421)
    servers = [stand.Server('a', script), stand.Server('b', script)]

    async def check(fleet):
        reply = await fleet.call('/book/1')
        _assert_equal(reply.status, 503)
        assert b'not_run' in reply.body
        _assert_equal([len(server.seen) for server in servers], [1, 1])

    in_fleet(check, *servers)


@pytest.mark.parametrize('status', [409, 500, 504])
def test_other_statuses_of_a_server_promise_nothing_and_are_kept(in_fleet, status):
    """Status, body and seal reach the caller unchanged."""
    server = stand.Server('a', stand.answer(status, b'no confirmation'))

    async def check(fleet):
        reply = await fleet.call('/book/1')
        _assert_equal((reply.status, reply.body), (status, b'no confirmation'))
        _assert_equal(reply.headers[stand.SEAL.lower()], 'seal-1')

    in_fleet(check, server)
