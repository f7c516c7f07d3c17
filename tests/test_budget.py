"""The retry budget of all entries together, as entries start, leave and lose touch."""

import pytest
from testtools import assertions, matchers

from primrosesaddle.calls import budget

RATIO = 0.2
WINDOW_S = 10.0
EXTRA = 100.0


class Fleet:
    """Entries with a clock; `known` is how many of them each one knows."""

    def __init__(self, count):
        self.now = 100.0
        self.known = count
        self.entries = []
        for _ in range(count):
            self.start()

    def start(self):
        self.entries.append(
            budget.RetryBudget(
                RATIO, WINDOW_S, EXTRA, lambda: self.known, lambda: self.now
            )
        )

    def spend_all(self):
        """Let each entry claim as many retries as it may; return their number."""
        return sum(_spend(each) for each in self.entries)


def _spend(retries):
    spent = 0
    while retries.claim_retry('s'):
        spent += 1
    return spent


@pytest.fixture
def make_fleet():
    """Return a function that makes a fleet of a size, long after its start."""

    def make(count):
        fleet = Fleet(count)
        fleet.now += 2 * WINDOW_S
        return fleet

    return make


def _assert_at_most(actual, bound):
    assertions.assert_that(
        actual, matchers.MatchesAny(matchers.LessThan(bound), matchers.Equals(bound))
    )


@pytest.mark.parametrize('count', [1, 4, 17, 40])
def test_entries_together_stay_within_the_budget(make_fleet, count):
    """Each spends the share of its own first sends, and an equal part of the rest."""
    fleet = make_fleet(count)
    for each in fleet.entries:
        for _ in range(50):
            each.record_first_send('s')
    spent = fleet.spend_all()
    _assert_at_most(spent, RATIO * 50 * count + EXTRA)
    assertions.assert_that(spent, matchers.GreaterThan(RATIO * 50 * count))


def test_entries_that_lose_touch_do_not_take_the_parts_of_others(make_fleet):
    """Each is alone then, and would take all if it went by those it knows now."""
    fleet = make_fleet(17)
    for each in fleet.entries:
        each.record_first_send('s')
    fleet.now += WINDOW_S / 2
    fleet.known = 1
    _assert_at_most(fleet.spend_all(), RATIO * 17 + EXTRA)


def test_entries_that_start_together_do_not_each_take_all(make_fleet):
    """None of them knows another at first."""
    fleet = make_fleet(0)
    fleet.known = 1
    for _ in range(budget.STARTING_ENTRIES):
        fleet.start()
    _assert_at_most(fleet.spend_all(), EXTRA)


def test_entry_alone_may_spend_all_after_a_window(make_fleet):
    """It need not leave anything to entries that are gone for good."""
    fleet = make_fleet(4)
    fleet.entries[0].record_first_send('s')
    fleet.known = 1
    fleet.now += 2 * WINDOW_S
    assertions.assert_that(_spend(fleet.entries[0]), matchers.Equals(int(EXTRA)))
