"""A store that was lost for a moment and comes back from an older copy.

Revisions go back and are given out again, so a change after the return may have a lower
revision than the item that an entry knows.
"""

import asyncio
import contextlib

import pytest
from demo import ports
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.fleet import fleetview, reader

AWAY_S = 0.6
FIRST_CHANGE_S = 1.0  # after the return
STEADY_S = 1.5  # for which a state is watched
FOLLOW_S = 4.0  # for an entry that has only its peers to learn from
# Until a server that is not written again is dropped: the return is noticed after a
# retry, then the records are kept for a while.
DROP_S = fleetview.EXPIRY_GRACE_S + reader.RETRY_CEILING_S + 1.0
# An entry sends requests one after another, none sooner than a first retry.
MAX_REQUESTS_PER_S = 1 / reader.RETRY_FIRST_S
LOST_WRITES = 20  # of each server, so that revisions stay below those that were lost
MARKER = 'marker'
BORN_MS = 1_700_000_000_000
DRAINING = 'draining'
CONFIGURATION = 'op/config'
EVACUATION = 'op/evacuate/dc-1'


@pytest.fixture
def in_fleet():
    """Return a function that runs a check in a fleet whose store sends its era."""

    def run(check, *, entries=2):
        async def main():
            fleet = stand.Fleet()
            fleet.store.era = 1
            try:
                await fleet.start(stand.Server('a'), stand.Server('b'))
                for _ in range(entries - 1):
                    await fleet.join()
                await fleet.until(lambda: _is_settled(fleet))
                await check(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


def _is_settled(fleet):
    """Tell whether all entries know the configuration, the servers and each other."""
    return _served(fleet) == [['i-a', 'i-b']] * len(fleet.entries) and all(
        entry.configuration_version == 1 and entry.feed.is_store_reached_by_others()
        for entry in fleet.entries
    )


def _served(fleet):
    """Return the ids of the servers that may get calls, for each entry."""
    return [
        sorted(backend.server_id for backend in entry.backends.list_servers('engines'))
        for entry in fleet.entries
    ]


def _versions(fleet):
    """Return the version of the configuration in force, for each entry."""
    return [entry.configuration_version for entry in fleet.entries]


def _evacuated(fleet):
    """Return the keys of the evacuations in force, for each entry."""
    return [sorted(entry._view.evacuations) for entry in fleet.entries]


def _newest(fleet, model):
    """Return the newest announced version of a model, for each entry."""
    return [entry._view.version_ages.get_newest(model) for entry in fleet.entries]


def _configure(fleet, version):
    fleet.store.put(CONFIGURATION, stand.configuration(version))


def _announce(fleet, model, version):
    fleet.store.put(f'op/version/{model}', {'model': model, 'version': version})


def _publish(fleet, *servers, **fields):
    for server in servers:
        fleet.store.put(f'servers/i-{server.name}', server.record(**fields))


def _unpublish(fleet, server):
    fleet.store.remove(f'servers/i-{server.name}')


async def _reach(look, expected, within_s):
    """Wait until a state is as expected, and fail if it is not in time."""
    until = asyncio.get_running_loop().time() + within_s
    while look() != expected and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.01)
    assertions.assert_that(look(), matchers.Equals(expected))


async def _keep(look, expected, for_s=STEADY_S):
    """Check that a state is as expected all the time."""
    until = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < until:
        assertions.assert_that(look(), matchers.Equals(expected))
        await asyncio.sleep(0.01)


async def _lose_seconds(fleet, change=None, **fields):
    """Return a copy of the store from before writes that all entries know.

    `change` makes the last of the writes, `fields` are those of the servers' records.
    """
    _publish(fleet, *fleet.servers, **fields)
    copy = fleet.store.take_copy()
    for number in range(LOST_WRITES):
        _publish(fleet, *fleet.servers, sequence=2 + number, **fields)
    if change is not None:
        change()
    _announce(fleet, MARKER, 1)
    await _reach(lambda: _newest(fleet, MARKER), [1] * len(fleet.entries), FOLLOW_S)
    return copy


async def _restore(fleet, copy):
    """Take the store away for a moment, and bring it back from a copy."""
    fleet.store.go_away()
    await asyncio.sleep(AWAY_S)
    fleet.store.come_back(copy)


