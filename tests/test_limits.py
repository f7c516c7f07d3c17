"""Rate limits over all entries in virtual time, against one global counter."""

import pytest
from bench import limitworld
from hypothesis import given
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle.core import verdict
from primrosesaddle.gateway import limits

CONNECTED_BOUND = 1.1
DISTURBED_BOUND = 2.0


demand_phases = st.lists(
    st.fixed_dictionaries(
        {
            'e0': st.sampled_from([0, 5, 60, 400]),
            'e1': st.sampled_from([0, 5, 60, 400]),
            'e2': st.sampled_from([0, 5, 60, 400]),
            'e3': st.sampled_from([0, 5, 60, 400]),
        }
    ),
    min_size=1,
    max_size=3,
)


@hsettings(max_examples=25)
@given(
    demand_phases, st.sampled_from(['none', 'die', 'cut', 'join']), st.integers(0, 3)
)
def test_the_bound_holds_when_an_entry_joins_dies_or_is_cut_off(
    phases, event, entry_index
):
    """No event may let a workspace exceed twice its limit in one second."""
    world = limitworld.World(4)
    name = f'e{entry_index}'
    for index, demand in enumerate(phases):
        world.run(3, demand)
        if index == 0 and event == 'die':
            world.entries.pop(name)
        elif index == 0 and event == 'cut':
            world.cut.add(name)
        elif index == 0 and event == 'join':
            world.names.append('e4')
            world.entries['e4'] = world.make_entry('e4')
            for entry in world.entries.values():
                entry.set_members(world.names)
    world.run(4, {**phases[-1], 'e4': 400})
    slack = len(world.names) / limitworld.RATE
    assertions.assert_that(
        world.busiest_second(), matchers.LessThan(DISTURBED_BOUND + slack)
    )


@hsettings(max_examples=25)
@given(demand_phases)
def test_connected_entries_stay_near_the_global_counter(phases):
    """Exchanged shares must not let more than 1.1 of the limit pass in a second."""
    world = limitworld.World(4)
    for demand in phases:
        world.run(4, demand)
    slack = len(world.names) / limitworld.RATE
    assertions.assert_that(
        world.busiest_second(), matchers.LessThan(CONNECTED_BOUND + slack)
    )


def test_one_entry_with_demand_gets_nearly_the_whole_limit():
    """Equal shares would leave the limit unused if one entry gets all calls."""
    world = limitworld.World(4)
    world.run(12, {'e2': 300})
    settled_times = [at for at in world.admitted if at >= 8]
    assertions.assert_that(
        len(settled_times) / 4 / limitworld.RATE, matchers.GreaterThan(0.9)
    )


def test_live_entries_take_over_the_share_of_a_delisted_entry():
    """The share of a dead entry must not stay lost."""
    world = limitworld.World(4)
    world.run(4, dict.fromkeys(world.names, 100))
    world.entries.pop('e0')
    for entry in world.entries.values():
        entry.set_members(['e1', 'e2', 'e3'])
    world.run(8, dict.fromkeys(world.names, 100))
    settled_times = [at for at in world.admitted if at >= 9]
    assertions.assert_that(
        len(settled_times) / 3 / limitworld.RATE, matchers.GreaterThan(0.9)
    )


def test_a_burst_is_delayed_and_a_flood_is_refused_with_retry_after():
    """A burst is spread in time; only what would wait too long is refused."""
    limiter = limits.WorkspaceLimiter('e', lambda workspace: (10.0, 1000.0))
    delays = [limiter.admit('w', 1, 0.0) for _ in range(3)]
    assertions.assert_that(delays[0], matchers.Equals(0.0))
    assertions.assert_that(delays[2], matchers.GreaterThan(0.1))
    with pytest.raises(verdict.Refusal) as caught:
        for _ in range(10):
            limiter.admit('w', 1, 0.0)
    assertions.assert_that(caught.value.retry_after_s, matchers.GreaterThan(0.0))
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))


def test_a_limit_is_shared_by_a_few_of_many_entries():
    """A few entries share the limit; the others refuse with status 421."""
    world = limitworld.World(12)
    shard_entries = world.entries['e0'].entries_of('w')
    world.run(8, dict.fromkeys(world.names, 100))
    assertions.assert_that(
        shard_entries, matchers.HasLength(limits.ENTRIES_PER_WORKSPACE)
    )
    assertions.assert_that(world.busiest_second(), matchers.LessThan(1.2))
    settled_times = [at for at in world.admitted if at >= 5]
    assertions.assert_that(
        len(settled_times) / 3 / limitworld.RATE, matchers.GreaterThan(0.9)
    )
    outside = next(name for name in world.names if name not in shard_entries)
    with pytest.raises(verdict.Refusal, match='other_entries') as caught:
        world.entries[outside].admit('w', 1, world.now)
    assertions.assert_that(caught.value.status, matchers.Equals(421))
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))
