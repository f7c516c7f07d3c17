"""Weights are verified, distributed once, and loaded under fencing numbers."""

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
def test_each_chunk_enters_a_region_once_and_each_pair_carries_it_once(
    agent_regions, count
):
    """Guard against plans that carry a chunk over a link between regions twice."""
    weights = {}
    for index, region in enumerate(agent_regions):
        weights.setdefault(region, {})[f'agent-{index}'] = 1.0
    receivers = fetchplan.Receivers(weights, 'a')
    plans = {
        region: fetchplan.make_plan('d', count, region, receivers) for region in weights
    }
    for index in range(count):
        sources = {region: plan.upstreams[index] for region, plan in plans.items()}
        crossed = [
            upstream.region for upstream in sources.values() if not upstream.from_store
        ]
        stores = [region for region, upstream in sources.items() if upstream.from_store]
        if 'a' in weights:
            assertions.assert_that(stores, matchers.Equals(['a']))
        for region, upstream in sources.items():
            if not upstream.from_store:
                assertions.assert_that(
                    upstream.region, matchers.Not(matchers.Equals(region))
                )
                assertions.assert_that(weights, matchers.Contains(upstream.region))
        assertions.assert_that(
            len(crossed) + len(stores), matchers.Equals(len(weights))
        )
        for plan in plans.values():
            assertions.assert_that(
                plan.fetchers[index], matchers.Not(matchers.HasLength(0))
            )


@given(st.integers(0, 200), st.integers(1, 200))
def test_a_successor_waits_for_every_lease_before_its_own(idle_s, lease_s):
    """Guard against two fetchers that fetch the same chunk at the same time."""
    assertions.assert_that(fetchplan.may_fetch([], lease_s), matchers.Is(True))
    assertions.assert_that(
        fetchplan.may_fetch([float(idle_s)], float(lease_s)),
        matchers.Is(idle_s >= lease_s),
    )


