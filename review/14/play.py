"""A server that leaves just after one entry has reached the store again."""

import asyncio
import time

import addresses
import callers
import case
import desks
import engines
import processes
import store

KEY = 'key-of-lab'
SERVICE = 'desk'
DRAIN_S = 2.0  # drainMs of the settings
CUT_S = 4.5  # for which one entry is cut off from the store
LEAVES_AFTER_S = 0.1  # after the entry is served again
WATCHED_S = 3.5
ROUNDS = 9
INTERVAL_S = 0.04


class Play:
    """A store, four entries, and servers of which one leaves in each round."""

    def __init__(self, made: case.Case) -> None:
        """Create what takes part; nothing is started yet."""
        self._case = made
        self._store = store.Store()
        self._origin = engines.Origin()
        self._runs: list[desks.Run] = []
        self._steady = desks.Desk('i-steady', SERVICE, self._runs)
        self._doors: list[store.Door] = []
        self._entries: list[processes.Machine] = []
        self._sent: dict[str, str] = {}
        self._answers: list[callers.Answer] = []
        self._were_cut: set[str] = set()
        self._gone_at: dict[str, float] = {}

    async def play(self) -> bool:
        """Play the case, and return whether the rule was broken."""
        await self._start()
        tasks = [
            asyncio.create_task(self._send_calls(entry)) for entry in self._entries
        ]
        for number in range(ROUNDS):
            # The entries in the store's region take turns.
            await self._play_round(number, (0, 3)[number % 2])
        for task in tasks:
            task.cancel()
        return self._is_broken()

    async def _start(self) -> None:
        await self._store.start()
        await self._origin.http.start()
        await self._steady.start()
        routes = [desks.make_route('/read/', SERVICE, 'idempotent')]
        services = [desks.make_service(SERVICE), self._origin.make_service()]
        conf = desks.make_configuration(1, routes, services, {'lab': [KEY]})
        self._store.put('op/config', conf)
        self._store.put('servers/i-steady', self._steady.make_record())
        seeds = [addresses.free_address() for _ in range(3)]
        for number in range(4):
            door = await self._store.open_door()
            self._doors.append(door)
            self._entries.append(
                processes.make_entry(number, door.address, self._case.files, seeds)
            )
        self._case.add(*self._entries)
        for entry in self._entries:
            await entry.wait_ready()
        await asyncio.sleep(4)

    async def _play_round(self, number: int, cut: int) -> None:
        """Cut an entry off for a while, and remove a server as it is served again."""
        server = desks.Desk(f'i-leaving-{number}', SERVICE, self._runs)
        await server.start()
        self._store.put(f'servers/{server.name}', server.make_record())
        await asyncio.sleep(1)
        name = self._entries[cut].name
        door = self._doors[cut]
        if self._case.is_troubled:
            self._case.note(f'{name} is cut off from the store')
            self._were_cut.add(name)
            door.cut()
            await asyncio.sleep(CUT_S)
            await door.open()
        served = asyncio.Event()
        door.on_answer = served.set
        await served.wait()
        await asyncio.sleep(LEAVES_AFTER_S)
        revision = self._store.remove(f'servers/{server.name}')
        self._gone_at[server.name] = time.monotonic()
        self._case.note(
            f'store: serves {name}; removal of {server.name} acknowledged at '
            f'revision {revision}'
        )
        await asyncio.sleep(WATCHED_S)
        server.stop()

    async def _send_calls(self, entry: processes.Machine) -> None:
        caller = callers.Caller(f'{entry.name}-')
        tasks: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.create_task(self._send_call(entry, caller))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def _send_call(
        self, entry: processes.Machine, caller: callers.Caller
    ) -> None:
        answer = await caller.call(entry.front, '/read/slots', KEY)
        self._sent[answer.attempt_id] = entry.name
        self._answers.append(answer)

    def _is_broken(self) -> bool:
        case.note_calls(self._case, self._answers, self._runs)
        late = 0
        for run in self._runs:
            since_s = run.at - self._gone_at.get(run.server, run.at)
            name = self._sent.get(run.attempt_id)
            if name is None or since_s <= DRAIN_S:
                continue
            is_in_touch = name not in self._were_cut
            self._case.note(
                f'{run.attempt_id} reached {run.server} {since_s:.3f} s after the ack '
                f'of its removal; never cut off: {is_in_touch}'
            )
            late += is_in_touch
        self._case.note(
            f'{len(self._sent)} requests answered, {late} reached a server later than '
            f'{DRAIN_S} s after the ack, sent on by machines that were never cut off'
        )
        return late > 0


if __name__ == '__main__':
    case.run(lambda made: Play(made).play())
