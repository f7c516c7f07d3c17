"""Start the demonstration fleet as processes on the loopback interface."""

import asyncio
import configparser
import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import typing

import zmq

from demo import layout, ports
from primrosesaddle.core import httpio

__all__ = ('Fleet', 'Running', 'main')

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0
LIST_POLL_S = 0.3
ENTRIES_TTL_S = 2
BUILD = pathlib.Path('build')
REGION_BYTES_PER_S = 1_375_000
MACHINE_BYTES_PER_S = 4_000_000
STORE_BYTES_PER_S = 2_000_000


@dataclasses.dataclass
class Running:
    """A started process; `http` is the URL of its admin or control interface."""

    name: str
    role: str
    proc: subprocess.Popen[bytes]
    http: str
    log: pathlib.Path
    node: layout.Node | None = None
    peers: str = ''
    callers: str = ''
    expected_dead: bool = False


class Fleet:
    """The processes of the fleet, and the URLs of the stand-ins."""

    def __init__(self, build: pathlib.Path = BUILD) -> None:
        """Prepare a fleet with its files in a folder."""
        self.build = build
        self.dir = build / 'fleet'
        self.processes: dict[str, Running] = {}
        self.manifests: dict[str, str] = {}
        self.document: dict[str, typing.Any] = {}
        self._listed_names: list[str] = []
        self._list_task: asyncio.Task[None] | None = None
        self.urls: dict[str, str] = {}

    async def start(self, nodes: list[layout.Node] | None = None) -> None:
        """Start the stand-ins, publish a catalogue, start the nodes, and wait for them.

        Raises `TimeoutError` when a process does not become ready.
        """
        self.dir.mkdir(parents=True, exist_ok=True)
        self._write_keys()
        nodes = nodes or layout.nodes()
        addresses = self._start_platform()
        for node in nodes:
            self._write_settings(node, addresses)
        for name in list(addresses):
            self._spawn_standin(name, addresses[name])
        await self._publish_first_versions()
        for node in nodes:
            self._spawn_node(node)
        await self._publish_list()
        await self.ready()
        self._list_task = asyncio.create_task(self._update_list())
        self._write_summary()

    async def ready(self) -> None:
        """Wait until every running process of the system is ready."""
        for running in self.system():
            if running.proc.poll() is None:
                await self._wait_for_http(running, '/readyz')

    def system(self, role: str = '') -> list[Running]:
        """Return the processes of the system, or only those of a role."""
        return [
            running
            for running in self.processes.values()
            if running.node is not None and (not role or running.node.role == role)
        ]

    async def put(self, name: str, path: str, payload: object) -> typing.Any:
        """Send a payload to a path of a stand-in, and return its answer."""
        return await httpio.fetch_json(f'{self.urls[name]}{path}', 'PUT', payload)

    async def read(self, name: str, path: str) -> typing.Any:
        """Return what a stand-in answers at a path."""
        return await httpio.fetch_json(f'{self.urls[name]}{path}')

    async def publish(self, document: dict[str, typing.Any]) -> int:
        """Publish a catalogue, and return its revision."""
        self.document = document
        answer = await self.put('conf', '/standin/catalogue', document)
        return typing.cast(int, answer['revision'])

    async def publish_version(self, name: str, version: str) -> int:
        """Publish the catalogue with another version of a model in force."""
        entries = [
            {**entry, 'version': version}
            if entry['name'] == name and 'version' in entry
            else entry
            for entry in self.document['entries']
        ]
        return await self.publish({'entries': entries})

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to one process of this fleet."""
        running = self.processes[name]
        running.expected_dead = number in {signal.SIGKILL, signal.SIGTERM}
        running.proc.send_signal(number)

    async def stop(self) -> dict[str, int]:
        """Stop the system gracefully, then the stand-ins; return exit statuses."""
        if self._list_task is not None:
            self._list_task.cancel()
        statuses = await self._stop_all(
            [running for running in self.system() if running.proc.poll() is None]
        )
        await self._stop_all(
            [running for running in self.processes.values() if running.node is None]
        )
        httpio.reset()
        return statuses

    async def _stop_all(self, processes: list[Running]) -> dict[str, int]:
        """Stop processes, kill those that do not end; return exit statuses by name."""
        for running in processes:
            if running.proc.poll() is None:
                running.proc.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for running in processes:
            while running.proc.poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if running.proc.poll() is None:
                running.proc.kill()
                running.proc.wait()
        return {running.name: running.proc.returncode for running in processes}

    def _start_platform(self) -> dict[str, str]:
        """Choose the addresses of the platform's stand-ins, and return them by name."""
        addresses = {
            name: ports.free_address()
            for name in ('conf', 'instances', 'store', 'origin', 'booking')
        }
        self.urls = {name: f'http://{addr}' for name, addr in addresses.items()}
        return addresses

    def _write_settings(self, node: layout.Node, addresses: dict[str, str]) -> None:
        """Choose the addresses of a node and its server, and write its settings."""
        peers = ports.free_address()
        admin = ports.free_address()
        ini = configparser.ConfigParser(interpolation=None)
        ini['process'] = {
            'role': node.role,
            'name': node.name,
            'region': node.region,
            'data_centre': node.data_centre,
        }
        ini['listen'] = {'peers': peers, 'admin': admin}
        ini['platform'] = {
            'catalogue': '{0}/v1/catalogue'.format(self.urls['conf']),
            'instances': '{0}/v1/instances'.format(self.urls['instances']),
            'store': self.urls['store'],
            'origin': self.urls['origin'],
            'store_region': layout.STORE_REGION,
        }
        ini['keys'] = {
            'curve_public': str(self.dir / 'curve.public'),
            'curve_secret': str(self.dir / 'curve.secret'),
        }
        ini['limits'] = {'entries_ttl_s': str(ENTRIES_TTL_S)}
        ini['transfer'] = {
            'region_bytes_per_s': str(REGION_BYTES_PER_S),
            'machine_bytes_per_s': str(MACHINE_BYTES_PER_S),
        }
        callers = ''
        if node.role == 'entry':
            callers = ports.free_address()
            ini['listen']['callers'] = callers
        else:
            server = ports.free_address()
            ini['server'] = {
                'kind': node.kind,
                'serves': node.serves,
                'url': f'http://{server}',
            }
            if node.kind == 'engine':
                addresses[f'engine-{node.name}'] = server
                self.urls[f'engine-{node.name}'] = f'http://{server}'
            else:
                addresses['booking'] += f',{server}'
        with (self.dir / f'{node.name}.ini').open('w', encoding='utf-8') as out:
            ini.write(out)
        self._node_addresses = getattr(self, '_node_addresses', {})
        self._node_addresses[node.name] = (peers, admin, callers)

    def _spawn_standin(self, name: str, listen: str) -> None:
        module, role, options = self._standin_options(name)
        http = listen.partition(',')[0]
        self._spawn(
            name,
            role,
            http,
            '-m',
            f'demo.standins.{module}',
            '--listen',
            listen,
            *options,
        )

    def _standin_options(self, name: str) -> tuple[str, str, list[str]]:
        """Return the module, the role and the further options of a stand-in."""
        if name.startswith('engine-'):
            planner = name.startswith('engine-plan')
            return 'engine', 'engine', ['--ignores-fencing', '1' if planner else '0']
        rate = ['--bytes-per-s', str(STORE_BYTES_PER_S)]
        return {
            'conf': ('conf', 'configuration', []),
            'instances': ('instancelist', 'instances', []),
            'store': ('weightstore', 'store', rate),
            'origin': ('weightstore', 'origin', rate),
            'booking': ('plainservice', 'plain', []),
        }[name]

    def _spawn_node(self, node: layout.Node) -> None:
        peers, admin, callers = self._node_addresses[node.name]
        running = self._spawn(
            node.name,
            node.role,
            admin,
            '-m',
            'primrosesaddle',
            '--settings',
            str(self.dir / f'{node.name}.ini'),
        )
        running.node = node
        running.peers = peers
        running.callers = callers

    def respawn(self, name: str) -> None:
        """Start a process of the system again, at the same addresses."""
        node = self.processes[name].node
        if node is not None:
            self._spawn_node(node)

    def _spawn(self, name: str, role: str, http: str, *args: str) -> Running:
        log = self.dir / f'{name}.log'
        with log.open('wb') as out:
            proc = subprocess.Popen(
                [sys.executable, *args],
                stdout=out,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        running = Running(name, role, proc, f'http://{http}', log)
        self.processes[name] = running
        return running

    async def _publish_first_versions(self) -> None:
        """Publish versions at the store and origin, and the first catalogue."""
        for running in list(self.processes.values()):
            await self._wait_for_http(running, '/standin/faults')
        sizes = {
            'assistant-v1': layout.VERSION_BYTES,
            'assistant-v2': layout.VERSION_BYTES,
            'assistant-v3': layout.VERSION_BYTES,
            'planner-v1': layout.ADAPTER_BYTES,
            'chemistry-v1': layout.ADAPTER_BYTES,
        }
        for name, size in sizes.items():
            request = {'name': name, 'size': size, 'chunk_bytes': layout.CHUNK_BYTES}
            for standin in ('store', 'origin'):
                answer = await self.put(standin, '/standin/versions', request)
            self.manifests[name] = answer['manifest']
        await self.publish(layout.catalogue(self.manifests, 'assistant-v1'))

    async def _wait_for_http(self, running: Running, path: str) -> None:
        """Wait until a path answers with status 200.

        Raises `RuntimeError` when the process has ended, `TimeoutError` if too late.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if running.proc.poll() is not None:
                raise RuntimeError(f'{running.name} ended, see {running.log}')
            with contextlib.suppress(httpio.HttpFailure):
                answer = await httpio.fetch(f'{running.http}{path}', timeout_s=2)
                if answer.code == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{running.name} is not ready, see {running.log}')

    async def _update_list(self) -> None:
        """Publish the instance list again when a process has started or ended."""
        while True:
            await asyncio.sleep(LIST_POLL_S)
            alive = [
                running.name for running in self.system() if running.proc.poll() is None
            ]
            if alive != self._listed_names:
                with contextlib.suppress(httpio.HttpFailure):
                    await self._publish_list()

    async def _publish_list(self) -> None:
        listed = []
        for running in self.system():
            if running.proc.poll() is not None or running.node is None:
                continue
            node = running.node
            listed.append(
                {
                    'name': node.name,
                    'role': node.role,
                    'address': running.peers,
                    'region': node.region,
                    'data_centre': node.data_centre,
                    'state': 'live',
                    'serves': node.serves,
                }
            )
        await self.put('instances', '/standin/instances', {'instances': listed})
        self._listed_names = [item['name'] for item in listed]

    def _write_keys(self) -> None:
        public, secret = zmq.curve_keypair()
        (self.dir / 'curve.public').write_bytes(public)
        (self.dir / 'curve.secret').write_bytes(secret)

    def _write_summary(self) -> None:
        listed = [
            {
                'name': running.name,
                'role': running.role,
                'pid': running.proc.pid,
                'http': running.http,
                'log': str(running.log),
            }
            for running in self.processes.values()
        ]
        summary = self.build / 'fleet.json'
        summary.write_text(json.dumps({'processes': listed}, indent=2))

    def ready_line(self) -> str:
        """Return the line with the addresses of the fleet."""
        entries = ','.join(running.callers for running in self.system('entry'))
        admin = ','.join(
            running.http.removeprefix('http://') for running in self.system()
        )
        token = layout.TOKENS['lab-quito']
        catalogue = '{0}/v1/catalogue'.format(self.urls['conf'])
        return (
            f'fleet ready entries={entries} admin={admin} token={token} '
            f'model={layout.MODEL} service={layout.SERVICE} catalogue={catalogue}'
        )


async def run_until_stopped() -> int:
    """Run a fleet until SIGTERM or SIGINT, and return the exit status."""
    fleet = Fleet()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        await fleet.start()
        sys.stdout.write(f'{fleet.ready_line()}\n')
        sys.stdout.flush()
        await stop.wait()
    finally:
        await fleet.stop()
    return 0


def main() -> None:
    """Run the fleet from the command line."""
    sys.exit(asyncio.run(run_until_stopped()))


if __name__ == '__main__':
    main()
