"""Chains: servers that hold a part of the layers each run calls together."""

import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.calls import backends, placement, request, routes
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.platform import wire

LAYERS = 4
MODEL = 'm1'
PROFILE = routes.EngineProfile(4, 0.01, 0, 1, 1e6, 100, 100, (MODEL,), LAYERS, 8, 1, 0)
SERVICE = routes.Service('engines', 64, PROFILE)
ROUTE = routes.Route(
    'r', 'h', '/', routes.Kind.STREAM, 5, 1, 2, 0, (('engines', 1.0),), resumable=True
)
FIRST, SECOND = (0, 2, 2), (2, 4, 2)


def _call(**changes):
    fields = {
        'call_id': 'c1',
        'method': 'POST',
        'target': '/',
        'headers': (),
        'body': b'',
        'route': ROUTE,
        'workspace': '',
        'rank': 0,
        'arrived': 0.0,
        'final_at': 5.0,
        'configuration': 1,
        'model': MODEL,
    }
    return request.Call(**{**fields, **changes})


@pytest.fixture
def table():
    """Return a table of backends at time 0."""
    return backends.Backends(float)


@pytest.fixture
def placer(table):
    """Return the placer of an entry in the first data centre."""
    regions = {'d1': 'r1', 'd2': 'r2'}
    return placement.Placer(table, 'd1', regions, random.Random(1), float)


def _fill(table, **held):
    """Add servers, by name, in a data centre and with some layers."""
    records = [
        servers.BackendServer(name, 'engines', f'{name}:1', where, 4, False, {})
        for name, (where, _) in held.items()
    ]
    table.update(records)
    for name, (_, span) in held.items():
        found = {MODEL: layers.Span(*span)}
        table.hear(f'{name}:1', backends.Report(0.0, 0, 0, found, False))


def _stops(choice):
    return [(stop.backend.server_id, stop.first, stop.end) for stop in choice.chain]


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_halves_make_a_chain(table, placer):
    """The server with the first layers takes the call."""
    _fill(table, a=('d1', SECOND), b=('d1', FIRST))
    choice = placer.choose(_call(), SERVICE, 0)
    _same(choice.backend.server_id, 'b')
    _same(_stops(choice), [('b', 0, 2), ('a', 2, 4)])
    _same(choice.version, 2)


def test_whole_server_goes_before_a_chain(table, placer):
    """A server that holds everything takes calls alone."""
    _fill(table, a=('d1', SECOND), b=('d1', FIRST), c=('d1', (0, 4, 2)))
    choice = placer.choose(_call(), SERVICE, 0)
    _same((choice.backend.server_id, choice.chain), ('c', ()))


@pytest.mark.parametrize(
    'held',
    [
        {'a': ('d1', (2, 4, 1)), 'b': ('d1', FIRST)},
        {'a': ('d2', SECOND), 'b': ('d1', FIRST)},
        {'a': ('d1', SECOND), 'b': ('d1', SECOND)},
        {'a': ('d1', (3, 4, 2)), 'b': ('d1', FIRST)},
        {'b': ('d1', FIRST)},
    ],
    ids=['two versions', 'two data centres', 'no head', 'a gap', 'no tail'],
)
def test_parts_that_do_not_fit_make_no_chain(table, placer, held):
    """Every layer is run once, in order, at one version and in one place."""
    _fill(table, **held)
    _same(placer.choose(_call(), SERVICE, 0), None)


def test_chain_of_an_older_version_than_required_is_passed_over(table, placer):
    """Nothing begins on parts of a version that is past its bound."""
    _fill(table, a=('d1', SECOND), b=('d1', FIRST))
    _same(placer.choose(_call(), SERVICE, 3), None)


def test_chain_needs_fresh_reports(table):
    """What was told long ago may have been given up since."""
    now = [0.0]
    late = backends.Backends(lambda: now[0])
    placer = placement.Placer(late, 'd1', {}, random.Random(1), lambda: now[0])
    _fill(late, a=('d1', SECOND), b=('d1', FIRST))
    now[0] = backends.REPORT_STALE_S
    _same(placer.choose(_call(), SERVICE, 0), None)


def test_calls_are_spread_over_the_ends_of_chains(table, placer):
    """The end through which fewest calls pass is taken."""
    _fill(table, a=('d1', SECOND), b=('d1', FIRST), c=('d1', SECOND))
    table.get('a').passing = 1
    choice = placer.choose(_call(), SERVICE, 0)
    _same(_stops(choice)[1], ('c', 2, 4))


def test_chain_on_the_wire(table, placer):
    """The header lists addresses with their layers, and the version is fixed."""
    _fill(table, a=('d1', SECOND), b=('d1', FIRST))
    choice = placer.choose(_call(), SERVICE, 0)
    headers = dict(wire.request_headers(_call(), choice, 1.0, 0, choice.version))
    _same(headers['Path'], 'b:1=0-2,a:1=2-4')
    _same(headers['X-Expect-Version'], '2')
