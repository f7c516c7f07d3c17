"""The table of members: incarnations, rosters, silence and round trips."""

import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.membership import dispatching, membertable, peers, wire


HEARTBEAT = wire.Heartbeat(1, False, wire.Load(), ())


class Channel:
    """A channel that records the messages sent."""

    def __init__(self, card):
        self.card = card
        self.closed = False
        self.last_heard_at = 0.0
        self.sent = []

    def send(self, body, rid=0, *, reply=False):
        self.sent.append(body)

    def fail_pending(self):
        """Do nothing."""


def _card(name, incarnation, role='entry'):
    return wire.Card(name, role, incarnation, f'10.0.0.{name[-1]}:1', 'r1', 'd1')


@pytest.fixture
def clock():
    """Return a list with the current time, which tests change."""
    return [100.0]


@pytest.fixture
def table(clock):
    """Return the table of members of an entry."""
    hooks = dispatching.MessageDispatcher().make_hooks()
    return membertable.MemberTable(
        _card('e1', 'i1'), hooks, None, random.Random(1), lambda: clock[0]
    )


def _receive_hello(table, name, incarnation):
    card = _card(name, incarnation)
    channel = Channel(card)
    table.handle_hello(channel, wire.Hello(card, leaving=False))
    return channel


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_late_hello_of_an_earlier_start_is_ignored(table):
    """It must not replace the later start while that is alive."""
    _receive_hello(table, 'e2', '0005')
    _receive_hello(table, 'e2', '0004')
    _assert_equal(table.peers['e2'].card.incarnation, '0005')


def test_start_after_the_time_of_day_was_set_back_is_accepted(table, clock):
    """A process that restarts with an earlier time of day joins again."""
    _receive_hello(table, 'e2', '0005')
    clock[0] += peers.SUSPECT_S + 0.1
    _receive_hello(table, 'e2', '0004')
    _assert_equal(table.peers['e2'].card.incarnation, '0004')


def test_start_before_the_time_of_day_was_set_back_joins_by_its_heartbeat(table, clock):
    """Its hello came while the earlier start counted as alive, and is not repeated."""
    _receive_hello(table, 'e2', '0005')
    channel = _receive_hello(table, 'e2', '0004')
    clock[0] += peers.SUSPECT_S + 0.1
    table.handle_heartbeat(channel, 0, HEARTBEAT)
    _assert_equal(table.peers['e2'].card.incarnation, '0004')


def test_removed_peer_joins_again_by_its_heartbeat(table, clock):
    """A peer that was silent may go on over a connection that was not closed."""
    channel = _receive_hello(table, 'e2', '0005')
    table.peers.clear()
    table.handle_heartbeat(channel, 0, HEARTBEAT)
    _assert_equal(list(table.peers), ['e2'])


def test_messages_go_over_the_connection_that_a_peer_opened_last(table):
    """It opens one when the one before is lost."""
    _receive_hello(table, 'e2', '0005')
    channel = _receive_hello(table, 'e2', '0005')
    _assert_equal(table.peers['e2'].channel, channel)


def test_messages_go_over_an_older_connection_if_the_newer_one_is_silent(table, clock):
    """The way that was heard from last is the one that works."""
    channel = _receive_hello(table, 'e2', '0005')
    _receive_hello(table, 'e2', '0005')
    clock[0] += peers.SUSPECT_S + 0.1
    table.handle_heartbeat(channel, 0, HEARTBEAT)
    _assert_equal(table.peers['e2'].channel, channel)


def test_roster_lists_the_entries_alive(table, clock):
    """A roster has the entry itself and those that it heard from recently."""
    _receive_hello(table, 'e2', '0005')
    clock[0] += peers.SUSPECT_S + 0.1
    _receive_hello(table, 'e3', '0006')
    _assert_equal(
        sorted(known.name for known in table.make_roster().known), ['e1', 'e3']
    )


def test_added_candidates_exclude_this_process(table):
    """Processes of a roster become candidates, except for this process."""
    table.add_candidates([peers.Candidate('10.0.0.9:1', 'entry', 'e9')])
    table.add_candidates([peers.Candidate('10.0.0.1:1', 'entry', 'e1')])
    _assert_equal([cand.name for cand in table.listed_candidates('entry')], ['e9'])


def test_silent_entry_among_many_agents_is_detected_soon(table, clock):
    """Links opened by agents must not lengthen the interval of heartbeats."""
    for number in range(60):
        card = wire.Card(f'a{number}', 'agent', 'i1', f'10.0.1.{number}:1', 'r1', 'd1')
        table.handle_hello(Channel(card), wire.Hello(card, leaving=False))
    _receive_hello(table, 'e2', '0001')
    clock[0] += 5.0
    _assert_equal(table.alive_peers('entry'), [])


def test_slowest_region_counts_with_its_fastest_peer(table):
    """A slow peer does not count while another one of its region is fast."""
    for number, region, rtt_s in ((2, 'r1', 0.9), (3, 'r1', 0.01), (4, 'r2', 0.4)):
        card = wire.Card(f'e{number}', 'entry', 'i2', f'10.0.0.{number}:1', region, 'd')
        table.handle_hello(Channel(card), wire.Hello(card, leaving=False))
        table.peers[card.name].rtt_s = rtt_s
    _assert_equal(table.slowest_region_rtt_s(), 0.4)
