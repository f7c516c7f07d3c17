"""A plain server, which registers itself, and runs requests in this process."""

import asyncio
import contextlib
import dataclasses
import time

import http1
import store as stores

__all__ = ('HEARTBEAT_S', 'LAPSE_S', 'Run', 'Server', 'make_entry')

HEARTBEAT_S = 1.2  # as the settings state it
LAPSE_S = 3.6  # three heartbeats of silence


def make_entry(service: str, address: str, **changes: object) -> dict[str, object]:
    """Return the entry of a server in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'dc-1',
        'version': 'v1',
        'slots': 16,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': int(time.time() * 1000),
        **changes,
    }


@dataclasses.dataclass
class Run:
    """A request that a server began to work on, in one of its boots."""

    at: float
    call_id: str
    boot: int
    outcome: str = 'running'


class Server:
    """A server at an address; `arrivals` holds when which requests came."""

    def __init__(
        self, store: stores.Store, name: str, service: str, address: str
    ) -> None:
        """Create a server that is not running; its id is the name."""
        self.record = store.record
        self.name = name
        self.slots = 16
        self.zone = 'dc-1'
        self.work_s = 0.02
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.boot = 0
        self._store = store
        self._service = service
        self._address = address
        self._born = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start a new boot under the same id, and register it."""
        self.boot += 1
        self._born = int(time.time() * 1000)
        host, _, port = self._address.rpartition(':')
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._tasks = [asyncio.create_task(self._beat())]
        self.record.write(f'server {self.name} starts, boot {self.boot}')

    def crash(self) -> None:
        """End at once; the entry lapses unless a new boot registers before."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for run in self.runs:
            if run.outcome == 'running':
                run.outcome = 'cut off'
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_S, self._lapse, self.boot)
        self.record.write(f'server {self.name} crashes')

    async def work(
        self, request: http1.Message, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        """Run a request, and answer it; cases replace this."""
        await asyncio.sleep(self.work_s)
        run.outcome = 'answered'
        await self.answer(writer, run.call_id, 200, f'ran {run.call_id}'.encode())

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        call_id: str,
        status: int,
        body: bytes,
    ) -> None:
        """Send an answer with the seal of this server."""
        seal = f'X-Response-Seal: seal.{self.name}.{self.boot}.{call_id}'
        await self._send(writer, call_id, status, body, seal)

    def _lapse(self, boot: int) -> None:
        if boot == self.boot:
            self._store.remove(f'servers/{self.name}')

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = make_entry(
                self._service,
                self._address,
                zone=self.zone,
                slots=self.slots,
                sequence=sequence,
                born=self._born,
            )
            self._store.put(f'servers/{self.name}', entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*http1.BROKEN_OFF), contextlib.closing(writer):
            while True:
                await self._take(await http1.read_request(reader), writer)
        self._writers.discard(writer)

    async def _take(self, request: http1.Message, writer: asyncio.StreamWriter) -> None:
        """Run a request, or turn it away, which is said in the answer."""
        call_id = request.call_id
        if request.headers.get('x-expect-instance', self.name) != self.name:
            await self._send(writer, call_id, 421, b'', 'X-Not-Executed: 1')
            return
        self.arrivals.append((self.record.now(), call_id))
        if sum(run.outcome == 'running' for run in self.runs) >= self.slots:
            await self._send(writer, call_id, 503, b'', 'X-Not-Executed: 1')
            return
        run = Run(self.record.now(), call_id, self.boot)
        self.runs.append(run)
        self.record.write(f'server {self.name} runs {call_id}')
        await self.work(request, writer, run)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        call_id: str,
        status: int,
        body: bytes,
        *further: str,
    ) -> None:
        running = sum(run.outcome == 'running' for run in self.runs)
        lines = [
            f'HTTP/1.1 {status} Status',
            f'X-Attempt-Id: {call_id}',
            f'X-Server-Load: {running},0,{self.slots}',
            *further,
            f'Content-Length: {len(body)}',
        ]
        writer.write(http1.format_head(lines) + body)
        await writer.drain()
