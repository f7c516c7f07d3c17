"""Stand-ins of the users' platform: a store, scripted servers, callers, an entry."""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import typing
from collections.abc import Awaitable, Callable

from demo import ports
from tornado import httpserver, web

from primrosesaddle.fleet import node
from primrosesaddle.platform import __main__ as platform_main
from primrosesaddle.process import entry

SEAL = 'X-Response-Seal'
MODEL = 'm1'
KEY = 'key-of-w1'
CONTACT_S = 3.0  # after which a process that started counts as in touch
ENGINES = {
    'name': 'engines',
    'healthPath': '/healthz',
    'maxConnections': 64,
    'protocol': 'h1',
    'tls': False,
    'engine': {
        'slots': 4,
        'step_ms': 7.4,
        'read_per_s': 30000,
        'models': [{'name': MODEL, 'warm_s': 0.3}],
    },
}


class Copy(typing.NamedTuple):
    """What a store held at a moment, its history included."""

    items: dict[str, dict[str, typing.Any]]
    events: list[dict[str, typing.Any]]
    revision: int
    compacted: int


class Store:
    """The store: items with revisions, ranges and waiting watches.

    `sent` counts how often each item was sent, `requests` all requests, those that were
    not answered included. `era` is sent with all answers, unless it is None.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.revision = 1
        self.compacted = 0  # revision up to which the history is gone
        self.down = False
        self.mute = False
        self.is_away = False
        self.era: int | None = None
        self.requests = 0
        self.watching = 0
        self.sent: collections.Counter[str] = collections.Counter()
        self.address = ports.free_address()
        self._changed = asyncio.Event()
        self._server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        app = web.Application(
            [
                ('/primrosesaddle/kv-range', _Range),
                ('/primrosesaddle/kv-watch', _Watch),
            ],
            store=self,
        )
        self._server = httpserver.HTTPServer(app)
        host, _, port = self.address.rpartition(':')
        self._server.listen(int(port), host)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def put(self, key: str, value: object) -> None:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(body).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._add(item)

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key)
        self._add({'key': key, 'revision': self.revision, 'tombstone': True})

    def after(self, revision: int) -> list[dict[str, typing.Any]]:
        return [event for event in self.events if event['revision'] > revision]

    def compact(self, kept: int = 0) -> None:
        """Drop the history up to some newest revisions that are kept."""
        self.compacted = max(self.compacted, self.revision - kept)
        self.events = self.after(self.compacted)

    def take_copy(self) -> Copy:
        """Return a copy of what the store holds."""
        return Copy(dict(self.items), list(self.events), self.revision, self.compacted)

    def go_away(self) -> None:
        """Close every connection without an answer from now on, waiting watches too."""
        self.is_away = True
        self._wake()

    def come_back(self, copy: Copy) -> None:
        """Answer again, in the next era and with what a copy holds."""
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.revision = copy.revision
        self.compacted = copy.compacted
        if self.era is not None:
            self.era += 1
        self.is_away = False

    async def wait(self, wait_s: float) -> None:
        self.watching += 1
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)
        self.watching -= 1

    def _add(self, event: dict[str, typing.Any]) -> None:
        self.events.append(event)
        if not self.mute:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _Handler(web.RequestHandler):
    @property
    def store(self) -> Store:
        return typing.cast(Store, self.settings['store'])

    def set_default_headers(self) -> None:
        if self.store.era is not None:
            self.set_header('Store-Era', str(self.store.era))

    def prepare(self) -> None:
        self.store.requests += 1
        if self.store.is_away:
            self.cut()
        elif self.store.down:
            self.send_error(503)

    def cut(self) -> None:
        self.detach().close()


class _Range(_Handler):
    def get(self) -> None:
        prefix = self.get_query_argument('prefix')
        found = [
            item for key, item in self.store.items.items() if key.startswith(prefix)
        ]
        self.store.sent.update(item['key'] for item in found)
        self.write(
            {
                'items': found,
                'truncated': False,
                'storeRevision': self.store.revision,
            }
        )


class _Watch(_Handler):
    async def get(self) -> None:
        after = int(self.get_query_argument('after'))
        wait_s = int(self.get_query_argument('waitMs')) / 1000
        if not self.store.compacted <= after <= self.store.revision:
            self.send_error(410)
            return
        era = self.store.era
        if not self.store.after(after):
            await self.store.wait(wait_s)
        if self.store.is_away or self.store.era != era:
            self.cut()
            return
        if self.store.down:
            self.send_error(503)
            return
        if after < self.store.compacted:
            self.send_error(410)
            return
        events = self.store.after(after)
        self.store.sent.update(event['key'] for event in events)
        self.write({'events': events, 'storeRevision': self.store.revision})


@dataclasses.dataclass
class Seen:
    """A request as a server read it."""

    line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        return self.headers.get('x-attempt-id', '')


Script = Callable[[Seen], Awaitable[None]]


class Server:
    """A backend server that answers by a script and keeps what it read."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name = name
        self.script = script or answer()
        self.seen: list[Seen] = []
        self.closed = 0
        self.connections = 0
        self.address = ports.free_address()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def record(self, **fields: object) -> dict[str, object]:
        """Return the record that the server would publish."""
        return {
            'service': 'engines',
            'address': self.address,
            'zone': 'dc-1',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
            **fields,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                seen = await read_request(reader, writer)
                self.seen.append(seen)
                await self.script(seen)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Seen:
    """Read one request."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode(errors='replace').split('\r\n')
    headers = {}
    for line in head[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Seen(head[0], headers, body, writer)


def answer(
    status: int = 200,
    body: bytes = b'done',
    *,
    sealed: bool = True,
    not_run: bool = False,
    request_id: str | None = None,
    claimed: int | None = None,
    extra: tuple[str, ...] = (),
) -> Script:
    """Return a script that answers whole, or short of the length it claims.

    `extra` holds further header lines.
    """

    async def run(seen: Seen) -> None:
        await send(
            seen,
            status,
            body,
            sealed=sealed,
            not_run=not_run,
            request_id=request_id,
            claimed=claimed,
            extra=extra,
        )
        if claimed is not None:
            raise ConnectionError

    return run


async def send(
    seen: Seen,
    status: int,
    body: bytes,
    *,
    sealed: bool = True,
    not_run: bool = False,
    request_id: str | None = None,
    claimed: int | None = None,
    extra: tuple[str, ...] = (),
) -> None:
    """Send one answer, with further header lines if given."""
    lines = [
        f'HTTP/1.1 {status} Status',
        f'Content-Length: {len(body) if claimed is None else claimed}',
        f'X-Attempt-Id: {request_id or seen.request_id}',
    ]
    if sealed:
        lines.append(f'{SEAL}: seal-1')
    if not_run:
        lines.append('X-Not-Executed: 1')
    lines.extend(extra)
    seen.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    await seen.writer.drain()


async def close(seen: Seen) -> None:
    """Close without an answer."""
    raise ConnectionError


async def hang(seen: Seen) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: word-{number}\n\n'.encode()


def stream(
    last: int,
    *,
    breaks_after: int | None = None,
    torn: bytes = b'',
    pause_s: float = 0.0,
    is_ended: bool = True,
    extra: tuple[str, ...] = (),
) -> Script:
    """Return a script that streams from where it is asked to, and may break off.

    Without `is_ended` the end mark of the stream is left out.
    """

    async def run(seen: Seen) -> None:
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Attempt-Id: {seen.request_id}\r\n{SEAL}: seal-{id(run)}\r\n'
            'Transfer-Encoding: chunked\r\n'
            + ''.join(f'{line}\r\n' for line in extra)
            + '\r\n'
        )
        seen.writer.write(head.encode())
        begin = int(seen.headers.get('last-event-id', '0'))
        for number in range(begin + 1, last + 1):
            _chunk(seen.writer, event(number))
            await seen.writer.drain()
            await asyncio.sleep(pause_s)
            if number == breaks_after:
                if torn:
                    _chunk(seen.writer, torn)
                    await seen.writer.drain()
                raise ConnectionError
        if is_ended:
            seen.writer.write(b'0\r\n\r\n')
            await seen.writer.drain()

    return run


def _chunk(writer: asyncio.StreamWriter, part: bytes) -> None:
    writer.write(f'{len(part):x}\r\n'.encode() + part + b'\r\n')


def configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration with a route of each kind."""
    found: dict[str, object] = {
        'version': version,
        'routes': [
            _route('/chat/', 'streaming', streamResume=True, gapTargetMs=300),
            _route('/read/', 'idempotent'),
            _route('/book/', 'non_idempotent'),
            _route('/brief/', 'non_idempotent', timeoutMs=300),
        ],
        'services': [
            {
                'name': 'engines',
                'healthPath': '/healthz',
                'maxConnections': 64,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'w1', 'apiKeys': [KEY], 'priority': 1}],
    }
    found.update(changes)
    return found


def _route(prefix: str, kind: str, **changes: object) -> dict[str, object]:
    return {
        'name': f'r{prefix}',
        'host': 'shop.example',
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': 'engines',
        'maxAttempts': 2,
        'public': False,
        **changes,
    }


@dataclasses.dataclass
class Got:
    """An answer as a caller read it; `whole` tells whether its framing ended."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Fleet:
    """One entry before scripted servers and a store."""

    def __init__(self) -> None:
        self.store = Store()
        self.servers: list[Server] = []
        self.cfg = _node(self.store.address)
        self.entry: entry.Entry | None = None
        self._others: list[entry.Entry] = []
        self._calls = 0
        self.version_s = 8.0
        self.grace_s = 1.5

    async def start(
        self,
        *servers: Server,
        version: int = 1,
        version_s: float = 8.0,
        grace_s: float = 1.5,
    ) -> None:
        """Start the store, the servers and an entry that knows them."""
        self.version_s = version_s
        self.grace_s = grace_s
        self.store.start()
        self.store.put('op/config', configuration(version))
        for server in servers:
            await server.start()
            self.servers.append(server)
            self.store.put(f'servers/i-{server.name}', server.record())
        await self.restart()
        await self.until(lambda: len(self.known_servers()) == len(servers))

    async def restart(self, seeds: tuple[str, ...] = ()) -> None:
        """Start the entry, as a process of its own with new addresses."""
        self.cfg = dataclasses.replace(self._node(), seeds=seeds)
        made = platform_main.make_adapter(self.cfg)
        self.entry = entry.make_entry(self.cfg, made)
        await self.entry.start()

    async def join(
        self, data_centre: str = 'dc-1', *, store: str | None = None
    ) -> None:
        """Start one more entry, which takes the calls from now on.

        `store` is the address of its store, if it is another one.
        """
        seeds = (self.cfg.listen.peers,)
        self._others.append(typing.cast(entry.Entry, self.entry))
        cfg = self._node()
        self.cfg = dataclasses.replace(
            cfg,
            name=f'entry-{len(self._others) + 1}',
            data_centre=data_centre,
            region=cfg.regions[data_centre],
            store=store or cfg.store,
            seeds=seeds,
        )
        made = platform_main.make_adapter(self.cfg)
        self.entry = entry.make_entry(self.cfg, made)
        await self.entry.start()

    def _node(self) -> node.Node:
        cfg = _node(self.store.address)
        bounds = dataclasses.replace(
            cfg.bounds, version_s=self.version_s, grace_s=self.grace_s
        )
        return dataclasses.replace(cfg, bounds=bounds)

    async def stop(self) -> None:
        """Stop everything."""
        for other in self._others:
            await other.stop()
        if self.entry is not None:
            await self.entry.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    async def lose(self, lost: entry.Entry) -> None:
        """End an entry without a word to the others."""
        await lost.kernel.stop()
        await lost.mesh.stop()

    @property
    def entries(self) -> list[entry.Entry]:
        """Return every entry, the one that takes the calls last."""
        return [*self._others, typing.cast(entry.Entry, self.entry)]

    def known_servers(self) -> set[str]:
        """Return the ids of the servers that may get calls."""
        table = typing.cast(entry.Entry, self.entry).backends
        return {backend.server_id for backend in table.list_servers('engines')}

    async def until(self, check: Callable[[], object]) -> None:
        """Wait until a check holds."""
        for _ in range(1000):
            if check():
                return
            await asyncio.sleep(0.01)
        raise AssertionError('the state was not reached')

    async def call(
        self,
        path: str,
        *,
        body: bytes = b'{}',
        deadline_ms: int = 4000,
        key: str = KEY,
        headers: dict[str, str] | None = None,
    ) -> Got:
        """Make a call on a new connection, and return its answer."""
        reader, writer = await self.open(path, body, deadline_ms, key, headers)
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def open(
        self,
        path: str,
        body: bytes = b'{}',
        deadline_ms: int = 4000,
        key: str = KEY,
        headers: dict[str, str] | None = None,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a call on a new connection, and return the connection."""
        self._calls += 1
        lines = [
            f'POST {path} HTTP/1.1',
            'Host: shop.example',
            f'X-Attempt-Id: {self._calls:016x}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {key}',
            f'Content-Length: {len(body)}',
        ]
        lines.extend(f'{name}: {text}' for name, text in (headers or {}).items())
        return await self.send('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    async def send(
        self, sent: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send bytes on a new connection, and return the connection."""
        host, _, port = str(self.cfg.listen.callers).rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        await writer.drain()
        return reader, writer


async def read_answer(reader: asyncio.StreamReader) -> Got:
    """Read one answer to its end, or to where it breaks off."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    headers = {}
    for line in head[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    status = int(head[0].split()[1])
    length = headers.get('content-length')
    if length is not None:
        body = await reader.readexactly(int(length))
        return Got(status, headers, body, whole=True)
    parts = []
    try:
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return Got(status, headers, b''.join(parts), whole=True)
            parts.append(part[:-2])
    except (asyncio.IncompleteReadError, ConnectionError):
        return Got(status, headers, b''.join(parts), whole=False)


def _node(store: str) -> node.Node:
    bounds = node.Bounds(
        drain_s=2,
        grace_s=1.5,
        configuration_s=2,
        retry_ratio=0.2,
        retry_window_s=10,
        retry_extra=100,
        version_s=8.0,
        directory_ttl_s=5,
        contact_s=CONTACT_S,
    )
    listen = node.Listen(
        callers=ports.free_address(),
        ready=ports.free_address(),
        directory=ports.free_address(),
        peers=ports.free_address(),
        metrics=ports.free_address(),
    )
    return node.Node(
        name='entry-1',
        role='entry',
        address='127.0.0.1',
        data_centre='dc-1',
        region='region-1',
        regions={'dc-1': 'region-1', 'dc-2': 'region-2'},
        listen=listen,
        seeds=(),
        store=store,
        server=None,
        service='',
        link_bytes_per_s=1e6,
        bounds=bounds,
    )
