"""Answers whose status is no status of HTTP, such as 000.

Guards against passing such bytes on as an answer, or taking them for a success: a
server in trouble sent 000, which is below every status that reports an error.
"""

import asyncio
import contextlib

import pytest
from demo import ports
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.core import httpio, verdict
from primrosesaddle.gateway import plainservice
from primrosesaddle.net import call
from primrosesaddle.weights import engine

INVALID = ('000', '001', '099', '600', '999')
VALID = ('200', '299', '404', '599')


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


@pytest.fixture
def with_status():
    """Return a function that runs a check against a server of one status."""

    def run(check, status):
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    seen = await stand.read_request(reader, writer)
                    await stand.send(seen, status, b'{}')
            writer.close()

        async def main():
            address = ports.free_address()
            host, _, port = address.rpartition(':')
            server = await asyncio.start_server(serve, host, int(port))
            try:
                await check(address)
            finally:
                server.close()
                httpio.reset()

        asyncio.run(main())

    return run


@pytest.mark.parametrize('status', INVALID)
def test_call_that_may_run_once_fails_visibly(in_fleet, status):
    """The caller gets 502 without the seal that came with the status."""
    server = stand.Server('a', stand.answer(status))

    async def check(fleet):
        reply = await fleet.call('/book/1')
        _assert_equal((reply.status, reply.whole), (502, True))
        assert stand.SEAL.lower() not in reply.headers

    in_fleet(check, server)


@pytest.mark.parametrize('status', INVALID)
@pytest.mark.parametrize('path', ['/read/1', '/chat/1'])
def test_call_that_may_be_repeated_goes_elsewhere(in_fleet, path, status):
    """The next server answers it; no byte of the first answer reaches the caller."""
    servers = [stand.Server(name) for name in 'ab']

    async def script(seen):
        is_first = sum(len(server.seen) for server in servers) == 1
        await stand.send(seen, status if is_first else 200, b'%d' % is_first)

    async def check(fleet):
        for server in servers:
            server.script = script
        reply = await fleet.call(path)
        _assert_equal((reply.status, reply.body), (200, b'0'))

    in_fleet(check, *servers)


@pytest.mark.parametrize('status', INVALID)
def test_stream_goes_on_elsewhere(in_fleet, status):
    """A continuation with such a status is no part of the stream."""
    servers = [stand.Server(name) for name in 'abc']
    scripts = [
        stand.stream(6, breaks_after=3),
        stand.answer(
            status, stand.event(4), extra=('Content-Type: text/event-stream',)
        ),
        stand.stream(6),
    ]

    async def script(seen):
        count = sum(len(server.seen) for server in servers)
        await scripts[min(count, len(scripts)) - 1](seen)

    async def check(fleet):
        document = stand.configuration(2)
        document['routes'][0]['maxAttempts'] = len(scripts)
        fleet.store.put('op/config', document)
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        for server in servers:
            server.script = script
        reply = await fleet.call('/chat/1')
        events = b''.join(stand.event(number) for number in range(1, 7))
        _assert_equal((reply.body, reply.whole), (events, True))

    in_fleet(check, *servers)


@pytest.mark.parametrize('status', INVALID)
def test_store_origin_or_engine_has_not_answered(with_status, status):
    """Staged weights are read back only if the engine's status is below 300."""

    async def check(address):
        client = call.Client(address)
        with pytest.raises(call.CallFailed, match='status'):
            await client.call('GET', '/', 1.0)
        client.close()

    with_status(check, status)


@pytest.mark.parametrize('status', INVALID)
def test_outside_system_of_the_own_interface_has_not_answered(with_status, status):
    """The request was sent, so that it may have run."""

    async def check(address):
        with pytest.raises(httpio.HttpFailure) as caught:
            await httpio.fetch(f'http://{address}/')
        assert caught.value.sent
        with pytest.raises(httpio.HttpFailure):
            await engine.put_weights(f'http://{address}', 'digest', '0', b'part')

    with_status(check, status)


@pytest.mark.parametrize('status', INVALID)
def test_call_to_a_plain_service_may_have_run(with_status, status):
    """Its caller gets a failure in place of the answer."""

    async def check(address):
        with pytest.raises(verdict.Refusal) as caught:
            await plainservice.call_service(
                f'http://{address}', 'POST', 'book', (), b'{}', 1.0
            )
        _assert_equal(caught.value.verdict, verdict.Verdict.MAY_HAVE_RUN)

    with_status(check, status)


@pytest.mark.parametrize('status', VALID)
def test_other_statuses_are_answers(with_status, status):
    """The highest and lowest statuses of each kind are kept."""

    async def check(address):
        client = call.Client(address)
        _assert_equal((await client.call('GET', '/', 1.0)).status, int(status))
        client.close()
        _assert_equal((await httpio.fetch(f'http://{address}/')).code, int(status))

    with_status(check, status)
