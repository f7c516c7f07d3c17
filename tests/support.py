"""A small fleet in one event loop, over real sockets, with links that can be cut."""

import asyncio
import contextlib
import dataclasses
import json
import time
import typing
from collections.abc import Callable

from demo import layout, ports
from demo.standins import common, conf, instancelist, plainservice, weightstore
from demo.standins import engine as engines

from primrosesaddle import roles, settings
from primrosesaddle.core import httpio
from primrosesaddle.membership import link, wire

__all__ = ('Cluster', 'cluster', 'eventually')

WAIT_S = 15.0
VERSION_BYTES = 60_000
CHUNK_BYTES = 8_192


async def eventually(check: Callable[[], object], wait_s: float = WAIT_S) -> None:
    """Wait until a check holds; fail when it does not within a generous time."""
    deadline = time.monotonic() + wait_s
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError('the state was not reached')
        await asyncio.sleep(0.02)


async def eventually_async(
    make: Callable[[], typing.Awaitable[typing.Any]],
    check: Callable[[typing.Any], object],
) -> typing.Any:
    """Repeat a call until a check of its answer holds, and return the answer."""
    deadline = time.monotonic() + WAIT_S
    while True:
        answer = await make()
        if check(answer):
            return answer
        if time.monotonic() > deadline:
            raise AssertionError('the answer did not come')
        await asyncio.sleep(0.05)


@dataclasses.dataclass
class Node:
    """One process of the system, run as tasks of the test's loop."""

    name: str
    process: roles.Process
    address: str
    callers: str
    admin: str

    def find(self, name: str) -> typing.Any:
        """Return a service of the process."""
        return self.process.kernel.find(name)


class Cluster:
    """Stand-ins and nodes; links between nodes can be cut by name."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.conf = conf.ConfigurationService()
        self.listing = instancelist.InstanceList(0.0)
        self.store = weightstore.WeightStore(50_000_000.0)
        self.booking = plainservice.BookingService()
        self.engines: dict[str, engines.Engine] = {}
        self.nodes: dict[str, Node] = {}
        self.cuts: set[frozenset[str]] = set()
        self.manifests: dict[str, str] = {}
        self.document: dict[str, typing.Any] = {}
        self.ttl_s = 0.2
        self._servers: list[typing.Any] = []
        self._urls: dict[str, str] = {}

    def serve(self, name: str, routes: list[typing.Any]) -> str:
        """Serve a stand-in, and return its URL."""
        address = self.address()
        self._servers.append(common.serve(routes, address))
        self._urls[name] = f'http://{address}'
        return self._urls[name]

    def address(self) -> str:
        """Return a free address."""
        return ports.free_address()

    async def start_platform(self, homes: tuple[str, ...]) -> None:
        """Serve the platform, and publish the first catalogue."""
        self.serve('conf', conf.routes(self.conf))
        self.serve('list', instancelist.routes(self.listing))
        self.serve('store', weightstore.routes(self.store))
        self.serve('booking', plainservice.routes(self.booking))
        for name in ('assistant-v1', 'assistant-v2', 'planner-v1', 'chemistry-v1'):
            self.manifests[name] = self.store.add(name, VERSION_BYTES, CHUNK_BYTES)
        document = layout.catalogue(self.manifests, 'assistant-v1')
        for entry in document['entries']:
            if entry['kind'] == 'service':
                entry['servers'] = list(homes)
        self.publish(document)

    def publish(self, document: dict[str, typing.Any]) -> int:
        """Publish a catalogue."""
        self.document = document
        return self.conf.publish(json.dumps(document).encode())

    def edit(self, kind: str, name: str, **changes: typing.Any) -> int:
        """Publish the catalogue with one entry changed."""
        return self.publish(
            {
                'entries': [
                    {**entry, **changes}
                    if entry['kind'] == kind and entry['name'] == name
                    else entry
                    for entry in self.document['entries']
                ],
            }
        )

    def add_engine(self, name: str, **options: typing.Any) -> engines.Engine:
        """Serve an engine stand-in."""
        kwargs = {'slots': 8, 'token_s': 0.002, 'load_s': 0.02, 'checks_fencing': True}
        self.engines[name] = engines.Engine(**{**kwargs, **options})
        self.serve(f'engine-{name}', engines.routes(self.engines[name]))
        return self.engines[name]

    def settings_of(self, name: str, role: str, serves: str = '') -> settings.Settings:
        """Return the settings of a node."""
        region = f'region-{sum(map(ord, name)) % 3}'
        server = None
        if serves == layout.SERVICE:
            server = settings.Server('plain', serves, self._urls['booking'])
        elif serves:
            server = settings.Server('engine', serves, self._urls[f'engine-{name}'])
        return settings.Settings(
            settings.Process(role, name, region, region),  # type: ignore[arg-type]
            settings.Listen(
                self.address(),
                self.address(),
                self.address() if role == 'entry' else None,
            ),
            settings.Platform(
                '{0}/v1/catalogue'.format(self._urls['conf']),
                '{0}/v1/instances'.format(self._urls['list']),
                self._urls['store'],
                self._urls['store'],
                'region-0',
            ),
            server,
            limits=settings.Limits(
                entries_ttl_s=self.ttl_s, max_body_bytes=64_000, body_timeout_s=1.0
            ),
        )

    async def add(self, name: str, role: str, serves: str = '') -> Node:
        """Start a node, or a replacement of one under its name."""
        cfg = self.settings_of(name, role, serves)
        process = roles.make_process(cfg)
        node = Node(
            name, process, cfg.listen.peers, cfg.listen.callers or '', cfg.listen.admin
        )
        self.nodes[name] = node
        await process.start()
        self.list_nodes()
        return node

    def list_nodes(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the instance list."""
        self.listing.publish(
            [
                {
                    'name': node.name,
                    'role': node.process.cfg.process.role,
                    'address': node.address,
                    'region': node.process.cfg.process.region,
                    'data_centre': node.process.cfg.process.data_centre,
                    'state': 'leaving' if node.name in leaving else 'live',
                    'serves': node.find('members').card.serves,
                }
                for node in self.nodes.values()
            ]
        )

    def cut(self, one: str, other: str) -> None:
        """Drop every message between two nodes from now on."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let all messages through again."""
        self.cuts.clear()

    async def kill(self, name: str) -> None:
        """End a node without a word, as a killed process ends."""
        node = self.nodes.pop(name)
        await _abandon(node)
        self.list_nodes()

    async def stop(self) -> None:
        """Stop everything at once."""
        for node in self.nodes.values():
            await _abandon(node)
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        httpio.reset()

    def is_cut(self, hooks: link.Hooks, other: str) -> bool:
        """Tell whether the owner of some hooks is cut off from a peer."""
        pairs = [
            frozenset((node.name, other))
            for node in self.nodes.values()
            if node.find('members').hooks is hooks
        ]
        return any(pair in self.cuts for pair in pairs)

    async def ready(self) -> None:
        """Wait until every node takes work and knows every other that it needs."""
        await eventually(
            lambda: all(self._is_ready(node) for node in self.nodes.values())
        )

    def _is_ready(self, node: Node) -> bool:
        if node.find('admin').list_missing():
            return False
        if node.process.cfg.process.role != 'entry':
            return True
        members = node.find('members')
        agents = {
            peer.card.name
            for peer in members.alive_peers('agent')
            if peer.versions or peer.card.server_kind != 'engine'
        }
        wanted = {
            other.name
            for other in self.nodes.values()
            if other.process.cfg.process.role == 'agent'
        }
        return wanted <= agents

    async def ask(self, entry: str, **options: typing.Any) -> typing.Any:
        """Make a chat completion through an entry, and return the HTTP answer."""
        body = {
            'model': options.pop('model', layout.MODEL),
            'messages': [{'role': 'user', 'content': options.pop('prompt', 'hello')}],
            'stream': options.pop('stream', False),
            'max_tokens': options.pop('max_tokens', 4),
        }
        return await self.call(
            entry, 'v1/chat/completions', json.dumps(body).encode(), **options
        )

    async def book(self, entry: str, key: str, **options: typing.Any) -> typing.Any:
        """Book a slot under a key, and return the HTTP answer."""
        headers = {'Idempotency-Key': key, **options.pop('headers', {})}
        path = f'v1/services/{layout.SERVICE}/book'
        body = options.pop('body', b'{"slot": 1}')
        return await self.call(entry, path, body, headers=headers, **options)

    async def call(
        self,
        entry: str,
        path: str,
        body: bytes | None,
        method: str = 'POST',
        token: str = layout.TOKENS['lab-quito'],
        headers: dict[str, str] | None = None,
        timeout_s: float = 20.0,
        **options: typing.Any,
    ) -> typing.Any:
        """Make a call through an entry, and return the HTTP answer."""
        url = f'http://{self.nodes[entry].callers}/{path}'
        sent = {'Authorization': f'Bearer {token}', **(headers or {})}
        return await httpio.fetch(url, method, body, timeout_s, headers=sent, **options)


