"""Statuses by which a server may wrongly seem to promise that it did not run a call.

Guards against a booking that is made twice: callers repeat a call that may run only
once after 408, 421, 429 and 503, which some servers also answer after they ran it.
"""

import random

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


PROMISES = {408, 421, 429, 503}
ANSWERS = (200, 200, 404, 408, 421, 429, 500, 503, 504)
CALLS_PER_RUN = 40


class _Unsteady:
    """Servers that answer at random, and keep what they did for each call.

    `ran` holds the calls that a server may have run, `sent` the signed answers.
    """

    def __init__(self, seed):
        self._rand = random.Random(seed)
        self.ran = set()
        self.sent = {}

    async def answer(self, seen):
        """Answer one request whole, or break off."""
        status = self._rand.choice(ANSWERS)
        not_run = status not in {200, 404} and self._rand.random() < 0.3
        if not (not_run or status == 421):
            self.ran.add(seen.request_id)
        ending = self._rand.choice(('whole', 'whole', 'whole', 'cut', 'none'))
        if ending == 'none':
            raise ConnectionError
        body = b'%d-%d' % (status, self._rand.randrange(100))
        is_signed = self._rand.random() < 0.8
        if is_signed:
            self.sent.setdefault(seen.request_id, set()).add((status, body))
        await stand.send(
            seen,
            status,
            body,
            sealed=is_signed,
            not_run=not_run,
            claimed=len(body) + 4 if ending == 'cut' else None,
        )
        if ending == 'cut':
            raise ConnectionError


@pytest.mark.parametrize('seed', range(6))
def test_whatever_servers_answer_no_promise_is_broken(in_fleet, seed):
    """Several attempts of a call may end in different ways; a seal is a server's."""
    servers = [stand.Server(name) for name in 'abcdef']
    unsteady = _Unsteady(seed)

    async def check(fleet):
        _publish_stream_that_cannot_resume(fleet)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        for server in servers:
            server.script = unsteady.answer
        for number in range(1, CALLS_PER_RUN + 1):
            path = ('/book/1', '/live/1', '/read/1', '/chat/1')[number % 4]
            call_id = f'{number:016x}'
            reply = await fleet.call(path)
            assert reply.whole
            if reply.status in PROMISES:
                assert call_id not in unsteady.ran, (path, reply)
            if stand.SEAL.lower() in reply.headers:
                assert (reply.status, reply.body) in unsteady.sent[call_id], path
        assert len(unsteady.ran) > CALLS_PER_RUN / 4

    in_fleet(check, *servers)
