"""A small deployment: store, origin, model servers, entries and agents."""

import asyncio
import functools
import pathlib
import types
import typing
from collections.abc import Iterable

from standins import caller, engine, fleet, store, weights

SERVICE = 'huvo11a'
OTHER_SERVICE = 'wuno96b'
PATHS = types.MappingProxyType(
    {weights.MODEL: '/lepu270/2f', weights.OTHER_MODEL: '/xapu221/2f'}
)
JOIN_S = 3.0  # until processes count as in touch
CALLS_PER_S = 5


class Site:
    """The stand-ins and the system's processes of one case."""

    def __init__(
        self,
        folder: pathlib.Path,
        entry_count: int = 2,
        first_engine: type[engine.Engine] = engine.Engine,
        has_other_model: bool = False,
    ) -> None:
        """Create the stand-ins; `folder` is that of the case.

        With `has_other_model`, two more servers run a model of their own.
        """
        self.record = fleet.Record(folder / 'record.txt')
        self.log = self.record.log
        self.store = store.Store()
        self.origin = weights.Origin()
        self.engines = [
            first_engine('server1', SERVICE, weights.MODEL, self.log),
            engine.Engine('server2', SERVICE, weights.MODEL, self.log),
        ]
        if has_other_model:
            self.engines.extend(
                engine.Engine(name, OTHER_SERVICE, weights.OTHER_MODEL, self.log)
                for name in ('server3', 'server4')
            )
        for each in self.engines:
            each.neighbours = {other.address: other for other in self.engines}
        self.entries: list[fleet.Process] = []
        for number in range(entry_count):
            made = fleet.make_entry(f'edge-{number + 1}', self.store.address, [])
            self.entries.append(made)
        seeds = [made.settings['listen']['control'] for made in self.entries]
        for made in self.entries:
            made.settings['seeds'] = seeds
        self.agents = [
            fleet.make_agent(
                f'side-{number}',
                self.store.address,
                seeds,
                server.address,
                server.service,
            )
            for number, server in enumerate(self.engines, 1)
        ]

    async def start(self) -> None:
        """Start the stand-ins, then the system, and wait until it is in touch."""
        await self.store.start()
        await self.origin.start()
        self.store.put('op/config', make_configuration(self.origin.address))
        for server in self.engines:
            await server.start()
            self.publish(server)
            server.publish = functools.partial(self.publish, server)
        for made in self.entries:
            made.start()
        for made in self.entries:
            await made.until_ready()
        # The entries know each other by the time that agents reach them.
        await asyncio.sleep(JOIN_S)
        for made in self.agents:
            made.start()
        await asyncio.sleep(JOIN_S)

    def publish(self, server: engine.Engine) -> None:
        """Write the entry of a server in the store."""
        self.store.put(f'servers/i-{server.name}', server.record())

    def name_version(self, version: int, model: str = weights.MODEL) -> None:
        """Declare new weights."""
        self.origin.newest[model] = version
        self.store.put(f'op/version/{model}', {'model': model, 'version': version})
        self.log('version named', model=model, version=version)

    async def call(
        self,
        number: int = 0,
        model: str = weights.MODEL,
        body: bytes = b'{}',
        send_s: float = 0.0,
    ) -> caller.Answer:
        """Make one call for a stream of a model, at an entry."""
        front = self.entries[number % len(self.entries)].front
        headers = (
            ('X-Model', model),
            ('X-Token-Count', '600,80'),
            ('X-Prefix-Hash', f'5c1e07a2:40,{number:08x}:560'),
        )
        answer = await caller.call(front, PATHS[model], headers, body, send_s)
        self.log(
            'answer',
            model=model,
            id=answer.call_id,
            status=answer.status,
            whole=answer.is_whole,
            events=answer.body.count(b'\n\n'),
        )
        return answer

    async def call_for(
        self, wait_s: float, model: str = weights.MODEL
    ) -> list[caller.Answer]:
        """Make calls for a time, and return their answers."""
        tasks = []
        for number in range(int(wait_s * CALLS_PER_S)):
            tasks.append(asyncio.create_task(self.call(number, model)))
            await asyncio.sleep(1 / CALLS_PER_S)
        return await asyncio.gather(*tasks)

    def end(self) -> None:
        """End all processes of the system."""
        for made in (*self.entries, *self.agents):
            made.end()


def count_served(answers: Iterable[caller.Answer]) -> int:
    """Return how many calls were answered completely with a success."""
    return sum(answer.is_whole and answer.status == 200 for answer in answers)


def make_configuration(origin: str) -> dict[str, typing.Any]:
    """Return a configuration with a service and a route for each model."""
    return {
        'version': 7,
        'routes': [
            _make_route('r-js2eek2', '/lepu270/', SERVICE),
            _make_route('r-2xp4zhp', '/xapu221/', OTHER_SERVICE),
        ],
        'services': [
            _make_service(SERVICE, weights.MODEL),
            _make_service(OTHER_SERVICE, weights.OTHER_MODEL),
            {
                'name': 'kafi81c',
                'origin': origin,
                'zone': 'zone-a',
                'linkMbps': 9.9,
                'maxConnections': 48,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'bozi300', 'apiKeys': [caller.KEY], 'priority': 1}],
    }


def _make_route(name: str, prefix: str, service: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'host': caller.HOST,
        'prefix': prefix,
        'routeType': 'streaming',
        'timeoutMs': 6000,
        'targetLatencyMs': 406,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'sessionAffinity': True,
        'streamResume': True,
        'gapTargetMs': 300,
    }


def _make_service(name: str, model: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConnections': 434,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': engine.SLOTS,
            'step_ms': 7.4,
            'per_seq_ms': 0.0387,
            'read_per_s': 31900,
            'stride': 6,
            'usual': {'prompt': 973, 'answer': 106},
            'models': [{'name': model, 'warmS': engine.WARM_S}],
            'layers': weights.LAYERS,
            'layer_mb': 4540.0,
            'sizeMb': engine.SIZE_MB,
            'chunks': weights.PIECES,
            'chunkBytes': weights.PIECE_BYTES,
        },
    }
