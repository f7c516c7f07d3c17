"""The processes under test, started by the command of the deploy file."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile

import http1
import plainserver
import store as stores

__all__ = ('CannotRun', 'Fleet', 'Process')

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTACT_S = 3.2  # contactMs, and a little
READY_TIMEOUT_S = 20.0
FIRST_PORT, LAST_PORT = 20000, 31000
BOUNDS = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'contactMs': 3000,
    'ackTimeoutMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtra': 106,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'version_ms': 8000,
    'version_all_ms': 0,
    'ttl_max_s': 5,
}


class CannotRun(Exception):
    """The case could not be run."""


class Process:
    """One process under test, and its settings as the platform fills them in."""

    def __init__(
        self, folder: pathlib.Path, record: stores.Record, settings: dict
    ) -> None:
        """Create a process that is not running."""
        self.name = settings['nodeName']
        self.settings = settings
        self.pid = 0
        self._folder = folder
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def callers(self) -> str:
        """The address for callers."""
        return str(self.settings['listen']['front'])

    def start(self) -> None:
        """Write the settings, and start the program of the deploy file."""
        path = self._folder / f'{self.name}.yaml'
        path.write_text(json.dumps(self.settings))
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PRIMROSESADDLE_NODE_FILE': str(path),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                ['python3', '-m', 'primrosesaddle.platform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.pid = self._process.pid
        self._record.write(f'process {self.name} starts')

    def kill(self) -> None:
        """Kill the process, unless it has ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
            self._record.write(f'process {self.name} is killed')

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_ready():
                    await asyncio.sleep(0.1)
                return
        raise CannotRun(f'{self.name} is not ready after {READY_TIMEOUT_S} s')

    async def _is_ready(self) -> bool:
        address = str(self.settings['listen']['ready'])
        line = 'GET /primrosesaddle/ready'
        with contextlib.suppress(*http1.BROKEN_OFF):
            answer = await http1.call(address, line, [f'Host: {address}'])
            return answer.status == 200
        return False


class Fleet:
    """A store, servers and entries on loopback addresses that no other run uses."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create a fleet without processes, whose record is in a folder."""
        self.record = stores.Record(folder / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = {'dc-1': 'region-1', 'dc-2': 'region-2'}
        self.entries: list[Process] = []
        self._network = f'127.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
        self._ports = itertools.count(random.randrange(FIRST_PORT, LAST_PORT))
        self._listen = {
            name: next(self._ports)
            for name in ('front', 'ready', 'control', 'directory')
        }
        self._port_range = [next(self._ports) for _ in range(16)]
        self._call_ids = itertools.count(1)
        self.store = stores.Store(self.record, self.make_address())

    def make_address(self) -> str:
        """Return an address for a stand-in."""
        return f'{self._network}.250:{next(self._ports)}'

    def make_server(
        self, kind: type[plainserver.Server], name: str, service: str
    ) -> plainserver.Server:
        """Return a server of a kind that is not running."""
        return kind(self.store, name, service, self.make_address())

    def new_id(self) -> str:
        """Return the id of a new attempt."""
        return f'{next(self._call_ids):016x}'

    async def start_entries(self, *zones: str, **limits: float) -> None:
        """Start an entry in each zone, and wait until all count as in touch."""
        for zone in zones:
            settings = self._make_settings(zone)
            settings['limits'].update(limits)
            self.entries.append(Process(self.folder, self.record, settings))
            self.entries[-1].start()
        for entry in self.entries:
            await entry.wait_ready()
        await asyncio.sleep(CONTACT_S)

    def close(self) -> None:
        """End the processes."""
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _make_settings(self, zone: str) -> dict:
        number = len(self.entries) + 1
        ip = f'{self._network}.{number}'
        control = self._listen['control']
        return {
            'nodeName': f'edge-{number}',
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'directory', 'control_plane'],
            'ip': ip,
            'zone': zone,
            'region': self.zones[zone],
            'zones': self.zones,
            'listen': {name: f'{ip}:{port}' for name, port in self._listen.items()},
            'portRange': [self._port_range[0], self._port_range[-1]],
            'seeds': [f'{self._network}.{other}:{control}' for other in (1, 2, 3)],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.8,
                'cores': 2,
                'memoryMb': 430,
                'maxFds': 6150,
                'linkMbps': 1500.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': int(plainserver.HEARTBEAT_S * 1000),
            'contracts': ['base', 'drain', 'config', 'retry', 'recover'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'provider': {'address': self.store.address, 'form': 'read'},
        }
