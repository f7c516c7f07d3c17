"""A swarm spread over several processes, so that no core bounds what is measured."""

import asyncio
import dataclasses
import json
import subprocess
import sys
import time
import typing

from demo import ports

from bench import swarm
from primrosesaddle.core import httpio
from primrosesaddle.telemetry import journal

__all__ = ('SwarmFleet', 'main')

AGENTS_PER_PROCESS = 16
LINK_S = 6.0


class SwarmFleet:
    """A store and the processes that hold the agents."""

    def __init__(self, count: int, links: swarm.Links, **options: typing.Any) -> None:
        """Prepare a fleet of a number of agents; options as of `swarm.Swarm`."""
        self.links = links
        self._count = count
        address = ports.free_address()
        addresses = [ports.free_address() for _ in range(count)]
        self._url = f'http://{address}'
        self._told = {
            'url': self._url,
            'links': dataclasses.asdict(links),
            'addresses': addresses,
            **options,
        }
        rate = links.rate(links.origin_copies)
        self._store = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'demo.standins.weightstore',
                '--listen',
                address,
                '--bytes-per-s',
                str(rate),
            ]
        )
        self._workers: list[subprocess.Popen[str]] = []

    async def start(self) -> None:
        """Start the processes, and wait until the agents are linked."""
        for at in range(0, self._count, AGENTS_PER_PROCESS):
            mine = list(range(at, min(self._count, at + AGENTS_PER_PROCESS)))
            worker = subprocess.Popen(
                [sys.executable, '-m', 'bench.swarmfleet'],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self._workers.append(worker)
            self._say(worker, {**self._told, 'mine': mine})
        await asyncio.sleep(LINK_S)

    async def spread(self, version: str, corrupt_share: float = 0.0) -> float:
        """Spread a new version to all agents; return the seconds it took."""
        links = self.links
        await httpio.fetch_json(
            f'{self._url}/standin/faults',
            'PUT',
            {
                'corrupt_share': corrupt_share,
                'bytes_per_s': links.rate(links.origin_copies),
            },
        )
        made = await httpio.fetch_json(
            f'{self._url}/standin/versions',
            'PUT',
            {
                'name': version,
                'size': links.version_bytes,
                'chunk_bytes': links.chunk_bytes,
            },
        )
        began = time.monotonic()
        for worker in self._workers:
            self._say(worker, {'spread': made['manifest']})
        whole = await asyncio.gather(
            *(asyncio.to_thread(self._hear, worker) for worker in self._workers)
        )
        return max(whole) - began

    def kill(self, *indexes: int) -> None:
        """Kill agents at once."""
        for worker in self._workers:
            self._say(worker, {'kill': list(indexes)})

    async def copies(self) -> float:
        """Return the copies of a version that the store has sent."""
        tally = await httpio.fetch_json(f'{self._url}/standin/bytes')
        return tally['bytes'] / self.links.version_bytes

    def stop(self) -> None:
        """End the processes."""
        for proc in (*self._workers, self._store):
            proc.terminate()
        for proc in (*self._workers, self._store):
            proc.wait()

    def _say(self, worker: 'subprocess.Popen[str]', told: object) -> None:
        stream = typing.cast(typing.IO[str], worker.stdin)
        stream.write(json.dumps(told) + '\n')
        stream.flush()

    def _hear(self, worker: 'subprocess.Popen[str]') -> float:
        return float(typing.cast(typing.IO[str], worker.stdout).readline() or 'inf')


async def _work() -> None:
    told = json.loads(await asyncio.to_thread(sys.stdin.readline))
    mine = told.pop('mine')
    links = swarm.Links(**told.pop('links'))
    made = swarm.Swarm(len(told['addresses']), links, **told)
    listed = [agent.candidate() for agent in made.agents]
    made.agents = [made.agents[index] for index in mine]
    for agent in made.agents:
        agent.start()
        agent.members.update_listed(listed)
    spreading: asyncio.Task[None] | None = None
    while line := await asyncio.to_thread(sys.stdin.readline):
        order = json.loads(line)
        digest = order.pop('spread', '')
        if digest:
            spreading = asyncio.create_task(_spread(made, digest))
        await _kill(made, {f'agent-{index}' for index in order.pop('kill', [])})
    if spreading is not None:
        await spreading


async def _kill(made: swarm.Swarm, doomed: set[str]) -> None:
    for agent in made.agents:
        if agent.name in doomed:
            await agent.stop()


async def _spread(made: swarm.Swarm, digest: str) -> None:
    for agent in made.agents:
        agent.job = asyncio.create_task(agent.fetch(digest))
    jobs = [agent.job for agent in made.agents if agent.job]
    await asyncio.wait(jobs, timeout=made.links.window_s * 4)
    whole = [agent.whole_at for agent in made.agents if agent.alive]
    last = max(whole) if all(whole) else float('inf')
    sys.stdout.write(f'{last}\n')
    sys.stdout.flush()


def main() -> None:
    """Run one process of a swarm, told by lines on standard input."""
    journal.configure('ERROR')
    asyncio.run(_work())


if __name__ == '__main__':
    main()
