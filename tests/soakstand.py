"""A fleet under a drawn series of changes and faults, for the soak of the store."""

import asyncio
import contextlib
import dataclasses
import json
import random
import typing

from demo import ports
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.fleet import reader
from primrosesaddle.process import entry as entries
from primrosesaddle.telemetry import journal

CONFIGURATION = 'op/config'
EVACUATIONS = ('op/evacuate/dc-1', 'op/evacuate/dc-2')
MODEL = 'marker'
SERVERS = ('a', 'b', 'c', 'd', 'e')
OLDEST_COPY_S = 8.0
WRITTEN_AGAIN_S = 1.0  # after the return, by the last of the writers
QUIET_S = 11.0  # lost evacuations are kept for 10 s
CALLS_WINDOW_S = 3.0
# An entry sends requests one after another, none sooner than a first retry.
MAX_CALLS_PER_S = 1 / reader.RETRY_FIRST_S
READY = 'ready'
DRAINING = 'draining'


class Link:
    """A way to the store that can be cut."""

    def __init__(self, target: str) -> None:
        self.address = ports.free_address()
        self._target = target
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        self.set_cut(is_cut=True)
        if self._server is not None:
            self._server.close()

    def set_cut(self, *, is_cut: bool) -> None:
        self._is_cut = is_cut
        if is_cut:
            for writer in self._writers:
                writer.close()

    async def _serve(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            far_source, far_sink = await asyncio.open_connection(host, int(port))
        except OSError:
            sink.close()
            return
        both = {sink, far_sink}
        self._writers |= both
        if not self._is_cut:
            await asyncio.gather(_copy(source, far_sink), _copy(far_source, sink))
        self._writers -= both
        for writer in both:
            writer.close()


async def _copy(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while part := await source.read(65536):
            sink.write(part)
            await sink.drain()
    sink.close()


@dataclasses.dataclass(eq=False)
class Watched:
    """An entry, its link, since when it is in touch, and its highest version."""

    entry: entries.Entry
    link: Link | None
    undisturbed_since: float
    highest: int = 0
    is_cut: bool = False

    def list_served(self) -> set[str]:
        table = self.entry.backends
        return {backend.server_id for backend in table.list_servers('engines')}


class World:
    """What the writers want the store to hold, and since when it does so.

    `versions` maps versions of the configuration that the store has held since to the
    time at which they were written. `required_since` has the times of other items whose
    state takes effect within a bound: requested evacuations, servers that have left.
    """

    def __init__(self, store: stand.Store, rand: random.Random) -> None:
        self.store = store
        self.wanted: dict[str, bytes | None] = {}
        self.versions: dict[int, float] = {}
        self.required_since: dict[str, float] = {}
        self.last_version = 1
        self._numbers: dict[str, int] = {}
        self._borns: dict[str, int] = {}
        self._rand = rand
        self._lost: set[str] = set()
        self._copies: list[tuple[float, stand.Copy]] = []

    def configure(self) -> None:
        self.last_version += 1
        self.change(CONFIGURATION, stand.configuration(self.last_version))

    def announce(self) -> None:
        number = self._next(MODEL)
        self.change(f'op/version/{MODEL}', {'model': MODEL, 'version': number})

    def evacuate(self) -> None:
        key = self._rand.choice(EVACUATIONS)
        self.change(key, {'number': self._next(key)})

    def end_evacuation(self) -> None:
        self.change(self._rand.choice(EVACUATIONS), None)

    def publish(self) -> None:
        """Publish a server again, or one that starts."""
        name = self._rand.choice(SERVERS)
        if self._state(f'servers/i-{name}') is None:
            self._start(name)
        else:
            self._write_record(name, self._state(f'servers/i-{name}'))

    def start(self) -> None:
        """Start a server, under an id that it may have had before."""
        self._start(self._rand.choice(SERVERS))

    def drain(self) -> None:
        name = self._rand.choice(SERVERS)
        if self._state(f'servers/i-{name}') is not None:
            self._write_record(name, DRAINING)

    def remove(self) -> None:
        self.change(f'servers/i-{self._rand.choice(SERVERS)}', None)

    def start_all(self) -> None:
        for name in SERVERS:
            self._start(name)

    def change(self, key: str, value: object) -> None:
        """Write an item, as soon as the store is back if it is away."""
        body = None if value is None else json.dumps(value).encode()
        self.wanted[key] = body
        if self.store.is_away:
            self._lost.add(key)
        else:
            self._write(key)

    def keep_copy(self) -> None:
        if not self.store.is_away:
            self._copies.append((_now(), self.store.take_copy()))

    async def restore(self, age_s: float, away_s: float, rand: random.Random) -> None:
        """Bring the store back from a copy, and have what was lost written again."""
        taken_at, copy = next(
            (found for found in reversed(self._copies) if found[0] <= _now() - age_s),
            self._copies[0],
        )
        lost_s = round(_now() - taken_at, 2)
        journal.info('soak.away', lost_s=lost_s, away_s=round(away_s, 2))
        self.store.go_away()
        await asyncio.sleep(away_s)
        self.store.come_back(copy)
        self._lost = {key for key in self.wanted if self._is_missing(key)}
        for key in self.wanted:
            if key in self._lost or not self._takes_effect(key):
                self.required_since.pop(key, None)
            else:
                self.required_since.setdefault(key, _now())
        self.versions = {
            version: written_at
            for version, written_at in self.versions.items()
            if written_at <= taken_at
        }
        journal.info(
            'soak.back',
            era=self.store.era,
            revision=self.store.revision,
            lost=sorted(self._lost),
        )
        era = self.store.era
        delays_s = {
            key: rand.choice((0.0, rand.uniform(0, WRITTEN_AGAIN_S)))
            for key in sorted(self._lost)
        }
        began_at = _now()
        for key in sorted(delays_s, key=delays_s.__getitem__):
            await asyncio.sleep(max(0.0, began_at + delays_s[key] - _now()))
            if era == self.store.era and not self.store.is_away and key in self._lost:
                self._write(key)

    def write_all_again(self) -> None:
        for key in self.wanted:
            self._write(key)

    def list_ready(self) -> set[str]:
        return {
            key.removeprefix('servers/')
            for key in self.wanted
            if key.startswith('servers/') and self._state(key) == READY
        }

    def _next(self, key: str) -> int:
        self._numbers[key] = self._numbers.get(key, 0) + 1
        return self._numbers[key]

    def _state(self, key: str) -> typing.Any:
        body = self.wanted.get(key)
        return None if body is None else json.loads(body)['state']

    def _start(self, name: str) -> None:
        born = self._borns.get(name, 1_700_000_000_000)
        self._borns[name] = born + self._rand.choice((60_000, 5_000, -30_000))
        self._write_record(name, READY)

    def _write_record(self, name: str, state: str) -> None:
        record = stand.Server(name).record(
            state=state, born=self._borns[name], sequence=self._next(name)
        )
        # The same address at each start, as nothing is called there.
        record['address'] = f'127.0.0.1:{1000 + SERVERS.index(name)}'
        self.change(f'servers/i-{name}', record)

    def _is_missing(self, key: str) -> bool:
        held = self.store.items.get(key)
        return (held and stand.base64.b64decode(held['value'])) != self.wanted[key]

    def _write(self, key: str) -> None:
        body = self.wanted[key]
        self._lost.discard(key)
        if body is not None:
            self.store.put(key, body)
        elif key in self.store.items:
            self.store.remove(key)
        journal.info('soak.written', key=key, revision=self.store.revision, body=body)
        if key == CONFIGURATION:
            self.versions.setdefault(json.loads(body or b'')['version'], _now())
        elif self._takes_effect(key):
            self.required_since.setdefault(key, _now())
        else:
            self.required_since.pop(key, None)

    def _takes_effect(self, key: str) -> bool:
        if key.startswith('servers/'):
            return self._state(key) != READY
        return key in EVACUATIONS and self.wanted[key] is not None


class Soak:
    """The series of changes and faults, and the checks made meanwhile."""

    def __init__(self, seed: int, size: int) -> None:
        self.seed = seed
        self.fleet = stand.Fleet()
        self.fleet.store.era = 1
        self.watched: list[Watched] = []
        self.world = World(self.fleet.store, self._rand('world'))
        self._size = size
        self._stable_since = 0.0
        self._calls: list[tuple[float, int, int]] = []
        self._links: list[Link] = []
        self._is_over = False

    async def run(self, active_s: float) -> None:
        """Run the series, then check the end."""
        try:
            await self._start()
            checks = asyncio.create_task(self._check())
            series = asyncio.create_task(self._disturb(active_s))
            await asyncio.wait([checks, series], return_when=asyncio.FIRST_COMPLETED)
            if checks.done():
                series.cancel()
                await checks
            await series
            self.world.write_all_again()
            journal.info('soak.quiet')
            await asyncio.wait([checks], timeout=QUIET_S)
            self._is_over = True
            await checks
            self._check_end()
        finally:
            await self._stop()

    def _rand(self, name: str) -> random.Random:
        return random.Random(f'{self.seed}-{name}')

    async def _start(self) -> None:
        await self.fleet.start()
        self.world.wanted[CONFIGURATION] = json.dumps(stand.configuration()).encode()
        self.world.start_all()
        self._watch(None)
        while len(self.watched) < self._size:
            await self._join()
        await self.fleet.until(
            lambda: all(
                len(watched.list_served()) == len(SERVERS) for watched in self.watched
            )
        )

    async def _stop(self) -> None:
        for stopped in self.fleet.entries:
            stopped.hurry()
        await self.fleet.stop()
        for link in self._links:
            link.stop()

    async def _join(self) -> None:
        link = Link(self.fleet.store.address)
        self._links.append(link)
        await link.start()
        await self.fleet.join(store=link.address)
        self._watch(link)

    def _watch(self, link: Link | None) -> None:
        started = self.fleet.entries[-1]
        journal.info('soak.started', entry=started.cfg.name)
        self.watched.append(Watched(started, link, _now()))

    async def _disturb(self, active_s: float) -> None:
        parts = (
            self._keep_copies,
            self._change,
            self._restore,
            self._compact,
            self._cut,
            self._renew,
        )
        until = _now() + active_s
        await asyncio.gather(*(part(until) for part in parts))

    async def _keep_copies(self, until: float) -> None:
        while _now() < until:
            self.world.keep_copy()
            await asyncio.sleep(0.2)

    async def _change(self, until: float) -> None:
        rand = self._rand('changes')
        world = self.world
        kinds = {
            world.configure: 4,
            world.publish: 4,
            world.start: 4,
            world.drain: 3,
            world.remove: 3,
            world.evacuate: 2,
            world.end_evacuation: 2,
            world.announce: 2,
        }
        while _now() < until:
            kind = rand.choices(list(kinds), list(kinds.values()))[0]
            kind()
            if rand.random() < 0.3:
                await asyncio.sleep(rand.uniform(0, 0.1))
                kind()
            await asyncio.sleep(rand.uniform(0.05, 0.8))

    async def _restore(self, until: float) -> None:
        rand = self._rand('restorations')
        written: list[asyncio.Task[None]] = []
        while True:
            pause_s = rand.uniform(0.1, 1) if rand.random() < 0.35 else 0.0
            pause_s = pause_s or rand.uniform(5, 10)
            if _now() + pause_s > until:
                break
            await asyncio.sleep(pause_s)
            age_s, away_s = rand.uniform(0, OLDEST_COPY_S), rand.uniform(0.1, 1)
            restoration = self.world.restore(age_s, away_s, self._rand(f'{age_s}'))
            written.append(asyncio.create_task(restoration))
            await asyncio.sleep(0)
            while self.fleet.store.is_away:
                await asyncio.sleep(0.01)
            self._stable_since = _now()
        await asyncio.gather(*written)

    async def _compact(self, until: float) -> None:
        rand = self._rand('compactions')
        while _now() < until:
            await asyncio.sleep(rand.uniform(1, 6))
            self.fleet.store.compact(rand.choice((0, 0, 3)))
            journal.info('soak.compacted', after=self.fleet.store.compacted)

    async def _cut(self, until: float) -> None:
        rand = self._rand('cuts')
        while _now() < until:
            await asyncio.sleep(rand.uniform(1, 7))
            watched = rand.choice(self.watched)
            if watched.link is None:
                continue
            journal.info('soak.cut', entry=watched.entry.cfg.name)
            watched.is_cut = True
            watched.link.set_cut(is_cut=True)
            await asyncio.sleep(rand.uniform(0.5, 5))
            journal.info('soak.mended', entry=watched.entry.cfg.name)
            watched.link.set_cut(is_cut=False)
            watched.is_cut = False
            watched.undisturbed_since = _now()

    async def _renew(self, until: float) -> None:
        rand = self._rand('entries')
        while _now() < until:
            await asyncio.sleep(rand.uniform(4, 12))
            # The newest stays, as the next one asks it for the others.
            watched = rand.choice(self.watched[:-1])
            journal.info('soak.ended', entry=watched.entry.cfg.name)
            self.watched.remove(watched)
            if rand.random() < 0.5:
                watched.entry.hurry()
                await watched.entry.stop()
            else:
                await self.fleet.lose(watched.entry)
            await asyncio.sleep(rand.uniform(0, 2))
            await self._join()

    async def _check(self) -> None:
        while not self._is_over:
            for watched in self.watched:
                self._check_version(watched)
                if not (self.fleet.store.is_away or watched.is_cut):
                    self._check_entry(watched)
            self._check_calls()
            await asyncio.sleep(0.02)

    def _check_version(self, watched: Watched) -> None:
        version = watched.entry.configuration_version
        name = watched.entry.cfg.name
        assertions.assert_that(
            version, matchers.Not(matchers.LessThan(watched.highest)), name
        )
        watched.highest = version

    def _check_entry(self, watched: Watched) -> None:
        """Check what an entry in touch with a stable store must hold by now."""
        bounds = watched.entry.cfg.bounds
        name = watched.entry.cfg.name
        steady_at = bounds.contact_s + max(
            self._stable_since, watched.undisturbed_since
        )

        def is_due(written_at: float, bound_s: float) -> bool:
            return _now() > max(written_at, steady_at) + bound_s

        due = [
            version
            for version, written_at in self.world.versions.items()
            if is_due(written_at, bounds.configuration_s)
        ]
        assertions.assert_that(
            watched.entry.configuration_version,
            matchers.Not(matchers.LessThan(max(due, default=0))),
            name,
        )
        served = watched.list_served()
        for key, since in self.world.required_since.items():
            if key in EVACUATIONS:
                is_kept = key in watched.entry._view.evacuations
                bound_s = bounds.evacuate_s
            else:
                is_kept = key.removeprefix('servers/') not in served
                bound_s = bounds.drain_s
            if is_due(since, bound_s):
                assertions.assert_that(
                    is_kept, matchers.Is(True), f'{name}, {key}, {_now() - since:.2f} s'
                )

    def _check_calls(self) -> None:
        now = _now()
        made = self.fleet.store.requests
        self._calls = [
            calls for calls in self._calls if calls[0] >= now - CALLS_WINDOW_S
        ]
        self._calls.append((now, made, len(self.watched) + 1))
        entries_count = max(calls[2] for calls in self._calls)
        assertions.assert_that(
            made - self._calls[0][1],
            matchers.LessThan(MAX_CALLS_PER_S * CALLS_WINDOW_S * entries_count),
        )

    def _check_end(self) -> None:
        """Check that every entry holds what the store holds."""
        store = self.fleet.store
        held = {
            key: (item['revision'], stand.base64.b64decode(item['value']))
            for key, item in store.items.items()
        }
        announced = self.world._numbers.get(MODEL, 0)
        for watched in self.watched:
            view = watched.entry._view
            name = watched.entry.cfg.name
            known = {
                key: (item.revision, item.body) for key, item in view._items.items()
            }
            newest = view.version_ages.get_newest(MODEL)
            found = (
                (view.era, view.revision),
                watched.entry.configuration_version,
                watched.list_served(),
                set(view.evacuations),
                newest or 0,
                known,
            )
            expected = (
                (store.era, store.revision),
                self.world.last_version,
                self.world.list_ready(),
                {key for key in EVACUATIONS if self.world.wanted.get(key)},
                announced,
                held,
            )
            assertions.assert_that(found, matchers.Equals(expected), name)


def _now() -> float:
    return asyncio.get_running_loop().time()
