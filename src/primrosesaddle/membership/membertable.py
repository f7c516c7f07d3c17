"""Membership: the table of peers, kept by heartbeats over the links."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterable

from primrosesaddle.membership import dialler, link, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('MemberTable',)

SCAN_S = 0.1
REACH_S = 30.0
DEPARTED_TOLD = 64
DEPARTED_S = 900.0
SLOW_RTT_S = 0.3  # a round trip takes milliseconds unless a link on the way is full

Listener = Callable[[peers.Peer], None]


class MemberTable:
    """The table of peers, kept by heartbeats over the links of this process."""

    def __init__(
        self,
        card: wire.Card,
        hooks: link.Hooks,
        keys: link.CurveKeys | None,
        rand: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the table of a process that introduces itself by a card."""
        self.card = card
        self.leaving = False
        self.peers: dict[str, peers.Peer] = {}
        self.departed_at: dict[str, float] = {}
        self.departed_retention_s = DEPARTED_S
        self._newest: dict[str, str] = {}
        self._reach: dict[str, float] = {}
        self.get_load: Callable[[], wire.Load] = wire.Load
        self.get_state_labels: Callable[[], tuple[str, ...]] = tuple
        self.on_joined: list[Listener] = []
        self.on_left: list[Listener] = []
        self.hooks = hooks
        self._keys = keys
        self._rand = rand
        self._dialler = dialler.Dialler(hooks, keys, self._hello, rand)
        self._clock = clock
        self._candidates: dict[str, peers.Candidate] = {}
        self._hub: link.RouterLink | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._nonces = itertools.count(1)
        self._sent: dict[int, float] = {}

    def start(self, seeds: Iterable[str]) -> None:
        """Bind the peers' listener and begin to look for peers."""
        for address in seeds:
            self._candidates[address] = peers.Candidate(address)
        self._hub = link.bind_router(self.card.address, self.hooks, self._keys)
        self._tasks.append(asyncio.create_task(self._hub.serve()))
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._dialler.close()
        if self._hub is not None:
            self._hub.close()

    def update_listed(self, candidates: Iterable[peers.Candidate]) -> None:
        """Take the instance list; live peers that it omits are kept."""
        listed = {cand.address: cand for cand in candidates}
        seeds = {
            address: cand
            for address, cand in self._candidates.items()
            if not cand.role and address not in listed
        }
        self._candidates = {**seeds, **listed}

    def add_candidates(self, candidates: Iterable[peers.Candidate]) -> None:
        """Add processes to connect to, beside those known already."""
        for cand in candidates:
            if cand.address != self.card.address:
                self._candidates[cand.address] = cand

    def make_roster(self) -> wire.Roster:
        """Return the entries heard from lately, this process among them."""
        cards = [peer.card for peer in self.alive_peers('entry')]
        if self.card.role == 'entry':
            cards.append(self.card)
        return wire.Roster(
            tuple(
                wire.KnownProcess(
                    card.name,
                    card.role,
                    card.address,
                    card.region,
                    card.data_centre,
                    card.serves,
                )
                for card in cards
            ),
        )

    def keep_linked(self, name: str) -> None:
        """Keep a link to a listed peer for a while, beyond the usual links."""
        self._reach[name] = self._clock() + REACH_S

    def is_lost(self, name: str) -> bool:
        """Tell whether a peer was linked before and fell silent."""
        return name in self._newest and name not in self.peers

    def listed_candidates(self, role: str) -> list[peers.Candidate]:
        """Return what the instance list holds of a role."""
        return [cand for cand in self._candidates.values() if cand.role == role]

    def alive_peers(self, role: str, serves: str | None = None) -> list[peers.Peer]:
        """Return the peers of a role that gave a sign of life lately."""
        now = self._clock()
        suspect_s = self.suspect_s
        return [
            peer
            for peer in self.peers.values()
            if peer.card.role == role
            and (serves is None or peer.card.serves == serves)
            and peer.is_alive(now, suspect_s)
        ]

    def names_in_data_centre(self, data_centre: str) -> list[str]:
        """Return the names of the peers in a data centre, linked or only listed."""
        linked = {
            peer.card.name
            for role in ('entry', 'agent')
            for peer in self.alive_peers(role)
            if peer.card.data_centre == data_centre and not peer.leaving
        }
        listed = {
            cand.name
            for cand in self._candidates.values()
            if cand.data_centre == data_centre and not self.is_lost(cand.name)
        }
        return sorted(linked | listed)

    @property
    def suspect_s(self) -> float:
        """Return the silence in seconds after which a peer gets no new work."""
        # One side of a link sends its heartbeats, so half of the links are a peer's.
        interval_s = peers.heartbeat_interval_s(len(self.peers) // 2)
        return max(peers.SUSPECT_S, 3 * interval_s)

    def slowest_region_rtt_s(self) -> float:
        """Return the round trip to the region that is the slowest to reach, in seconds.

        In each region the fastest peer counts, as the others may be slow themselves.
        """
        fastest: dict[str, float] = {}
        for peer in self.peers.values():
            if peer.rtt_s:
                region = peer.card.region
                fastest[region] = min(peer.rtt_s, fastest.get(region, peer.rtt_s))
        return max(fastest.values(), default=0.0)

    def broadcast_heartbeat(self, *, leaving: bool) -> None:
        """Tell every peer at once, as on leaving or on a new revision."""
        self.leaving = leaving
        for peer in self.peers.values():
            peer.channel.send(self._heartbeat(0))

    def handle_hello(self, channel: link.Channel, body: wire.Hello) -> None:
        """Take an introduction; the side that was called introduces itself too."""
        card = body.card
        if card.incarnation == self.card.incarnation:
            return
        dialled = self._dialler.has_opened(channel)
        if not dialled:
            channel.send(self._hello())
        now = self._clock()
        known = self.peers.get(card.name)
        # The time of day may have jumped back since the last start, so an older
        # start is believed once the newer one is silent.
        is_older = card.incarnation < self._newest.get(card.name, '')
        if is_older and known is not None and known.is_alive(now, self.suspect_s):
            return
        self._newest[card.name] = card.incarnation
        if known is not None and known.card.incarnation != card.incarnation:
            if not known.channel.closed and known.channel is not channel:
                known.channel.fail_pending()
            self._depart(known, now)
            known = None
        if known is not None:
            known.card = card
            known.leaving = body.leaving
            known.last_heard_at = now
            if known.channel.closed or dialled:
                known.channel = channel
            return
        peer = peers.Peer(card, channel, now, body.leaving, first_seen_at=now)
        self.peers[card.name] = peer
        journal.info('peer.joined', peer=card.name, incarnation=card.incarnation)
        _tell(self.on_joined, peer)

    def handle_heartbeat(
        self, channel: link.Channel, rid: int, body: wire.Heartbeat
    ) -> None:
        """Take a heartbeat, and answer one that asks for an answer."""
        now = self._clock()
        if body.nonce and not body.echo:
            channel.send(self._heartbeat(body.nonce, echo=True))
        peer = self._of(channel)
        if peer is None:
            return
        peer.last_heard_at = now
        peer.leaving = body.leaving
        peer.load = body.load
        if body.state_labels != peer.state_labels:
            peer.state_labels = body.state_labels
            peer.versions = peers.parse_versions(body.state_labels)
        for incarnation, age_s in body.departed:
            when = now - age_s
            self.departed_at[incarnation] = max(
                when, self.departed_at.get(incarnation, when)
            )
        sent = self._sent.pop(body.nonce, None) if body.echo else None
        if sent is not None:
            _note_rtt(peer, now - sent)

    def find_by_channel(self, channel: link.Channel) -> peers.Peer | None:
        """Return the peer at the other end of a channel, or None."""
        return self._of(channel)

    def _of(self, channel: link.Channel) -> peers.Peer | None:
        if channel.card is None:
            return None
        peer = self.peers.get(channel.card.name)
        if peer is None or peer.card.incarnation != channel.card.incarnation:
            return None
        if peer.channel.closed:
            peer.channel = channel
        return peer

    def _heartbeat(self, nonce: int, *, echo: bool = False) -> wire.Heartbeat:
        now = self._clock()
        departed = tuple(
            (name, now - when)
            for name, when in list(self.departed_at.items())[-DEPARTED_TOLD:]
        )
        return wire.Heartbeat(
            nonce,
            self.leaving,
            self.get_load(),
            self.get_state_labels(),
            echo,
            departed,
        )

    def _hello(self) -> wire.Hello:
        return wire.Hello(self.card, self.leaving)

    async def _run(self) -> None:
        next_beat = 0.0
        while True:
            now = self._clock()
            self._dialler.dial_due(self._wanted(now), self._is_linked, now)
            if now >= next_beat:
                self._beat_all(now)
                interval = peers.heartbeat_interval_s(len(self._dialler.channels))
                next_beat = now + interval * self._rand.uniform(0.9, 1.1)
            self._expire(now)
            await asyncio.sleep(SCAN_S)

    def _wanted(self, now: float) -> list[peers.Candidate]:
        wanted = peers.choose_links(self.card, self._candidates.values())
        return wanted + [
            cand
            for cand in self._candidates.values()
            if self._reach.get(cand.name, 0) > now and cand not in wanted
        ]

    def _is_linked(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.is_alive(self._clock(), self.suspect_s)

    def _beat_all(self, now: float) -> None:
        self._sent = {
            nonce: sent
            for nonce, sent in self._sent.items()
            if now - sent < peers.DEAD_S
        }
        for channel in self._dialler.channels:
            nonce = next(self._nonces)
            self._sent[nonce] = now
            channel.send(self._heartbeat(nonce))

    def _expire(self, now: float) -> None:
        dead_s = max(peers.DEAD_S, 2 * self.suspect_s)
        self._dialler.close_silent(self._heard, dead_s, now)
        for name, peer in list(self.peers.items()):
            if now - peer.last_heard_at > dead_s:
                self.peers.pop(name)
                self._depart(peer, now)
        self.departed_at = {
            incarnation: when
            for incarnation, when in self.departed_at.items()
            if now - when < self.departed_retention_s
        }

    def _heard(self, channel: link.Channel) -> float:
        peer = self.peers.get(channel.card.name) if channel.card else None
        return peer.last_heard_at if peer else 0

    def _depart(self, peer: peers.Peer, now: float) -> None:
        if peer.card.role == 'entry':
            self.departed_at[peer.card.incarnation] = now
        journal.info(
            'peer.left',
            peer=peer.card.name,
            incarnation=peer.card.incarnation,
            silent_s=round(now - peer.last_heard_at, 2),
            leaving=peer.leaving,
        )
        peer.channel.fail_pending()
        if self._hub is not None:
            self._hub.drop(peer.channel)
        _tell(self.on_left, peer)


def _note_rtt(peer: peers.Peer, rtt_s: float) -> None:
    """Keep a round trip to a peer, and log when it becomes slow or fast again."""
    was_slow = peer.rtt_s > SLOW_RTT_S
    peer.rtt_s = rtt_s
    if was_slow != (rtt_s > SLOW_RTT_S):
        outcome = 'fast' if was_slow else 'slow'
        journal.info(
            f'path.{outcome}',
            peer=peer.card.name,
            region=peer.card.region,
            rtt_s=round(rtt_s, 3),
        )


def _tell(listeners: list[Listener], peer: peers.Peer) -> None:
    for listener in listeners:
        try:
            listener(peer)
        except Exception as exc:
            journal.error('listener.failed', error=repr(exc))
