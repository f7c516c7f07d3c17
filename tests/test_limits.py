"""Limits over all entries, against one global counter, in virtual time."""

import pytest
from bench import limitworld
from hypothesis import given
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle.core import verdict
from primrosesaddle.gateway import limits

HEARD_BOUND = 1.1
STATED_BOUND = 2.0


demands = st.lists(
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
@given(demands, st.sampled_from(['none', 'die', 'cut', 'join']), st.integers(0, 3))
def test_the_stated_bound_holds_with_entries_that_join_die_or_part(
    phases, event, place
):
    world = limitworld.World(4)
    name = f'e{place}'
    for index, demand in enumerate(phases):
        world.run(3, demand)
        if index == 0 and event == 'die':
            world.entries.pop(name)
        elif index == 0 and event == 'cut':
            world.cut.add(name)
        elif index == 0 and event == 'join':
            world.names.append('e4')
            world.entries['e4'] = world.make_entry('e4')
            for one in world.entries.values():
                one.set_members(world.names)
    world.run(4, {**phases[-1], 'e4': 400})
    slack = len(world.names) / limitworld.RATE
    assertions.assert_that(
        world.busiest_second(), matchers.LessThan(STATED_BOUND + slack)
    )


@hsettings(max_examples=25)
@given(demands)
def test_entries_that_hear_each_other_keep_near_the_global_counter(phases):
    world = limitworld.World(4)
    for demand in phases:
        world.run(4, demand)
    slack = len(world.names) / limitworld.RATE
    assertions.assert_that(
        world.busiest_second(), matchers.LessThan(HEARD_BOUND + slack)
    )


def test_one_entry_alone_gets_nearly_the_whole_limit():
    world = limitworld.World(4)
    world.run(12, {'e2': 300})
    late = [at for at in world.admitted if at >= 8]
    assertions.assert_that(len(late) / 4 / limitworld.RATE, matchers.GreaterThan(0.9))


def test_the_living_take_over_from_a_dead_entry_once_it_is_delisted():
    world = limitworld.World(4)
    world.run(4, dict.fromkeys(world.names, 100))
    world.entries.pop('e0')
    for one in world.entries.values():
        one.set_members(['e1', 'e2', 'e3'])
    world.run(8, dict.fromkeys(world.names, 100))
    late = [at for at in world.admitted if at >= 9]
    assertions.assert_that(len(late) / 3 / limitworld.RATE, matchers.GreaterThan(0.9))


def test_a_burst_is_held_and_a_flood_is_refused_with_a_wait():
    limiter = limits.WorkspaceLimiter('e', lambda workspace: (10.0, 1000.0))
    delays = [limiter.admit('w', 1, 0.0) for _ in range(3)]
    assertions.assert_that(delays[0], matchers.Equals(0.0))
    assertions.assert_that(delays[2], matchers.GreaterThan(0.1))
    with pytest.raises(verdict.Refusal) as caught:
        for _ in range(10):
            limiter.admit('w', 1, 0.0)
    assertions.assert_that(caught.value.retry_after_s, matchers.GreaterThan(0.0))
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))


def test_many_entries_hold_a_limit_by_a_few_of_them():
    world = limitworld.World(12)
    shard = world.entries['e0'].entries_of('w')
    world.run(8, dict.fromkeys(world.names, 100))
    assertions.assert_that(shard, matchers.HasLength(limits.ENTRIES_PER_WORKSPACE))
    assertions.assert_that(world.busiest_second(), matchers.LessThan(1.2))
    late = [at for at in world.admitted if at >= 5]
    assertions.assert_that(len(late) / 3 / limitworld.RATE, matchers.GreaterThan(0.9))
    outside = next(name for name in world.names if name not in shard)
    with pytest.raises(verdict.Refusal, match='other_entries') as caught:
        world.entries[outside].admit('w', 1, world.now)
    assertions.assert_that(caught.value.status, matchers.Equals(421))
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))
