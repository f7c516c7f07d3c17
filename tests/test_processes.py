"""Processes killed, paused, resumed and drained while calls are in flight."""

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
    """Return an event loop runner and a started fleet, shared by the module."""
    runner = asyncio.Runner()
    started_fleet = fleet.Fleet(pathlib.Path(tmp_path_factory.mktemp('build')))
    runner.run(started_fleet.start(layout.nodes(entries=3, engines=3, planners=0)))
    yield runner, started_fleet
    runner.run(started_fleet.stop())
    runner.close()


async def book_slot(address, key, deadline_ms=5000):
    """Book a slot under an idempotency key, and return HTTP status and verdict.

    Status 0 means that no answer came; the verdict is '' without a refusal.
    """
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


async def count_runs(started_fleet, key):
    """Return how often the service ran the request with a key."""
    tally = await started_fleet.read('booking', '/standin/runs')
    return tally['runs'].get(key, 0)


def key_owned_by(owner, prefix):
    """Return a key with a prefix that an agent owns."""
    candidates = (f'{prefix}-{number}' for number in range(1000))
    return next(
        key
        for key in candidates
        if atmostonce.key_owner_of(f'lab-quito/bookings/{key}', layout.HOMES) == owner
    )


def test_key_owner_paused_past_the_deadline_runs_nothing_twice(processes):
    """The owner stops after it got the call and resumes after the deadline.

    The caller then retries under the same key, through another entry.
    """
    runner, started_fleet = processes
    entries = [process.callers for process in started_fleet.system('entry')]

    async def body():
        key = key_owned_by('book-2', 'paused')
        started_fleet.kill('book-2', signal.SIGSTOP)
        first = await book_slot(entries[0], key, deadline_ms=800)
        assertions.assert_that(first, matchers.Equals((504, 'may_have_run')))
        await asyncio.sleep(1.5)
        started_fleet.kill('book-2', signal.SIGCONT)
        deadline = time.monotonic() + 20
        repeated = (0, '')
        while repeated[0] != 201 and time.monotonic() < deadline:
            repeated = await book_slot(entries[1], key)
            await asyncio.sleep(0.2)
        assertions.assert_that(repeated[0], matchers.Equals(201))
        assertions.assert_that(await count_runs(started_fleet, key), matchers.Equals(1))

    runner.run(body())


def test_retry_after_its_entry_was_killed_runs_once(processes):
    """The entry dies while the service runs the request; the caller retries.

    The retry under the same key through another entry must not run it again.
    """
    runner, started_fleet = processes

    async def body():
        key = key_owned_by('book-1', 'killed')
        await started_fleet.put('booking', '/standin/faults', {'delay_s': 0.6})
        call = asyncio.create_task(
            book_slot(started_fleet.processes['entry-2'].callers, key)
        )
        await asyncio.sleep(0.3)
        started_fleet.kill('entry-2')
        first = await call
        assertions.assert_that(
            first[0],
            matchers.MatchesAny(
                matchers.Equals(0),
                matchers.Equals(599),
            ),
        )
        repeated = await book_slot(started_fleet.processes['entry-1'].callers, key)
        await started_fleet.put('booking', '/standin/faults', {})
        assertions.assert_that(repeated[0], matchers.Equals(201))
        assertions.assert_that(await count_runs(started_fleet, key), matchers.Equals(1))
        started_fleet.respawn('entry-2')
        await started_fleet.ready()

    runner.run(body())


def test_graceful_stop_under_load_interrupts_no_call(processes):
    """An entry, an engine's agent and a service's agent stop while callers call."""
    runner, started_fleet = processes

    async def body():
        first = [process.callers for process in started_fleet.system('entry')]
        callers = [
            client.Caller(name, first, seed)
            for name in layout.TOKENS
            for seed in range(2)
        ]
        load_until = time.monotonic() + LOAD_S
        load = [asyncio.create_task(caller.run(load_until)) for caller in callers]
        await asyncio.sleep(0.5)
        for name in ('entry-3', 'asst-2', 'book-3'):
            started_fleet.kill(name, signal.SIGTERM)
        await asyncio.gather(*load)
        books = [caller.book for caller in callers]
        notes = [note for book in books for note in book.notes]
        assertions.assert_that(notes, matchers.Equals([]))
        assertions.assert_that(
            sum(book.answered for book in books), matchers.GreaterThan(20)
        )
        for name in ('entry-3', 'asst-2', 'book-3'):
            status = await asyncio.to_thread(
                started_fleet.processes[name].proc.wait, 30
            )
            assertions.assert_that((name, status), matchers.Equals((name, 0)))

    runner.run(body())


def test_replaced_entry_gets_the_catalogue_from_peers_when_the_service_is_stale(
    processes,
):
    """The configuration service answers with an older revision than its peers have."""
    runner, started_fleet = processes

    async def body():
        await started_fleet.publish(started_fleet.document)
        revision = await started_fleet.publish(started_fleet.document)
        await asyncio.sleep(0.5)
        await started_fleet.put('conf', '/standin/faults', {'stale': True})
        started_fleet.respawn('entry-3')
        await started_fleet.ready()
        await asyncio.sleep(1)
        state = await httpio.fetch_json(
            '{0}/admin/v1/status'.format(started_fleet.processes['entry-3'].http)
        )
        await started_fleet.put('conf', '/standin/faults', {})
        assertions.assert_that(state['config']['revision'], matchers.Equals(revision))

    runner.run(body())
