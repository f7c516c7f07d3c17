"""Sockets between processes: no message may stay unread while the socket is silent."""

import asyncio
import pathlib
import subprocess
import sys

import pytest
import zmq
from demo import ports
from testtools import assertions, matchers

from primrosesaddle.membership import messagesocket

COUNT = 2000


@pytest.fixture
def run_pair():
    """Return a function that runs a check with a ROUTER and a DEALER.

    The check gets two lists that fill with what each has received, and the functions
    by which each sends to the other.
    """

    def run(check):
        async def main():
            context = zmq.Context.instance()
            address = f'tcp://{ports.free_address()}'
            hub, spoke = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
            hub.bind(address)
            spoke.connect(address)
            at_hub, at_spoke = [], []
            router = messagesocket.MessageSocket(hub, at_hub.append)
            dealer = messagesocket.MessageSocket(spoke, at_spoke.append)
            dealer.send([b'hello'])
            await _until(at_hub.__len__)
            identity = at_hub.pop()[0]
            await check(
                at_hub,
                at_spoke,
                lambda part: router.send([identity, part]),
                lambda part: dealer.send([part]),
            )
            router.close()
            dealer.close()

        asyncio.run(main())

    return run


async def _until(check):
    async with asyncio.timeout(10):
        while not check():
            await asyncio.sleep(0.005)


def test_every_message_of_a_burst_arrives(run_pair):
    """More than are handled in one turn of the event loop, and nothing after them."""

    async def check(at_hub, at_spoke, to_spoke, to_hub):
        for number in range(COUNT):
            to_spoke(b'%d' % number)
        await _until(lambda: len(at_spoke) == COUNT)
        expected = [[b'%d' % number] for number in range(COUNT)]
        assertions.assert_that(at_spoke, matchers.Equals(expected))

    run_pair(check)


def test_message_that_arrives_while_another_is_sent_is_received(run_pair):
    """Sending may consume the signal that a message has arrived.

    Both sides send in every turn of the loop, so that this happens many times; the last
    messages have none behind them that would wake the loop again.
    """

    async def check(at_hub, at_spoke, to_spoke, to_hub):
        for number in range(COUNT):
            to_spoke(b'a')
            to_hub(b'b')
            if number % 7 == 0:
                await asyncio.sleep(0)
        await _until(lambda: len(at_hub) == COUNT and len(at_spoke) == COUNT)

    run_pair(check)


def test_conversation_goes_on_without_other_events(run_pair):
    """Each message is sent in answer to one, while it is handled."""

    async def check(at_hub, at_spoke, to_spoke, to_hub):
        for number in range(COUNT // 4):
            to_hub(b'%d' % number)
            await _until(at_hub.__len__)
            to_spoke(at_hub.pop()[1])
            await _until(at_spoke.__len__)
            assertions.assert_that(at_spoke.pop(), matchers.Equals([b'%d' % number]))

    run_pair(check)


def test_failing_receiver_does_not_end_the_reception():
    """An error in the handling of one message is logged, and the next one is read."""

    async def main():
        context = zmq.Context.instance()
        address = f'tcp://{ports.free_address()}'
        hub, spoke = context.socket(zmq.PULL), context.socket(zmq.PUSH)
        hub.bind(address)
        spoke.connect(address)
        received = []

        def receive(frames):
            received.append(frames[0])
            if frames[0] == b'bad':
                raise ValueError('bad')

        reader = messagesocket.MessageSocket(hub, receive)
        spoke.send(b'bad')
        spoke.send(b'good')
        await _until(lambda: received == [b'bad', b'good'])
        reader.close()
        spoke.close(linger=0)

    asyncio.run(main())


CLOSE_LINKS = """
import asyncio
from demo import ports
from primrosesaddle.core import positions
from primrosesaddle.membership import link, wire

async def main():
    hooks = link.Hooks(
        lambda *message: None, lambda *position: None, lambda: positions.START
    )
    hello = wire.Hello(wire.Card('a', 'entry', '1', '', 'r', 'd'), False)
    for number in range(300):
        address = ports.free_address()
        router = link.bind_router(address, hooks, None)
        dealers = [link.dial(address, hooks, hello, None) for _ in range(4)]
        await asyncio.sleep(0.003 * (number % 4))
        if number % 2:
            router.close()
        for dealer in dealers:
            dealer.close()
        router.close()

asyncio.run(main())
"""


def test_links_close_while_their_peers_disconnect():
    """The event of a disconnect must not wait for a reader that is gone.

    The whole process would stand still then, so that this runs in one of its own.
    """
    root = pathlib.Path(__file__).parent.parent
    subprocess.run(
        [sys.executable, '-c', CLOSE_LINKS], cwd=root, timeout=60, check=True
    )
