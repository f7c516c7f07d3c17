"""Chains: servers that each hold a part of the layers run calls together."""

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
def known_backends():
    """Return an empty collection of backends whose clock stays at 0."""
    return backends.Backends(float)


@pytest.fixture
def placer(known_backends):
    """Return the placer of an entry in data centre d1."""
    regions = {'d1': 'r1', 'd2': 'r2'}
    return placement.Placer(
        known_backends, 'd1', regions, random.Random(1), float, stand.no_fill_estimate
    )


def _list_members(choice):
    return [
        (member.backend.server_id, member.first, member.end) for member in choice.chain
    ]


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_halves_make_a_chain(known_backends, placer):
    """The server with the first layers receives the call."""
    stand.add_servers(
        known_backends, a=('d1', stand.SECOND_HALF), b=('d1', stand.FIRST_HALF)
    )
    choice = placer.choose_server(stand.make_call(), stand.SERVICE, 0)
    _assert_equal(choice.backend.server_id, 'b')
    _assert_equal(_list_members(choice), [('b', 0, 2), ('a', 2, 4)])
    _assert_equal(choice.version, 2)


def test_server_with_all_layers_is_preferred_to_a_chain(known_backends, placer):
    """A server that holds all layers runs calls alone."""
    stand.add_servers(
        known_backends,
        a=('d1', stand.SECOND_HALF),
        b=('d1', stand.FIRST_HALF),
        c=('d1', (0, 4, 2)),
    )
    choice = placer.choose_server(stand.make_call(), stand.SERVICE, 0)
    _assert_equal((choice.backend.server_id, choice.chain), ('c', ()))


@pytest.mark.parametrize(
    'held',
    [
        {'a': ('d1', (2, 4, 1)), 'b': ('d1', stand.FIRST_HALF)},
        {'a': ('d2', stand.SECOND_HALF), 'b': ('d1', stand.FIRST_HALF)},
        {'a': ('d1', stand.SECOND_HALF), 'b': ('d1', stand.SECOND_HALF)},
        {'a': ('d1', (3, 4, 2)), 'b': ('d1', stand.FIRST_HALF)},
        {'b': ('d1', stand.FIRST_HALF)},
    ],
    ids=['two versions', 'two data centres', 'no head', 'a gap', 'no tail'],
)
def test_parts_that_do_not_fit_make_no_chain(known_backends, placer, held):
    """All layers of a chain are of one version and in one data centre, without gaps."""
    stand.add_servers(known_backends, **held)
    _assert_equal(placer.choose_server(stand.make_call(), stand.SERVICE, 0), None)


def test_chain_of_an_outdated_version_is_not_used(known_backends, placer):
    """No call begins on layers of a version that is lower than required."""
    stand.add_servers(
        known_backends, a=('d1', stand.SECOND_HALF), b=('d1', stand.FIRST_HALF)
    )
    _assert_equal(placer.choose_server(stand.make_call(), stand.SERVICE, 3), None)


def test_chain_requires_fresh_reports(known_backends):
    """Layers of a stale report may have been unloaded since."""
    now = [0.0]
    stale_backends = backends.Backends(lambda: now[0])
    placer = placement.Placer(
        stale_backends,
        'd1',
        {},
        random.Random(1),
        lambda: now[0],
        stand.no_fill_estimate,
    )
    stand.add_servers(
        stale_backends, a=('d1', stand.SECOND_HALF), b=('d1', stand.FIRST_HALF)
    )
    now[0] = backends.REPORT_STALE_S
    _assert_equal(placer.choose_server(stand.make_call(), stand.SERVICE, 0), None)


def test_calls_are_spread_over_the_last_servers_of_chains(known_backends, placer):
    """Of servers with the same layers, that with the fewest passing calls is used."""
    stand.add_servers(
        known_backends,
        a=('d1', stand.SECOND_HALF),
        b=('d1', stand.FIRST_HALF),
        c=('d1', stand.SECOND_HALF),
    )
    known_backends.get_by_id('a').passing_calls = 1
    choice = placer.choose_server(stand.make_call(), stand.SERVICE, 0)
    _assert_equal(_list_members(choice)[1], ('c', 2, 4))


def test_headers_of_an_attempt_at_a_chain(known_backends, placer):
    """They list the addresses with their layers, and fix the version."""
    stand.add_servers(
        known_backends, a=('d1', stand.SECOND_HALF), b=('d1', stand.FIRST_HALF)
    )
    choice = placer.choose_server(stand.make_call(), stand.SERVICE, 0)
    headers = dict(
        wire.request_headers(stand.make_call(), choice, 1.0, 0, choice.version)
    )
    _assert_equal(headers['Path'], 'b:1=0-2,a:1=2-4')
    _assert_equal(headers['X-Expect-Version'], '2')


def test_log_summary_names_the_chain(known_backends, placer):
    """The summary of a choice ends with the servers that follow the first."""
    stand.add_servers(
        known_backends, a=('d1', stand.SECOND_HALF), b=('d1', stand.FIRST_HALF)
    )
    choice = placer.choose_server(stand.make_call(), stand.SERVICE, 0)
    _assert_equal(choice.describe(0.0).rpartition('>')[2], 'a')


@pytest.mark.parametrize(
    ('published', 'held'),
    [
        ({'from': 0, 'to': 2, 'version': 2}, {stand.MODEL: (0, 2, 2)}),
        ({'from': 0, 'to': 0, 'version': 0}, {}),
    ],
)
def test_record_lists_the_layers_of_a_model(published, held):
    """A server that holds a part of the layers is not taken to hold all of them."""
    server = platformstand.Server('a')
    body = json.dumps(server.record(layers=published)).encode()
    record = records.decode_record('servers/i-1', body)
    _assert_equal(record.models, held)
    for span in record.models.values():
        _assert_equal(layers.complete_version(span, stand.LAYERS), 0)


def test_server_without_published_layers_holds_all():
    """A record without layers is of a server that holds all layers of its models."""
    body = json.dumps(platformstand.Server('a').record()).encode()
    span = records.decode_record('servers/i-1', body).models[stand.MODEL]
    _assert_equal(layers.complete_version(span, stand.LAYERS), 1)
