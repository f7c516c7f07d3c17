"""Queue and concurrency limit of an agent: order, floors, fairness and bounds."""

import collections

import pytest
from hypothesis import given, stateful
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from testtools import assertions, matchers

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import verdict
from primrosesaddle.gateway import concurrency, fairqueue

Rank = catalogue.Rank
NO_DEADLINE = 1e9


def make_call(
    number, workspace='w', rank=Rank.STANDARD, cost=10.0, deadline=NO_DEADLINE
):
    return fairqueue.QueuedCall(str(number), workspace, rank, cost, deadline)


def pop_calls(queue, count):
    return [popped for _ in range(count) if (popped := queue.pop_next()) is not None]


class NaiveFairList:
    """Start-time fair queueing with a list that is sorted for each call served."""

    def __init__(self):
        self.waiting = []
        self.finish = collections.defaultdict(float)
        self.virtual = 0.0

    def enqueue(self, name, workspace, cost, weight):
        start = max(self.virtual, self.finish[workspace])
        self.finish[workspace] = start + cost / weight
        self.waiting.append((start, len(self.waiting), name))

    def pop_next(self):
        self.waiting.sort()
        start, _, name = self.waiting.pop(0)
        self.virtual = max(self.virtual, start)
        return name


@given(
    st.lists(
        st.one_of(
            st.none(),
            st.tuples(
                st.sampled_from('abc'), st.integers(1, 9), st.sampled_from([1.0, 2.0])
            ),
        ),
        max_size=60,
    )
)
def test_one_rank_is_served_in_the_order_of_a_naive_fair_list(steps):
    """The optimised queue must not change the order of fair queueing."""
    queue = fairqueue.FairQueue()
    naive = NaiveFairList()
    serial = 0
    for step in steps:
        if step is None:
            if len(queue):
                assertions.assert_that(
                    queue.pop_next().call_id, matchers.Equals(naive.pop_next())
                )
            continue
        workspace, cost, weight = step
        serial += 1
        call = make_call(f'{serial:04d}', workspace, cost=float(cost))
        call.weight = weight
        queue.enqueue(call, 0)
        naive.waiting = [(start, name, name) for start, _, name in naive.waiting]
        naive.enqueue(call.call_id, workspace, float(cost), weight)
        start, _, name = naive.waiting.pop()
        naive.waiting.append((start, name, name))


@given(
    st.lists(
        st.tuples(st.sampled_from(list(Rank)), st.integers(1, 20)),
        min_size=1,
        max_size=30,
    )
)
def test_every_backlogged_rank_gets_its_floor(seeds):
    """Urgent calls must not starve the other ranks, nor these the urgent calls."""
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10_000, 1.0))
    number = 0
    for rank in Rank:
        for _ in range(400):
            number += 1
            cost = float(seeds[number % len(seeds)][1])
            queue.enqueue(make_call(number, rank=rank, cost=cost), 0)
    served = collections.Counter()
    for popped in pop_calls(queue, 300):
        served[popped.rank] += popped.cost
    total = sum(served.values())
    for rank, floor in fairqueue.DEFAULT_FLOORS.items():
        assertions.assert_that(served[rank] + 21, matchers.GreaterThan(floor * total))
    assertions.assert_that(served[Rank.URGENT], matchers.GreaterThan(0.6 * total))


@given(st.integers(2, 6), st.integers(1, 50), st.integers(1, 50))
def test_backlogged_workspaces_get_equal_shares(workspaces, small, large):
    """A workspace with costlier calls must not get more than the others."""
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10_000, 1.0))
    for number in range(200):
        for index in range(workspaces):
            cost = float(large if index == 0 else small)
            queue.enqueue(make_call(number, f'w{index}', cost=cost), 0)
    served = collections.Counter()
    for popped in pop_calls(queue, 40 * workspaces):
        served[popped.workspace] += popped.cost
    spread = max(served.values()) - min(served.values())
    assertions.assert_that(
        spread, matchers.Not(matchers.GreaterThan(2 * max(small, large)))
    )


def test_a_full_queue_drops_the_heaviest_of_the_lowest_rank():
    """An urgent call must get room, and a low one must not displace higher ranks."""
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(4, 1.0))
    for number, (workspace, rank) in enumerate(
        (
            ('light', Rank.LOW),
            ('heavy', Rank.LOW),
            ('heavy', Rank.LOW),
            ('any', Rank.URGENT),
        )
    ):
        queue.enqueue(make_call(number, workspace, rank), 0)
    displaced = queue.enqueue(make_call(9, 'any', Rank.URGENT), 0)
    assertions.assert_that(displaced[0].call_id, matchers.Equals('2'))
    queue.enqueue(make_call(8, 'heavy', Rank.STANDARD), 0)
    low_call = make_call(10, 'heavy', Rank.LOW)
    with pytest.raises(verdict.Refusal, match='queue_full'):
        queue.enqueue(low_call, 0)


