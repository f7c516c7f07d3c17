"""Weights: verified, whole, spread once, ordered under fencing."""

import asyncio

from bench import swarm
from demo.standins import engine as engines
from demo.standins import weightstore
from hypothesis import given, stateful
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from testtools import assertions, matchers

import support
from primrosesaddle.weights import (
    chunks,
    engine,
    fetchplan,
    manifest,
    orders,
    switching,
)

regions_of_agents = st.lists(st.sampled_from(['a', 'b', 'c']), min_size=1, max_size=12)


@given(regions_of_agents, st.integers(1, 40))
def test_each_chunk_enters_a_region_once_and_each_pair_carries_it_once(places, count):
    weights = {}
    for index, region in enumerate(places):
        weights.setdefault(region, {})[f'agent-{index}'] = 1.0
    peering = fetchplan.Receivers(weights, 'a')
    plans = {
        region: fetchplan.make_plan('d', count, region, peering) for region in weights
    }
    for index in range(count):
        sources = {region: plan.upstreams[index] for region, plan in plans.items()}
        crossed = [one.region for one in sources.values() if not one.from_store]
        stores = [region for region, one in sources.items() if one.from_store]
        if 'a' in weights:
            assertions.assert_that(stores, matchers.Equals(['a']))
        for region, one in sources.items():
            if not one.from_store:
                assertions.assert_that(
                    one.region, matchers.Not(matchers.Equals(region))
                )
                assertions.assert_that(weights, matchers.Contains(one.region))
        assertions.assert_that(
            len(crossed) + len(stores), matchers.Equals(len(weights))
        )
        for plan in plans.values():
            assertions.assert_that(
                plan.fetchers[index], matchers.Not(matchers.HasLength(0))
            )


@given(st.integers(0, 200), st.integers(1, 200))
def test_a_successor_waits_for_every_lease_before_its_own(quiet, lease):
    assertions.assert_that(fetchplan.may_fetch([], lease), matchers.Is(True))
    assertions.assert_that(
        fetchplan.may_fetch([float(quiet)], float(lease)), matchers.Is(quiet >= lease)
    )


