"""A part of prompts that crashes servers: who is accused, told, tried and cleared."""

import dataclasses
import itertools
import time

import hypothesis
import logbook
import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import assertions, matchers

import crashstand
from conftest import Clock
from primrosesaddle.calls import crashes, evidence

NEVER = float('-inf')
MAX_EARLY_TRIALS = 3  # calls that may crash servers when enough is known


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _assert_at_most(actual, bound):
    assertions.assert_that(actual, matchers.Not(matchers.GreaterThan(bound)))


@pytest.fixture
def make_history(clock):
    """Return a function that makes histories with one clock; the first owns trials."""
    made = []

    def make():
        owns = not made
        made.append(crashes.CrashHistory(clock, lambda part: owns))
        return made[-1]

    return make


@pytest.fixture
def history(make_history):
    """Return an empty history that owns all trials."""
    return make_history()


def _crash_poisoned(history, clock, count, begin=0, others=()):
    """Crash servers by calls that share parts, a second apart."""
    for number in range(begin, begin + count):
        clock.now += 1.0
        history.record_crash((f's{number}', 1), ('poison', f'own-{number}', *others))


def _list_blocked(history):
    return sorted(report.part for report in history.export().blocks)


def test_third_crash_blocks_its_part_only(history, clock):
    """The other parts of its calls are those of sound calls, and stay usable."""
    history.record_sound(('first', 'second'))
    _crash_poisoned(history, clock, 2, others=('first', 'second'))
    _assert_equal(history.find_block(('first', 'poison')), None)
    _crash_poisoned(history, clock, 1, begin=2, others=('first', 'second'))
    block = history.find_block(('first', 'poison', 'own'))
    _assert_equal(
        (block.part, block.crash_count, block.age_s, block.source),
        ('poison', 3, 0.0, 'own'),
    )
    for parts in (('first', 'second', 'own'), ('own-0',), ()):
        _assert_equal(history.find_block(parts), None)


def test_fellow_parts_stay_usable_while_nothing_is_answered(history, clock):
    """When most servers are down, no answer clears the other parts."""
    history.record_sound(('first', 'second'))
    _crash_poisoned(history, clock, 20, others=('first', 'second'))
    _assert_equal(_list_blocked(history), ['poison'])


def test_fellow_parts_stay_usable_if_poisoned_calls_are_known_later(
    make_history, clock
):
    """At first an entry knows only its own calls at the servers that ended."""
    told, other = make_history(), make_history()
    for number in range(4):
        clock.now += 1.0
        told.record_crash((f's{number}', 1), ('first', f'own-{number}'))
        other.record_crash((f's{number}', 1), ('first', 'poison'))
    _assert_equal(_list_blocked(told), ['first'])
    other.record_sound(('first',), age_s=10.0)
    told.merge(other.export(), 'other')
    other.merge(told.export(), 'told')
    _assert_equal((_list_blocked(told), _list_blocked(other)), (['poison'],) * 2)


def test_calls_that_were_in_flight_with_poisoned_ones_are_not_accused(history, clock):
    """A call may be repeated at one server after the other that crashes."""
    _crash_poisoned(history, clock, 3, others=('unlucky',))
    _assert_equal(_list_blocked(history), [])
    _crash_poisoned(history, clock, 1, begin=3, others=())
    _assert_equal(_list_blocked(history), ['poison'])


def test_parts_that_occur_only_together_are_blocked_at_the_fifth_crash(history, clock):
    """They can't be told apart, and no call has one without the other."""
    _crash_poisoned(history, clock, 4, others=('twin',))
    _assert_equal(_list_blocked(history), [])
    _crash_poisoned(history, clock, 1, begin=4, others=('twin',))
    _assert_equal(_list_blocked(history), ['poison', 'twin'])


def test_two_parts_that_crash_servers_are_both_blocked(history, clock):
    """They are in different calls, which are told apart by their crashes."""
    for number in range(3):
        clock.now += 1.0
        history.record_crash((f'a{number}', 1), ('first', 'one'))
        clock.now += 1.0
        history.record_crash((f'b{number}', 1), ('first', 'two'))
        history.record_sound(('first',))
    _assert_equal(_list_blocked(history), ['one', 'two'])


@pytest.mark.parametrize('answered', [True, False])
def test_power_loss_of_many_servers_accuses_nobody(history, clock, answered):
    """Each of them ends with calls that share a part, within a moment."""
    if answered:
        history.record_sound(('first',))
    for number in range(40):
        history.record_crash((f's{number}', 1), ('first', f'own-{number}'))
        clock.now += evidence.MOMENT_S / 50
    _assert_equal(_list_blocked(history), [])


def test_several_power_losses_accuse_no_part_that_was_answered(history, clock):
    """Nothing may be answered between them, if all servers are down."""
    history.record_sound(('first',))
    for number in range(40):
        clock.now += 0.7 if number % 10 == 0 else 0.01
        history.record_crash((f's{number}', 1), ('first', f'own-{number}'))
    _assert_equal(_list_blocked(history), [])


def test_crashes_of_one_moment_are_blocked_with_the_next(history, clock):
    """Frequent calls crash five servers at once, and the next one seconds later."""
    for number in range(5):
        history.record_crash((f's{number}', 1), ('first', 'poison', f'own-{number}'))
    _assert_equal(_list_blocked(history), [])
    history.record_sound(('first',))
    _crash_poisoned(history, clock, 1, begin=5)
    _assert_equal(_list_blocked(history), ['poison'])


