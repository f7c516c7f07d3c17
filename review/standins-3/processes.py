"""The project's own processes, started with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import tomllib
import typing

import addresses

__all__ = ('Machine', 'make_entry', 'make_agent')

ROOT = pathlib.Path(__file__).resolve().parents[2]
PASSED_VARIABLES = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
START_TIMEOUT_S = 15
# As the platform's pages give them for a small deployment.
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
ZONES = {'quito-a': 'sierra-norte', 'cuenca-a': 'austro', 'guayaquil-a': 'costa'}
ENTRY_ZONES = ('quito-a', 'cuenca-a', 'guayaquil-a', 'quito-a')

Settings = dict[str, typing.Any]


class Machine:
    """A machine of the system, with its settings and its one process."""

    def __init__(self, role: str, settings: Settings, folder: pathlib.Path) -> None:
        """Create a machine of a role of the deploy file, with its files in a folder."""
        self.settings = settings
        self.name = settings['nodeName']
        self.starts = 0
        self._role = role
        self._path = folder / f'{self.name}.settings'
        self._log = folder / f'{self.name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return str(self.settings['listen']['front'])

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._process.pid if self._process else 0

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Write the settings, and start the process."""
        self.starts += 1
        role = _read_role(self._role)
        template = (ROOT / role['template']).read_text()
        text = template.replace('{{.|json}}', json.dumps(self.settings))
        self._path.write_text(text)
        environ = {
            name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
        }
        environ['PRIMROSESADDLE_NODE_FILE'] = str(self._path)
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process, also while it is stopped."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors='replace') if self._log.exists() else ''

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f'/proc/{self.pid}/status').open():
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def wait_ready(self) -> None:
        """Wait until the platform's check of an entry is answered with 200."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _is_ready(self.settings['listen']['ready']):
                await asyncio.sleep(0.05)


def make_entry(
    number: int,
    store: str,
    folder: pathlib.Path,
    seeds: typing.Sequence[str],
    **changes: typing.Any,
) -> Machine:
    """Return the machine of an entry; the seed of its number is its own address."""
    names = ('front', 'ready', 'control', 'directory')
    listen = {name: addresses.free_address() for name in names}
    if number < len(seeds):
        listen['control'] = seeds[number]
    zone = ENTRY_ZONES[number % len(ENTRY_ZONES)]
    settings = {
        **_make_common(f'edge-{zone}-{number}', store, zone, seeds),
        'role': 'entry',
        'machineClass': 'edge',
        'serves': ['edge', 'control_plane', 'directory'],
        'listen': listen,
        'limits': {
            'cpuShare': 0.817,
            'cores': 2,
            'memoryMb': 430,
            'maxFds': 6150,
            'linkMbps': 1500.0,
            'diskMb': 0,
        },
        **changes,
    }
    return Machine('entry', settings, folder)


def make_agent(
    number: int,
    store: str,
    folder: pathlib.Path,
    seeds: typing.Sequence[str],
    **changes: typing.Any,
) -> Machine:
    """Return the machine of an agent; `changes` have to name `app` and `service`."""
    zone = list(ZONES)[number % len(ZONES)]
    settings = {
        **_make_common(f'side-{zone}-{number}', store, zone, seeds),
        'role': 'agent',
        'machineClass': 'side',
        'serves': ['side'],
        'listen': {},
        'limits': {
            'cpuShare': 0.645,
            'cores': 2,
            'memoryMb': 168,
            'maxFds': 1124,
            'linkMbps': 3.8,
            'diskMb': 0,
        },
        **changes,
    }
    return Machine('agent', settings, folder)


def _make_common(
    name: str, store: str, zone: str, seeds: typing.Sequence[str]
) -> Settings:
    return {
        'nodeName': name,
        'ip': addresses.HOST,
        'zone': zone,
        'region': ZONES[zone],
        'zones': ZONES,
        'portRange': addresses.free_ports(2),
        'seeds': list(seeds),
        'bootstrap': True,
        'inTolerance': False,
        'dataDir': None,
        'discovery': 'platform',
        'entry': 'directory',
        'heartbeatMs': 1200,
        'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine'],
        'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
        'bounds': BOUNDS,
        'provider': {'address': store, 'form': 'read', 'readsPerS': 2000},
    }


def _read_role(name: str) -> dict[str, typing.Any]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return dict(deploy['roles'][name])


async def _is_ready(address: str) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*addresses.split(address))
    except OSError:
        return False
    writer.write(b'GET /primrosesaddle/ready HTTP/1.1\r\nHost: x\r\n\r\n')
    try:
        line = await asyncio.wait_for(reader.readline(), 1)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
    return b' 200 ' in line
