"""Calls that arrive while every server of a service is loading its weights."""

import asyncio
import random

import pytest
from testtools import assertions, matchers

import enginestand as stand
from primrosesaddle.calls import admission, backends, placement
from primrosesaddle.core import layers, verdict

READY_IN_S = 1.5


@pytest.fixture
def with_empty_server():
    """Return a function that runs a check with a server that holds no layers yet.

    The check gets the admission and the backends. `ready_in_s` is what the agent
    reports, `fill_s` the time that is assumed for loading a part.
    """

    def run(check, ready_in_s, fill_s=None):
        async def main():
            clock = asyncio.get_running_loop().time
            known_backends = backends.Backends(clock)
            stand.add_servers(known_backends, a=('d1', (0, 0, 0)))
            _send_report(known_backends, {}, ready_in_s)
            placer = placement.Placer(
                known_backends,
                'd1',
                {},
                random.Random(1),
                clock,
                lambda service: fill_s,
            )
            admission_queue = admission.Admission(placer, lambda model: 0, clock)
            task = asyncio.create_task(admission_queue.run())
            try:
                await check(admission_queue, known_backends)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _send_report(known_backends, models, ready_in_s):
    now = asyncio.get_running_loop().time()
    report = backends.Report(now, 0, 0, models, False, ready_in_s=ready_in_s)
    known_backends.update_report('a:1', report)


def _make_call(spent_s):
    now = asyncio.get_running_loop().time()
    return stand.make_call(arrived_at=now, deadline_at=now + 3.0, spent_s=spent_s)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_retry_waits_for_a_server_that_is_being_filled(with_empty_server):
    """It waits longer than a late retry waits under load."""

    async def check(admission_queue, known_backends):
        placing = asyncio.create_task(
            admission_queue.acquire_slot(_make_call(3.0), stand.SERVICE)
        )
        for _ in range(4):
            await asyncio.sleep(admission.LATE_RETRY_WAIT_S / 3)
            _send_report(known_backends, {}, READY_IN_S)
        assert not placing.done()
        _send_report(known_backends, {stand.MODEL: layers.Span(0, stand.LAYERS, 1)}, 0)
        choice = await asyncio.wait_for(placing, 5)
        _assert_equal(choice.backend.server_id, 'a')

    with_empty_server(check, READY_IN_S)


@pytest.mark.parametrize(('ready_in_s', 'retry_s'), [(0.4, 0.4), (10.0, 1.0), (0, 1.0)])
def test_first_refusal_states_when_to_retry(with_empty_server, ready_in_s, retry_s):
    """It states when servers are ready, or a third of the remaining time if sooner."""

    async def check(admission_queue, known_backends):
        with pytest.raises(verdict.Refusal) as caught:
            await admission_queue.acquire_slot(
                stand.make_call(
                    arrived_at=asyncio.get_running_loop().time(),
                    deadline_at=asyncio.get_running_loop().time() + 3.0,
                    route=stand.ROUTE_WITH_SHORT_OBJECTIVE,
                ),
                stand.SERVICE,
            )
        _assert_equal(caught.value.verdict, verdict.Verdict.NOT_RUN)
        assert abs(caught.value.retry_after_s - retry_s) < 0.1

    with_empty_server(check, ready_in_s)


def test_low_recent_grant_rate_keeps_no_call_from_waiting(with_empty_server):
    """As many retries wait as the servers that are being filled have slots."""

    async def check(admission_queue, known_backends):
        _send_report(known_backends, {stand.MODEL: layers.Span(0, stand.LAYERS, 1)}, 0)
        await admission_queue.acquire_slot(_make_call(0.0), stand.SERVICE)
        _send_report(known_backends, {}, READY_IN_S)
        calls = [_make_call(3.0) for _ in range(4)]
        placing = [
            asyncio.create_task(admission_queue.acquire_slot(call, stand.SERVICE))
            for call in calls
        ]
        done, waiting = await asyncio.wait(placing, timeout=0.3)
        _assert_equal((len(done), len(waiting)), (0, 4))
        for task in placing:
            task.cancel()

    with_empty_server(check, READY_IN_S)


def test_call_waits_although_no_agent_has_reported_a_time_yet(with_empty_server):
    """Right after a start, the time to load a part of the weights is assumed."""

    async def check(admission_queue, known_backends):
        placing = asyncio.create_task(
            admission_queue.acquire_slot(_make_call(3.0), stand.SERVICE)
        )
        await asyncio.sleep(2 * admission.LATE_RETRY_WAIT_S)
        assert not placing.done()
        placing.cancel()

    with_empty_server(check, 0, fill_s=READY_IN_S)
