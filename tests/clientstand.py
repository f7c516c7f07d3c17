"""An entry or agent as a real process, and callers that keep no rules."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import typing
from collections.abc import AsyncIterator

from demo import ports

import platformstand

ROOT = pathlib.Path(__file__).resolve().parents[1]
MEMORY_MB = 120
MAX_FDS = 260  # of which 200 are reserved for files
MAX_BODY_BYTES = 2_000_000
MAX_HEADER_BYTES = 8192
CROWD = 40
SAMPLE_S = 0.02
FAILED = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
FAILED_OR_LATE = (*FAILED, TimeoutError)
CONFIGURATION = platformstand.configuration(
    limits={
        'maxHeaderBytes': MAX_HEADER_BYTES,
        'maxBodyBytes': MAX_BODY_BYTES,
        'headerTimeoutMs': 1000,
        'idleTimeoutMs': 4000,
    }
)
Opened = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclasses.dataclass
class Process:
    """One process of the system; its peaks include unread bytes in the kernel."""

    settings: dict[str, typing.Any]
    child: 'subprocess.Popen[bytes]'
    log: pathlib.Path
    peak_kernel_bytes: int = 0
    peak_bytes: int = 0
    peak_fds: int = 0

    @property
    def is_alive(self) -> bool:
        return self.child.poll() is None

    def address(self, name: str) -> str:
        """Return the address of a listener, `metrics` among them."""
        if name == 'metrics':
            return f'127.0.0.1:{self.settings["portRange"][1]}'
        return str(self.settings['listen'][name])

    def sample(self) -> None:
        """Update the peaks."""
        if not self.is_alive:
            return
        status = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        fields = dict(line.partition(':')[::2] for line in status.splitlines())
        kernel_bytes = self._count_unread()
        resident = int(fields.get('VmRSS', '0').split()[0]) * 1024
        highest = int(fields.get('VmHWM', '0').split()[0]) * 1024
        self.peak_kernel_bytes = max(self.peak_kernel_bytes, kernel_bytes)
        self.peak_bytes = max(self.peak_bytes, highest, resident + kernel_bytes)
        fds = len(os.listdir(f'/proc/{self.child.pid}/fd'))
        self.peak_fds = max(self.peak_fds, fds)

    def _count_unread(self) -> int:
        listening = {
            int(address.rpartition(':')[2])
            for address in (*self.settings['listen'].values(), self.address('metrics'))
        }
        unread = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            # A listening socket (state 0A) counts connections there, not bytes.
            if fields[3] != '0A' and int(fields[1][-4:], 16) in listening:
                unread += int(fields[4].partition(':')[2], 16)
        return unread

    async def watch(self) -> None:
        """Update the peaks until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)


