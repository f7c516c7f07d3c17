"""An entry that is cut off from the store, and what the others take from it then."""

import asyncio

import pytest
from demo import ports
from testtools import assertions, matchers

import platformstand as stand

SETTLED_S = 3.5  # until entries agree on the readers, and earlier watches have ended
CUT_S = 4.5
READ_BYTES = 65536


class Door:
    """An address of the store for one entry, which can be cut off from it."""

    def __init__(self, store):
        self.address = ports.free_address()
        self._store = store
        self._server = None
        self._writers = set()
        self._passes = asyncio.Event()
        self._passes.set()

    async def open(self):
        """Let connections and bytes through."""
        self._passes.set()
        if self._server is not None and self._server.is_serving():
            return
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self):
        """Refuse connections, and break those that are open."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def silence(self):
        """Hold up all bytes, as a partition does."""
        self._passes.clear()

    async def _serve(self, reader, writer):
        host, _, port = self._store.rpartition(':')
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        writers = {writer, store_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._copy(reader, store_writer), self._copy(store_reader, writer)
            )
        except ConnectionError:
            pass
        finally:
            self._writers -= writers
            for each in writers:
                each.close()

    async def _copy(self, reader, writer):
        while part := await reader.read(READ_BYTES):
            await self._passes.wait()
            writer.write(part)
            await writer.drain()
        writer.close()


@pytest.fixture
def before_doors():
    """Return a function that runs a check in a fleet of entries with doors.

    The check gets the fleet, a server and the doors by the names of their entries.
    """

    def run(check):
        async def main():
            fleet = stand.Fleet()
            doors = {}
            try:
                server = stand.Server('a')
                await fleet.start(server)
                for _ in range(4):
                    door = Door(fleet.store.address)
                    await door.open()
                    await fleet.join(store=door.address)
                    doors[fleet.cfg.name] = door
                await asyncio.sleep(SETTLED_S)
                await check(fleet, doors)
            finally:
                for door in doors.values():
                    door.cut()
                await fleet.stop()

        asyncio.run(main())

    return run


def _knows(entry):
    return bool(entry.backends.list_servers('engines'))


def _first_reader(fleet, doors):
    """Return the first of the entries with doors that forward what they read."""
    readers = [
        entry
        for entry in fleet.entries
        if entry.feed.is_reader() and entry.cfg.name in doors
    ]
    return readers[0]


def test_others_drop_a_server_that_is_removed_as_a_cut_of_one_entry_ends(before_doors):
    """That entry keeps the server, as it takes its cut for an outage of the store."""

    async def check(fleet, doors):
        cut = _first_reader(fleet, doors)
        doors[cut.cfg.name].cut()
        await asyncio.sleep(CUT_S)
        # Running watches don't show the removal, so that entry is the first to tell.
        fleet.store.mute = True
        fleet.store.remove('servers/i-a')
        await doors[cut.cfg.name].open()
        others = [entry for entry in fleet.entries if entry is not cut]
        async with asyncio.timeout(fleet.cfg.bounds.drain_s):
            await fleet.until(lambda: not any(_knows(entry) for entry in others))
        assertions.assert_that(_knows(cut), matchers.Equals(True))

    before_doors(check)


def _cut(door, is_silent):
    if is_silent:
        door.silence()
    else:
        door.cut()


async def _announce_often(store):
    """Change something all the time, so that entries feed each other."""
    for version in range(1, 1000):
        store.put('op/version/busy', {'model': 'busy', 'version': version})
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    ('cut_s', 'is_silent', 'is_busy'),
    [
        pytest.param(0.6, False, False, id='short'),
        pytest.param(1.2, False, True, id='short-and-busy'),
        pytest.param(2.0, False, True, id='longer-and-busy'),
        pytest.param(3.5, True, False, id='silent'),
        pytest.param(5.5, True, False, id='silent-and-longest'),
    ],
)
def test_cut_of_any_length_of_one_entry_keeps_no_server_at_the_others(
    before_doors, cut_s, is_silent, is_busy
):
    """Guards against calls to a removed server because a peer has lost the store."""

    async def check(fleet, doors):
        busy = asyncio.create_task(_announce_often(fleet.store)) if is_busy else None
        cut = _first_reader(fleet, doors)
        _cut(doors[cut.cfg.name], is_silent)
        await asyncio.sleep(cut_s)
        if busy is not None:
            busy.cancel()
        fleet.store.mute = True
        fleet.store.remove('servers/i-a')
        await doors[cut.cfg.name].open()
        others = [entry for entry in fleet.entries if entry is not cut]
        async with asyncio.timeout(fleet.cfg.bounds.drain_s):
            await fleet.until(lambda: not any(_knows(entry) for entry in others))

    before_doors(check)
