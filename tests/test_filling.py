"""Calls that come while every server of a service is being filled."""

import asyncio
import random

import pytest
from testtools import assertions, matchers

import enginestand as stand
from primrosesaddle.calls import admission, backends, placement
from primrosesaddle.core import layers, verdict

FILLED_IN_S = 1.5


@pytest.fixture
def while_empty():
    """Return a function that runs a check against a server that is being filled."""

    def run(check, ready_in_s, fill_s=None):
        async def main():
            clock = asyncio.get_running_loop().time
            table = backends.Backends(clock)
            stand.fill(table, a=('d1', (0, 0, 0)))
            _report(table, {}, ready_in_s)
            placer = placement.Placer(
                table, 'd1', {}, random.Random(1), clock, lambda service: fill_s
            )
            queue = admission.Admission(placer, lambda model: 0, clock)
            task = asyncio.create_task(queue.run())
            try:
                await check(queue, table)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _report(table, models, ready_in_s):
    now = asyncio.get_running_loop().time()
    report = backends.Report(now, 0, 0, models, False, ready_in_s=ready_in_s)
    table.update_report('a:1', report)


def _call(spent_s):
    now = asyncio.get_running_loop().time()
    return stand.call(arrived_at=now, deadline_at=now + 3.0, spent_s=spent_s)


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_call_that_came_back_waits_for_a_server_that_is_being_filled(while_empty):
    """It waits beyond the time for which a call is held under load."""

    async def check(queue, table):
        placing = asyncio.create_task(queue.acquire_slot(_call(3.0), stand.SERVICE))
        for _ in range(4):
            await asyncio.sleep(admission.LATE_RETRY_WAIT_S / 3)
            _report(table, {}, FILLED_IN_S)
        assert not placing.done()
        _report(table, {stand.MODEL: layers.Span(0, stand.LAYERS, 1)}, 0)
        choice = await asyncio.wait_for(placing, 5)
        _same(choice.backend.server_id, 'a')

    while_empty(check, FILLED_IN_S)


@pytest.mark.parametrize(('ready_in_s', 'retry_s'), [(0.4, 0.4), (10.0, 1.0), (0, 1.0)])
def test_first_refusal_tells_when_to_come_back(while_empty, ready_in_s, retry_s):
    """It names when servers are filled, or a third of the time that is left."""

    async def check(queue, table):
        with pytest.raises(verdict.Refusal) as caught:
            await queue.acquire_slot(
                stand.call(
                    arrived_at=asyncio.get_running_loop().time(),
                    deadline_at=asyncio.get_running_loop().time() + 3.0,
                    route=stand.HURRIED,
                ),
                stand.SERVICE,
            )
        _same(caught.value.verdict, verdict.Verdict.NOT_RUN)
        assert abs(caught.value.retry_after_s - retry_s) < 0.1

    while_empty(check, ready_in_s)


def test_a_slow_rate_of_late_keeps_no_call_from_waiting(while_empty):
    """Calls queue up to the places of the servers that are being filled."""

    async def check(queue, table):
        _report(table, {stand.MODEL: layers.Span(0, stand.LAYERS, 1)}, 0)
        await queue.acquire_slot(_call(0.0), stand.SERVICE)
        _report(table, {}, FILLED_IN_S)
        calls = [_call(3.0) for _ in range(4)]
        placing = [
            asyncio.create_task(queue.acquire_slot(call, stand.SERVICE))
            for call in calls
        ]
        done, waiting = await asyncio.wait(placing, timeout=0.3)
        _same((len(done), len(waiting)), (0, 4))
        for task in placing:
            task.cancel()

    while_empty(check, FILLED_IN_S)


def test_call_waits_though_no_agent_has_told_a_time_yet(while_empty):
    """Right after a start, the time that agents take for a part is assumed."""

    async def check(queue, table):
        placing = asyncio.create_task(queue.acquire_slot(_call(3.0), stand.SERVICE))
        await asyncio.sleep(2 * admission.LATE_RETRY_WAIT_S)
        assert not placing.done()
        placing.cancel()

    while_empty(check, 0, fill_s=FILLED_IN_S)