def test_server_that_ends_again_and_again_accuses_nobody(history, clock):
    """It is at fault itself, whatever runs there."""
    for number in range(9):
        clock.now += 1.0
        history.record_crash(('s0', number), ('first', f'own-{number}'))
    _assert_equal(_list_blocked(history), [])


def _end_single_server(history, clock, number, parts, *, works):
    """Let a server end under a call with some parts, after others or not."""
    clock.now += 2.0
    if works:
        history.record_working(('s0', number))
        history.record_sound(('first',))
    clock.now += 1.0
    history.record_crash(('s0', number), ('first', f'own-{number}', *parts))


def test_part_that_ends_the_only_server_is_blocked_at_the_fifth_end(history, clock):
    """Guards against calls that end a region's only server for as long as they come."""
    for number in range(4):
        _end_single_server(history, clock, number, ('poison',), works=number in {0, 2})
    _assert_equal(_list_blocked(history), [])
    _end_single_server(history, clock, 4, ('poison',), works=False)
    _assert_equal(_list_blocked(history), ['poison'])


def test_server_that_broke_is_at_fault_itself(history, clock):
    """It worked before its first end, and not after it."""
    for number in range(9):
        _end_single_server(history, clock, number, ('new',), works=number == 0)
    _assert_equal(_list_blocked(history), [])


def test_server_that_mostly_ends_without_a_part_is_at_fault_itself(history, clock):
    """It works in between; calls with a new part were cut off at one end in three."""
    for number in range(18):
        others = () if number % 3 else ('new',)
        _end_single_server(history, clock, number, others, works=True)
    _assert_equal(_list_blocked(history), [])


def test_part_that_the_only_server_has_answered_is_not_accused(history, clock):
    """A part that most calls have is in most ends of a server at fault."""
    history.record_sound(('often',))
    clock.now += evidence.ANSWER_HOLDS_S
    for number in range(9):
        _end_single_server(history, clock, number, ('often',), works=True)
    _assert_equal(_list_blocked(history), [])


def test_call_that_may_end_a_server_waits_until_it_has_worked(history, clock):
    """Guards against starts that end before they can show who is at fault."""
    parts = ('first', 'poison')
    _end_single_server(history, clock, 0, ('poison',), works=True)
    _assert_equal(history.awaits_work(parts, ('s0', 1)), False)
    _end_single_server(history, clock, 1, ('poison',), works=False)
    _assert_equal(history.awaits_work(parts, ('s0', 2)), True)
    _assert_equal(history.awaits_work(('first', 'second'), ('s0', 2)), False)
    _assert_equal(history.awaits_work(parts, ('s1', 2)), False)
    history.record_working(('s0', 2))
    _assert_equal(history.awaits_work(parts, ('s0', 2)), False)


def test_call_to_a_server_without_other_calls_waits_for_some_seconds(history, clock):
    """Nothing else would show that the server works."""
    for number in range(2):
        _end_single_server(history, clock, number, ('poison',), works=number == 0)
    clock.now += evidence.MAX_WITHHELD_S - 0.1
    _assert_equal(history.awaits_work(('poison',), ('s0', 2)), True)
    clock.now += 0.1
    _assert_equal(history.awaits_work(('poison',), ('s0', 2)), False)


def test_server_that_never_worked_gets_all_calls(history, clock):
    """It ends by itself, and no call is to blame."""
    for number in range(4):
        _end_single_server(history, clock, number, ('new',), works=False)
    _assert_equal(history.awaits_work(('first', 'new'), ('s0', 4)), False)


def test_entries_that_see_different_calls_of_a_server_agree(make_history, clock):
    """One sees the calls that end it, the other that it works; either may be later."""
    ends, works = make_history(), make_history()
    for number in range(5):
        incarnation = ('s0', number)
        clock.now += 3.0
        if number % 2:
            works.record_working(incarnation)
        ends.record_crash(incarnation, ('poison', f'own-{number}'))
        works.merge(ends.export_crash(incarnation), 'ends')
        if not number % 2:
            assert works.record_working(incarnation)
        _assert_equal(works.record_working(incarnation), False)
        assert ends.merge(works.export_crash(incarnation), 'works')
        _assert_equal(ends.merge(works.export(), 'works'), False)
    for history in (ends, works):
        _assert_equal(_list_blocked(history), ['poison'])


def test_crashes_between_complete_answers_accuse_nobody(history, clock):
    """Servers may end for other reasons, one after the other."""
    for number in range(9):
        clock.now += 1.0
        history.record_crash((f's{number}', 1), ('first', 'second'))
        clock.now += 1.0
        history.record_sound(('first', 'second'))
    _assert_equal(_list_blocked(history), [])


def test_old_crashes_are_forgotten(history, clock):
    """Three crashes in a day are no evidence."""
    for number in range(9):
        clock.now += evidence.WINDOW_S / 2
        history.record_crash((f's{number}', 1), ('poison',))
    _assert_equal(_list_blocked(history), [])


def test_call_under_which_its_server_ended_is_not_repeated(history, clock):
    """Its repeat would be the second crash of one call."""
    history.record_sound(('first', 'second'))
    clock.now += 1.0
    history.record_crash(('s0', 1), ('first', 'poison'))
    _assert_equal(history.is_suspect(('first', 'poison')), True)
    _assert_equal(history.is_suspect(('first', 'second')), False)
    clock.now += 1.0
    history.record_sound(('first', 'poison'))
    _assert_equal(history.is_suspect(('first', 'poison')), False)


