"""A task that is cancelled as its connection opens, or as an answer comes."""

import asyncio

import pytest
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.core import positions
from primrosesaddle.membership import link, wire
from primrosesaddle.net import upstream


@pytest.mark.parametrize('steps', range(1, 8))
def test_cancellation_as_a_connection_opens_is_not_lost(steps):
    """A reader that lost it went on for good, and its entry never stopped."""

    async def main():
        server = stand.Server('a')
        await server.start()
        task = asyncio.create_task(_dial_and_wait(server.address))
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=0.5)
        assertions.assert_that(task.cancelled(), matchers.Is(True))
        await server.stop()

    asyncio.run(main())


def test_cancellation_as_an_answer_of_a_peer_comes_is_not_lost():
    """A loop that pulls from peers went on for good, and its entry never stopped."""

    async def main():
        channel = link.Channel(lambda frames: None, lambda: positions.START)
        task = asyncio.create_task(_request_and_wait(channel))
        await asyncio.sleep(0)
        answer = wire.Envelope(0, 1, True, wire.YesNo(True))
        channel.deliver(answer, lambda *message: None)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=0.5)
        assertions.assert_that(task.cancelled(), matchers.Is(True))

    asyncio.run(main())


async def _request_and_wait(channel):
    await channel.request(wire.PullItems(0), 5.0)
    await asyncio.sleep(3600)


async def _dial_and_wait(address):
    await upstream.dial(address)
    await asyncio.sleep(3600)