async def _abandon(node: Node) -> None:
    await node.find('members').stop()
    await node.process.kernel.cancel_tasks()


@contextlib.contextmanager
def _cuttable(made: Cluster) -> typing.Iterator[None]:
    """Let the links of the process drop messages where the cluster is cut."""
    hub_take = link.RouterLink._handle_frame
    dialled_take = link.DealerLink._handle_envelope

    def at_hub(hub: typing.Any, identity: bytes, channel: typing.Any, frame: bytes):
        body = wire.decode(frame).body
        card = body.card if isinstance(body, wire.Hello) else None
        card = card or (channel.card if channel else None)
        if card is not None and made.is_cut(hub._hooks, card.name):
            return channel
        return hub_take(hub, identity, channel, frame)

    def at_dialled(conn: typing.Any, envelope: wire.Envelope):
        body = envelope.body
        card = body.card if isinstance(body, wire.Hello) else conn.channel.card
        if card is None or not made.is_cut(conn._hooks, card.name):
            dialled_take(conn, envelope)

    link.RouterLink._handle_frame = at_hub  # type: ignore[method-assign]
    link.DealerLink._handle_envelope = at_dialled  # type: ignore[method-assign]
    try:
        yield
    finally:
        link.RouterLink._handle_frame = hub_take  # type: ignore[method-assign]
        link.DealerLink._handle_envelope = dialled_take  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def cluster(
    entries: int = 2,
    agents: int = 2,
    homes: int = 2,
) -> typing.AsyncIterator[Cluster]:
    """Run a cluster that is ready, and stop it in the end."""
    made = Cluster()
    names = tuple(f'book-{index + 1}' for index in range(homes))
    try:
        await made.start_platform(names or ('book-1',))
        for index in range(agents):
            made.add_engine(f'asst-{index + 1}')
        jobs = [made.add(f'entry-{index + 1}', 'entry') for index in range(entries)]
        jobs.extend(
            made.add(f'asst-{index + 1}', 'agent', layout.MODEL)
            for index in range(agents)
        )
        jobs.extend(made.add(name, 'agent', layout.SERVICE) for name in names)
        for job in jobs:
            await job
        await made.ready()
        with _cuttable(made):
            yield made
    finally:
        await made.stop()


def verdict_of(answer: typing.Any) -> str:
    """Return the verdict in a refusal."""
    return json.loads(answer.body)['verdict']