def test_a_flood_of_one_workspace_is_capped():
    """One workspace must not fill the queue for the others."""
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10, 0.5))
    for number in range(5):
        queue.enqueue(make_call(number, 'flood'), 0)
    with pytest.raises(verdict.Refusal, match='workspace_queue_full'):
        queue.enqueue(make_call(6, 'flood'), 0)
    assertions.assert_that(queue.enqueue(make_call(7, 'other'), 0), matchers.Equals([]))


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    """A call must not wait for a slot that comes too late for it."""
    queue = fairqueue.FairQueue()
    queue.observe_rate(10.0)
    for number in range(10):
        queue.enqueue(make_call(number, f'w{number}', Rank.URGENT), 0)
    with pytest.raises(verdict.Refusal) as caught:
        queue.enqueue(make_call(11, 'late', Rank.URGENT, deadline=3.0), 0)
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))
    queue.enqueue(make_call(12, 'soon', Rank.URGENT, deadline=60.0), 0)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Queue, serve, cancel and expire calls: none is lost or returned twice."""

    def __init__(self):
        super().__init__()
        self.queue = fairqueue.FairQueue(fairqueue.QueueLimits(8, 0.75))
        self.waiting = {}
        self.now = 0.0
        self.serial = 0

    @stateful.rule(
        workspace=st.sampled_from('abc'),
        rank=st.sampled_from(list(Rank)),
        cost=st.integers(1, 9),
        lifetime=st.integers(1, 20),
    )
    def enqueue(self, workspace, rank, cost, lifetime):
        """Queue a call, which may displace others of its rank or below."""
        self.serial += 1
        call = make_call(self.serial, workspace, rank, float(cost), self.now + lifetime)
        try:
            displaced = self.queue.enqueue(call, self.now)
        except verdict.Refusal as exc:
            assert exc.verdict is verdict.Verdict.NOT_RUN
            return
        self.waiting[call.call_id] = call
        for loser in displaced:
            assert loser.rank >= call.rank
            self.waiting.pop(loser.call_id)

    @stateful.rule(urgent_only=st.booleans())
    def pop_next(self, urgent_only):
        """Serve a call, in the order of arrival within workspace and rank."""
        popped = self.queue.pop_next(
            lambda rank: rank is Rank.URGENT or not urgent_only
        )
        if popped is None:
            ranks = {call.rank for call in self.waiting.values()}
            assert not ranks or (urgent_only and Rank.URGENT not in ranks)
            return
        del self.waiting[popped.call_id]
        waiting_orders = [
            call.order
            for call in self.waiting.values()
            if call.workspace == popped.workspace and call.rank == popped.rank
        ]
        assert all(popped.order < order for order in waiting_orders)
        self.queue.charge_actual_cost(popped, popped.cost * 2)

    @stateful.rule(data=st.data())
    def cancel(self, data):
        """Remove a queued call, as when its caller disconnects."""
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            assert self.queue.remove(self.waiting.pop(name))

    @stateful.rule(step=st.integers(1, 6))
    def pass_time(self, step):
        """Advance the clock and remove exactly the expired calls."""
        self.now += step
        expired = {call.call_id for call in self.queue.remove_expired(self.now)}
        expected = {
            name for name, call in self.waiting.items() if call.deadline <= self.now
        }
        assert expired == expected
        for name in expired:
            del self.waiting[name]

    @stateful.invariant()
    def holds_waiting_calls(self):
        """The queue holds exactly the waiting calls and their cost, up to 8."""
        assert {call.call_id for call in self.queue.calls()} == set(self.waiting)
        assert len(self.queue) == len(self.waiting) <= 8
        cost = sum(call.cost for call in self.waiting.values())
        assert abs(self.queue.cost - cost) < 1e-6


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hsettings(max_examples=100, stateful_step_count=50)


def test_concurrency_falls_with_latency_and_recovers():
    """The limit must return to its ceiling once the engine is fast again."""
    limit = concurrency.AdaptiveLimit(16)
    for _ in range(80):
        limit.observe_latency(0.01)
    assertions.assert_that(limit.limit, matchers.Equals(16))
    for _ in range(160):
        limit.observe_latency(0.05)
    lowered = limit.limit
    assertions.assert_that(lowered, matchers.LessThan(10))
    for _ in range(160):
        limit.observe_latency(0.01)
    assertions.assert_that(limit.limit, matchers.Equals(16))


def test_urgent_calls_exceed_the_limit_unless_they_flood():
    """Urgent calls start beside a full batch, but must not take all of it."""
    limit = concurrency.AdaptiveLimit(8)
    while limit.can_start(Rank.LOW):
        limit.record_start(Rank.LOW)
    assertions.assert_that(limit.running, matchers.Equals(8))
    while limit.can_start(Rank.URGENT):
        limit.record_start(Rank.URGENT)
    assertions.assert_that(limit.running, matchers.Equals(10))
    flood = concurrency.AdaptiveLimit(8)
    while flood.can_start(Rank.URGENT):
        flood.record_start(Rank.URGENT)
    assertions.assert_that(flood.running, matchers.Equals(8))
