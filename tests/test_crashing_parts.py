"""Prompts of which one part crashes every server that begins to write on it."""

import asyncio
import contextlib
import itertools

from testtools import assertions, matchers

import platformstand as stand

SERVERS = 8
BAD = 'bad0bad0'
FIRST = 'f1257000'  # the part that all prompts begin with
READ_S = 0.12  # until a server begins to write
DOWN_S = 1.5  # until a server that ended is back
LOAD_S = 12.0
INTERVAL_S = 0.1  # between the calls of a kind
CRASHES_ALLOWED = 5  # before the bound begins
SENT_ALLOWED = 3  # later than `stand.CONTACT_S` after those
SOUND_SHARE = 0.9  # of sound calls, from twice `stand.CONTACT_S` after those


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _assert_at_most(actual, bound):
    assertions.assert_that(actual, matchers.Not(matchers.GreaterThan(bound)))


class Sufferer(stand.Server):
    """A server that ends when it begins to write on `BAD`, and is then started anew.

    `reached_at` holds when calls with the part came in, `ended_at` when it ended.
    """

    _starts = itertools.count(1)

    def __init__(self, name, store):
        super().__init__(name, self._run)
        self._store = store
        self._sound = stand.stream(6, pause_s=0.02)
        self._writers = set()
        self._tasks = set()
        self._key = ''
        self.reached_at = []
        self.ended_at = []
        self.is_up = False

    async def start(self):
        await super().start()
        number = next(self._starts)
        if self._key:
            self._store.remove(self._key)
        self._key = f'servers/i-{self.name}-{number}'
        self._store.put(self._key, self.record(born=number))
        self.is_up = True

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        await super().stop()

    def end(self):
        """End as a process does: all of its sockets are closed at once."""
        self.is_up = False
        self.ended_at.append(asyncio.get_running_loop().time())
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        task = asyncio.create_task(self._start_later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_later(self):
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, seen):
        is_bad = f'{BAD}:' in seen.headers.get('x-prefix-hash', '')
        if is_bad:
            self.reached_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(READ_S)
        if not is_bad:
            await self._sound(seen)
            return
        await stand.stream(1, is_ended=False)(seen)
        if self.is_up and not seen.writer.is_closing():
            self.end()


class Load:
    """Callers at all entries: calls with the part, and sound ones."""

    def __init__(self, fleet, servers):
        self.fleet = fleet
        self.servers = servers
        self.answers = []  # time, whether the call had the part, the answer
        self._numbers = itertools.count(1)
        self._entries = itertools.cycle(fleet.entries)

    async def run(self, load_s=LOAD_S):
        """Make calls of both kinds for some seconds, and wait for all answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + load_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(self.call(is_bad=True))
                await asyncio.sleep(INTERVAL_S / 2)
                group.create_task(self.call(is_bad=False))
                await asyncio.sleep(INTERVAL_S / 2)

    async def call(self, *, is_bad, entry=None):
        """Make a call, no two of which are alike, and return its answer."""
        began_at = asyncio.get_running_loop().time()
        number = next(self._numbers)
        middle = [f'{BAD}:300'] if is_bad else []
        if number % 3 == 0:
            middle.insert(number % 2, f'{0xC0DE0000 + number % 7:08x}:90')
        parts = ','.join([f'{FIRST}:800', *middle, f'{number:08x}:40'])
        reply = await self._ask(entry or next(self._entries), number, parts)
        self.answers.append((began_at, is_bad, reply))
        return reply

    async def _ask(self, entry, number, parts):
        path = '/read/' if number % 4 > 1 else '/chat/'
        lines = [
            f'POST {path}{number} HTTP/1.1',
            'Host: shop.example',
            f'X-Attempt-Id: {number:016x}',
            'X-Deadline-Ms: 4000',
            f'Authorization: Bearer {stand.KEY}',
            f'X-Model: {stand.MODEL}',
            f'X-Prefix-Hash: {parts}',
            'Content-Length: 2',
        ]
        host, _, port = str(entry.cfg.listen.callers).rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n{}')
            return await stand.read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return stand.Got(0, {}, b'', whole=False)
        finally:
            writer.close()

    @property
    def ended_at(self):
        """When servers ended, in order."""
        return sorted(at for server in self.servers for at in server.ended_at)

    def count_sent_late(self):
        """Return the calls with the part that came later than they may."""
        if len(self.ended_at) < CRASHES_ALLOWED:
            return 0
        late_at = self.ended_at[CRASHES_ALLOWED - 1] + stand.CONTACT_S
        reached_at = [at for server in self.servers for at in server.reached_at]
        return sum(at > late_at for at in reached_at)

    def sound_share(self):
        """Return the share of sound calls that succeed once the part must be known."""
        fifth_at = self.ended_at[:CRASHES_ALLOWED][-1]
        statuses = [
            reply.whole and reply.status == 200
            for began_at, is_bad, reply in self.answers
            if not is_bad and began_at > fifth_at + 2 * stand.CONTACT_S
        ]
        return sum(statuses) / len(statuses)


@contextlib.asynccontextmanager
async def _sufferers(fleet, entries=2):
    """Add the servers and further entries to a fleet; return the load on it."""
    servers = [Sufferer(f's{number}', fleet.store) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    try:
        while len(fleet.entries) < entries:
            await fleet.join('dc-2')
        await fleet.until(lambda: all(_is_complete(each) for each in fleet.entries))
        yield Load(fleet, servers)
    finally:
        for server in servers:
            await server.stop()


def _is_complete(each):
    is_linked = len(each.mesh.ready_entries()) > 0
    return is_linked and len(each.backends.list_servers('engines')) == SERVERS


def test_part_that_crashes_servers_stops_reaching_them(in_fleet):
    """Ten such calls a second each ended a server, and their repeats another."""

    async def check(fleet):
        async with _sufferers(fleet) as load:
            await load.run()
            crashes = len(load.ended_at)
            seen = f'{crashes} crashes, {load.count_sent_late()} late'
            assertions.assert_that(
                load.count_sent_late(), matchers.LessThan(SENT_ALLOWED + 1), seen
            )
            assertions.assert_that(
                load.sound_share(), matchers.GreaterThan(SOUND_SHARE), seen
            )

    in_fleet(check)