@given(st.sets(st.integers(0, 99)), st.integers(1, 100))
def test_a_bitmap_says_what_is_held(held, count):
    known = {index for index in held if index < count}
    size = -(-count // 8)
    bitmap = sum(1 << index for index in held if index < size * 8)
    bits = chunks.bits_from_bitmap(bitmap.to_bytes(size, 'little'), count)
    assertions.assert_that(set(chunks.indexes_from_bits(bits)), matchers.Equals(known))


class Loading(stateful.RuleBasedStateMachine):
    """Chunks lost, spoilt, repeated and out of order; orders old and new.

    The oracle: a table holds only published chunks, an engine serves only a whole
    published version, and one that checks fencing never goes back to an old order.
    """

    versions = ('v1', 'v2')

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.texts = {}
        self.chunks = {}
        for name in self.versions:
            made, parts = weightstore.make_weights(name, 900, 100)
            text = manifest.to_bytes(made)
            self.texts[name] = (manifest.compute_digest(text), text)
            self.chunks[name] = parts
        self.table = chunks.ChunkTable(10_000)
        self.engine = engines.Engine(4, 0.0, 0.0, checks_fencing=True)
        self.fence = 0
        self.highest = 0

    @stateful.rule(name=st.sampled_from(versions))
    def add_version(self, name):
        """The manifest comes in."""
        digest, text = self.texts[name]
        self.table.add_version(digest, text)

    @stateful.rule(
        name=st.sampled_from(versions),
        index=st.integers(0, 9),
        spoil=st.sampled_from(['no', 'bit', 'short', 'other', 'empty']),
    )
    def put(self, name, index, spoil):
        """A chunk comes in, whole or not, for the first time or again."""
        digest, _ = self.texts[name]
        body = self.chunks[name][min(index, 8)]
        if spoil == 'bit':
            body = bytes([body[0] ^ 1]) + body[1:]
        elif spoil == 'short':
            body = body[:-1]
        elif spoil == 'other':
            body = self.chunks[name][(index + 1) % 9]
        elif spoil == 'empty':
            body = b''
        kept = self.table.store_chunk(digest, index, body)
        opened = self.table.get(digest) is not None
        assert kept == (opened and spoil == 'no' and index < 9)

    @stateful.rule(name=st.sampled_from(versions))
    def withdraw(self, name):
        """The version is withdrawn in mid-flight."""
        self.table.drop_version(self.texts[name][0])

    @stateful.rule(name=st.sampled_from(versions), whole_only=st.booleans())
    def stage(self, name, whole_only):
        """An agent stages what it holds; a buggy one stages a part."""
        holding = self.table.get(self.texts[name][0])
        if holding is None or (whole_only and not holding.is_complete):
            return
        staged = self.engine.staged.setdefault(holding.digest, {})
        staged['manifest'] = holding.text
        staged.update({str(key): body for key, body in holding.chunks.items()})

    @stateful.rule(name=st.sampled_from(versions), late=st.integers(0, 3))
    def order(self, name, late):
        """An order is sent, with a new fencing number or an old one."""
        self.fence = orders.next_fence(1, self.fence)
        fence = self.fence - late
        digest = self.texts[name][0]
        before = dict(self.engine.loaded)
        status, _ = self.loop.run_until_complete(
            self.engine.load(engine.LoadOrder(fence, 'm', digest))
        )
        if status == 200:
            assert fence > self.highest
            self.highest = fence
            assert self.engine.loaded['m'] == digest
        else:
            assert self.engine.loaded == before

    @stateful.invariant()
    def holds_and_serves_only_what_was_published(self):
        """Check the oracle."""
        published = {digest for digest, _ in self.texts.values()}
        assert set(self.engine.loaded.values()) <= published
        for name in self.versions:
            holding = self.table.get(self.texts[name][0])
            if holding is not None:
                for index, body in holding.chunks.items():
                    assert body == self.chunks[name][index]

    def teardown(self):
        self.loop.close()


TestLoading = Loading.TestCase
TestLoading.settings = hsettings(max_examples=60, stateful_step_count=40)


@given(st.integers(1, 12), st.floats(0.05, 1.0), st.randoms(use_true_random=False))
def test_no_more_than_a_wave_switches_at_once(count, share, rand):
    names = [f'agent-{index}' for index in range(count)]
    live = set()
    switching_now = set()
    views = {name: set() for name in names}
    for _ in range(count * 12):
        name = rand.choice(names)
        if name in switching_now and rand.random() < 0.5:
            switching_now.discard(name)
            live.add(name)
        elif name not in live:
            turns = [
                switching.SwitchState(other, live=other in views[name])
                for other in names
            ]
            if switching.may_switch(name, 'v', turns, share):
                switching_now.add(name)
        views[rand.choice(names)] = set(live)
        assertions.assert_that(
            len(switching_now),
            matchers.Not(matchers.GreaterThan(switching.wave_size(count, share))),
        )


def test_nobody_begins_after_a_failure():
    turns = [
        switching.SwitchState('a', live=False, failed=True),
        switching.SwitchState('b', live=False),
    ]
    assertions.assert_that(
        switching.may_switch('b', 'v', turns, 1.0), matchers.Is(False)
    )


def test_a_swarm_is_whole_though_fetchers_die_and_chunks_are_spoilt():
    async def body():
        links = swarm.Links(200_000, 8_192, 2.0, 8.0, 8.0, 8.0)
        made = swarm.Swarm(9, links, corrupt_share=0.05)
        await made.start()
        job = asyncio.create_task(made.spread('v1'))
        await asyncio.sleep(0.3)
        for agent in made.agents[:2]:
            await agent.stop()
        await job
        living = [agent for agent in made.agents if agent.alive]
        whole = [
            all(value == 1.0 for value in agent.weights.progress().values())
            for agent in living
        ]
        await made.stop()
        assertions.assert_that(whole, matchers.Equals([True] * 7))
        assertions.assert_that(made.copies, matchers.LessThan(2.0))

    asyncio.run(body())


def test_a_rollout_switches_every_engine_and_answers_stay_whole(in_cluster):
    async def body(fleet):
        fleet.edit('model', 'assistant', version='assistant-v2')
        new = fleet.manifests['assistant-v2']
        old = fleet.manifests['assistant-v1']
        seen = set()
        while not all(
            one.loaded.get('assistant') == new for one in fleet.engines.values()
        ):
            answer = await fleet.ask('entry-1')
            assertions.assert_that(answer.code, matchers.Equals(200))
            seen.add(answer.headers['Served-Version'])
        assertions.assert_that(seen <= {old, new}, matchers.Is(True))
        await support.eventually(lambda: _live(fleet, 'asst-1') == new)

    in_cluster(body, agents=3)


def test_a_version_that_fails_its_read_back_stops_the_rollout(in_cluster):
    async def body(fleet):
        for one in fleet.engines.values():
            one.faults.put({'refuse_load': True})
        fleet.edit('model', 'assistant', version='assistant-v2')
        versions = fleet.nodes['entry-1'].find('admin').versions
        await support.eventually(lambda: versions()[0]['failed'])
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))
        assertions.assert_that(versions()[0]['live'], matchers.Equals([]))

    in_cluster(body)