@given(st.sets(st.integers(0, 99)), st.integers(1, 100))
def test_a_bitmap_decodes_to_the_held_indexes(held, count):
    """Guard against lost indexes, and against bits beyond the number of chunks."""
    expected = {index for index in held if index < count}
    size = -(-count // 8)
    bitmap = sum(1 << index for index in held if index < size * 8)
    bits = chunks.bits_from_bitmap(bitmap.to_bytes(size, 'little'), count)
    assertions.assert_that(
        set(chunks.indexes_from_bits(bits)), matchers.Equals(expected)
    )


class Loading(stateful.RuleBasedStateMachine):
    """Store chunks that are lost, corrupt, repeated or out of order, and load them.

    A chunk table must hold only published chunks. An engine must serve only complete
    published versions, and must refuse an order with an old fencing number.
    """

    versions = ('v1', 'v2')

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.texts = {}
        self.chunks = {}
        for name in self.versions:
            new_manifest, parts = weightstore.make_weights(name, 900, 100)
            text = manifest.to_bytes(new_manifest)
            self.texts[name] = (manifest.compute_digest(text), text)
            self.chunks[name] = parts
        self.table = chunks.ChunkTable(10_000)
        self.engine = engines.Engine(4, 0.0, 0.0, checks_fencing=True)
        self.fence = 0
        self.highest = 0

    @stateful.rule(name=st.sampled_from(versions))
    def add_version(self, name):
        """Receive a manifest."""
        digest, text = self.texts[name]
        self.table.add_version(digest, text)

    @stateful.rule(
        name=st.sampled_from(versions),
        index=st.integers(0, 9),
        corruption=st.sampled_from(['no', 'bit', 'short', 'other', 'empty']),
    )
    def store_chunk(self, name, index, corruption):
        """Receive a chunk, intact or corrupt, for the first time or again."""
        digest, _ = self.texts[name]
        body = self.chunks[name][min(index, 8)]
        if corruption == 'bit':
            body = bytes([body[0] ^ 1]) + body[1:]
        elif corruption == 'short':
            body = body[:-1]
        elif corruption == 'other':
            body = self.chunks[name][(index + 1) % 9]
        elif corruption == 'empty':
            body = b''
        stored = self.table.store_chunk(digest, index, body)
        is_known = self.table.get(digest) is not None
        assert stored == (is_known and corruption == 'no' and index < 9)

    @stateful.rule(name=st.sampled_from(versions))
    def drop_version(self, name):
        """Drop a version while its chunks arrive."""
        self.table.drop_version(self.texts[name][0])

    @stateful.rule(name=st.sampled_from(versions), complete_only=st.booleans())
    def stage(self, name, complete_only):
        """Stage the held chunks, also of a version that is not complete."""
        version = self.table.get(self.texts[name][0])
        if version is None or (complete_only and not version.is_complete):
            return
        staged = self.engine.staged.setdefault(version.digest, {})
        staged['manifest'] = version.text
        staged.update({str(key): body for key, body in version.chunks.items()})

    @stateful.rule(name=st.sampled_from(versions), fence_lag=st.integers(0, 3))
    def send_order(self, name, fence_lag):
        """Send a load order with a new or an old fencing number."""
        self.fence = orders.next_fence(1, self.fence)
        fence = self.fence - fence_lag
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
        """Check the chunks of the table and the versions of the engine."""
        published = {digest for digest, _ in self.texts.values()}
        assert set(self.engine.loaded.values()) <= published
        for name in self.versions:
            version = self.table.get(self.texts[name][0])
            if version is not None:
                for index, body in version.chunks.items():
                    assert body == self.chunks[name][index]

    def teardown(self):
        self.loop.close()


TestLoading = Loading.TestCase
TestLoading.settings = hsettings(max_examples=60, stateful_step_count=40)


@given(st.integers(1, 12), st.floats(0.05, 1.0), st.randoms(use_true_random=False))
def test_no_more_than_a_wave_switches_at_once(count, share, rand):
    """Guard against too many servers that switch at once.

    Servers know of each other's state late, in random order.
    """
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
            states = [
                switching.SwitchState(other, live=other in views[name])
                for other in names
            ]
            if switching.may_switch(name, 'v', states, share):
                switching_now.add(name)
        views[rand.choice(names)] = set(live)
        assertions.assert_that(
            len(switching_now),
            matchers.Not(matchers.GreaterThan(switching.wave_size(count, share))),
        )


def test_no_server_switches_after_the_version_failed_on_one():
    """Guard against a rollout that goes on with a faulty version."""
    states = [
        switching.SwitchState('a', live=False, failed=True),
        switching.SwitchState('b', live=False),
    ]
    assertions.assert_that(
        switching.may_switch('b', 'v', states, 1.0), matchers.Is(False)
    )


def test_all_agents_complete_though_fetchers_die_and_chunks_are_corrupt():
    """Guard against chunks that nobody fetches after their first fetcher has died.

    The store corrupts 5% of the chunks, and two of nine agents stop early.
    """

    async def body():
        links = swarm.Links(200_000, 8_192, 2.0, 8.0, 8.0, 8.0)
        swarm_run = swarm.Swarm(9, links, corrupt_share=0.05)
        await swarm_run.start()
        job = asyncio.create_task(swarm_run.spread('v1'))
        await asyncio.sleep(0.3)
        for agent in swarm_run.agents[:2]:
            await agent.stop()
        await job
        living = [agent for agent in swarm_run.agents if agent.alive]
        complete = [
            all(value == 1.0 for value in agent.weights.progress().values())
            for agent in living
        ]
        await swarm_run.stop()
        assertions.assert_that(complete, matchers.Equals([True] * 7))
        assertions.assert_that(swarm_run.copies, matchers.LessThan(2.0))

    asyncio.run(body())


def test_a_rollout_switches_every_engine_and_calls_are_answered(in_cluster):
    """Guard against calls that fail, or other versions served, during a rollout."""

    async def body(fleet):
        fleet.edit('model', 'assistant', version='assistant-v2')
        new = fleet.manifests['assistant-v2']
        old = fleet.manifests['assistant-v1']
        served = set()
        while not all(
            engine_standin.loaded.get('assistant') == new
            for engine_standin in fleet.engines.values()
        ):
            answer = await fleet.ask('entry-1')
            assertions.assert_that(answer.code, matchers.Equals(200))
            served.add(answer.headers['Served-Version'])
        assertions.assert_that(served <= {old, new}, matchers.Is(True))
        await support.eventually(lambda: _live_assistant(fleet, 'asst-1') == new)

    in_cluster(body, agents=3)


def test_a_version_that_engines_refuse_to_load_stops_the_rollout(in_cluster):
    """Guard against a rollout that goes on although engines refuse the version."""

    async def body(fleet):
        for engine_standin in fleet.engines.values():
            engine_standin.faults.put({'refuse_load': True})
        fleet.edit('model', 'assistant', version='assistant-v2')
        versions = fleet.nodes['entry-1'].find('admin').versions
        await support.eventually(lambda: versions()[0]['failed'])
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))
        assertions.assert_that(versions()[0]['live'], matchers.Equals([]))

    in_cluster(body)


