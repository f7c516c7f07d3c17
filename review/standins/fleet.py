"""The system's own programs as processes, with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from standins import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
STOP_S = 10.0
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
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetExtra': 106,
    'recoveryS': 12,
    'version_ms': 8000,
    'ttl_max_s': 5,
}


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Start an empty record."""
        self._file = path.open('w')
        self._began_at = time.monotonic()

    def log(self, what: str, **fields: object) -> None:
        """Write a line, with the seconds since the start."""
        pairs = ' '.join(f'{name}={text}' for name, text in fields.items())
        passed_s = time.monotonic() - self._began_at
        self._file.write(f'{passed_s:8.3f} {what} {pairs}\n')
        self._file.flush()


class Process:
    """One process of the system, started as the deploy file says."""

    def __init__(self, role: str, settings: dict[str, typing.Any]) -> None:
        """Describe a process of a role."""
        self.settings = settings
        self._command = DEPLOY['roles'][role]['run'].split()
        self._folder = tempfile.TemporaryDirectory()
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with its settings in a file."""
        folder = pathlib.Path(self._folder.name)
        path = folder / 'settings.yaml'
        path.write_text(json.dumps(self.settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': self._folder.name,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PRIMROSESADDLE_NODE_FILE': str(path),
        }
        command = [sys.executable, *self._command[1:]]
        with (folder / 'log').open('ab') as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def read_log(self) -> str:
        """Return what the process has logged."""
        return (pathlib.Path(self._folder.name) / 'log').read_text()

    @property
    def memory_bytes(self) -> int:
        """The resident memory, 0 for a process that is not running."""
        if self._process is None:
            return 0
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        fields = dict(line.partition(':')[::2] for line in status.splitlines())
        return int(fields.get('VmRSS', '0').split()[0]) * 1024

    def kill(self) -> None:
        """Kill the process, and keep its files for another start."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(STOP_S)
            self._process = None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process, and remove its files."""
        self.kill()
        self._folder.cleanup()

    @property
    def front(self) -> str:
        """The address for callers."""
        return str(self.settings['listen']['front'])

    async def until_ready(self, wait_s: float = 20.0) -> None:
        """Wait until the readiness check passes; raises `TimeoutError`."""
        deadline = time.monotonic() + wait_s
        while not await self._is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError('the entry is not ready')
            await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        host, port = http.split(self.settings['listen']['ready'])
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return False
        try:
            writer.write(f'GET {http.BASE}/ready HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            line, _ = await http.read_head(reader)
        except http.CLOSED:
            return False
        finally:
            writer.close()
        return ' 200 ' in line


def make_entry(name: str, store: str, seeds: list[str]) -> Process:
    """Return an entry; the first of `seeds` without a process is its own address."""
    listen = {
        key: http.free_address() for key in ('front', 'ready', 'control', 'directory')
    }
    settings = _make_settings(name, 'edge', store, seeds)
    settings['listen'] = listen
    return Process('entry', settings)


def make_agent(
    name: str, store: str, seeds: list[str], app: str, service: str
) -> Process:
    """Return the agent beside the model server at `app`."""
    settings = _make_settings(name, 'side', store, seeds)
    settings.update(listen={}, app=app, service=service)
    return Process('agent', settings)


def _make_settings(
    name: str, machine_class: str, store: str, seeds: list[str]
) -> dict[str, typing.Any]:
    peers, metrics = (http.split(http.free_address())[1] for _ in range(2))
    return {
        'nodeName': name,
        'role': name,
        'machineClass': machine_class,
        'ip': '127.0.0.1',
        'zone': 'zone-a',
        'region': 'region-a',
        'zones': {'zone-a': 'region-a'},
        'portRange': [peers, metrics],
        'seeds': seeds,
        'bootstrap': True,
        'limits': {'memoryMb': 430, 'maxFds': 6150, 'linkMbps': 3.8},
        'bounds': BOUNDS,
        'provider': {'address': store, 'form': 'read'},
    }