def test_an_engine_that_restarts_empty_is_brought_back(in_cluster):
    async def body(fleet):
        one = fleet.engines['asst-1']
        one.loaded.clear()
        one.fence = 0
        await support.eventually(lambda: 'assistant' not in _lives(fleet, 'asst-1'))
        await support.eventually(lambda: 'assistant' in _lives(fleet, 'asst-1'))
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))

    in_cluster(body, agents=1)


def test_an_engine_ordered_elsewhere_is_brought_back_and_never_answers_mixed(
    in_cluster,
):
    async def body(fleet):
        one = fleet.engines['asst-1']
        wanted = one.loaded['assistant']
        one.loaded['assistant'] = 'd' * 64
        one.fence += 5_000_000
        answers = [await fleet.ask('entry-1') for _ in range(5)]
        for answer in answers:
            version = answer.headers.get('Served-Version', wanted)
            assertions.assert_that(version, matchers.Equals(wanted))
        await support.eventually(lambda: one.loaded['assistant'] == wanted)

    in_cluster(body, agents=1)


def test_an_engine_that_ignores_fencing_is_brought_back(in_cluster):
    async def body(fleet):
        one = fleet.add_engine('plan-1', checks_fencing=False)
        await fleet.add('plan-1', 'agent', 'planner')
        await support.eventually(lambda: 'planner' in _lives(fleet, 'plan-1'))
        wanted = one.loaded['planner']
        one.loaded['planner'] = 'c' * 64
        await support.eventually(lambda: 'planner' not in _lives(fleet, 'plan-1'))
        await support.eventually(
            lambda: _lives(fleet, 'plan-1').get('planner') == wanted
        )
        assertions.assert_that(one.loaded['planner'], matchers.Equals(wanted))

    in_cluster(body, agents=1, homes=0)


def test_a_restarted_agent_fills_from_its_peers_not_from_the_store(in_cluster):
    async def body(fleet):
        sent = fleet.store.sent
        await fleet.kill('asst-2')
        fleet.add_engine('asst-2')
        await fleet.add('asst-2', 'agent', 'assistant')
        await fleet.ready()
        assertions.assert_that(
            fleet.store.sent - sent, matchers.LessThan(support.VERSION_BYTES // 2)
        )

    in_cluster(body, agents=3)


def _lives(fleet, name):
    return fleet.nodes[name].find('engine').live


def _live(fleet, name):
    return _lives(fleet, name).get('assistant')


def test_weighted_owners_follow_the_weights():
    weights = fetchplan.capped_weights({'slow': 1.0, 'usual': 2.0, 'fast': 100.0})
    assertions.assert_that(weights['fast'], matchers.Equals(4.0))
    plan = fetchplan.make_plan('d', 600, 'a', fetchplan.Receivers({'a': weights}, 'a'))
    firsts = [names[0] for names in plan.fetchers]
    assertions.assert_that(
        firsts.count('slow'), matchers.LessThan(firsts.count('fast'))
    )
