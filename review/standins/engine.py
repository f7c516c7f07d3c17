"""A model server: staging store, orders, reports and streams."""

import asyncio
import dataclasses
import json
import time
import typing
from collections.abc import Callable

from standins import http, weights

SLOTS = 16
WARM_S = 0.3
SIZE_MB = 297000
EVENTS = 12
EVENT_S = 0.02
SEAL = 'X-Response-Seal'


@dataclasses.dataclass
class Layer:
    """A loaded layer; `fault` says what was wrong with it when it was taken."""

    version: int
    fault: str


class Engine:
    """One model server."""

    def __init__(
        self, name: str, service: str, model: str, log: Callable[..., None]
    ) -> None:
        """Create a server that holds version 1 of a model, which is also staged."""
        self.name = name
        self.service = service
        self.model = model
        self.address = http.free_address()
        self.born = int(time.time() * 1000)
        self.staged = {
            index: weights.make_piece(model, 1, index)
            for index in range(weights.PIECES)
        }
        self.layers = {index: Layer(1, '') for index in range(weights.LAYERS)}
        self.faulty_streams = 0
        self.versions_begun: list[int] = []
        self.publish: Callable[[], None] = dict
        self.neighbours: dict[str, Engine] = {}  # by address
        self.log = log
        self._is_busy = False
        self._active = 0
        self._sequence = 0

    async def start(self) -> None:
        """Serve requests."""
        await http.serve(self._handle, self.address)

    @property
    def version(self) -> int:
        """The version of the layers, 0 without any."""
        return max((layer.version for layer in self.layers.values()), default=0)

    @property
    def is_whole(self) -> bool:
        """Whether all layers are held."""
        return len(self.layers) == weights.LAYERS

    def holds(self, first: int, end: int) -> bool:
        """Return whether the layers from `first` up to but not `end` are held."""
        return all(index in self.layers for index in range(first, end))

    def describe(self) -> dict[str, typing.Any]:
        """Return what record and report have in common."""
        held = {
            'from': min(self.layers, default=0),
            'to': max(self.layers, default=-1) + 1,
            'version': self.version,
        }
        model = {'name': self.model, 'version': self.version, 'adapters': []}
        return {
            'models': [model] if self.layers else [],
            'layers': held,
            'stage': 'colocated',
            'sequence': self._sequence,
            'born': self.born,
        }

    def record(self) -> dict[str, typing.Any]:
        """Return the entry in the platform's store."""
        return {
            **self.describe(),
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'coldRemainingMs': 0,
        }

    async def _handle(self, req: http.Request) -> None:
        if req.path == f'{http.BASE}/report':
            req.send_json(self._report())
        elif req.path.startswith(f'{http.BASE}/stage-'):
            self._stage(req, int(req.query['sampleCount']))
        elif req.path == f'{http.BASE}/order':
            await self._order(req)
        else:
            await self._generate(req)

    def _report(self) -> dict[str, typing.Any]:
        return {
            **self.describe(),
            'busy': self._is_busy,
            'queued': 0,
            'active': self._active,
            'kvUsed': 0,
            'kvTotal': 685000,
            'handles': 0,
            'pace': 1.0,
        }

    def _stage(self, req: http.Request, index: int) -> None:
        if req.method == 'PUT':
            self.staged[index] = req.body
            req.send(200)
        else:
            req.send(200, self.staged[index])

    async def _order(self, req: http.Request) -> None:
        order = json.loads(req.body)
        version = order['version']
        first, end = order.get('from', 0), order.get('to', weights.LAYERS)
        if self._is_busy or order['op'] != 'start':
            req.send(409)
            return
        kept = self.layers if version == self.version else {}
        missing = [index for index in range(first, end) if index not in kept]
        if not missing:
            req.send(200)
            return
        self._is_busy = True
        self._sequence += 1
        taken = {
            index: Layer(version, self._find_fault(version, index)) for index in missing
        }
        faults = [layer.fault for layer in taken.values() if layer.fault]
        self.log(
            'order',
            server=self.name,
            version=version,
            layers=f'{first}-{end}',
            faults=faults,
        )
        req.send(202)
        await req.writer.drain()
        asyncio.get_running_loop().create_task(self._load({**kept, **taken}))

    async def _load(self, layers: dict[int, Layer]) -> None:
        while self._active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S * len(layers) / weights.LAYERS)
        self.layers = layers
        self._is_busy = False
        self.log('loaded', server=self.name, version=self.version, layers=len(layers))
        self.publish()

    def _find_fault(self, version: int, layer: int) -> str:
        """Return what is wrong with the staged pieces of a layer, empty if nothing."""
        for index in weights.pieces_of(layer):
            staged = self.staged[index]
            if staged != weights.make_piece(self.model, version, index):
                is_old = staged == weights.make_piece(self.model, 1, index)
                return f'piece {index} is {"of version 1" if is_old else "spoilt"}'
        return ''

    async def _generate(self, req: http.Request) -> None:
        refusal = self._find_refusal(req.headers)
        if refusal is None:
            self._active += 1
            try:
                await self._stream(req)
            finally:
                self._active -= 1
        else:
            status, name, text = refusal
            req.send(status, headers=[(name, text)])

    def _find_refusal(self, headers: dict[str, str]) -> tuple[int, str, str] | None:
        """Return status and header of the answer to a request that is not run."""
        own_id = f'i-{self.name}'
        if headers.get('x-expect-instance') != own_id:
            return 421, 'X-Instance-Id', own_id
        if headers.get('x-expect-version', str(self.version)) != str(self.version):
            return 421, 'At-Server', self.address
        chain = headers.get('path', f'{self.address}=0-{weights.LAYERS}')
        absent = self._find_absent(chain)
        if absent:
            return 421, 'At-Server', absent
        if self._is_busy or self._active >= SLOTS:
            return 503, 'X-Not-Executed', '1'
        return None

    def _find_absent(self, chain: str) -> str:
        """Return a server of a chain that does not hold its layers, empty for none."""
        for stop in chain.split(','):
            address, _, span = stop.partition('=')
            first, _, end = span.partition('-')
            holder = self.neighbours.get(address, self)
            is_same = holder.version == self.version
            if not is_same or not holder.holds(int(first), int(end)):
                return address
        return ''

    async def _stream(self, req: http.Request) -> None:
        """Write the events of a stream, from the one that the request asks for on."""
        call_id = req.headers['x-attempt-id']
        faults = [layer.fault for layer in self.layers.values() if layer.fault]
        self.versions_begun.append(self.version)
        if faults:
            self.faulty_streams += 1
        self.log(
            'run', server=self.name, id=call_id, version=self.version, faults=faults
        )
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Attempt-Id: {call_id}\r\n{SEAL}: seal.{self.name}.{call_id}\r\n'
            f'X-Weight-Versions: {self.version}\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        req.writer.write(head.encode())
        await self.write_events(req, int(req.headers.get('last-event-id', '0')))
        req.writer.write(b'0\r\n\r\n')

    async def write_events(self, req: http.Request, begin: int) -> None:
        """Write the events of a stream after the one with the number `begin`."""
        for number in range(begin + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            send_chunk(req.writer, event(number))
            await req.writer.drain()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: word-{number}\n\n'.encode()


def send_chunk(writer: asyncio.StreamWriter, part: bytes) -> None:
    """Write one chunk of a body."""
    writer.write(f'{len(part):x}\r\n'.encode() + part + b'\r\n')
