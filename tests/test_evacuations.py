"""Evacuations and homes while calls run, played against entries."""

import asyncio
import contextlib
import json

import pytest
from demo import ports
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.net import upstream

EVACUATE = 'op/evacuate/dc-1'


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _restrict(version, regions):
    """Return a configuration whose routes, or first workspace, have homes."""
    conf = stand.configuration(version)
    for route in conf['routes']:
        route['allowedRegions'] = regions
    return conf


async def _add_far_server(fleet):
    far = stand.Server('far', stand.stream(2))
    await far.start()
    fleet.servers.append(far)
    fleet.store.put('servers/i-far', far.record(zone='dc-2'))
    await fleet.until(lambda: 'i-far' in fleet.known_servers())
    return far


@pytest.mark.parametrize(
    ('path', 'is_evacuated', 'has_other'),
    [('/book/1', True, True), ('/read/1', False, True), ('/book/1', True, False)],
)
def test_call_is_withdrawn_while_a_connection_is_opened(
    in_fleet, monkeypatch, path, is_evacuated, has_other
):
    """An evacuation, or other homes, may come between the choice and the request."""
    near = stand.Server('near')
    may_dial = asyncio.Event()
    dialled = []
    dial = upstream.dial

    async def slow_dial(address):
        dialled.append(address)
        if address == near.address:
            await may_dial.wait()
        return await dial(address)

    monkeypatch.setattr(upstream, 'dial', slow_dial)

    async def check(fleet):
        call = asyncio.create_task(fleet.call(path))
        await fleet.until(lambda: dialled)
        if has_other:
            (await _add_far_server(fleet)).script = stand.answer()
        if is_evacuated:
            fleet.store.put(EVACUATE, {})
            await fleet.until(lambda: fleet.entry._view.evacuations)
        else:
            fleet.store.put('op/config', _restrict(2, ['region-2']))
            await fleet.until(lambda: fleet.entry.configuration_version == 2)
        may_dial.set()
        _assert_equal((await call).status, 200 if has_other else 503)
        _assert_equal(near.seen, [])

    in_fleet(check, near)


@pytest.mark.parametrize('path', ['/chat/1', '/read/1', '/book/1'])
def test_running_call_ends_in_peace_and_others_are_refused(in_fleet, path):
    """All data centres are evacuated while a call runs, and one is taken back."""
    server = stand.Server('near', stand.stream(5, pause_s=0.1))

    async def check(fleet):
        running = asyncio.create_task(fleet.call('/chat/1'))
        await fleet.until(lambda: server.seen)
        for data_centre in ('dc-1', 'dc-2', 'dc-9'):
            fleet.store.put(f'op/evacuate/{data_centre}', {})
        await fleet.until(lambda: len(fleet.entry._view.evacuations) == 3)
        began = asyncio.get_running_loop().time()
        refused = await fleet.call(path)
        assert asyncio.get_running_loop().time() - began < 0.5
        assert float(refused.headers['retry-after']) > 0
        assert 'evacuated=dc-1:1' in json.loads(refused.body)['reason']
        _assert_equal((refused.status, len(server.seen)), (503, 1))
        fleet.store.remove(EVACUATE)
        await fleet.until(lambda: len(fleet.entry._view.evacuations) == 2)
        served = await fleet.call('/chat/1')
        for reply in (served, await running):
            _assert_equal((reply.status, reply.body.count(b'id:')), (200, 5))

    in_fleet(check, server)


def test_waiting_call_is_refused_at_once(in_fleet):
    """It waited for a slot of an evacuated server until it was too late elsewhere."""
    server = stand.Server('near', stand.hang)

    async def check(fleet):
        async with asyncio.TaskGroup() as group:
            running = [group.create_task(fleet.call('/book/1')) for _ in range(4)]
            await fleet.until(lambda: len(server.seen) == 4)
            waiting = asyncio.create_task(fleet.call('/book/1'))
            await fleet.until(lambda: fleet.entry._admission.count_waiting() == 1)
            fleet.store.put(EVACUATE, {})
            refused = await waiting
            for task in running:
                task.cancel()
        assert 'excluded: evacuated' in json.loads(refused.body)['reason']
        _assert_equal((refused.status, len(server.seen)), (503, 4))

    in_fleet(check, server)


def test_retry_and_further_attempt_stay_out_of_an_evacuated_data_centre(in_fleet):
    """A stream falls silent elsewhere, or its server fails, after the evacuation."""
    near = stand.Server('near', stand.stream(2))

    async def check(fleet):
        far = await _add_far_server(fleet)
        fleet.store.put(EVACUATE, {})
        await fleet.until(lambda: fleet.entry._view.evacuations)
        for script in (stand.close, stand.hang, stand.stream(4, breaks_after=2)):
            far.script = script
            reply = await fleet.call('/chat/1', deadline_ms=2500)
            assert reply.status != 200 or not reply.whole
        _assert_equal(near.seen, [])

    in_fleet(check, near)


@pytest.mark.parametrize('is_restarted', [True, False])
def test_entry_without_the_store_learns_of_an_evacuation(in_fleet, is_restarted):
    """The store turns it away all the while; its peers tell it before a first call."""
    server = stand.Server('near')

    async def check(fleet):
        if is_restarted:
            fleet.store.put(EVACUATE, {})
        await fleet.join(store=ports.free_address())
        if not is_restarted:
            await fleet.until(lambda: fleet.known_servers())
            fleet.store.put(EVACUATE, {})
            await fleet.until(lambda: fleet.entry._view.evacuations)
        await fleet.until(lambda: fleet.entry.ready)
        _assert_equal((await fleet.call('/book/1')).status, 503)
        fleet.store.down = True
        await asyncio.sleep(1.0)
        _assert_equal(((await fleet.call('/book/1')).status, server.seen), (503, []))
        fleet.store.down = False
        fleet.store.remove(EVACUATE)
        await fleet.until(lambda: not fleet.entry._view.evacuations)
        _assert_equal((await fleet.call('/book/1')).status, 200)

    in_fleet(check, server)


@pytest.mark.parametrize(
    ('homes', 'region', 'expected'),
    [
        (None, 'region-9', (1, 2)),
        (['region-2'], 'region-1', (1, 2)),
        (['region-2'], 'region-2', (2,)),
        (['region-2'], '', (2,)),
        (['region-7'], 'region-9', (1, 2)),
    ],
)
def test_directory_leads_callers_home(in_fleet, homes, region, expected):
    """It named entries in other regions too; if no other is ready, it still does."""

    async def check(fleet):
        first = fleet.cfg.listen
        await fleet.join('dc-2')
        fleet.store.put('op/config', _restrict(2, homes))
        await fleet.until(
            lambda: all(
                each.configuration_version == 2 and len(each.list_addresses()) == 2
                for each in fleet.entries
            )
        )
        addresses = {first.callers: 1, fleet.cfg.listen.callers: 2}
        host, _, port = first.directory.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            query = f'name=SHOP.example&region={region}&zone=dc-2'
            writer.write(
                f'GET /primrosesaddle/resolve?{query} HTTP/1.1\r\n'
                'Host: x\r\n\r\n'.encode()
            )
            answer = json.loads((await stand.read_answer(reader)).body)
        found = sorted(addresses[address] for address in answer['addresses'])
        _assert_equal(tuple(found), expected)

    in_fleet(check)