class Site:
    """A store, a server and a process with low limits, and a crowd of callers."""

    def __init__(self, process: Process, store: platformstand.Store) -> None:
        self.process = process
        self.store = store
        self._opened: list[Opened] = []
        self._calls = 0

    def make_head(
        self,
        framing: str,
        path: str = '/read/a',
        key: str = platformstand.KEY,
        extra: tuple[str, ...] = (),
    ) -> bytes:
        """Return the head of a request with a body framed by a header line."""
        self._calls += 1
        lines = [
            f'POST {path} HTTP/1.1',
            'Host: shop.example',
            f'X-Attempt-Id: {self._calls:016x}',
            'X-Deadline-Ms: 4000',
            f'Authorization: Bearer {key}',
            framing,
            *extra,
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'

    async def gather_crowd(
        self, name: str, sent: bytes, parts: int = 1, count: int = CROWD
    ) -> list[Opened]:
        """Open connections that send the same bytes at once, and stay open.

        The bytes are sent in a number of parts. A process that does not read, or that
        closes, is no fault of the connection's own.
        """
        found = await asyncio.gather(
            *(self._send(name, sent, parts) for _ in range(count))
        )
        await asyncio.sleep(1.0)  # for the last bytes to reach the process
        return [each for each in found if each is not None]

    async def _send(self, name: str, sent: bytes, parts: int) -> Opened | None:
        host, _, port = self.process.address(name).rpartition(':')
        try:
            opened = await asyncio.open_connection(host, int(port))
        except OSError:
            return None
        self._opened.append(opened)
        step = max(1, len(sent) // parts)
        with contextlib.suppress(*FAILED_OR_LATE):
            async with asyncio.timeout(10):
                for start in range(0, len(sent), step):
                    opened[1].write(sent[start : start + step])
                    await opened[1].drain()
        return opened

    async def call(self, body: bytes = b'{}') -> int:
        """Make one ordinary call, as often as refusals tell it to, and return status.

        Returns 0 if it got no answer.
        """
        status = 0
        for _ in range(8):
            with contextlib.suppress(*FAILED_OR_LATE):
                async with asyncio.timeout(8):
                    status, wait_s = await self._call_once(body)
                if status != 503:
                    return status
                await asyncio.sleep(wait_s)
        return status

    async def _call_once(self, body: bytes) -> tuple[int, float]:
        host, _, port = self.process.address('front').rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(self.make_head(f'Content-Length: {len(body)}') + body)
            got = await platformstand.read_answer(reader)
        finally:
            writer.close()
        return got.status, float(got.headers.get('retry-after', '0.5'))

    async def get(self, name: str, path: str) -> int:
        """Make one ordinary request at another listener; return status, 0 if none."""
        host, _, port = self.process.address(name).rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        try:
            async with asyncio.timeout(8):
                writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
                return (await platformstand.read_answer(reader)).status
        except FAILED_OR_LATE:
            return 0
        finally:
            writer.close()

    def disperse(self) -> None:
        """Close the connections of the crowd."""
        for _, writer in self._opened:
            writer.transport.abort()
        self._opened.clear()


@contextlib.asynccontextmanager
async def run_site(
    folder: pathlib.Path, role: str = 'edge', *, memory_mb: int = MEMORY_MB
) -> AsyncIterator[Site]:
    """Run a process of a role before a stand-in store and server."""
    store = platformstand.Store()
    server = platformstand.Server('a')
    store.start()
    await server.start()
    store.put('op/config', CONFIGURATION)
    store.put(f'servers/i-{server.name}', server.record())
    settings = _make_settings(role, store.address, memory_mb)
    if role == 'side':
        settings['app'] = server.address
    process = _start(folder, settings)
    site = Site(process, store)
    watching = asyncio.create_task(process.watch())
    try:
        await _await_service(site, role)
        yield site
    finally:
        watching.cancel()
        await _end(site, server)


async def _end(site: Site, server: platformstand.Server) -> None:
    site.disperse()
    site.process.child.kill()
    site.process.child.wait()
    await server.stop()
    await site.store.stop()


async def _await_service(site: Site, role: str) -> None:
    for _ in range(200):
        if role == 'side':
            status = await site.get('metrics', '/metrics')
        else:
            status = await site.get('ready', '/primrosesaddle/ready')
        if status == 200:
            break
        await asyncio.sleep(0.05)
    else:
        raise TimeoutError('the process is not ready')
    if role == 'edge':
        assert await site.call() == 200


def _start(folder: pathlib.Path, settings: dict[str, typing.Any]) -> Process:
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings))
    environment = {
        **os.environ,
        'PYTHONPATH': str(ROOT / 'src'),
        'PRIMROSESADDLE_NODE_FILE': str(path),
    }
    with (folder / 'log').open('ab') as log:
        child = subprocess.Popen(
            [sys.executable, '-m', 'primrosesaddle.platform'],
            env=environment,
            stdout=log,
            stderr=log,
        )
    return Process(settings, child, folder / 'log')


def _make_settings(role: str, store: str, memory_mb: int) -> dict[str, typing.Any]:
    names = () if role == 'side' else ('front', 'ready', 'control', 'directory')
    listen = {name: ports.free_address() for name in names}
    own = [int(ports.free_address().rpartition(':')[2]) for _ in range(2)]
    return {
        'nodeName': f'{role}-1',
        'machineClass': role,
        'ip': '127.0.0.1',
        'zone': 'dc-1',
        'region': 'region-1',
        'zones': {'dc-1': 'region-1'},
        'portRange': own,
        'listen': listen,
        'seeds': [listen['control']] if listen else [],
        'limits': {'memoryMb': memory_mb, 'maxFds': MAX_FDS, 'linkMbps': 8},
        'provider': {'address': store},
        'service': 'engines' if role == 'side' else None,
    }
