"""A task that is cancelled as its connection opens."""

import asyncio

import pytest
from testtools import assertions, matchers

import platformstand as stand
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


async def _dial_and_wait(address):
    await upstream.dial(address)
    await asyncio.sleep(3600)
