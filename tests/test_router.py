"""Routing and membership: prefix affinity, ejection, retries, bounded links."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle.core import backoff, pause, rendezvous
from primrosesaddle.gateway import router
from primrosesaddle.membership import peers, wire

loads = st.lists(st.integers(0, 30), min_size=1, max_size=12)


def make_server(index, in_flight=0, age_s=100.0, distance=0):
    return router.Server(f's{index}', in_flight, 0, 16, distance, age_s)


@given(loads, st.text(min_size=1, max_size=8), st.integers(0, 9))
def test_a_prefix_goes_to_its_owner_unless_that_is_overloaded(
    in_flight_counts, prefix, seed
):
    """Prefix affinity must keep caches warm and not overload the owner."""
    servers = [
        make_server(index, count) for index, count in enumerate(in_flight_counts)
    ]
    chosen = router.choose_server(servers, prefix, random.Random(seed))
    owner = rendezvous.select_owner(prefix, [candidate.name for candidate in servers])
    mean = sum(candidate.load for candidate in servers) / len(servers)
    bound = router.LOAD_BOUND_FACTOR * mean + 1 / 16
    owner_server = next(candidate for candidate in servers if candidate.name == owner)
    if owner_server.load <= bound:
        assertions.assert_that(chosen.name, matchers.Equals(owner))
    least = min(candidate.load for candidate in servers)
    assertions.assert_that(
        chosen.load <= bound or chosen.load == least, matchers.Is(True)
    )


@given(loads, st.integers(0, 9))
def test_without_a_prefix_the_most_loaded_server_is_never_chosen(
    in_flight_counts, seed
):
    servers = [
        make_server(index, count) for index, count in enumerate(in_flight_counts)
    ]
    chosen = router.choose_server(servers, '', random.Random(seed))
    if len(set(in_flight_counts)) == len(in_flight_counts) > 1:
        worst = max(servers, key=lambda candidate: candidate.load)
        assertions.assert_that(chosen, matchers.Not(matchers.Is(worst)))


def test_a_server_that_just_joined_is_not_flooded():
    """Slow start: an idle server that just joined must not get most of the calls."""
    rand = random.Random(4)
    servers = [make_server(index, 4) for index in range(5)]
    servers.append(make_server(9, 0, age_s=0.0))
    counts = collections.Counter()
    for _ in range(100):
        chosen = router.choose_server(servers, '', rand)
        chosen.in_flight += 1
        counts[chosen.name] += 1
    assertions.assert_that(counts['s9'], matchers.LessThan(25))


def test_nearer_servers_are_preferred_until_they_are_full():
    """Calls stay in the data centre as long as it has room, then go further."""
    near = [make_server(0, 3), make_server(1, 4)]
    far = [make_server(2, 0, distance=2)]
    chosen = router.choose_server([*near, *far], '', random.Random(1))
    assertions.assert_that(chosen.distance, matchers.Equals(0))
    full = [make_server(0, 90), make_server(1, 90)]
    names = {
        router.choose_server([*full, *far], '', random.Random(seed)).name
        for seed in range(9)
    }
    assertions.assert_that(names, matchers.Contains('s2'))


@given(st.integers(1, 12), st.sets(st.integers(0, 11)))
def test_only_a_share_of_the_servers_is_ejected(count, failing):
    """If most servers fail, ejection must not take away all of them."""
    outliers = router.OutlierDetector()
    for index in failing:
        for _ in range(router.FAILURES_TO_EJECT):
            outliers.record_result(f's{index}', None, 0.0)
    servers = [make_server(index) for index in range(count)]
    kept = outliers.exclude_outliers(servers, 1.0)
    least = count - int(count * router.MAX_EJECTED_SHARE)
    assertions.assert_that(len(kept), matchers.Not(matchers.LessThan(least)))
    back = outliers.exclude_outliers(servers, 1.0 + router.EJECTION_S)
    assertions.assert_that(len(back), matchers.Equals(count))


def test_a_slow_server_is_ejected_and_tried_again():
    """A slow server must be left out for a while and not for good."""
    outliers = router.OutlierDetector()
    for index in range(4):
        for _ in range(10):
            outliers.record_result(f's{index}', 1.0 if index == 2 else 0.1, 0.0)
    servers = [make_server(index) for index in range(4)]
    names = {candidate.name for candidate in outliers.exclude_outliers(servers, 0.0)}
    assertions.assert_that(names, matchers.Equals({'s0', 's1', 's3'}))
    later = outliers.exclude_outliers(servers, router.EJECTION_S + 1)
    assertions.assert_that(len(later), matchers.Equals(4))


def test_retries_are_limited_to_a_share_of_the_calls():
    """Retries must not multiply the load of servers that fail."""
    budget = router.RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.record_call()
        spent += budget.try_spend_retry()
    share = router.RETRIES_PER_CALL * 1000 + router.MAX_SAVED_RETRIES
    assertions.assert_that(spent, matchers.Not(matchers.GreaterThan(share)))


@given(st.integers(0, 40), st.integers(0, 99))
def test_backoff_is_jittered_and_bounded(attempt, seed):
    wait_s = backoff.delay_s(attempt, 0.2, 4.0, random.Random(seed))
    assertions.assert_that(0.1 <= wait_s <= 4.0, matchers.Is(True))


@given(st.lists(st.floats(0.01, 3.0), min_size=1, max_size=20))
def test_a_pause_is_detected_exactly_when_the_clock_jumped(gaps):
    now = 0.0
    detector = pause.PauseDetector(now)
    for gap in gaps:
        now += gap
        jumped = now - (now - gap) > pause.PAUSE_S
        assertions.assert_that(detector.observe(now), matchers.Is(jumped))


def test_links_are_bounded_at_the_fleet_size_expected_in_two_years():
    """Connections and heartbeats of a process must not grow with the fleet."""
    agents = [
        peers.Candidate(
            f'10.0.{index // 250}.{index % 250}:1',
            'agent',
            f'a{index}',
            f'model-{index % 8}',
            f'r{index % 3}',
        )
        for index in range(670)
    ]
    entries = [
        peers.Candidate(f'10.1.{index // 250}.{index % 250}:1', 'entry', f'e{index}')
        for index in range(330)
    ]
    card = wire.Card('a0', 'agent', 'i', '10.0.0.0:1', 'r0', 'd', 'model-0', 'engine')
    mine = peers.choose_links(card, [*agents, *entries])
    assertions.assert_that(len(mine), matchers.LessThan(64))
    entry = wire.Card('e0', 'entry', 'i', '10.1.0.0:1', 'r0', 'd')
    links = peers.choose_links(entry, [*agents, *entries])
    per_name = collections.Counter(cand.serves for cand in links if cand.serves)
    assertions.assert_that(
        max(per_name.values()), matchers.Equals(peers.AGENTS_PER_NAME)
    )
    heartbeats_per_s = len(links) / peers.heartbeat_interval_s(len(links))
    bytes_per_s = heartbeats_per_s * peers.HEARTBEAT_BYTES
    assertions.assert_that(
        bytes_per_s, matchers.Not(matchers.GreaterThan(peers.CONTROL_BYTES_PER_S + 1))
    )
