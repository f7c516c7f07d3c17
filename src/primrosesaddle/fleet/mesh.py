"""The mesh: links to other processes, and what all of them tell each other."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Sequence

from primrosesaddle.fleet import feed, fleetview, node
from primrosesaddle.membership import dispatching, link, membertable, peers, wire

__all__ = ('Mesh', 'make_mesh')

ROSTER_S = 2.0  # a new process is known everywhere within two rounds
READY = 'ready'


class Mesh:
    """This process among the others."""

    def __init__(
        self, cfg: node.Node, seen: fleetview.View | None, rand: random.Random
    ) -> None:
        """Prepare the links of a process; an agent has no view to share."""
        self.message_dispatcher = dispatching.MessageDispatcher()
        self.is_ready: Callable[[], bool] = bool
        self.is_store_reachable: Callable[[], bool] = bool
        self.get_version_ages_s: Callable[[], dict[str, float]] = dict
        self._view = seen
        self._rand = rand
        self.members = membertable.MemberTable(
            _card(cfg), self.message_dispatcher.make_hooks(), None, rand
        )
        self.members.get_state_labels = self._marks
        self.members.on_joined.append(self._greet)
        self._seeds = cfg.seeds
        self._regions = cfg.regions
        board = self.message_dispatcher
        board.register(
            wire.Hello,
            lambda channel, rid, body: self.members.handle_hello(channel, body),
        )
        board.register(wire.Heartbeat, self.members.handle_heartbeat)
        board.register(wire.Roster, self._take_roster)
        if seen is not None:
            board.register(wire.VersionAges, self._take_ages)
            self.get_version_ages_s = seen.namings.get_known_ages_s
            seen.namings.listeners.append(self._tell_all_ages)

    def start(self) -> None:
        """Open the links."""
        self.members.start(self._seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Look for peers at other addresses too."""
        self._seeds = tuple(seeds)
        self.members.add_candidates(peers.Candidate(address) for address in seeds)

    async def run(self) -> None:
        """Tell peers at random what this process knows, until cancelled."""
        while True:
            await asyncio.sleep(ROSTER_S * self._rand.uniform(0.8, 1.2))
            told = list(self.members.peers.values())
            if told:
                self._rand.choice(told).channel.send(self.members.make_roster())
            entries = self.members.alive_peers('entry')
            if entries:
                self._tell_ages(self._rand.choice(entries))

    async def stop(self) -> None:
        """Close the links."""
        await self.members.stop()

    def announce_leaving(self) -> None:
        """Tell every peer that this process leaves."""
        self.members.broadcast_heartbeat(leaving=True)

    def ready_entries(self) -> list[peers.Peer]:
        """Return the other entries that are ready for callers."""
        return [peer for peer in self.serving_entries() if not peer.leaving]

    def serving_entries(self) -> list[peers.Peer]:
        """Return the other entries that are ready, or leave and still serve peers."""
        return [
            peer
            for peer in self.members.alive_peers('entry')
            if peer.leaving or READY in peer.state_labels
        ]

    def count_entries(self) -> int:
        """Return how many entries are alive, this one among them."""
        return len(self.members.alive_peers('entry')) + 1

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, empty when it is not known."""
        return self._regions.get(data_centre, '')

    def _marks(self) -> tuple[str, ...]:
        marks = (
            (READY, self.is_ready()),
            (feed.STORE_REACHABLE, self.is_store_reachable()),
        )
        return tuple(mark for mark, applies in marks if applies)

    def _greet(self, peer: peers.Peer) -> None:
        peer.channel.send(self.members.make_roster())
        if peer.card.role == 'entry':
            self._tell_ages(peer)

    def _tell_all_ages(self) -> None:
        for peer in self.members.alive_peers('entry'):
            self._tell_ages(peer)

    def _tell_ages(self, peer: peers.Peer) -> None:
        ages_s = self.get_version_ages_s()
        if ages_s:
            peer.channel.send(wire.VersionAges(ages_s))

    def _take_ages(
        self, channel: link.Channel, rid: int, body: wire.VersionAges
    ) -> None:
        if self._view is not None:
            self._view.namings.merge_peer_ages(body.ages_s)

    def _take_roster(self, channel: link.Channel, rid: int, body: wire.Roster) -> None:
        self.members.add_candidates(
            peers.Candidate(
                known.address,
                known.role,
                known.name,
                known.serves,
                known.region,
                known.data_centre,
            )
            for known in body.known
        )


def make_mesh(cfg: node.Node, seen: fleetview.View | None, rand: random.Random) -> Mesh:
    """Build the links of a process, and return them."""
    return Mesh(cfg, seen, rand)


def _card(cfg: node.Node) -> wire.Card:
    incarnation = f'{time.time_ns() // 1_000_000:013x}-{uuid.uuid4().hex[:8]}'
    return wire.Card(
        cfg.name,
        cfg.role,
        incarnation,
        cfg.listen.peers,
        cfg.region,
        cfg.data_centre,
        cfg.service,
        'engine' if cfg.server else '',
        cfg.listen.callers or '',
        cfg.link_bytes_per_s,
        cfg.server or '',
    )
