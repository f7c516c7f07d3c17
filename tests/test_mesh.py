"""Membership under clocks that jump, and rosters of entries."""

import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.membership import dispatching, membertable, peers, wire


class Channel:
    """A channel that keeps what is sent."""

    def __init__(self, card):
        self.card = card
        self.closed = False
        self.sent = []

    def send(self, body, rid=0, *, reply=False):
        self.sent.append(body)

    def fail_pending(self):
        """Take no notice."""


def _card(name, incarnation, role='entry'):
    return wire.Card(name, role, incarnation, f'10.0.0.{name[-1]}:1', 'r1', 'd1')


@pytest.fixture
def clock():
    """Return the time, in a list that tests change."""
    return [100.0]


@pytest.fixture
def table(clock):
    """Return the table of an entry."""
    hooks = dispatching.MessageDispatcher().make_hooks()
    return membertable.MemberTable(
        _card('e1', 'i1'), hooks, None, random.Random(1), lambda: clock[0]
    )


def _greet(table, name, incarnation):
    card = _card(name, incarnation)
    table.handle_hello(Channel(card), wire.Hello(card, leaving=False))


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_late_word_of_an_earlier_start_changes_nothing(table):
    """While the later start is alive, the earlier one is not believed."""
    _greet(table, 'e2', '0005')
    _greet(table, 'e2', '0004')
    _same(table.peers['e2'].card.incarnation, '0005')


def test_start_after_the_time_of_day_jumped_back_is_believed(table, clock):
    """A process that restarts with an earlier time of day joins again."""
    _greet(table, 'e2', '0005')
    clock[0] += peers.SUSPECT_S + 0.1
    _greet(table, 'e2', '0004')
    _same(table.peers['e2'].card.incarnation, '0004')


def test_roster_names_the_living_entries(table, clock):
    """An entry tells of itself and of those that it heard from lately."""
    _greet(table, 'e2', '0005')
    clock[0] += peers.SUSPECT_S + 0.1
    _greet(table, 'e3', '0006')
    _same(sorted(known.name for known in table.make_roster().known), ['e1', 'e3'])


def test_introduced_processes_are_connected_to(table):
    """What a roster names is added to what is known, and never this process."""
    table.add_candidates([peers.Candidate('10.0.0.9:1', 'entry', 'e9')])
    table.add_candidates([peers.Candidate('10.0.0.1:1', 'entry', 'e1')])
    _same([cand.name for cand in table.listed_candidates('entry')], ['e9'])


def test_entry_among_many_agents_is_missed_soon(table, clock):
    """Links that agents opened take nothing of the budget for heartbeats."""
    for number in range(60):
        card = wire.Card(f'a{number}', 'agent', 'i1', f'10.0.1.{number}:1', 'r1', 'd1')
        table.handle_hello(Channel(card), wire.Hello(card, leaving=False))
    _greet(table, 'e2', '0001')
    clock[0] += 5.0
    _same(table.alive_peers('entry'), [])


def test_path_is_as_slow_as_the_slowest_region(table):
    """A peer that is slow itself does not count while another one there is fast."""
    for number, region, rtt_s in ((2, 'r1', 0.9), (3, 'r1', 0.01), (4, 'r2', 0.4)):
        card = wire.Card(f'e{number}', 'entry', 'i2', f'10.0.0.{number}:1', region, 'd')
        table.handle_hello(Channel(card), wire.Hello(card, leaving=False))
        table.peers[card.name].rtt_s = rtt_s
    _same(table.slowest_region_rtt_s(), 0.4)
