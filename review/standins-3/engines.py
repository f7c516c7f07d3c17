"""Stand-ins of a model server and of the origin of weights."""

import asyncio
import dataclasses
import hashlib
import itertools
import json
import time
import typing
from collections.abc import Awaitable, Callable

import httpwire

__all__ = ('Engine', 'Loaded', 'Origin', 'make_piece')

MODEL = 'm0'
LAYERS = 16
PIECES = 64
PIECE_BYTES = 32768
WARM_S = 0.3
TOKENS_AT_ONCE = 6
EVENTS = 12
EVENT_S = 0.05
ROTTEN_EXCUSED_S = 3.0  # a piece that turned bad later than this before is no fault
BASE = '/primrosesaddle'
_BIRTHS = itertools.count(int(time.time() * 1000))


def make_piece(version: int, index: int) -> bytes:
    """Return a piece of a version as the origin publishes it."""
    seed = hashlib.sha256(f'{MODEL}:{version}:{index}'.encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


def make_service(name: str) -> dict[str, typing.Any]:
    """Return the service of engines as the configuration states it."""
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConnections': 434,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 16,
            'step_ms': 7.4,
            'per_seq_ms': 0.04,
            'read_per_s': 31900,
            'stride': TOKENS_AT_ONCE,
            'usual': {'prompt': 900, 'answer': 100},
            'models': [{'name': MODEL, 'warm_s': WARM_S}],
            'layers': LAYERS,
            'chunks': PIECES,
            'chunkBytes': PIECE_BYTES,
        },
    }


class Origin:
    """The origin of weights: digests and pieces of every version."""

    def __init__(self) -> None:
        """Create an origin, which listens once it is started."""
        self.http = httpwire.HttpServer(self._handle)

    def make_service(self) -> dict[str, typing.Any]:
        """Return the service as the configuration states it."""
        return {
            'name': 'weights',
            'origin': self.http.address,
            'zone': 'quito-a',
            'linkMbps': 9.9,
            'maxConnections': 48,
        }

    async def _handle(self, request: httpwire.Request) -> None:
        version = int(request.query.get('version', '1'))
        if request.path == f'{BASE}/manifest/{MODEL}':
            digests = [
                hashlib.sha256(make_piece(version, index)).hexdigest()
                for index in range(PIECES)
            ]
            await httpwire.send_json(
                request,
                {
                    'model': MODEL,
                    'version': version,
                    'chunkBytes': PIECE_BYTES,
                    'layers': LAYERS,
                    'digests': digests,
                },
            )
            return
        index = int(request.query['sampleCount'])
        await httpwire.send(request, 200, make_piece(version, index))


@dataclasses.dataclass(frozen=True)
class Loaded:
    """Layers that the engine took from its staging store.

    `spoilt` maps the indexes of pieces that were not those of the version to how long
    they had been so, in seconds, infinite for one that never was right.
    """

    version: int
    first: int
    end: int
    at: float
    spoilt: dict[int, float]

    @property
    def faults(self) -> dict[int, float]:
        """Return the spoilt pieces that the rules do not excuse."""
        return {
            index: age_s
            for index, age_s in self.spoilt.items()
            if age_s > ROTTEN_EXCUSED_S
        }


async def _do_nothing(index: int) -> None:
    """Do nothing: the default hook of a piece that is read back."""