def test_configuration_after_the_return_is_in_force_in_time(in_fleet):
    """Its revision is lower than that of the one that was lost."""

    async def check(fleet):
        copy = await _lose_seconds(fleet, lambda: _configure(fleet, 2))
        await _restore(fleet, copy)
        _configure(fleet, 2)
        await asyncio.sleep(FIRST_CHANGE_S)
        _configure(fleet, 3)
        await _reach(
            lambda: _versions(fleet), [3, 3, 3], fleet.cfg.bounds.configuration_s
        )

    in_fleet(check, entries=3)


@pytest.mark.parametrize('born', [0, BORN_MS])
def test_server_that_drains_after_the_return_gets_no_calls(in_fleet, born):
    """Its record has a lower revision than the one that was lost."""

    async def check(fleet):
        copy = await _lose_seconds(fleet, born=born)
        await _restore(fleet, copy)
        _publish(fleet, *fleet.servers, born=born)
        await asyncio.sleep(FIRST_CHANGE_S)
        _publish(fleet, fleet.servers[0], state=DRAINING, born=born)
        await _reach(lambda: _served(fleet), [['i-b']] * 2, fleet.cfg.bounds.drain_s)
        await _keep(lambda: _served(fleet), [['i-b']] * 2)

    in_fleet(check)


def test_server_that_is_removed_after_the_return_gets_no_calls(in_fleet):
    """The removal has a lower revision than the record that was lost."""

    async def check(fleet):
        copy = await _lose_seconds(fleet)
        await _restore(fleet, copy)
        _publish(fleet, *fleet.servers)
        await asyncio.sleep(FIRST_CHANGE_S)
        _unpublish(fleet, fleet.servers[0])
        await _reach(lambda: _served(fleet), [['i-b']] * 2, fleet.cfg.bounds.drain_s)
        await _keep(lambda: _served(fleet), [['i-b']] * 2)

    in_fleet(check)


def test_few_requests_are_sent_after_the_return(in_fleet):
    """A watch from a revision that the store does not have is answered at once."""

    async def check(fleet):
        watched_s = 3.0
        copy = await _lose_seconds(fleet)
        await _restore(fleet, copy)
        before = fleet.store.requests
        _publish(fleet, *fleet.servers)
        await asyncio.sleep(watched_s)
        most = MAX_REQUESTS_PER_S * watched_s * len(fleet.entries)
        sent = fleet.store.requests - before
        assertions.assert_that(sent, matchers.LessThan(most))

    in_fleet(check)


def test_configuration_never_goes_back(in_fleet):
    """The copy has an older one, and the newer one is written again only later."""

    async def check(fleet):
        copy = await _lose_seconds(fleet, lambda: _configure(fleet, 2))
        watch = asyncio.create_task(
            _keep(lambda: _versions(fleet), [2, 2], AWAY_S + 2 * STEADY_S)
        )
        await _restore(fleet, copy)
        await asyncio.sleep(STEADY_S)
        _configure(fleet, 2)
        await watch

    in_fleet(check)


@pytest.mark.parametrize('born', [0, BORN_MS])
def test_server_that_drained_before_the_loss_gets_no_calls(in_fleet, born):
    """It is ready in the copy, until it is written again."""

    async def check(fleet):
        server = fleet.servers[0]

        def drain():
            _publish(fleet, server, state=DRAINING, born=born)

        copy = await _lose_seconds(fleet, drain, born=born)
        await _restore(fleet, copy)
        await _keep(lambda: _served(fleet), [['i-b']] * 2)
        drain()
        await _keep(lambda: _served(fleet), [['i-b']] * 2)

    in_fleet(check)


def test_server_that_drained_before_an_entry_started_gets_no_calls(in_fleet):
    """That entry has never seen the record which the copy has."""

    async def check(fleet):
        def drain():
            _publish(fleet, fleet.servers[0], state=DRAINING, born=BORN_MS)

        copy = await _lose_seconds(fleet, drain, born=BORN_MS)
        await fleet.join()
        await fleet.until(lambda: _served(fleet) == [['i-b']] * 3)
        await _restore(fleet, copy)
        await _keep(lambda: _served(fleet), [['i-b']] * 3)
        drain()
        await _keep(lambda: _served(fleet), [['i-b']] * 3)

    in_fleet(check)


