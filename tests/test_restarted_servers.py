"""Servers that start again at their address, told by the records and the agent."""

import pytest
from testtools import assertions, matchers

from primrosesaddle.calls import backends
from primrosesaddle.fleet import servers

ADDRESS = '10.0.0.1:80'
LONG_S = 60.0
# Of the start that was known first, and of the one after it.
STARTS = [
    pytest.param(1000, 2000, id='clock-goes-on'),
    pytest.param(2000, 1000, id='clock-set-back'),
]


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


@pytest.fixture
def known(clock):
    """Return an empty collection of backends."""
    return backends.Backends(clock)


def _publish(known, start_time_ms, server_id='a'):
    """Replace all records by the one of a start, and return its server."""
    record = servers.BackendServer(
        server_id, 's', ADDRESS, 'd1', 4, False, {}, start_time_ms
    )
    known.update_records([record])
    return known.get_by_id(server_id)


def _report(known, clock, start_time_ms, active=0):
    report = backends.Report(
        clock.now, active, 0, {}, False, start_time_ms=start_time_ms
    )
    known.update_report(ADDRESS, report)


@pytest.mark.parametrize(('first', 'second'), STARTS)
def test_server_that_its_agent_reports_as_restarted_gets_no_calls(
    known, clock, first, second
):
    """Its record is of the start before, as are the weights that it names."""
    server = _publish(known, first)
    clock.now += LONG_S
    _report(known, clock, first)
    _assert_equal((known.is_usable(server), known.describe_end(server)), (True, ''))
    clock.now += 0.2
    _report(known, clock, second)
    _assert_equal(known.is_usable(server), False)
    _assert_equal(known.describe_end(server), 'its agent reports a later start')
    clock.now += LONG_S
    _assert_equal(known.is_usable(server), False)
    _assert_equal(known.is_usable(_publish(known, second)), True)


@pytest.mark.parametrize('server_id', ['a', 'b'])
@pytest.mark.parametrize(('first', 'second'), STARTS)
def test_restarted_server_is_used_if_its_agent_is_silent(
    known, clock, first, second, server_id
):
    """The last report of the start before kept calls from it for good."""
    _publish(known, first)
    _report(known, clock, first)
    clock.now += LONG_S
    server = _publish(known, second, server_id)
    _assert_equal((known.is_usable(server), known.describe_end(server)), (True, ''))
    clock.now += LONG_S
    _assert_equal(known.is_usable(server), True)


@pytest.mark.parametrize(('first', 'second'), STARTS)
def test_late_report_does_not_end_a_restarted_server(known, clock, first, second):
    """The record of a start may arrive before the last report of the one before."""
    _publish(known, first)
    clock.now += LONG_S
    server = _publish(known, second)
    clock.now += 0.3
    _report(known, clock, first)
    _assert_equal((known.is_usable(server), known.describe_end(server)), (True, ''))


@pytest.mark.parametrize(('first', 'second'), STARTS)
def test_calls_of_the_start_before_do_not_count(known, clock, first, second):
    """A late report of them made an empty server seem busy for a second."""
    _publish(known, first)
    clock.now += LONG_S
    server = _publish(known, second)
    _report(known, clock, first, active=4)
    _assert_equal(server.count_calls(clock.now), 0)
    _report(known, clock, second, active=3)
    _assert_equal(server.count_calls(clock.now), 3)


@pytest.mark.parametrize('start_time_ms', [0, 1000])
def test_server_without_a_published_start_is_not_taken_for_restarted(
    known, clock, start_time_ms
):
    """Two starts can be told apart only if both are known."""
    server = _publish(known, start_time_ms)
    clock.now += LONG_S
    _report(known, clock, 1000 - start_time_ms)
    _assert_equal(known.is_usable(server), True)
