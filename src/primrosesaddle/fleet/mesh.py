"""The mesh: links to other processes and the state that they exchange."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Sequence

from primrosesaddle.fleet import feed, fleetview, node
from primrosesaddle.membership import dispatching, link, membertable, peers, wire

__all__ = ('Mesh', 'make_mesh')

ROSTER_INTERVAL_S = 2.0  # a new process is known everywhere within two rounds
READY = 'ready'  # state label of an entry that is ready for callers


class Mesh:
    """The links of this process to all others.

    `is_ready`, `is_store_reachable` and `get_version_ages_s` are set by the owner. They
    give the state sent with heartbeats, and the ages of announced versions by label.
    The functions in `round_listeners` are called at intervals, so that what processes
    know spreads also after some have been out of touch; those in `roster_listeners`
    with each process that a peer names as alive.
    """

    def __init__(
        self, cfg: node.Node, view: fleetview.View | None, rand: random.Random
    ) -> None:
        """Create the mesh of a process; `view` is None for an agent."""
        self.message_dispatcher = dispatching.MessageDispatcher()
        self.is_ready: Callable[[], bool] = bool
        self.is_store_reachable: Callable[[], bool] = bool
        self.get_version_ages_s: Callable[[], dict[str, float]] = dict
        self.round_listeners: list[Callable[[], None]] = []
        self.roster_listeners: list[Callable[[wire.KnownProcess], None]] = []
        self._view = view
        self._rand = rand
        self.members = membertable.MemberTable(
            _make_card(cfg), self.message_dispatcher.make_hooks(), None, rand
        )
        self.members.get_state_labels = self._list_state_labels
        self.members.on_linked.append(self._send_known_state)
        self._seeds = cfg.seeds
        self._regions = cfg.regions
        dispatcher = self.message_dispatcher
        dispatcher.register(
            wire.Hello,
            lambda channel, rid, body: self.members.handle_hello(channel, body),
        )
        dispatcher.register(wire.Heartbeat, self.members.handle_heartbeat)
        dispatcher.register(wire.Roster, self._handle_roster)
        if view is not None:
            dispatcher.register(wire.VersionAges, self._handle_version_ages)
            self.get_version_ages_s = view.version_ages.get_known_ages_s
            view.version_ages.listeners.append(self._broadcast_version_ages)

    def start(self) -> None:
        """Open the links, starting with the seed addresses."""
        self.members.start(self._seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seed addresses, and connect to the new ones."""
        self._seeds = tuple(seeds)
        self.members.add_candidates(peers.Candidate(address) for address in seeds)

    async def run(self) -> None:
        """Send what is known to random peers at intervals, until cancelled."""
        while True:
            await asyncio.sleep(ROSTER_INTERVAL_S * self._rand.uniform(0.8, 1.2))
            all_peers = list(self.members.peers.values())
            if all_peers:
                self._rand.choice(all_peers).channel.send(self.members.make_roster())
            entries = self.members.alive_peers('entry')
            if entries:
                self._send_version_ages(self._rand.choice(entries))
            for listener in self.round_listeners:
                listener()

    async def stop(self) -> None:
        """Close the links."""
        await self.members.stop()

    def announce_leaving(self) -> None:
        """Tell every peer that this process is leaving."""
        self.members.broadcast_heartbeat(leaving=True)

    def ready_entries(self) -> list[peers.Peer]:
        """Return the other entries that are ready for callers."""
        return [peer for peer in self.serving_entries() if not peer.leaving]

    def serving_entries(self) -> list[peers.Peer]:
        """Return the other entries that are ready, or leave but still serve."""
        return [
            peer
            for peer in self.members.alive_peers('entry')
            if peer.leaving or READY in peer.state_labels
        ]

    def count_entries(self) -> int:
        """Return the number of entries alive, including this process."""
        return len(self.members.alive_peers('entry')) + 1

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, empty if it is not known."""
        return self._regions.get(data_centre, '')

    def _list_state_labels(self) -> tuple[str, ...]:
        labels = (
            (READY, self.is_ready()),
            (feed.STORE_REACHABLE, self.is_store_reachable()),
        )
        return tuple(label for label, applies in labels if applies)

    def _send_known_state(self, peer: peers.Peer) -> None:
        peer.channel.send(self.members.make_roster())
        if peer.card.role == 'entry':
            self._send_version_ages(peer)

    def _broadcast_version_ages(self) -> None:
        for peer in self.members.alive_peers('entry'):
            self._send_version_ages(peer)

    def _send_version_ages(self, peer: peers.Peer) -> None:
        ages_s = self.get_version_ages_s()
        if ages_s:
            peer.channel.send(wire.VersionAges(ages_s))

    def _handle_version_ages(
        self, channel: link.Channel, rid: int, body: wire.VersionAges
    ) -> None:
        if self._view is not None:
            self._view.version_ages.merge_peer_ages(body.ages_s)

    def _handle_roster(
        self, channel: link.Channel, rid: int, body: wire.Roster
    ) -> None:
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
        for known in body.known:
            for listener in self.roster_listeners:
                listener(known)


def make_mesh(cfg: node.Node, view: fleetview.View | None, rand: random.Random) -> Mesh:
    """Return a new mesh; see `Mesh`."""
    return Mesh(cfg, view, rand)


def _make_card(cfg: node.Node) -> wire.Card:
    """Return the card of this start of a process, with a new incarnation id."""
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