def test_call_beside_a_known_cause_is_repeated(history, clock):
    """Its server ended by the call with the part that is in more crashes."""
    _crash_poisoned(history, clock, 2)
    _assert_equal(history.is_suspect(('poison',)), True)
    _assert_equal(history.is_suspect(('own-0',)), False)
    _assert_equal(history.is_suspect(('own-1',)), False)


def test_part_of_which_others_have_to_be_told_is_named_once(history, clock):
    """Only what an answer clears is of interest, of a hundred answers a second."""
    _assert_equal(history.record_sound(('first', 'second')), ())
    clock.now += 1.0
    history.record_crash(('s0', 1), ('first', 'poison'))
    clock.now += 1.0
    _assert_equal(history.record_sound(('first', 'second')), ('first',))
    clock.now += 1.0
    _assert_equal(history.record_sound(('first', 'second')), ())


def test_crash_that_is_reported_again_is_no_news(history, clock):
    """Every entry with a call there reports it, and the agent, too."""
    _assert_equal(history.record_crash(('s0', 1), ('first', 'poison')), True)
    clock.now += 3.0
    _assert_equal(history.record_crash(('s0', 1), ('poison',), 1.0, 'peer'), False)
    _assert_equal(history.record_crash(('s0', 1), ('poison', 'more')), True)
    _assert_equal(history.record_crash(('s0', 1), (), 3.0), False)
    _assert_equal(history.record_crash(('s1', 1), ()), False)
    _assert_equal(history.export().crashes[0].age_s, 3.0)


def test_answers_that_are_passed_on_do_not_become_younger(make_history, clock):
    """Each report takes time, which adds to the time of the answer."""
    one, other = make_history(), make_history()
    one.record_crash(('s0', 1), ('first',))
    clock.now += 1.0
    one.record_sound(('first',))
    for _ in range(50):
        facts = one.export()
        clock.now += 0.1
        other.merge(facts, 'one')
        facts = other.export()
        clock.now += 0.1
        _assert_equal(one.merge(facts, 'other'), False)
    assert one.export().clearances[0].age_s > 9.5


def test_entry_that_saw_nothing_blocks_what_a_peer_blocks(make_history, clock):
    """A restarted entry knows the block with the first message, and no crash twice."""
    told, restarted = make_history(), make_history()
    _crash_poisoned(told, clock, 3)
    clock.now += 10.0
    _assert_equal(restarted.merge(told.export(), 'told'), True)
    block = restarted.find_block(('poison',))
    _assert_equal(
        (block.crash_count, block.age_s, block.retry_in_s, block.source),
        (3, 10.0, crashes.FIRST_BLOCK_S - 10.0, 'told'),
    )
    _assert_equal(restarted.merge(told.export(), 'told'), False)
    _assert_equal(told.merge(restarted.export(), 'restarted'), False)


def test_block_is_known_without_its_crashes(make_history, clock):
    """The processes that saw them may be gone."""
    told, restarted = make_history(), make_history()
    _crash_poisoned(told, clock, 3)
    facts = crashes.Facts(blocks=told.export().blocks)
    restarted.merge(facts, 'told')
    _crash_poisoned(restarted, clock, 1, begin=3)
    _assert_equal(restarted.find_block(('poison',)).age_s, 0.0)
    _assert_equal(_list_blocked(restarted), ['poison'])


def test_answer_anywhere_clears_the_block_everywhere(make_history, clock):
    """A call may have passed an entry that did not know of the block."""
    histories = [make_history() for _ in range(3)]
    _crash_poisoned(histories[0], clock, 3)
    for each in histories[1:]:
        each.merge(histories[0].export(), 'first')
    clock.now += 1.0
    _assert_equal(histories[2].record_sound(('poison',)), ('poison',))
    for each in histories[:2]:
        _assert_equal(each.merge(histories[2].export(), 'third'), True)
        _assert_equal(_list_blocked(each), [])


def test_late_report_of_a_block_that_was_cleared_is_refuted(make_history, clock):
    """The entry that still blocks has to be told of the answer."""
    late, cleared = make_history(), make_history()
    _crash_poisoned(late, clock, 3)
    facts = late.export()
    cleared.merge(facts, 'late')
    clock.now += 1.0
    cleared.record_sound(('poison',))
    _assert_equal(cleared.merge(late.export(), 'late'), True)
    _assert_equal(_list_blocked(cleared), [])
    late.merge(cleared.export(), 'cleared')
    _assert_equal(_list_blocked(late), [])


def test_entry_that_missed_an_answer_is_told_of_it_much_later(make_history, clock):
    """Its block lasts longer than the window of crashes."""
    late, cleared = make_history(), make_history()
    _crash_poisoned(late, clock, 3)
    cleared.merge(late.export(), 'late')
    clock.now += 1.0
    cleared.record_sound(('poison',))
    clock.now += 2 * evidence.WINDOW_S
    _assert_equal(_list_blocked(cleared), [])
    _assert_equal(cleared.merge(late.export(), 'late'), True)
    late.merge(cleared.export(), 'cleared')
    _assert_equal(_list_blocked(late), [])


def test_block_on_a_part_that_was_answered_lately_is_refuted(make_history, clock):
    """An entry that was cut off may have seen nothing but crashes."""
    isolated, knowing = make_history(), make_history()
    knowing.record_sound(('first',))
    for number in range(3):
        clock.now += 1.0
        isolated.record_crash((f's{number}', 1), ('first', f'own-{number}'))
    _assert_equal(_list_blocked(isolated), ['first'])
    _assert_equal(knowing.merge(isolated.export(), 'isolated'), True)
    _assert_equal(_list_blocked(knowing), [])
    isolated.merge(knowing.export(), 'knowing')
    _assert_equal(_list_blocked(isolated), [])