@pytest.mark.parametrize('state', [DRAINING, None])
def test_entry_that_never_saw_a_server_that_left_is_told_in_time(in_fleet, state):
    """It started in the seconds that were lost, and reads the copy itself."""

    async def check(fleet):
        def leave():
            if state is None:
                _unpublish(fleet, fleet.servers[0])
            else:
                _publish(fleet, fleet.servers[0], state=state)

        copy = await _lose_seconds(fleet, leave)
        await fleet.join()
        await fleet.until(lambda: _served(fleet) == [['i-b']] * 3)
        await _restore(fleet, copy)
        await asyncio.sleep(fleet.cfg.bounds.drain_s)
        await _keep(lambda: _served(fleet), [['i-b']] * 3)

    in_fleet(check)


@pytest.mark.parametrize('born', [0, BORN_MS])
def test_server_that_was_removed_before_the_loss_gets_no_calls(in_fleet, born):
    """It is present in the copy, until it is removed again."""

    async def check(fleet):
        def remove():
            _unpublish(fleet, fleet.servers[0])

        copy = await _lose_seconds(fleet, remove, born=born)
        await _restore(fleet, copy)
        await _keep(lambda: _served(fleet), [['i-b']] * 2)
        remove()
        await _keep(lambda: _served(fleet), [['i-b']] * 2)

    in_fleet(check)


def test_server_that_starts_again_after_the_return_gets_calls(in_fleet):
    """Its record has a lower revision than the removal that was lost."""

    async def check(fleet):
        server = fleet.servers[0]
        copy = await _lose_seconds(
            fleet, lambda: _unpublish(fleet, server), born=BORN_MS
        )
        await _restore(fleet, copy)
        _unpublish(fleet, server)
        await asyncio.sleep(FIRST_CHANGE_S)
        _publish(fleet, server, born=BORN_MS + 60_000)
        await _reach(lambda: _served(fleet), [['i-a', 'i-b']] * 2, FOLLOW_S)

    in_fleet(check)


def test_evacuation_stays_in_force_until_it_is_written_again(in_fleet):
    """It was requested in the seconds that were lost."""

    async def check(fleet):
        def evacuate():
            fleet.store.put(EVACUATION, {})

        copy = await _lose_seconds(fleet, evacuate)
        await _restore(fleet, copy)
        await _keep(lambda: _evacuated(fleet), [[EVACUATION]] * 2)
        evacuate()
        await _keep(lambda: _evacuated(fleet), [[EVACUATION]] * 2)

    in_fleet(check)


def test_evacuation_ends_after_the_return(in_fleet):
    """The end has a lower revision than the request that was lost."""

    async def check(fleet):
        def evacuate():
            fleet.store.put(EVACUATION, {})

        copy = await _lose_seconds(fleet, evacuate)
        await _restore(fleet, copy)
        evacuate()
        await asyncio.sleep(FIRST_CHANGE_S)
        fleet.store.remove(EVACUATION)
        await _reach(lambda: _evacuated(fleet), [[]] * 2, FOLLOW_S)

    in_fleet(check)


def test_announced_version_stays_the_newest(in_fleet):
    """The copy has an older one, and the newer one is written again only later."""

    async def check(fleet):
        _announce(fleet, stand.MODEL, 1)
        copy = await _lose_seconds(fleet, lambda: _announce(fleet, stand.MODEL, 2))
        await _restore(fleet, copy)
        await _keep(lambda: _newest(fleet, stand.MODEL), [2, 2])
        _announce(fleet, stand.MODEL, 2)
        await _keep(lambda: _newest(fleet, stand.MODEL), [2, 2])

    in_fleet(check)


def test_server_added_before_the_loss_gets_calls_throughout(in_fleet):
    """It is missing in the copy, until it is written again."""
    late = stand.Server('late')

    async def check(fleet):
        expected = [['i-a', 'i-b', 'i-late']] * 2
        copy = await _lose_seconds(fleet, lambda: _publish(fleet, late))
        watch = asyncio.create_task(
            _keep(lambda: _served(fleet), expected, AWAY_S + 2 * DROP_S)
        )
        await _restore(fleet, copy)
        await asyncio.sleep(STEADY_S)
        _publish(fleet, late)
        await watch

    in_fleet(check)