class Engine:
    """A model server. `loads` holds what it loaded, `runs` what it ran on that.

    `on_read_back` is awaited with the index of each staged piece that is read.
    """

    def __init__(self, name: str, service: str) -> None:
        """Create an engine that holds all layers of version 1."""
        self.name = name
        self.on_read_back: Callable[[int], Awaitable[None]] = _do_nothing
        self.loads = [Loaded(1, 0, LAYERS, time.monotonic(), {})]
        self.runs: list[tuple[str, Loaded]] = []
        self.staged = {index: make_piece(1, index) for index in range(PIECES)}
        self.http = httpwire.HttpServer(self._handle)
        self._service = service
        self._rotten_at: dict[int, float] = {}
        self._born = next(_BIRTHS)
        self._sequence = 0
        self._busy_until = 0.0

    def rot(self, indexes: typing.Iterable[int]) -> None:
        """Spoil staged pieces."""
        for index in indexes:
            body = self.staged[index]
            self.staged[index] = bytes([body[0] ^ 1]) + body[1:]
            self._rotten_at[index] = time.monotonic()

    def make_record(self) -> dict[str, typing.Any]:
        """Return the record that the engine publishes."""
        return {
            'service': self._service,
            'address': self.http.address,
            'zone': 'quito-a',
            'version': 'r1',
            'slots': 16,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._born,
            **self._describe_layers(),
        }

    def _describe_layers(self) -> dict[str, typing.Any]:
        held = self.loads[-1]
        return {
            'models': [{'name': MODEL, 'version': held.version, 'adapters': []}],
            'layers': {'from': held.first, 'to': held.end, 'version': held.version},
        }

    async def _handle(self, request: httpwire.Request) -> None:
        calls = {
            'report': self._send_report,
            'stage-put': self._put_staged,
            'stage-get': self._send_staged,
            'order': self._take_order,
        }
        _, base, name, *_ = f'{request.path}//'.split('/')
        if f'/{base}' == BASE:
            await calls[name](request)
        elif base == 'healthz':
            await httpwire.send(request, 200, b'', {'X-Instance-Id': self.name})
        else:
            await self._run(request)

    async def _put_staged(self, request: httpwire.Request) -> None:
        index = int(request.query['sampleCount'])
        self.staged[index] = request.body
        self._rotten_at.pop(index, None)
        await httpwire.send(request, 200, b'')

    async def _send_report(self, request: httpwire.Request) -> None:
        await httpwire.send_json(
            request,
            {
                'stage': 'colocated',
                **self._describe_layers(),
                'busy': time.monotonic() < self._busy_until,
                'sequence': self._sequence,
                'queued': 0,
                'active': 0,
                'kvUsed': 0,
                'kvTotal': 685000 * LAYERS,
                'handles': 0,
                'pace': 1.0,
                'born': self._born,
            },
        )

    async def _send_staged(self, request: httpwire.Request) -> None:
        index = int(request.query['sampleCount'])
        body = self.staged[index]
        await self.on_read_back(index)
        await httpwire.send(request, 200, body)

    async def _take_order(self, request: httpwire.Request) -> None:
        order = json.loads(request.body)
        version = order['version']
        first, end = order.get('from', 0), order.get('to', LAYERS)
        held = self.loads[-1]
        if (held.version, held.first, held.end) == (version, first, end):
            await httpwire.send_json(request, {}, 200)
            return
        self._sequence += 1
        now = time.monotonic()
        self._busy_until = now + WARM_S
        taken = Loaded(version, first, end, now, self._find_spoilt(version, first, end))
        loop = asyncio.get_running_loop()
        loop.call_later(WARM_S, self.loads.append, taken)
        await httpwire.send_json(request, {}, 202)

    def _find_spoilt(self, version: int, first: int, end: int) -> dict[int, float]:
        begin = first * PIECES // LAYERS
        needed = range(begin, -(-end * PIECES // LAYERS))
        now = time.monotonic()
        return {
            index: now - self._rotten_at.get(index, -float('inf'))
            for index in needed
            if self.staged.get(index) != make_piece(version, index)
        }

    async def _run(self, request: httpwire.Request) -> None:
        held = self.loads[-1]
        expected = request.headers.get('x-expect-version', str(held.version))
        is_me = request.headers.get('x-expect-instance', self.name) == self.name
        if not is_me or expected != str(held.version):
            headers = {'X-Attempt-Id': request.attempt_id}
            await httpwire.send(request, 421, b'', headers)
            return
        self.runs.append((request.attempt_id, held))
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            f'X-Attempt-Id: {request.attempt_id}',
            f'X-Response-Seal: seal.{request.attempt_id}',
            f'X-Weight-Versions: {held.version}',
            'Transfer-Encoding: chunked',
        ]
        request.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        begin = int(request.headers.get('last-event-id', '0'))
        for number in range(begin + 1, EVENTS + 1):
            event = f'id: {number}\ndata: words-{number}\n\n'.encode()
            request.writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await request.writer.drain()
            await asyncio.sleep(EVENT_S)
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()