def test_one_call_of_the_fleet_is_the_trial(make_history, clock):
    """A part may be sound again, and each trial may cost a server."""
    owner, other, third = (make_history() for _ in range(3))
    _crash_poisoned(owner, clock, 3)
    for each in (other, third):
        each.merge(owner.export(), 'owner')
    clock.now += crashes.FIRST_BLOCK_S - 1.0
    for each in (owner, other, third):
        assert each.find_block(('poison',)) is not None
    clock.now += 1.0
    passed = [
        each
        for _ in range(20)
        for each in (other, owner, third)
        if each.find_block(('first', 'poison')) is None
    ]
    _assert_equal(passed, [owner])
    clock.now += crashes.TRIAL_TIMEOUT_S - 1.0
    assert owner.find_block(('poison',)) is not None
    clock.now += 1.0
    _assert_equal(owner.find_block(('poison',)), None)


def test_trial_that_crashes_doubles_the_block(make_history, clock):
    """Up to a bound, so that a part that is sound again is found so."""
    owner, other = make_history(), make_history()
    _crash_poisoned(owner, clock, 3)
    expected_s = crashes.FIRST_BLOCK_S
    for number in range(8):
        other.merge(owner.export(), 'owner')
        for each in (owner, other):
            _assert_equal(each.find_block(('poison',)).retry_in_s, expected_s)
        clock.now += expected_s
        _assert_equal(owner.find_block(('poison',)), None)
        expected_s = min(2 * expected_s, crashes.MAX_BLOCK_S)
        owner.record_crash(('s0', 2 + number), ('first', 'poison'))


def test_trial_that_is_answered_clears_the_block(history, clock):
    """Calls with the part pass again at once."""
    _crash_poisoned(history, clock, 3)
    clock.now += crashes.FIRST_BLOCK_S
    _assert_equal(history.find_block(('poison',)), None)
    assert history.find_block(('poison',)) is not None
    clock.now += 1.0
    _assert_equal(history.record_sound(('first', 'poison')), ('poison',))
    for _ in range(3):
        _assert_equal(history.find_block(('poison',)), None)


def _crash_shared(history, clock):
    """Crash servers so that a part is blocked that is in the crashes of another."""
    _crash_poisoned(history, clock, 3, others=('first',))
    clock.now += 1.0
    history.record_crash(('s3', 1), ('first',))
    _assert_equal(_list_blocked(history), ['first'])


def test_sound_part_blocked_in_place_of_another_is_cleared_soon(make_history, clock):
    """Nothing with it was sent any more, so that no answer could clear it."""
    owner, other = make_history(), make_history()
    _crash_shared(owner, clock)
    other.merge(owner.export(), 'owner')
    sound = ('first', 'sound')
    for each in (owner, other):
        assert each.find_block(sound).retry_in_s <= crashes.EARLY_TRIAL_S
    clock.now += crashes.EARLY_TRIAL_S
    assert owner.find_block(('first', 'poison', 'own')) is not None
    assert other.find_block(sound) is not None
    _assert_equal(owner.find_block(sound), None)
    assert owner.find_block(sound) is not None
    clock.now += 0.5
    owner.record_sound(sound)
    other.merge(owner.export(), 'owner')
    for each in (owner, other):
        _assert_equal(_list_blocked(each), ['poison'])
        _assert_equal(each.find_block(sound), None)


def test_early_trial_without_an_outcome_is_followed_by_another(history, clock):
    """Its server may fall silent, or end for another reason."""
    _crash_shared(history, clock)
    clock.now += crashes.EARLY_TRIAL_S
    _assert_equal(history.find_block(('first', 'sound')), None)
    clock.now += crashes.EARLY_TRIAL_TIMEOUT_S - 0.1
    assert history.find_block(('first', 'sound')) is not None
    clock.now += 0.1
    _assert_equal(history.find_block(('first', 'sound')), None)


def test_part_answered_before_is_no_rival_of_one_that_never_was(history, clock):
    """Guards against early trials of the part to blame beside one of most calls."""
    history.record_sound(('often',))
    for number in range(3):
        _crash_poisoned(history, clock, 1, begin=number, others=('often',))
    clock.now += crashes.EARLY_TRIAL_S
    _assert_equal(_list_blocked(history), ['poison'])
    assert history.find_block(('first', 'poison')) is not None


def test_early_trials_that_crash_come_to_an_end(history, clock):
    """The part is to blame itself, and each trial costs a server."""
    _crash_shared(history, clock)
    passed = 0
    for number in range(60):
        clock.now += 1.0
        if history.find_block(('first', 'sound')) is None:
            passed += 1
            history.record_crash((f't{number}', 1), ('first', 'sound'))
    _assert_at_most(passed, MAX_EARLY_TRIALS)


@pytest.mark.parametrize('others', [(), ('first',), ('first', 'second')])
def test_no_call_with_the_part_to_blame_is_an_early_trial(history, clock, others):
    """Whatever else is in its prompt besides the first part, which all have."""
    _crash_poisoned(history, clock, 3, others=others)
    _crash_poisoned(history, clock, 2, begin=3, others=others[:1])
    for _ in range(int(crashes.FIRST_BLOCK_S) - 1):
        clock.now += 1.0
        assert history.find_block(('first', 'poison', 'other')) is not None


def test_trial_in_progress_is_known_to_a_new_owner(make_history, clock):
    """The owner of the trial may end while its call runs."""
    new_owner, owner = (
        crashes.CrashHistory(clock, lambda part: True) for _ in range(2)
    )
    _crash_poisoned(owner, clock, 3)
    clock.now += crashes.FIRST_BLOCK_S
    _assert_equal(owner.find_block(('poison',)), None)
    new_owner.merge(owner.export(), 'owner')
    assert new_owner.find_block(('poison',)) is not None