def test_an_engine_that_restarts_empty_is_loaded_again(in_cluster):
    """Guard against an agent that trusts the state from before a restart."""

    async def body(fleet):
        engine_standin = fleet.engines['asst-1']
        engine_standin.loaded.clear()
        engine_standin.fence = 0
        await support.eventually(
            lambda: 'assistant' not in _live_versions(fleet, 'asst-1')
        )
        await support.eventually(lambda: 'assistant' in _live_versions(fleet, 'asst-1'))
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))

    in_cluster(body, agents=1)


def test_an_engine_ordered_by_another_is_reloaded_and_serves_no_other_version(
    in_cluster,
):
    """Guard against answers of a version that someone else ordered to load.

    That order has a much higher fencing number than the agent has sent.
    """

    async def body(fleet):
        engine_standin = fleet.engines['asst-1']
        wanted = engine_standin.loaded['assistant']
        engine_standin.loaded['assistant'] = 'd' * 64
        engine_standin.fence += 5_000_000
        answers = [await fleet.ask('entry-1') for _ in range(5)]
        for answer in answers:
            version = answer.headers.get('Served-Version', wanted)
            assertions.assert_that(version, matchers.Equals(wanted))
        await support.eventually(lambda: engine_standin.loaded['assistant'] == wanted)

    in_cluster(body, agents=1)


def test_an_engine_that_ignores_fencing_is_reloaded(in_cluster):
    """Guard against another version that stays loaded without a fencing check."""

    async def body(fleet):
        engine_standin = fleet.add_engine('plan-1', checks_fencing=False)
        await fleet.add('plan-1', 'agent', 'planner')
        await support.eventually(lambda: 'planner' in _live_versions(fleet, 'plan-1'))
        wanted = engine_standin.loaded['planner']
        engine_standin.loaded['planner'] = 'c' * 64
        await support.eventually(
            lambda: 'planner' not in _live_versions(fleet, 'plan-1')
        )
        await support.eventually(
            lambda: _live_versions(fleet, 'plan-1').get('planner') == wanted
        )
        assertions.assert_that(
            engine_standin.loaded['planner'], matchers.Equals(wanted)
        )

    in_cluster(body, agents=1, homes=0)


def test_a_restarted_agent_reads_chunks_from_peers_not_from_the_store(in_cluster):
    """Guard against store traffic when a single agent restarts."""

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


def _live_versions(fleet, name):
    return fleet.nodes[name].find('engine').live


def _live_assistant(fleet, name):
    return _live_versions(fleet, name).get('assistant')


def test_agents_with_faster_links_fetch_more_chunks():
    """Guard against weights that do not follow the link rates, or exceed the cap."""
    weights = fetchplan.capped_weights({'slow': 1.0, 'usual': 2.0, 'fast': 100.0})
    assertions.assert_that(weights['fast'], matchers.Equals(4.0))
    plan = fetchplan.make_plan('d', 600, 'a', fetchplan.Receivers({'a': weights}, 'a'))
    firsts = [names[0] for names in plan.fetchers]
    assertions.assert_that(
        firsts.count('slow'), matchers.LessThan(firsts.count('fast'))
    )
