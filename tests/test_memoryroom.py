"""What is in flight at an engine, and its memory."""

import dataclasses

import pytest
from testtools import assertions, matchers

import enginestand
import platformstand as stand
from primrosesaddle.calls import backends, request
from primrosesaddle.platform import records
from primrosesaddle.restrictions import memoryroom

CAPACITY = 10_000
SERVICE = dataclasses.replace(
    enginestand.SERVICE,
    engine=dataclasses.replace(enginestand.PROFILE, memory_tokens=CAPACITY),
)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _make_call(call_id, tokens):
    return enginestand.make_call(
        call_id=call_id, cost=request.TokenCost(tokens // 2, tokens - tokens // 2)
    )


@pytest.fixture
def engine(clock):
    """Return an engine that runs a call of this entry."""
    known = backends.Backends(clock)
    enginestand.add_servers(known, a=('d1', enginestand.FIRST_HALF))
    found = known.list_servers('engines')[0]
    found.add_call(_make_call('own', 3000))
    return found


def _report(engine, clock, share):
    engine.report = backends.Report(clock.now, 1, 0, {}, False, memory_share=share)


@pytest.mark.parametrize(
    ('share', 'tokens', 'expected'),
    [(0.1, 6000, ''), (0.1, 6001, 'memory'), (0.7, 2000, ''), (0.7, 2001, 'memory')],
)
def test_calls_of_all_entries_fit_in_the_memory(clock, engine, share, tokens, expected):
    """An engine with free slots gives up streams when long prompts come together."""
    explain = memoryroom.make_rule(lambda name: SERVICE, lambda: 4, clock)
    _report(engine, clock, share)
    _assert_equal(explain(_make_call('next', tokens), engine), expected)


def test_without_a_report_each_entry_has_a_part_of_the_memory(clock, engine):
    """Entries that do not hear the agent do not know what the others have sent."""
    clock.now += 10 * backends.REPORT_STALE_S
    entries = [1]
    explain = memoryroom.make_rule(lambda name: SERVICE, lambda: entries[0], clock)
    _assert_equal(explain(_make_call('next', 2000), engine), '')
    entries[0] = 3
    _assert_equal(explain(_make_call('next', 2000), engine), 'memory')


def test_a_call_alone_is_let_pass(clock, engine):
    """A call that is too large would otherwise wait for room that never comes."""
    explain = memoryroom.make_rule(lambda name: SERVICE, lambda: 4, clock)
    engine.remove_call(_make_call('own', 3000))
    _report(engine, clock, 0.0)
    _assert_equal(explain(_make_call('next', 2 * CAPACITY), engine), '')


def test_nothing_is_limited_where_no_memory_is_stated(clock, engine):
    """Earlier configurations state none."""
    explain = memoryroom.make_rule(lambda name: enginestand.SERVICE, lambda: 4, clock)
    _report(engine, clock, 1.0)
    _assert_equal(explain(_make_call('next', 2 * CAPACITY), engine), '')


def test_a_configuration_states_the_memory():
    """Its name on the wire tells nothing of tokens."""
    body = (
        b'{"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":1,'
        b'"step_ms":1,"read_per_s":1,"kvCapacity":5}}]}'
    )
    decoded = records.decode_record('op/config', body)
    _assert_equal(decoded.services['s'].engine.memory_tokens, 5)


def test_an_entry_keeps_calls_from_a_full_engine(in_fleet):
    """The second of two long answers waits, and is refused as not run."""
    server = stand.Server('a', stand.hang)
    headers = {'X-Model': stand.MODEL, 'X-Token-Count': '100,600'}

    async def check(fleet):
        engine = {**stand.ENGINES, 'engine': {**stand.ENGINES['engine']}}
        engine['engine']['kvCapacity'] = 1000
        fleet.store.put('op/config', stand.configuration(2, services=[engine]))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        _, writer = await fleet.open('/chat/1', headers=headers)
        await fleet.until(lambda: server.seen)
        got = await fleet.call('/chat/2', headers=headers, deadline_ms=1500)
        _assert_equal((got.status, len(server.seen)), (503, 1))
        writer.close()

    in_fleet(check, server)