def test_block_that_nobody_asks_for_is_forgotten(history, clock):
    """No call with the part comes any more."""
    _crash_poisoned(history, clock, 3)
    clock.now += crashes.FIRST_BLOCK_S + crashes.MAX_BLOCK_S + 1.0
    _assert_equal(history.export(), crashes.Facts())


def test_tables_are_bounded(history, clock):
    """Crashes, parts and answers come for as long as a process runs."""
    numbers = itertools.count()
    for number in range(evidence.MAX_CRASHES + 20):
        clock.now += 0.5
        parts = [f'own-{next(numbers)}' for _ in range(evidence.MAX_PARTS + 5)]
        history.record_crash((f's{number}', 1), parts)
        history.record_sound([f'own-{next(numbers)}' for _ in range(50)])
        history.record_sound(parts)
    facts = history.export()
    _assert_equal(len(facts.crashes), evidence.MAX_CRASHES)
    _assert_equal(max(len(each.parts) for each in facts.crashes), evidence.MAX_PARTS)
    assert len(facts.clearances) <= evidence.MAX_CLEARED
    blocks = tuple(
        crashes.BlockReport(f'part-{number}', 3, ('s0', number), 1.0, 0)
        for number in range(crashes.MAX_BLOCKS + 5)
    )
    history.merge(crashes.Facts(blocks=blocks), 'peer')
    _assert_equal(len(history.export().blocks), crashes.MAX_BLOCKS)


def test_parts_of_a_crash_that_are_left_out_do_not_depend_on_the_order(make_history):
    """Otherwise entries with the same facts would accuse different parts."""
    parts = [f'part-{number}' for number in range(3 * evidence.MAX_PARTS)]
    exported = []
    for order in (parts, parts[::-1], parts[50:] + parts[:50]):
        history = make_history()
        for begin in range(0, len(order), 7):
            history.record_crash(('s0', 1), order[begin : begin + 7])
        exported.append(history.export().crashes)
    _assert_equal(exported[1:], exported[:1] * 2)


def test_cost_of_a_lookup_does_not_depend_on_the_tables(make_history, clock):
    """Each call is looked up, also by a process that knows of many crashes."""
    small, large = make_history(), make_history()
    numbers = itertools.count()
    for each, count in ((small, 5), (large, evidence.MAX_CRASHES)):
        for number in range(count):
            clock.now += 1.0
            own = [f'own-{next(numbers)}' for _ in range(40)]
            each.record_crash((f's{number}', 1), ('poison', *own))
            each.record_sound([f'own-{next(numbers)}' for _ in range(40)])

    def measure_s(each):
        began = time.perf_counter()
        for _ in range(2000):
            each.find_block(('first', 'second', 'own'))
            each.find_block(('first', 'poison', 'own'))
        return time.perf_counter() - began

    ratios = [measure_s(large) / measure_s(small) for _ in range(5)]
    assert min(ratios) < 2.0


def test_blocks_are_logged_with_part_count_age_and_source(make_history, clock):
    """An operator has to see what was refused, and why."""
    owner, told = make_history(), make_history()
    with logbook.TestHandler(level='INFO') as handler:
        _crash_poisoned(owner, clock, 3)
        owner.is_suspect(('poison',))
        told.merge(owner.export(), 'owner')
        clock.now += crashes.FIRST_BLOCK_S
        owner.find_block(('poison',))
        clock.now += 1.0
        owner.record_sound(('poison',))
        lines = [record.message for record in handler.records]
    _assert_equal(
        lines,
        [
            'event=part.blocked part=poison count=3 age_s=0.0 source=own',
            'event=part.blocked part=poison count=3 age_s=0.0 source=owner',
            'event=part.trial part=poison count=3 age_s=120.0 source=own',
            'event=part.cleared part=poison count=3 age_s=121.0 source=own',
        ],
    )


