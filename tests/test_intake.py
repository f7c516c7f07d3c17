"""Calls at the door of an entry: what their callers have spent already."""

import asyncio
import types

import pytest
from testtools import assertions, matchers

from primrosesaddle.calls import intake, routes

TIMEOUT_S = 6.0
ROUTE = routes.Route(
    'r', 'h', '/', routes.RouteKind.IDEMPOTENT, TIMEOUT_S, 1, 2, 0, (('s', 1.0),)
)
LIMITS = routes.Limits(16384, 4194304, 3, 15)


class Relay:
    """A relay that keeps what callers had spent."""

    def __init__(self):
        self.spent_s = []
        self.in_flight = 0

    async def serve(self, call, sink):
        self.spent_s.append(call.spent_s)


@pytest.fixture
def spent():
    """Return a function that tells what callers with some time limits had spent."""

    def run(*deadlines_s):
        async def main():
            conf = routes.make_configuration(1, [ROUTE], [], LIMITS, None)
            relay = Relay()
            door = intake.RequestIntake(
                types.SimpleNamespace(configuration=conf), relay
            )
            for deadline_s in deadlines_s:
                await door.serve(_asked(deadline_s), None)
            return relay.spent_s

        return asyncio.run(main())

    return run


def _asked(deadline_s):
    fields = {
        'call_id': 'c1',
        'method': 'GET',
        'target': '/x',
        'host': 'h',
        'arrived_at': 0.0,
        'headers': (),
        'body': b'',
        'key': '',
        'deadline_s': deadline_s,
    }
    return intake.IncomingRequest(**fields)


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_caller_that_came_back_is_known_by_its_time_limit(spent):
    """What is left of it tells what was spent."""
    _same(spent(6.1, 4.0), [0.0, pytest.approx(2.1)])


def test_caller_that_came_back_is_known_right_after_a_start(spent):
    """The first caller of a fresh entry is judged by the route's time limit."""
    _same(spent(4.0), [pytest.approx(2.0)])


def test_callers_with_short_limits_are_not_taken_for_ones_that_came_back(spent):
    """What callers state goes before the route's limit once some have come."""
    _same(spent(*[2.0] * intake.MIN_CALLS_OBSERVED)[-1], 0.0)
