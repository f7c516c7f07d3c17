"""Request intake: the time that a caller has spent, and the parts of its prompt."""

import asyncio
import types

import pytest
from testtools import assertions, matchers

from primrosesaddle.calls import intake, routes
from primrosesaddle.platform import http_applications

TIMEOUT_S = 6.0
ROUTE = routes.Route(
    'r', 'h', '/', routes.RouteKind.IDEMPOTENT, TIMEOUT_S, 1, 2, 0, (('s', 1.0),)
)
LIMITS = routes.Limits(16384, 4194304, 3, 15)


class FakeForwarder:
    """A forwarder that records the time that callers had spent."""

    def __init__(self):
        self.spent_s = []
        self.in_flight = 0

    async def serve(self, call, sink):
        self.spent_s.append(call.spent_s)


@pytest.fixture
def measure_spent_s():
    """Return a function that serves requests with some time limits in seconds.

    It returns the seconds that each caller is taken to have spent before.
    """

    def run(*deadlines_s):
        async def main():
            conf = routes.make_configuration(1, [ROUTE], [], LIMITS, None)
            forwarder = FakeForwarder()
            request_intake = intake.RequestIntake(
                types.SimpleNamespace(configuration=conf), forwarder
            )
            for deadline_s in deadlines_s:
                await request_intake.serve(_make_request(deadline_s), None)
            return forwarder.spent_s

        return asyncio.run(main())

    return run


def _make_request(deadline_s):
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


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_retry_is_recognised_by_its_shorter_time_limit(measure_spent_s):
    """The time spent is the difference to the longest time limit of the route."""
    _assert_equal(measure_spent_s(6.1, 4.0), [0.0, pytest.approx(2.1)])


def test_retry_is_recognised_right_after_a_start(measure_spent_s):
    """The first request of a new entry is compared with the route's time limit."""
    _assert_equal(measure_spent_s(4.0), [pytest.approx(2.0)])


def test_first_attempts_with_short_time_limits_are_not_taken_for_retries(
    measure_spent_s,
):
    """After some calls, the stated limits count instead of the route's limit."""
    _assert_equal(measure_spent_s(*[2.0] * intake.MIN_CALLS_OBSERVED)[-1], 0.0)


@pytest.mark.parametrize(
    ('stated', 'shared'),
    [
        ('', ()),
        ('aa:800', ()),
        ('aa:800,bb:410,cc:250', ('aa', 'bb')),
        (' AA:800 ,bb, cc:250', ('aa', 'bb')),
        ('aa:1,bb:2,aa:3,cc:4', ('aa', 'bb')),
        ('aa:1,bb:2,', ('aa',)),
        ('zz:1,:2,,a b:3,aa:x:y,' + 'f' * 65 + ':1,cc:4', ('aa',)),
        (',,,', ()),
        ('aa:1,' * 9 + 'bb:1', ('aa',)),
    ],
)
def test_shared_parts_of_a_prompt_are_read(stated, shared):
    """The last part is the request's own, and malformed ones identify nothing."""
    _assert_equal(http_applications.parse_shared_parts(stated), shared)


def test_number_of_parts_read_is_bounded():
    """A prompt of many parts must not fill the tables that hold their ids."""
    stated = ','.join(f'{number:x}:1' for number in range(1000))
    read = http_applications.parse_shared_parts(stated)
    _assert_equal(len(read), http_applications.MAX_PARTS)