FLEETS = {
    'small': {'entries': 4, 'servers': 14},
    'large': {'entries': 40, 'servers': 69},
}
DISRUPTIONS = {
    'none': lambda entries: {},
    'slow messages': lambda entries: {'max_delay_s': 1.0},
    'all but one cut off': lambda entries: {
        'cuts': (crashstand.Cut(frozenset(range(1, entries)), 10.3),)
    },
    'half cut off': lambda entries: {
        'cuts': (crashstand.Cut(frozenset(range(entries // 2)), 10.3),)
    },
    'all cut off': lambda entries: {
        'cuts': (crashstand.Cut(frozenset(range(entries)), 10.0),)
    },
    'one entry sees all': lambda entries: {'poisoned_entries': 1},
    'power losses': lambda entries: {'power_losses': (9.0, 10.1, 10.6, 13.0)},
    'restarts': lambda entries: {
        'restarts': ((10.5, 0), (10.9, 1), (12.0, 2), (14.0, 3), (14.1, 0), (18.0, 1))
    },
    'rare calls': lambda entries: {'poisoned_per_s': 1.0},
    'frequent calls': lambda entries: {'poisoned_per_s': 40.0},
}


@pytest.mark.parametrize('with_last_part', [True, False])
@pytest.mark.parametrize('disruption', DISRUPTIONS)
@pytest.mark.parametrize('fleet', FLEETS)
def test_few_calls_with_the_part_reach_servers_and_no_sound_call_is_blocked(
    fleet, disruption, with_last_part
):
    """Entries see few crashes each, and answers with all other parts."""
    size = FLEETS[fleet]
    shape = crashstand.Shape(
        **size,
        **DISRUPTIONS[disruption](size['entries']),
        with_last_part=with_last_part,
    )
    for seed in range(3):
        outcome = crashstand.Simulation(shape, seed).run()
        assert outcome.poisoned_blocked > 5
        assert outcome.sound_answered > 1500
        assert outcome.count_late() <= 3, outcome.crashed_at
        _assert_equal(outcome.sound_blocked, 0)


ONE_SERVER = {'servers': 1, 'sound_per_s': 8.0, 'duration_s': 90.0}


@pytest.mark.parametrize('poisoned_per_s', [0.5, 1.4, 3.0])
def test_few_calls_with_the_part_reach_the_only_server(poisoned_per_s):
    """It works on other calls after each start, and on all once the part is blocked."""
    _simulate_single_server(poisoned_per_s, range(20))


@pytest.mark.parametrize('poisoned_per_s', [5.0, 10.0])
def test_few_of_frequent_calls_with_the_part_reach_the_only_server(poisoned_per_s):
    """Several of them come in before the server ends."""
    _simulate_single_server(poisoned_per_s, range(60))


def _simulate_single_server(poisoned_per_s, seeds):
    for seed in seeds:
        shape = crashstand.Shape(**ONE_SERVER, poisoned_per_s=poisoned_per_s)
        outcome = crashstand.Simulation(shape, seed).run()
        assert outcome.poisoned_blocked > 5
        assert outcome.count_late() <= 3, (seed, outcome.crashed_at)
        _assert_equal(outcome.sound_blocked, 0)


@pytest.mark.parametrize('own_end_s', [0.5, 1.0, 3.0])
@pytest.mark.parametrize('sessions', [2, 20, 500])
def test_only_server_that_ends_by_itself_accuses_no_part(own_end_s, sessions):
    """Few or many sessions, of which new ones begin all the time."""
    for seed in range(10):
        shape = crashstand.Shape(
            **ONE_SERVER,
            poison_from_s=100.0,
            own_end_s=own_end_s,
            sessions=sessions,
        )
        outcome = crashstand.Simulation(shape, seed).run()
        assert outcome.sound_answered > 10
        _assert_equal(outcome.sound_blocked, 0)


def test_trials_of_a_small_fleet_are_few():
    """Each of them may cost a server."""
    outcome = crashstand.Simulation(crashstand.Shape(duration_s=350.0), 0).run()
    trials = [at for at, _ in outcome.reached if at > 60.0]
    assert 1 <= len(trials) <= 3


PARTS = ('a', 'b', 'c', 'd', 'e', 'f')
part_sets = st.frozensets(st.sampled_from(PARTS), min_size=1, max_size=4)
histories = st.integers(0, 2)


@dataclasses.dataclass(frozen=True)
class Weight:
    """What the oracle finds out about a part."""

    part: str
    crashes: frozenset
    counted: int
    is_new: bool
    is_enough: bool

    def rank(self):
        """Return the order among parts that may be accused."""
        return (self.is_new, self.counted, len(self.crashes))


class Oracle:
    """Keeps every fact that came, and computes everything from the whole list."""

    def __init__(self, clock):
        self.clock = clock
        self.facts = []
        self.fact_count = 0
        self.results = {}
        self.working = set()
        self.told_working = (
            set()
        )  # in reports of crashes, which are forgotten with them

    def once(self, key, compute):
        """Return what was computed before from the same facts at the same time."""
        state = (self.fact_count, self.clock())
        if self.results.get('state') != state:
            self.results = {'state': state}
        if key not in self.results:
            self.results[key] = compute()
        return self.results[key]

    def add_crash(self, incarnation, parts, age_s, had_worked=False):
        """Keep a crash unless it is older than the window."""
        if had_worked:
            self.told_working.add(incarnation)
        if age_s < evidence.WINDOW_S:
            self.fact_count += 1
            self.facts.append(('crash', incarnation, parts, self.clock() - age_s))

    def add_working(self, incarnation):
        """Keep that a server works."""
        self.fact_count += 1
        self.working.add(incarnation)

    def add_answer(self, part, age_s):
        """Keep an answer."""
        self.fact_count += 1
        self.facts.append(('answer', part, None, self.clock() - age_s))

    def add_facts(self, facts):
        """Keep what is merged."""
        for crash in facts.crashes:
            self.add_crash(
                crash.incarnation, crash.parts, crash.age_s, crash.had_worked
            )
        for clearance in facts.clearances:
            self.add_answer(clearance.part, clearance.age_s)

    def answered_at(self, part):
        """Return when a part was last answered."""
        answers = self.once('answers', self.list_answers)
        return answers.get(part, NEVER)

    def list_answers(self):
        """Find the latest answers in the list of all facts."""
        found = {}
        for kind, part, _, at in self.facts:
            if kind == 'answer':
                found[part] = max(at, found.get(part, NEVER))
        return found

    def crashes(self):
        """Return the time and parts of each crash in the window."""
        return self.once('crashes', self.list_crashes)

    def list_crashes(self):
        """Find the crashes in the list of all facts."""
        found = {}
        for kind, incarnation, parts, at in self.facts:
            if kind == 'crash':
                known_at, known = found.get(incarnation, (at, frozenset()))
                found[incarnation] = (min(at, known_at), known.union(parts))
        oldest = self.clock() - evidence.WINDOW_S
        old = {each for each, known in found.items() if known[0] <= oldest}
        # Forgotten for good: a report that comes later counts as one of a new crash.
        self.facts = [each for each in self.facts if each[1] not in old]
        self.told_working -= old
        return {each: known for each, known in found.items() if each not in old}

    def uncleared(self, part):
        """Return the crashes of a part that no later answer clears."""
        answered_at = self.answered_at(part)
        return frozenset(
            incarnation
            for incarnation, (at, parts) in self.crashes().items()
            if part in parts and answered_at <= at
        )

    def list_rivals(self, part):
        """Return the parts that are in the most crashes of a part, half at least."""
        own = self.uncleared(part)
        is_new = self.answered_at(part) == NEVER
        shared = {
            other: len(own & self.uncleared(other))
            for other in PARTS
            if other != part and not (is_new and self.answered_at(other) > NEVER)
        }
        most = max(shared.values(), default=0)
        if most < 2 or most < len(own) / 2:
            return set()
        return {other for other, count in shared.items() if count == most}

    def weigh(self, part, explained):
        """Return what speaks against a part, apart from explained crashes."""
        known = self.crashes()
        left = self.uncleared(part) - explained
        times = [known[each][0] for each in left]
        answered_at = self.answered_at(part)
        is_new = answered_at == NEVER
        most = 2 if is_new else 1
        counted = sum(min(times.count(each), most) for each in set(times))
        has_servers = len({server_id for server_id, _ in left}) >= 2
        is_enough = (
            counted >= (3 if is_new and has_servers else 5)
            and len(set(times)) >= 2
            and (has_servers or (is_new and self.ends_sound_server(left, explained)))
            and answered_at <= max(times) - evidence.ANSWER_HOLDS_S
        )
        return Weight(part, left, counted, is_new, is_enough)

    def ends_sound_server(self, ends, explained):
        """Tell whether a server works in two of its starts, and ends here mostly."""
        known = self.crashes()
        first_at = min(known[each][0] for each in ends)
        server_id = min(ends)[0]
        others = [
            each
            for each, (at, _) in known.items()
            if each[0] == server_id and at >= first_at and each not in explained | ends
        ]
        working = ends & (self.working | self.told_working)
        return len(working) >= 2 and len(others) <= len(ends)

    def accuse(self, already):
        """Return the parts that explain the crashes that others don't explain."""
        explained = frozenset().union(*(self.uncleared(part) for part in already))
        accused = []
        while True:
            weights = [self.weigh(part, explained) for part in PARTS]
            weights = [each for each in weights if each.is_enough]
            if not weights:
                return accused
            top = max(each.rank() for each in weights)
            tied = [each for each in weights if each.rank() == top]
            tied = [each for each in tied if each.crashes & tied[0].crashes]
            if len(tied) == 1 or (tied[0].is_new and tied[0].counted >= 5):
                accused.extend(each.part for each in tied)
            explained = explained.union(*(each.crashes for each in tied))


class CrashMachine(stateful.RuleBasedStateMachine):
    """Three histories that exchange facts, each against an oracle with the same facts.

    Times are whole seconds, so that the time a report took is never within an error.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.clock.now = 5000.0
        self.histories = []
        self.oracles = []
        for number in range(3):
            self.histories.append(self.make_history(number))
            self.oracles.append(Oracle(self.clock))
        self.sent = []
        self.ever_possible = set()

    def make_history(self, number):
        """Return an empty history; the first one owns all trials."""
        return crashes.CrashHistory(self.clock, lambda part: number == 0)

    @stateful.rule(
        to=histories,
        server=st.integers(0, 5),
        start=st.integers(0, 3),
        parts=part_sets,
        age_s=st.sampled_from((0, 0, 0, 1, 2, 700)),
    )
    def crash(self, to, server, start, parts, age_s):
        """Report a crash, maybe late, again or with other parts."""
        incarnation = (f's{server}', start)
        self.histories[to].record_crash(incarnation, parts, age_s)
        self.oracles[to].add_crash(incarnation, parts, age_s)

    @stateful.rule(to=histories, begin=st.integers(0, 9), others=part_sets)
    def crash_often(self, to, begin, others):
        """Crash servers one after the other by calls that share a part."""
        for number, other in enumerate(sorted(others)):
            self.clock.now += 1
            self.crash(to, 6 + begin + number, 0, ('a', other), 0)

    @stateful.rule(to=histories, server=st.integers(0, 5), start=st.integers(0, 3))
    def work(self, to, server, start):
        """Report that a server works on calls, before or after its end is known."""
        self.histories[to].record_working((f's{server}', start))
        self.oracles[to].add_working((f's{server}', start))

    @stateful.rule(
        to=histories,
        begin=st.integers(0, 9),
        works=st.lists(st.booleans(), min_size=4, max_size=6),
        others=part_sets,
    )
    def end_one_server(self, to, begin, works, others):
        """End one server again and again, mostly by calls that share a part."""
        for number, is_working in enumerate(works):
            incarnation = ('s9', begin + number)
            self.clock.now += 1
            if is_working:
                self.histories[to].record_working(incarnation)
                self.oracles[to].add_working(incarnation)
            parts = ('b',) if number else sorted(others)
            self.histories[to].record_crash(incarnation, parts)
            self.oracles[to].add_crash(incarnation, parts, 0)

    @stateful.rule(
        to=histories, parts=part_sets, age_s=st.sampled_from((0, 0, 1, 3, 40))
    )
    def answer(self, to, parts, age_s):
        """Report a complete answer."""
        before = set(_list_blocked(self.histories[to]))
        told = self.histories[to].record_sound(sorted(parts), age_s)
        after = set(_list_blocked(self.histories[to]))
        uncleared = {part: self.oracles[to].uncleared(part) for part in parts}
        for part in parts:
            self.oracles[to].add_answer(part, age_s)
            cleared = uncleared[part] != self.oracles[to].uncleared(part)
            refuted = part in before - after
            if cleared:
                assert part in told
            elif part in told:
                assert refuted

    @stateful.rule(sender=histories)
    def send(self, sender):
        """Export facts, to be delivered now, later, twice or never."""
        self.sent.append(self.histories[sender].export())

    @stateful.precondition(lambda machine: machine.sent)
    @stateful.rule(to=histories, data=st.data())
    def deliver(self, to, data):
        """Deliver facts of any time, with the ages that they had then."""
        facts = data.draw(st.sampled_from(self.sent[-4:]))
        self.deliver_facts(to, facts)

    def deliver_facts(self, to, facts):
        """Merge facts; the same facts again are no news."""
        self.histories[to].merge(facts, 'peer')
        self.oracles[to].add_facts(facts)
        self.check_facts()
        exported = self.histories[to].export()
        self.histories[to].merge(facts, 'peer')
        _assert_equal(self.histories[to].export(), exported)

    @stateful.rule(number=histories, source=histories)
    def restart(self, number, source):
        """Start a process anew; a peer tells it all that it knows."""
        facts = self.histories[source].export()
        blocked = _list_blocked(self.histories[source])
        self.histories[number] = self.make_history(number)
        self.oracles[number] = Oracle(self.clock)
        if number != source:
            self.histories[number].merge(facts, 'peer')
            self.oracles[number].add_facts(facts)
            _assert_equal(_list_blocked(self.histories[number]), blocked)

    @stateful.rule(step_s=st.sampled_from((1, 2, 5, 31, 125, 400)))
    def pass_time(self, step_s):
        """Let time pass."""
        self.clock.now += step_s

    @stateful.rule(number=histories, part=st.sampled_from(PARTS))
    def ask(self, number, part):
        """Ask whether a call may be sent: a trial passes once, at its owner."""
        history = self.histories[number]
        reports = {each.part: each for each in history.export().blocks}
        found = history.find_block((part, 'other'))
        if part not in reports:
            _assert_equal(found, None)
            return
        report = reports[part]
        block_s = min(crashes.FIRST_BLOCK_S * 2**report.lapses, crashes.MAX_BLOCK_S)
        timeout_s = crashes.TRIAL_TIMEOUT_S
        rivals = self.oracles[number].list_rivals(part)
        if rivals and not report.lapses:
            block_s, timeout_s = crashes.EARLY_TRIAL_S, crashes.EARLY_TRIAL_TIMEOUT_S
        is_due = report.age_s >= block_s and (
            report.trial_age_s is None or report.trial_age_s >= timeout_s
        )
        _assert_equal(found is None, number == 0 and is_due)
        assert history.find_block((part, 'other')) is not None

    @stateful.rule()
    def exchange_all(self):
        """Let all tell all what they know: they agree then."""
        for _ in range(3):
            for sender, to in itertools.permutations(range(3), 2):
                self.deliver_facts(to, self.histories[sender].export())
        first, *others = self.histories
        for other in others:
            _assert_equal(_list_blocked(other), _list_blocked(first))
            for part in PARTS:
                _assert_equal(other.is_suspect((part,)), first.is_suspect((part,)))

    @stateful.invariant()
    def check_facts(self):
        """The facts of each history are those of its oracle, and follow from them."""
        for history, oracle in zip(self.histories, self.oracles, strict=True):
            facts = history.export()
            now = self.clock()
            _assert_equal(
                {
                    each.incarnation: (now - each.age_s, frozenset(each.parts))
                    for each in facts.crashes
                },
                oracle.crashes(),
            )
            _assert_equal(
                {each.incarnation for each in facts.crashes if each.had_worked},
                (oracle.working | oracle.told_working) & oracle.crashes().keys(),
            )
            for clearance in facts.clearances:
                _assert_equal(now - clearance.age_s, oracle.answered_at(clearance.part))
            self.check_blocks(oracle, facts.blocks)

    def check_blocks(self, oracle, blocks):
        """Who is accused is blocked; who was answered, or never accused, is not."""
        now = self.clock()
        self.ever_possible.update(
            part for part in PARTS if oracle.weigh(part, frozenset()).is_enough
        )
        blocked = {each.part for each in blocks}
        kept = {
            each.part
            for each in blocks
            if each.lapses or len(oracle.uncleared(each.part)) < each.crash_count
        }
        accused = oracle.accuse(kept)
        assert blocked.issuperset(accused), (blocked, accused)
        assert blocked <= self.ever_possible
        for block in blocks:
            answered_at = oracle.answered_at(block.part)
            assert answered_at <= now - block.age_s - evidence.ANSWER_HOLDS_S
            others = kept.union(accused) - {block.part}
            explained = frozenset().union(*(oracle.uncleared(each) for each in others))
            if block.part not in kept.union(accused):
                assert not oracle.uncleared(block.part) <= explained

    @stateful.invariant()
    def check_suspects(self):
        """Only blocked parts and those with an uncleared crash are suspected."""
        for history, oracle in zip(self.histories, self.oracles, strict=True):
            blocked = _list_blocked(history)
            for part in PARTS:
                if history.is_suspect((part,)):
                    assert part in blocked or oracle.uncleared(part)
                elif part in blocked:
                    raise AssertionError(f'{part} is blocked and not suspected')


CrashMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestHistoriesAgreeWithAnOracle = CrashMachine.TestCase