def test_server_that_is_not_written_again_is_dropped(in_fleet):
    """It was added before the loss, is missing in the copy, and ended meanwhile."""
    late = stand.Server('late')

    async def check(fleet):
        copy = await _lose_seconds(fleet, lambda: _publish(fleet, late))
        await _restore(fleet, copy)
        await _reach(lambda: _served(fleet), [['i-a', 'i-b']] * 2, DROP_S)

    in_fleet(check)


def test_configuration_after_two_returns_in_a_row_is_in_force_in_time(in_fleet):
    """The second return comes while entries still adopt the first."""

    async def check(fleet):
        copy = await _lose_seconds(fleet, lambda: _configure(fleet, 2))
        await _restore(fleet, copy)
        _configure(fleet, 2)
        await asyncio.sleep(0.3)
        await _restore(fleet, copy)
        _configure(fleet, 2)
        await asyncio.sleep(FIRST_CHANGE_S)
        _configure(fleet, 3)
        await _reach(lambda: _versions(fleet), [3, 3], fleet.cfg.bounds.configuration_s)

    in_fleet(check)


def test_entry_without_store_follows_its_peers(in_fleet):
    """It learns of the return only from the entries that read the store."""

    async def check(fleet):
        await fleet.join(store=ports.free_address())
        await fleet.until(lambda: _versions(fleet) == [1, 1, 1])
        copy = await _lose_seconds(fleet, lambda: _configure(fleet, 2))
        await _restore(fleet, copy)
        _configure(fleet, 2)
        _publish(fleet, *fleet.servers)
        await asyncio.sleep(FIRST_CHANGE_S)
        _configure(fleet, 3)
        _publish(fleet, fleet.servers[0], state=DRAINING)
        await _reach(lambda: _versions(fleet), [3, 3, 3], FOLLOW_S)
        await _reach(lambda: _served(fleet), [['i-b']] * 3, FOLLOW_S)

    in_fleet(check)


@contextlib.asynccontextmanager
async def _old_store(fleet):
    """Yield a store that has what the fleet's has now, and stays in this era."""
    store = stand.Store()
    store.come_back(fleet.store.take_copy())
    store.era = fleet.store.era
    store.start()
    try:
        yield store
    finally:
        await store.stop()


def test_entry_in_the_old_era_does_not_take_its_peers_back(in_fleet):
    """Its revisions are higher, and its own store still has a server that has left."""

    async def check(fleet):
        followers = len(fleet.entries)

        def look():
            return _served(fleet)[:followers]

        copy = await _lose_seconds(fleet)
        async with _old_store(fleet) as store:
            await fleet.join(store=store.address)
            await fleet.until(lambda: _is_settled(fleet))
            await _restore(fleet, copy)
            _publish(fleet, *fleet.servers)
            await asyncio.sleep(FIRST_CHANGE_S)
            _configure(fleet, 3)
            _unpublish(fleet, fleet.servers[0])
            await _reach(
                lambda: _versions(fleet)[:followers],
                [3, 3],
                fleet.cfg.bounds.configuration_s,
            )
            await _reach(look, [['i-b']] * 2, fleet.cfg.bounds.drain_s)
            await _keep(look, [['i-b']] * 2, 2 * STEADY_S)

    in_fleet(check)


def test_process_that_starts_after_the_return_gets_later_changes(in_fleet):
    """Its peers may still be in the old era, with higher revisions."""

    async def check(fleet):
        copy = await _lose_seconds(fleet, lambda: _configure(fleet, 2))
        await _restore(fleet, copy)
        await fleet.join()
        _configure(fleet, 2)
        _publish(fleet, *fleet.servers)
        await asyncio.sleep(FIRST_CHANGE_S)
        _configure(fleet, 3)
        _publish(fleet, fleet.servers[0], state=DRAINING)
        await _reach(
            lambda: _versions(fleet), [3, 3, 3], fleet.cfg.bounds.configuration_s
        )
        await _reach(lambda: _served(fleet), [['i-b']] * 3, fleet.cfg.bounds.drain_s)

    in_fleet(check)
