"""The spread of the configuration: never back, refused whole, converging."""

import asyncio
import json
import random

from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import assertions, matchers

import support
from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.membership import link, wire

OWNED = {'owner': 'platform', 'class': 'shared'}


class Mates:
    """The members that a node needs for the spread, without a network."""

    leaving = False
    peers = ()

    def broadcast_heartbeat(self, *, leaving):
        """Say nothing."""


class Wire:
    """A channel to another node that may lose or delay the answer."""

    def __init__(self, asker, node):
        self.card = None
        self._asker = asker
        self._node = node
        self.lost = False

    async def request(self, body, timeout_s):
        """Carry a pull there and the delta back, over the codec."""
        if self.lost:
            raise TimeoutError
        kept = []
        reply = type(
            'Reply', (), {'send': lambda _, answer, rid, reply: kept.append(answer)}
        )
        self._node.answer_pull(reply(), 1, body)
        return wire.decode(wire.encode(wire.Envelope(0, 1, True, kept[0]))).body


async def no_watch(after, wait_s):
    """Stand for a service that is down."""
    raise link.ChannelClosed


def document(revision, names):
    entries = [
        {'kind': 'work', 'name': name, **OWNED, 'rank': 'low'} for name in sorted(names)
    ]
    return json.dumps({'revision': revision, 'entries': entries}).encode()


class Spread(stateful.RuleBasedStateMachine):
    """Nodes that read a service that may be stale, pull, lose, and are replaced."""

    nodes_at = st.integers(0, 4)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.published = []
        self.nodes = [self.make_node() for _ in range(5)]
        self.seen = [(0, '')] * 5

    def make_node(self):
        """Return a node that holds nothing."""
        return replica.CatalogueReplica(Mates(), no_watch, random.Random(1))

    @stateful.rule(names=st.sets(st.sampled_from('abcdef'), max_size=5))
    def publish(self, names):
        """The operators publish."""
        self.published.append(document(len(self.published) + 1, names))

    @stateful.rule(node=nodes_at, back=st.integers(0, 3))
    def read(self, node, back):
        """A node reads the service, which may be stale."""
        if len(self.published) > back:
            self.nodes[node].adopt_document(self.published[-1 - back], 'service')

    @stateful.rule(
        node=nodes_at, text=st.sampled_from([b'', b'{}', b'{"revision": 99}'])
    )
    def read_rubbish(self, node, text):
        """A node reads what is no catalogue."""
        before = self.nodes[node].current
        assert not self.nodes[node].adopt_document(text, 'service')
        assert self.nodes[node].current is before

    @stateful.rule(node=nodes_at, other=nodes_at, lost=st.booleans())
    def pull(self, node, other, lost):
        """A node pulls from another."""
        self.pull_now(node, other, lost=lost)

    def pull_now(self, node, other, *, lost=False):
        """Pull at once."""
        channel = Wire(self.nodes[node], self.nodes[other])
        channel.lost = lost
        self.loop.run_until_complete(self.nodes[node].pull(channel))

    @stateful.rule(node=nodes_at)
    def replace(self, node):
        """An instance is replaced by a fresh one."""
        self.nodes[node] = self.make_node()
        self.seen[node] = (0, '')

    @stateful.invariant()
    def never_goes_back(self):
        """What a node holds only rises, and is a whole published revision."""
        for index, node in enumerate(self.nodes):
            assert node.current.sort_key >= self.seen[index]
            self.seen[index] = node.current.sort_key
            if node.revision:
                whole = catalogue.parse(self.published[node.revision - 1], 'whole')
                assert node.current.entries == whole.entries

    @stateful.invariant()
    def agrees_after_quiet(self):
        """When every node pulls from every other, all hold the newest."""
        if self.published and len(self.published) % 4 == 0:
            newest = max(node.revision for node in self.nodes)
            for node in range(5):
                for other in range(5):
                    self.pull_now(node, other)
            assert {node.revision for node in self.nodes} == {newest}

    def teardown(self):
        self.loop.close()


TestSpread = Spread.TestCase
TestSpread.settings = hsettings(max_examples=60, stateful_step_count=40)


def test_readers_are_few_whatever_the_fleet():
    for count in (5, 50, 500):
        names = [f'n{index}' for index in range(count)]
        readers = [
            name for name in names if replica.is_reader(name, 'dc', names, 1000.0)
        ]
        assertions.assert_that(len(readers), matchers.Equals(2))


def test_a_change_reaches_all_while_the_service_is_down(in_cluster):
    async def body(fleet):
        fleet.conf.faults.put({'down': True})
        fleet.edit('workspace', 'weddings', limits={'requests_per_s': 7})
        node = fleet.nodes['asst-1'].find('config')
        node.adopt_document(fleet.conf.current()[1], 'test')
        await support.eventually(
            lambda: all(
                one.find('config').revision == 2 for one in fleet.nodes.values()
            )
        )
        answer = await fleet.ask('entry-1')
        assertions.assert_that(answer.code, matchers.Equals(200))

    in_cluster(body)


def test_an_invalid_catalogue_keeps_the_last_good_one_and_is_told(in_cluster):
    async def body(fleet):
        good = fleet.document
        fleet.edit('model', 'assistant', version='nowhere')
        node = fleet.nodes['entry-1']
        await support.eventually(
            lambda: any(
                one.find('config').refused is not None for one in fleet.nodes.values()
            )
        )
        assertions.assert_that(node.find('config').revision, matchers.Equals(1))
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))
        fleet.publish(good)
        await support.eventually(
            lambda: all(
                one.find('config').revision == 3 for one in fleet.nodes.values()
            )
        )

    in_cluster(body)


def test_an_empty_or_frozen_list_costs_no_peer(in_cluster):
    async def body(fleet):
        fleet.listing.faults.put({'empty': True})
        await asyncio.sleep(1.5)
        answer = await fleet.ask('entry-1')
        assertions.assert_that(answer.code, matchers.Equals(200))
        peers = fleet.nodes['entry-1'].find('members').alive_peers('agent')
        assertions.assert_that(len(peers), matchers.Equals(4))

    in_cluster(body)
