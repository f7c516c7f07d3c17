"""A change of the configuration after a drill in which the store lost some seconds."""

import asyncio
import time
import typing

import addresses
import callers
import case
import desks
import processes
import store

APPLY_S = 2.0  # configApplyMs of the settings
AWAY_S = 1.0
SETTLED_S = 6.0  # after the store is back; machines are in touch 3 s after it
WATCHED_S = 6.0
CHANGES = 10
INTERVAL_S = 0.1
KEPT_KEY = 'key-kept'
LOST_KEY = 'key-taken-away'
FIRST, SECOND = 'desk-first', 'desk-second'


class Play:
    """A store, two entries, and two services of which one takes over a route."""

    def __init__(self, made: case.Case) -> None:
        """Create what takes part; nothing is started yet."""
        self._case = made
        self._store = store.Store()
        self._runs: list[desks.Run] = []
        self._servers = [
            desks.Desk(f'i-{service}-{number}', service, self._runs)
            for service in (FIRST, SECOND)
            for number in (1, 2)
        ]
        self._entries: list[processes.Machine] = []
        self._version = 0

    async def play(self) -> bool:
        """Play the case, and return whether the rule was broken."""
        await self._start()
        kept = self._store.take_copy()
        await self._change_in_quick_succession()
        if self._case.is_troubled:
            await self._drill(kept)
        await asyncio.sleep(SETTLED_S)
        changed_at = self._change(SECOND, [KEPT_KEY])
        answers = await self._send_calls(time.monotonic() + APPLY_S + WATCHED_S)
        for server in self._servers:
            server.stop()
        self._store.stop()
        return self._is_broken(answers, changed_at)

    async def _start(self) -> None:
        await self._store.start()
        self._change(FIRST, [KEPT_KEY, LOST_KEY])
        for server in self._servers:
            await server.start()
            self._store.put(f'servers/{server.name}', server.make_record())
        seeds = [addresses.free_address() for _ in range(2)]
        self._entries = [
            processes.make_entry(number, self._store.address, self._case.files, seeds)
            for number in range(2)
        ]
        self._case.add(*self._entries)
        for entry in self._entries:
            await entry.wait_ready()
        self._case.note('both entries are ready')
        await asyncio.sleep(4)

    def _change(self, service: str, keys: list[str]) -> float:
        """Write the next configuration, and return when the store acknowledged it."""
        self._version += 1
        return self._write(service, keys)

    def _write(self, service: str, keys: list[str]) -> float:
        record = desks.make_configuration(
            self._version,
            [desks.make_route('/read/', service, 'idempotent')],
            [desks.make_service(FIRST), desks.make_service(SECOND)],
            {'lab': [KEPT_KEY], 'school': [key for key in keys if key != KEPT_KEY]},
        )
        revision = self._store.put('op/config', record)
        acknowledged_at = time.monotonic()
        self._case.note(
            f'store: era {self._store.era}, version {self._version} acknowledged at '
            f'revision {revision}: /read/ to {service}, keys {keys}'
        )
        return acknowledged_at

    async def _change_in_quick_succession(self) -> None:
        for _ in range(CHANGES):
            self._change(FIRST, [KEPT_KEY, LOST_KEY])
            await asyncio.sleep(0.3)

    async def _drill(self, kept: typing.Any) -> None:
        self._case.note(f'store: away at revision {self._store.revision}')
        self._store.go_away()
        await asyncio.sleep(AWAY_S)
        self._store.come_back(kept)
        self._case.note(
            f'store: back in era {self._store.era} at revision {self._store.revision}'
        )
        self._write(FIRST, [KEPT_KEY, LOST_KEY])
        for server in self._servers:
            self._store.put(f'servers/{server.name}', server.make_record())
        self._case.note(f'store: written again up to {self._store.revision}')

    async def _send_calls(self, until: float) -> list[callers.Answer]:
        """Send calls with both keys to both entries, and return the answers."""
        tasks = []
        by_key = {key: callers.Caller(key) for key in (KEPT_KEY, LOST_KEY)}
        while time.monotonic() < until:
            for entry in self._entries:
                for key, caller in by_key.items():
                    made = caller.call(entry.front, '/read/slots', key)
                    tasks.append(asyncio.create_task(made))
            await asyncio.sleep(INTERVAL_S)
        return list(await asyncio.gather(*tasks))

    def _is_broken(self, answers: list[callers.Answer], changed_at: float) -> bool:
        case.note_calls(self._case, answers, self._runs)
        runs = {run.attempt_id: run for run in self._runs}
        late = [each for each in answers if each.sent_at > changed_at + APPLY_S]
        by_old, with_old_key = 0, 0
        for each in late:
            run = runs.get(each.attempt_id)
            service = run.service if run else '-'
            since_s = each.sent_at - changed_at
            self._case.note(
                f'{each.attempt_id} sent {since_s:.2f} s after the acknowledgement: '
                f'status {each.status}, run by {service}'
            )
            by_old += service == FIRST
            with_old_key += run is not None and each.attempt_id.startswith(LOST_KEY)
        self._case.note(
            f'of {len(late)} requests sent over {APPLY_S} s after the change, {by_old} '
            f'were run by the old service, {with_old_key} with the key taken away'
        )
        self._case.note(f'store: {self._store.calls} calls in all')
        return by_old > 0 or with_old_key > 0


if __name__ == '__main__':
    case.run(lambda made: Play(made).play())
