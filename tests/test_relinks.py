"""Connections between processes that are reset, or fall silent, and are replaced."""

import asyncio
import contextlib
import random

import pytest
from demo import ports
from testtools import assertions, matchers

from primrosesaddle.membership import dispatching, membertable, peers, wire

DETECTED_S = peers.DEAD_S + 2.0  # until a silent connection is replaced by a new one
GOAL = wire.Goal('m1', 2, 0.0, '', '')


class Proxy:
    """Forwards connections to an address; can reset them, or drop what they carry."""

    def __init__(self, target):
        self.address = ports.free_address()
        self._target = target
        self._writers = []
        self._muted = set()
        self._tasks = set()

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self):
        """Refuse new connections, and reset the others."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset every connection; new ones are accepted."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def mute(self):
        """Drop what the present connections carry from now on, without closing them."""
        self._muted.update(self._writers)

    async def _accept(self, reader, writer):
        host, _, port = self._target.rpartition(':')
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, target_writer]
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, source, sink):
        with contextlib.suppress(OSError):
            while part := await source.read(65536):
                if sink not in self._muted:
                    sink.write(part)
        sink.transport.abort()


class Process:
    """The table of peers of one process, the goals that it got, and its proxy."""

    def __init__(self, name, role):
        dispatcher = dispatching.MessageDispatcher()
        card = wire.Card(name, role, f'start-{name}', ports.free_address(), 'r', 'd')
        self.table = membertable.MemberTable(
            card, dispatcher.make_hooks(), None, random.Random(1)
        )
        self.goals = []
        dispatcher.register(
            wire.Hello,
            lambda channel, rid, body: self.table.handle_hello(channel, body),
        )
        dispatcher.register(wire.Heartbeat, self.table.handle_heartbeat)
        dispatcher.register(
            wire.Goal, lambda channel, rid, body: self.goals.append(body)
        )
        self.proxy = Proxy(card.address)

    async def stop(self):
        """Close every connection."""
        await self.table.stop()
        self.proxy.stop()

    def send(self, name):
        """Send a goal to a peer, unasked."""
        self.table.peers[name].channel.send(GOAL)


async def _until(check, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.01)


@pytest.fixture
def with_pair():
    """Return a function that runs a check with an entry and a peer linked to it.

    The peer connects through the entry's proxy; with `both` the entry connects to the
    peer as well, through the proxy of the peer.
    """

    def run(check, role='agent', *, both=False):
        async def main():
            entry, peer = Process('e1', 'entry'), Process('p2', role)
            await entry.proxy.start()
            await peer.proxy.start()
            entry.table.start([peer.proxy.address] if both else [])
            peer.table.start([entry.proxy.address])
            try:
                await _until(lambda: entry.table.peers and peer.table.peers)
                await asyncio.sleep(0.5)
                await check(entry, peer)
            finally:
                await asyncio.gather(peer.stop(), entry.stop())

        asyncio.run(main())

    return run


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


@pytest.mark.parametrize('reset_count', [1, 4])
def test_entry_reaches_an_agent_whose_connection_was_reset(with_pair, reset_count):
    """Goals were sent to a connection that was gone, and no version was loaded."""

    async def check(entry, agent):
        for _ in range(reset_count):
            entry.proxy.reset()
            await asyncio.sleep(1.0)
        entry.send('p2')
        await _until(lambda: agent.goals)

    with_pair(check)


@pytest.mark.parametrize('both', [False, True])
@pytest.mark.parametrize('role', ['agent', 'entry'])
def test_peer_is_reached_after_its_connections_fell_silent(with_pair, role, both):
    """Silent connections were kept as long as the peer was heard on another one."""

    async def check(entry, peer):
        entry.proxy.mute()
        peer.proxy.mute()
        await asyncio.sleep(DETECTED_S)
        entry.send('p2')
        peer.send('e1')
        await _until(lambda: entry.goals and peer.goals)

    with_pair(check, role, both=both)


def test_peer_is_reached_while_only_the_own_connection_is_silent(with_pair):
    """The connection that the peer opened carries messages on."""

    async def check(entry, peer):
        peer.proxy.mute()
        await asyncio.sleep(DETECTED_S)
        entry.send('p2')
        await _until(lambda: peer.goals)

    with_pair(check, 'entry', both=True)


def test_state_is_sent_again_over_the_new_connection(with_pair):
    """What was on its way when a connection was reset is lost."""

    async def check(entry, agent):
        entry.table.on_linked.append(lambda peer: entry.send(peer.card.name))
        entry.proxy.reset()
        await _until(lambda: agent.goals)

    with_pair(check)


def test_message_to_a_connection_that_is_gone_closes_it(with_pair):
    """It was dropped, and the connection counted as usable."""

    async def check(entry, agent):
        entry.proxy.stop()
        await asyncio.sleep(0.3)
        channel = entry.table.peers['p2'].channel
        entry.send('p2')
        await _until(lambda: channel.closed, 0.5)

    with_pair(check)


def test_replaced_connections_are_forgotten(with_pair, monkeypatch):
    """They counted for the limit of connections for good, which then kept peers out."""
    monkeypatch.setattr(membertable, 'SESSION_TIMEOUT_S', 1.0)
    monkeypatch.setattr(peers, 'HEARTBEAT_INTERVAL_S', 0.2)
    monkeypatch.setattr(peers, 'SUSPECT_S', 0.6)
    monkeypatch.setattr(peers, 'DEAD_S', 1.2)

    async def check(entry, agent):
        for _ in range(3):
            entry.proxy.reset()
            await asyncio.sleep(0.5)
        await _until(lambda: len(entry.table._router.sessions) == 1)

    with_pair(check)
