"""Replicas of the catalogue converge, never go back, and refuse faulty documents."""

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


class NoMembers:
    """A member table without peers and without a network."""

    leaving = False
    peers = ()

    def broadcast_heartbeat(self, *, leaving):
        """Send nothing."""


class LossyChannel:
    """A channel to another node that may lose the answer."""

    def __init__(self, requester, node):
        self.card = None
        self._requester = requester
        self._node = node
        self.lost = False

    async def request(self, body, timeout_s):
        """Pass a pull to the node, and return its answer through the codec."""
        if self.lost:
            raise TimeoutError
        answers = []
        reply = type(
            'Reply', (), {'send': lambda _, answer, rid, reply: answers.append(answer)}
        )
        self._node.answer_pull(reply(), 1, body)
        return wire.decode(wire.encode(wire.Envelope(0, 1, True, answers[0]))).body


async def no_watch(after, wait_s):
    """Fail as a service does that is down."""
    raise link.ChannelClosed


def document(revision, names):
    entries = [
        {'kind': 'work', 'name': name, **OWNED, 'rank': 'low'} for name in sorted(names)
    ]
    return json.dumps({'revision': revision, 'entries': entries}).encode()


class Replication(stateful.RuleBasedStateMachine):
    """Replicate among nodes while reads are stale, answers are lost, nodes replaced.

    The revision of a node must never fall, and must be one that was published.
    """

    node_indexes = st.integers(0, 4)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.published = []
        self.nodes = [self.make_node() for _ in range(5)]
        self.last_sort_keys = [(0, '')] * 5

    def make_node(self):
        """Return a node without a catalogue."""
        return replica.CatalogueReplica(NoMembers(), no_watch, random.Random(1))

    @stateful.rule(names=st.sets(st.sampled_from('abcdef'), max_size=5))
    def publish(self, names):
        """Publish a new revision."""
        self.published.append(document(len(self.published) + 1, names))

    @stateful.rule(node=node_indexes, back=st.integers(0, 3))
    def read(self, node, back):
        """Read from the service at a node, up to three revisions late."""
        if len(self.published) > back:
            self.nodes[node].adopt_document(self.published[-1 - back], 'service')

    @stateful.rule(
        node=node_indexes, text=st.sampled_from([b'', b'{}', b'{"revision": 99}'])
    )
    def read_rubbish(self, node, text):
        """Read something else than a catalogue, which must be refused."""
        before = self.nodes[node].current
        assert not self.nodes[node].adopt_document(text, 'service')
        assert self.nodes[node].current is before

    @stateful.rule(node=node_indexes, other=node_indexes, lost=st.booleans())
    def pull(self, node, other, lost):
        """Pull from another node; the answer may be lost."""
        self.pull_now(node, other, lost=lost)

    def pull_now(self, node, other, *, lost=False):
        """Pull from another node, and wait until this is done."""
        channel = LossyChannel(self.nodes[node], self.nodes[other])
        channel.lost = lost
        self.loop.run_until_complete(self.nodes[node].pull(channel))

    @stateful.rule(node=node_indexes)
    def replace(self, node):
        """Replace a node by one without a catalogue."""
        self.nodes[node] = self.make_node()
        self.last_sort_keys[node] = (0, '')

    @stateful.invariant()
    def never_goes_back(self):
        """Check that no node goes back, and that each holds a published revision."""
        for index, node in enumerate(self.nodes):
            assert node.current.sort_key >= self.last_sort_keys[index]
            self.last_sort_keys[index] = node.current.sort_key
            if node.revision:
                expected = catalogue.parse(
                    self.published[node.revision - 1], 'published'
                )
                assert node.current.entries == expected.entries

    @stateful.invariant()
    def agrees_after_quiet(self):
        """Check that all nodes hold the newest when each pulls from each other."""
        if self.published and len(self.published) % 4 == 0:
            newest = max(node.revision for node in self.nodes)
            for node in range(5):
                for other in range(5):
                    self.pull_now(node, other)
            assert {node.revision for node in self.nodes} == {newest}

    def teardown(self):
        self.loop.close()


TestReplication = Replication.TestCase
TestReplication.settings = hsettings(max_examples=60, stateful_step_count=40)


def test_two_processes_of_a_data_centre_read_whatever_the_fleet_size():
    """Guard against load on the configuration service that grows with the fleet."""
    for count in (5, 50, 500):
        names = [f'n{index}' for index in range(count)]
        readers = [
            name for name in names if replica.is_reader(name, 'dc', names, 1000.0)
        ]
        assertions.assert_that(len(readers), matchers.Equals(2))


def test_a_change_reaches_all_while_the_service_is_down(in_cluster):
    """Guard against a change that stays at one process when the service fails."""

    async def body(fleet):
        fleet.conf.faults.put({'down': True})
        fleet.edit('workspace', 'weddings', limits={'requests_per_s': 7})
        node = fleet.nodes['asst-1'].find('config')
        node.adopt_document(fleet.conf.current()[1], 'test')
        await support.eventually(
            lambda: all(
                member_node.find('config').revision == 2
                for member_node in fleet.nodes.values()
            )
        )
        answer = await fleet.ask('entry-1')
        assertions.assert_that(answer.code, matchers.Equals(200))

    in_cluster(body)


def test_an_invalid_catalogue_is_reported_and_the_last_valid_one_stays(in_cluster):
    """Guard against calls that fail because operators published a faulty catalogue."""

    async def body(fleet):
        good = fleet.document
        fleet.edit('model', 'assistant', version='nowhere')
        node = fleet.nodes['entry-1']
        await support.eventually(
            lambda: any(
                member_node.find('config').refused is not None
                for member_node in fleet.nodes.values()
            )
        )
        assertions.assert_that(node.find('config').revision, matchers.Equals(1))
        assertions.assert_that((await fleet.ask('entry-1')).code, matchers.Equals(200))
        fleet.publish(good)
        await support.eventually(
            lambda: all(
                member_node.find('config').revision == 3
                for member_node in fleet.nodes.values()
            )
        )

    in_cluster(body)


def test_an_empty_instance_list_removes_no_peer(in_cluster):
    """Guard against live peers that are dropped because the list omits them."""

    async def body(fleet):
        fleet.listing.faults.put({'empty': True})
        await asyncio.sleep(1.5)
        answer = await fleet.ask('entry-1')
        assertions.assert_that(answer.code, matchers.Equals(200))
        peers = fleet.nodes['entry-1'].find('members').alive_peers('agent')
        assertions.assert_that(len(peers), matchers.Equals(4))

    in_cluster(body)
