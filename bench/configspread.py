"""The spread of a change: seconds until every node holds it, calls on the service."""

import asyncio
import json
import random
import time

from demo import layout, ports
from demo.standins import common, conf

from bench import report
from primrosesaddle import roles
from primrosesaddle.configuration import replica
from primrosesaddle.core import httpio, positions
from primrosesaddle.membership import dispatching, membertable, peers, wire

__all__ = ('measure',)

SIZES = (16, 48, 96)
CHANGES = 5
SPREAD_TARGET_S = 5.0
CALLS_GROWTH_TARGET = 1.5
SETTLE_S = 2.0
WINDOW_S = 6.0
DATA_CENTRES = ('quito-a', 'cuenca-a', 'guayaquil-a')


class Node:
    """One node that only takes part in the spread of the configuration."""

    def __init__(self, index: int, role: str, address: str, url: str) -> None:
        """Create a node that finds the service at a URL."""
        place = DATA_CENTRES[index % len(DATA_CENTRES)]
        rand = random.Random(index)
        serves = layout.MODEL if role == 'agent' else ''
        card = wire.Card(
            f'{role}-{index}',
            role,
            roles.make_incarnation(),
            address,
            place,
            place,
            serves,
        )
        board = dispatching.MessageDispatcher()
        self.members = membertable.MemberTable(card, board.make_hooks(), None, rand)
        self.config = replica.CatalogueReplica(
            self.members, replica.make_watch(url), rand
        )
        board.on_position = lambda channel, position: self.config.pull_if_newer(
            channel, position.revision
        )
        board.get_position = lambda: positions.Position(0, self.config.revision)
        board.register(
            wire.Hello,
            lambda channel, rid, body: self.members.handle_hello(channel, body),
        )
        board.register(wire.Heartbeat, self.members.handle_heartbeat)
        board.register(wire.PullCatalogue, self.config.answer_pull)
        self._running: asyncio.Task[None] | None = None

    def candidate(self) -> peers.Candidate:
        """Return the node as the instance list shows it."""
        card = self.members.card
        return peers.Candidate(
            card.address,
            card.role,
            card.name,
            card.serves,
            card.region,
            card.data_centre,
        )

    def start(self, listed: list[peers.Candidate]) -> None:
        """Listen, look for peers, and keep up with the service."""
        self.members.start(())
        self.members.update_listed(listed)
        self._running = asyncio.create_task(self.config.run())

    async def stop(self) -> None:
        """Stop at once."""
        if self._running is not None:
            self._running.cancel()
        await self.members.stop()


class Fleet:
    """A number of nodes, a fifth of them entries, and the service."""

    def __init__(self, count: int, url: str) -> None:
        """Prepare the nodes."""
        self._url = url
        self.nodes = [
            Node(index, self._role(index), ports.free_address(), url)
            for index in range(count)
        ]

    def start(self) -> None:
        """Start every node."""
        listed = [node.candidate() for node in self.nodes]
        for node in self.nodes:
            node.start(listed)

    async def replace(self, index: int) -> None:
        """Kill a node, and start another in its place."""
        await self.nodes[index].stop()
        address = ports.free_address()
        self.nodes[index] = Node(index, self._role(index), address, self._url)
        listed = [node.candidate() for node in self.nodes]
        for node in self.nodes:
            node.members.update_listed(listed)
        self.nodes[index].start(listed)

    async def hold(self, revision: int) -> float:
        """Wait until every node holds a revision; return the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < 30:
            if all(node.config.revision >= revision for node in self.nodes):
                return time.monotonic() - began
            await asyncio.sleep(0.01)
        return float('inf')

    async def stop(self) -> None:
        """Stop every node."""
        await asyncio.gather(*(node.stop() for node in self.nodes))

    def _role(self, index: int) -> str:
        return 'agent' if index % 5 else 'entry'


def document(number: int) -> bytes:
    """Return a catalogue that differs with a number."""
    made = layout.catalogue(
        {'assistant-v1': 'a' * 64, 'planner-v1': 'b' * 64, 'chemistry-v1': 'c' * 64},
        'assistant-v1',
    )
    made['entries'].append(
        {
            'kind': 'work',
            'name': f'work-{number}',
            'owner': 'o',
            'class': 'c',
            'rank': 'low',
        }
    )
    return json.dumps(made).encode()


async def _one_size(count: int) -> tuple[float, float]:
    service = conf.ConfigurationService()
    address = ports.free_address()
    server = common.serve(conf.routes(service), address)
    url = f'http://{address}/v1/catalogue'
    service.publish(document(0))
    fleet = Fleet(count, url)
    fleet.start()
    await fleet.hold(1)
    await asyncio.sleep(SETTLE_S)
    worst = 0.0
    calls = service.calls
    began = time.monotonic()
    for number in range(1, CHANGES + 1):
        revision = service.publish(document(number))
        doomed = range(number, count, 10 * CHANGES)
        await asyncio.gather(*(fleet.replace(index) for index in doomed))
        worst = max(worst, await fleet.hold(revision))
        await asyncio.sleep(
            max(0.0, began + number * WINDOW_S / CHANGES - time.monotonic())
        )
    rate = (service.calls - calls) / (time.monotonic() - began)
    await fleet.stop()
    server.stop()
    await server.close_all_connections()
    httpio.reset()
    return worst, rate


async def measure() -> list[report.Figure]:
    """Measure at every size, and return the figures."""
    figures = []
    rates = []
    for count in SIZES:
        worst, rate = await _one_size(count)
        rates.append(rate)
        naive = float(count)
        figures.append(
            report.Figure(
                f'config_spread_{count}',
                worst,
                1.0,
                SPREAD_TARGET_S,
                note='worst of five changes; baseline: each node polls once a second',
            )
        )
        figures.append(
            report.Figure(
                f'config_calls_per_s_{count}',
                rate,
                naive,
                2000.0,
                note='baseline: each node polls once a second',
            )
        )
    figures.append(
        report.Figure(
            'config_calls_growth',
            rates[-1] / rates[0],
            SIZES[-1] / SIZES[0],
            CALLS_GROWTH_TARGET,
            note='calls at the largest size over the smallest',
        )
    )
    return figures
