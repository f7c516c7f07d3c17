"""The agent's queue: order, floors, fairness and bounds against naive versions."""

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
FAR = 1e9


def item(number, workspace='w', rank=Rank.STANDARD, cost=10.0, deadline=FAR):
    return fairqueue.QueuedCall(str(number), workspace, rank, cost, deadline)


def drain(queue, count):
    return [taken for _ in range(count) if (taken := queue.pop_next()) is not None]


class NaiveFairList:
    """Start-time fair queueing over a list that is sorted anew for each take."""

    def __init__(self):
        self.waiting = []
        self.finish = collections.defaultdict(float)
        self.virtual = 0.0

    def offer(self, name, workspace, cost, weight):
        start = max(self.virtual, self.finish[workspace])
        self.finish[workspace] = start + cost / weight
        self.waiting.append((start, len(self.waiting), name))

    def take(self):
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
def test_one_rank_goes_in_the_order_of_a_naive_fair_list(steps):
    queue = fairqueue.FairQueue()
    naive = NaiveFairList()
    serial = 0
    for step in steps:
        if step is None:
            if len(queue):
                assertions.assert_that(
                    queue.pop_next().call_id, matchers.Equals(naive.take())
                )
            continue
        workspace, cost, weight = step
        serial += 1
        offered = item(f'{serial:04d}', workspace, cost=float(cost))
        offered.weight = weight
        queue.enqueue(offered, 0)
        naive.waiting = [(start, name, name) for start, _, name in naive.waiting]
        naive.offer(offered.call_id, workspace, float(cost), weight)
        start, _, name = naive.waiting.pop()
        naive.waiting.append((start, name, name))


@given(
    st.lists(
        st.tuples(st.sampled_from(list(Rank)), st.integers(1, 20)),
        min_size=1,
        max_size=30,
    )
)
def test_every_backlogged_rank_keeps_its_floor(seeds):
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10_000, 1.0))
    number = 0
    for rank in Rank:
        for _ in range(400):
            number += 1
            cost = float(seeds[number % len(seeds)][1])
            queue.enqueue(item(number, rank=rank, cost=cost), 0)
    served = collections.Counter()
    for taken in drain(queue, 300):
        served[taken.rank] += taken.cost
    total = sum(served.values())
    for rank, floor in fairqueue.DEFAULT_FLOORS.items():
        assertions.assert_that(served[rank] + 21, matchers.GreaterThan(floor * total))
    assertions.assert_that(served[Rank.URGENT], matchers.GreaterThan(0.6 * total))


@given(st.integers(2, 6), st.integers(1, 50), st.integers(1, 50))
def test_two_backlogged_workspaces_get_alike(flows, small, large):
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10_000, 1.0))
    for number in range(200):
        for flow in range(flows):
            cost = float(large if flow == 0 else small)
            queue.enqueue(item(number, f'w{flow}', cost=cost), 0)
    served = collections.Counter()
    for taken in drain(queue, 40 * flows):
        served[taken.workspace] += taken.cost
    spread = max(served.values()) - min(served.values())
    assertions.assert_that(
        spread, matchers.Not(matchers.GreaterThan(2 * max(small, large)))
    )


def test_a_full_queue_drops_the_heaviest_of_the_lowest_rank():
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(4, 1.0))
    for number, (space, rank) in enumerate(
        (
            ('light', Rank.LOW),
            ('heavy', Rank.LOW),
            ('heavy', Rank.LOW),
            ('any', Rank.URGENT),
        )
    ):
        queue.enqueue(item(number, space, rank), 0)
    victims = queue.enqueue(item(9, 'any', Rank.URGENT), 0)
    assertions.assert_that(victims[0].call_id, matchers.Equals('2'))
    queue.enqueue(item(8, 'heavy', Rank.STANDARD), 0)
    low = item(10, 'heavy', Rank.LOW)
    with pytest.raises(verdict.Refusal, match='queue_full'):
        queue.enqueue(low, 0)


def test_a_flood_of_one_workspace_is_capped():
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(10, 0.5))
    for number in range(5):
        queue.enqueue(item(number, 'flood'), 0)
    with pytest.raises(verdict.Refusal, match='workspace_queue_full'):
        queue.enqueue(item(6, 'flood'), 0)
    assertions.assert_that(queue.enqueue(item(7, 'other'), 0), matchers.Equals([]))


def test_what_cannot_meet_its_deadline_is_refused_early():
    queue = fairqueue.FairQueue()
    queue.observe_rate(10.0)
    for number in range(10):
        queue.enqueue(item(number, f'w{number}', Rank.URGENT), 0)
    with pytest.raises(verdict.Refusal) as caught:
        queue.enqueue(item(11, 'late', Rank.URGENT, deadline=3.0), 0)
    assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.NOT_RUN))
    queue.enqueue(item(12, 'soon', Rank.URGENT, deadline=60.0), 0)


class QueueLife(stateful.RuleBasedStateMachine):
    """Calls offered, taken, cancelled, expired: none is lost and none seen twice."""

    def __init__(self):
        super().__init__()
        self.queue = fairqueue.FairQueue(fairqueue.QueueLimits(8, 0.75))
        self.waiting = {}
        self.now = 0.0
        self.serial = 0

    @stateful.rule(
        space=st.sampled_from('abc'),
        rank=st.sampled_from(list(Rank)),
        cost=st.integers(1, 9),
        life=st.integers(1, 20),
    )
    def offer(self, space, rank, cost, life):
        """A call comes in."""
        self.serial += 1
        made = item(self.serial, space, rank, float(cost), self.now + life)
        try:
            victims = self.queue.enqueue(made, self.now)
        except verdict.Refusal as exc:
            assert exc.verdict is verdict.Verdict.NOT_RUN
            return
        self.waiting[made.call_id] = made
        for victim in victims:
            assert victim.rank >= made.rank
            self.waiting.pop(victim.call_id)

    @stateful.rule(urgent_only=st.booleans())
    def take(self, urgent_only):
        """A place comes free."""
        taken = self.queue.pop_next(lambda rank: rank is Rank.URGENT or not urgent_only)
        if taken is None:
            ranks = {one.rank for one in self.waiting.values()}
            assert not ranks or (urgent_only and Rank.URGENT not in ranks)
            return
        del self.waiting[taken.call_id]
        older = [
            one.order
            for one in self.waiting.values()
            if one.workspace == taken.workspace and one.rank == taken.rank
        ]
        assert all(taken.order < order for order in older)
        self.queue.charge_actual_cost(taken, taken.cost * 2)

    @stateful.rule(data=st.data())
    def cancel(self, data):
        """A caller hangs up."""
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            assert self.queue.remove(self.waiting.pop(name))

    @stateful.rule(step=st.integers(1, 6))
    def pass_time(self, step):
        """Time passes, and late calls leave."""
        self.now += step
        late = {one.call_id for one in self.queue.remove_expired(self.now)}
        expected = {
            name for name, one in self.waiting.items() if one.deadline <= self.now
        }
        assert late == expected
        for name in late:
            del self.waiting[name]

    @stateful.invariant()
    def holds_what_waits(self):
        """The queue holds exactly the calls that wait, within its bound."""
        assert {one.call_id for one in self.queue.items()} == set(self.waiting)
        assert len(self.queue) == len(self.waiting) <= 8
        cost = sum(one.cost for one in self.waiting.values())
        assert abs(self.queue.cost - cost) < 1e-6


TestQueueLife = QueueLife.TestCase
TestQueueLife.settings = hsettings(max_examples=100, stateful_step_count=50)


def test_concurrency_falls_with_latency_and_recovers():
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
