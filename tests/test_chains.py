"""Chains: servers that hold a part of the layers each run calls together."""

import json
import random

import pytest
from testtools import assertions, matchers

import enginestand as stand
import platformstand
from primrosesaddle.calls import backends, placement
from primrosesaddle.core import layers
from primrosesaddle.platform import records, wire


@pytest.fixture
def table():
    """Return a table of backends at time 0."""
    return backends.Backends(float)


@pytest.fixture
def placer(table):
    """Return the placer of an entry in the first data centre."""
    regions = {'d1': 'r1', 'd2': 'r2'}
    return placement.Placer(
        table, 'd1', regions, random.Random(1), float, stand.no_time
    )


def _stops(choice):
    return [(stop.backend.server_id, stop.first, stop.end) for stop in choice.chain]


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_halves_make_a_chain(table, placer):
    """The server with the first layers takes the call."""
    stand.fill(table, a=('d1', stand.SECOND), b=('d1', stand.FIRST))
    choice = placer.choose_server(stand.call(), stand.SERVICE, 0)
    _same(choice.backend.server_id, 'b')
    _same(_stops(choice), [('b', 0, 2), ('a', 2, 4)])
    _same(choice.version, 2)


def test_whole_server_goes_before_a_chain(table, placer):
    """A server that holds everything takes calls alone."""
    stand.fill(
        table, a=('d1', stand.SECOND), b=('d1', stand.FIRST), c=('d1', (0, 4, 2))
    )
    choice = placer.choose_server(stand.call(), stand.SERVICE, 0)
    _same((choice.backend.server_id, choice.chain), ('c', ()))


@pytest.mark.parametrize(
    'held',
    [
        {'a': ('d1', (2, 4, 1)), 'b': ('d1', stand.FIRST)},
        {'a': ('d2', stand.SECOND), 'b': ('d1', stand.FIRST)},
        {'a': ('d1', stand.SECOND), 'b': ('d1', stand.SECOND)},
        {'a': ('d1', (3, 4, 2)), 'b': ('d1', stand.FIRST)},
        {'b': ('d1', stand.FIRST)},
    ],
    ids=['two versions', 'two data centres', 'no head', 'a gap', 'no tail'],
)
def test_parts_that_do_not_fit_make_no_chain(table, placer, held):
    """Every layer is run once, in order, at one version and in one place."""
    stand.fill(table, **held)
    _same(placer.choose_server(stand.call(), stand.SERVICE, 0), None)


def test_chain_of_an_older_version_than_required_is_passed_over(table, placer):
    """Nothing begins on parts of a version that is past its bound."""
    stand.fill(table, a=('d1', stand.SECOND), b=('d1', stand.FIRST))
    _same(placer.choose_server(stand.call(), stand.SERVICE, 3), None)


def test_chain_needs_fresh_reports(table):
    """What was told long ago may have been given up since."""
    now = [0.0]
    late = backends.Backends(lambda: now[0])
    placer = placement.Placer(
        late, 'd1', {}, random.Random(1), lambda: now[0], stand.no_time
    )
    stand.fill(late, a=('d1', stand.SECOND), b=('d1', stand.FIRST))
    now[0] = backends.REPORT_STALE_S
    _same(placer.choose_server(stand.call(), stand.SERVICE, 0), None)


def test_calls_are_spread_over_the_ends_of_chains(table, placer):
    """The end through which fewest calls pass is taken."""
    stand.fill(
        table, a=('d1', stand.SECOND), b=('d1', stand.FIRST), c=('d1', stand.SECOND)
    )
    table.get_by_id('a').passing_calls = 1
    choice = placer.choose_server(stand.call(), stand.SERVICE, 0)
    _same(_stops(choice)[1], ('c', 2, 4))


def test_chain_on_the_wire(table, placer):
    """The header lists addresses with their layers, and the version is fixed."""
    stand.fill(table, a=('d1', stand.SECOND), b=('d1', stand.FIRST))
    choice = placer.choose_server(stand.call(), stand.SERVICE, 0)
    headers = dict(wire.request_headers(stand.call(), choice, 1.0, 0, choice.version))
    _same(headers['Path'], 'b:1=0-2,a:1=2-4')
    _same(headers['X-Expect-Version'], '2')


def test_log_names_the_chain(table, placer):
    """What is logged of a choice ends with the servers that follow the first."""
    stand.fill(table, a=('d1', stand.SECOND), b=('d1', stand.FIRST))
    choice = placer.choose_server(stand.call(), stand.SERVICE, 0)
    _same(choice.describe(0.0).rpartition('>')[2], 'a')


@pytest.mark.parametrize(
    ('told', 'held'),
    [
        ({'from': 0, 'to': 2, 'version': 2}, {stand.MODEL: (0, 2, 2)}),
        ({'from': 0, 'to': 0, 'version': 0}, {}),
    ],
)
def test_record_tells_the_layers_beside_the_models(told, held):
    """A server that holds a part of the layers is not taken for whole."""
    server = platformstand.Server('a')
    body = json.dumps(server.record(layers=told)).encode()
    record = records.decode_record('servers/i-1', body)
    _same(record.models, held)
    for span in record.models.values():
        _same(layers.complete_version(span, stand.LAYERS), 0)


def test_server_that_tells_no_layers_holds_all():
    """Records without layers are of servers that hold their models whole."""
    body = json.dumps(platformstand.Server('a').record()).encode()
    span = records.decode_record('servers/i-1', body).models[stand.MODEL]
    _same(layers.complete_version(span, stand.LAYERS), 1)
