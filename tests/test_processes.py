"""Plain processes killed, stopped, woken and drained while calls are in flight."""

import asyncio
import json
import pathlib
import signal
import time

import pytest
from demo import client, fleet, layout
from testtools import assertions, matchers

from primrosesaddle.core import httpio
from primrosesaddle.gateway import atmostonce

LOAD_S = 3.0


@pytest.fixture(scope='module')
def processes(tmp_path_factory):
    """Return a runner and a fleet of processes, kept for a module."""
    runner = asyncio.Runner()
    made = fleet.Fleet(pathlib.Path(tmp_path_factory.mktemp('build')))
    runner.run(made.start(layout.nodes(entries=3, engines=3, planners=0)))
    yield runner, made
    runner.run(made.stop())
    runner.close()


async def book(address, key, deadline_ms=5000):
    """Book a slot under a key, and return status and verdict."""
    try:
        answer = await httpio.fetch(
            f'http://{address}/v1/services/bookings/book',
            'POST',
            b'{"slot": 7}',
            20,
            headers={
                'Authorization': 'Bearer {0}'.format(layout.TOKENS['lab-quito']),
                'Idempotency-Key': key,
                'Request-Deadline-Ms': str(deadline_ms),
            },
        )
    except httpio.HttpFailure:
        return 0, ''
    if answer.code >= 300 and answer.body:
        return answer.code, json.loads(answer.body)['verdict']
    return answer.code, ''


async def runs_of(made, key):
    tally = await made.read('booking', '/standin/runs')
    return tally['runs'].get(key, 0)


def key_at(home, salt):
    found = (f'{salt}-{number}' for number in range(1000))
    return next(
        key
        for key in found
        if atmostonce.key_owner_of(f'lab-quito/bookings/{key}', layout.HOMES) == home
    )


def test_a_home_paused_past_the_deadline_wakes_and_runs_nothing_twice(processes):
    runner, made = processes
    entries = [one.callers for one in made.system('entry')]

    async def body():
        key = key_at('book-2', 'paused')
        made.kill('book-2', signal.SIGSTOP)
        first = await book(entries[0], key, deadline_ms=800)
        assertions.assert_that(first, matchers.Equals((504, 'may_have_run')))
        await asyncio.sleep(1.5)
        made.kill('book-2', signal.SIGCONT)
        deadline = time.monotonic() + 20
        again = (0, '')
        while again[0] != 201 and time.monotonic() < deadline:
            again = await book(entries[1], key)
            await asyncio.sleep(0.2)
        assertions.assert_that(again[0], matchers.Equals(201))
        assertions.assert_that(await runs_of(made, key), matchers.Equals(1))

    runner.run(body())


def test_an_entry_killed_after_forwarding_and_the_caller_retrying(processes):
    runner, made = processes

    async def body():
        key = key_at('book-1', 'killed')
        await made.put('booking', '/standin/faults', {'delay_s': 0.6})
        call = asyncio.create_task(book(made.processes['entry-2'].callers, key))
        await asyncio.sleep(0.3)
        made.kill('entry-2')
        first = await call
        assertions.assert_that(
            first[0],
            matchers.MatchesAny(
                matchers.Equals(0),
                matchers.Equals(599),
            ),
        )
        again = await book(made.processes['entry-1'].callers, key)
        await made.put('booking', '/standin/faults', {})
        assertions.assert_that(again[0], matchers.Equals(201))
        assertions.assert_that(await runs_of(made, key), matchers.Equals(1))
        made.respawn('entry-2')
        await made.ready()

    runner.run(body())


def test_a_planned_stop_under_load_cuts_no_call(processes):
    runner, made = processes

    async def body():
        first = [one.callers for one in made.system('entry')]
        callers = [
            client.Caller(name, first, seed)
            for name in layout.TOKENS
            for seed in range(2)
        ]
        until = time.monotonic() + LOAD_S
        load = [asyncio.create_task(caller.run(until)) for caller in callers]
        await asyncio.sleep(0.5)
        for name in ('entry-3', 'asst-2', 'book-3'):
            made.kill(name, signal.SIGTERM)
        await asyncio.gather(*load)
        books = [caller.book for caller in callers]
        notes = [note for one in books for note in one.notes]
        assertions.assert_that(notes, matchers.Equals([]))
        assertions.assert_that(
            sum(one.answered for one in books), matchers.GreaterThan(20)
        )
        for name in ('entry-3', 'asst-2', 'book-3'):
            status = await asyncio.to_thread(made.processes[name].proc.wait, 30)
            assertions.assert_that((name, status), matchers.Equals((name, 0)))

    runner.run(body())


def test_a_replacement_learns_from_its_peers_while_the_service_is_stale(processes):
    runner, made = processes

    async def body():
        await made.publish(made.document)
        revision = await made.publish(made.document)
        await asyncio.sleep(0.5)
        await made.put('conf', '/standin/faults', {'stale': True})
        made.respawn('entry-3')
        await made.ready()
        await asyncio.sleep(1)
        state = await httpio.fetch_json(
            '{0}/admin/v1/status'.format(made.processes['entry-3'].http)
        )
        await made.put('conf', '/standin/faults', {})
        assertions.assert_that(state['config']['revision'], matchers.Equals(revision))

    runner.run(body())
