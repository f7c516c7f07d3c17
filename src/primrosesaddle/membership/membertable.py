"""The table of known peers, kept up to date by heartbeats."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterable

from primrosesaddle.membership import dialler, link, peers, wire
from primrosesaddle.telemetry import journal

__all__ = ('MemberTable',)

UPDATE_INTERVAL_S = 0.1
KEEP_LINKED_S = 30.0
MAX_DEPARTED_SENT = 64  # departed incarnations sent in a heartbeat, the newest
DEPARTED_RETENTION_S = 900.0
SESSION_TIMEOUT_S = 30.0  # connections of peers that are silent for longer are closed
SLOW_RTT_S = 0.3  # round trips take milliseconds unless a link on the way is full

Listener = Callable[[peers.Peer], None]


class MemberTable:
    """The table of peers, kept up to date by heartbeats over the links of a process.

    `peers` holds the peers by name, `departed_at` when entries were found departed, by
    incarnation. `get_load` and `get_state_labels` return what heartbeats report.
    `on_linked` is called with a peer that has joined, and again when its channel was
    replaced, as messages on the former channel may be lost; `on_left` with one that is
    removed.
    """

    def __init__(
        self,
        card: wire.Card,
        hooks: link.Hooks,
        keys: link.CurveKeys | None,
        rand: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the table of the process that a card describes."""
        self.card = card
        self.leaving = False
        self.peers: dict[str, peers.Peer] = {}
        self.departed_at: dict[str, float] = {}
        self.departed_retention_s = DEPARTED_RETENTION_S
        self._newest_incarnations: dict[str, str] = {}
        self._linked_until: dict[str, float] = {}
        self.get_load: Callable[[], wire.Load] = wire.Load
        self.get_state_labels: Callable[[], tuple[str, ...]] = tuple
        self.on_linked: list[Listener] = []
        self.on_left: list[Listener] = []
        self.hooks = hooks
        self._keys = keys
        self._rand = rand
        self._dialler = dialler.Dialler(hooks, keys, self._make_hello, rand)
        self._clock = clock
        self._candidates: dict[str, peers.Candidate] = {}
        self._chosen_links: list[peers.Candidate] | None = None
        self._router: link.RouterLink | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._nonces = itertools.count(1)
        self._ping_sent_at: dict[int, float] = {}

    def start(self, seeds: Iterable[str]) -> None:
        """Bind the listener for peers, and start to connect to the seed addresses."""
        self._set_candidates({address: peers.Candidate(address) for address in seeds})
        self._router = link.bind_router(self.card.address, self.hooks, self._keys)
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._dialler.close()
        if self._router is not None:
            self._router.close()

    def update_listed(self, candidates: Iterable[peers.Candidate]) -> None:
        """Replace the candidates by the instance list.

        Seeds stay candidates, and live peers that the list omits stay peers.
        """
        listed = {candidate.address: candidate for candidate in candidates}
        seeds = {
            address: candidate
            for address, candidate in self._candidates.items()
            if not candidate.role and address not in listed
        }
        self._set_candidates({**seeds, **listed})

    def add_candidates(self, candidates: Iterable[peers.Candidate]) -> None:
        """Add candidates to connect to, except for this process."""
        added = {
            candidate.address: candidate
            for candidate in candidates
            if candidate.address != self.card.address
        }
        self._set_candidates({**self._candidates, **added})

    def make_roster(self) -> wire.Roster:
        """Return a roster of the entries alive, including this process if it is one."""
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
        """Keep a link to a listed peer for `KEEP_LINKED_S`, beyond the usual links."""
        self._linked_until[name] = self._clock() + KEEP_LINKED_S

    def is_lost(self, name: str) -> bool:
        """Tell whether a peer was known before and has been removed."""
        return name in self._newest_incarnations and name not in self.peers

    def listed_candidates(self, role: str) -> list[peers.Candidate]:
        """Return the candidates of a role."""
        return [
            candidate
            for candidate in self._candidates.values()
            if candidate.role == role
        ]

    def alive_peers(self, role: str, serves: str | None = None) -> list[peers.Peer]:
        """Return the peers of a role, and of a served name if given, that are alive."""
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
        """Return the sorted names of peers in a data centre, linked or only listed."""
        linked = {
            peer.card.name
            for role in ('entry', 'agent')
            for peer in self.alive_peers(role)
            if peer.card.data_centre == data_centre and not peer.leaving
        }
        listed = {
            candidate.name
            for candidate in self._candidates.values()
            if candidate.data_centre == data_centre and not self.is_lost(candidate.name)
        }
        return sorted(linked | listed)

    @property
    def suspect_s(self) -> float:
        """Return the seconds of silence after which a peer gets no new work."""
        # Only the side that opened a link sends heartbeats on it, so that a process
        # sends on about half of its links.
        interval_s = peers.heartbeat_interval_s(len(self.peers) // 2)
        return max(peers.SUSPECT_S, 3 * interval_s)

    def slowest_region_rtt_s(self) -> float:
        """Return the round trip in seconds to the region that is the slowest to reach.

        The fastest peer of each region counts, as others may be slow themselves.
        """
        fastest: dict[str, float] = {}
        for peer in self.peers.values():
            if peer.rtt_s:
                region = peer.card.region
                fastest[region] = min(peer.rtt_s, fastest.get(region, peer.rtt_s))
        return max(fastest.values(), default=0.0)

    def broadcast_heartbeat(self, *, leaving: bool) -> None:
        """Send a heartbeat to every peer at once, as on leaving or a new revision."""
        self.leaving = leaving
        for peer in self.peers.values():
            peer.channel.send(self._make_heartbeat(0))

    def handle_hello(self, channel: link.Channel, body: wire.Hello) -> None:
        """Handle the first message on a connection; answer it if the peer opened that.

        A new incarnation of a known peer replaces the earlier one.
        """
        card = body.card
        if card.incarnation == self.card.incarnation:
            return
        is_own_connection = self._dialler.has_opened(channel)
        if not is_own_connection:
            channel.send(self._make_hello())
        channel.last_heard_at = self._clock()
        peer = self._join(channel, card, leaving=body.leaving)
        # A peer opens a new connection when it has lost the last one that it opened.
        if peer is not None and peer.channel is not channel:
            if is_own_connection or not self._dialler.has_opened(peer.channel):
                self._relink(peer, channel)

    def _join(
        self, channel: link.Channel, card: wire.Card, *, leaving: bool
    ) -> peers.Peer | None:
        """Add the peer at the other end of a channel, or update it if it is known.

        Returns None for an incarnation before the one that is known to be alive.
        """
        now = self._clock()
        known = self.peers.get(card.name)
        # Incarnations are ordered by the time of day, which may have been set back. An
        # older incarnation is therefore accepted once the newer one is silent.
        is_older = card.incarnation < self._newest_incarnations.get(card.name, '')
        if is_older and known is not None and known.is_alive(now, self.suspect_s):
            return None
        self._newest_incarnations[card.name] = card.incarnation
        if known is not None and known.card.incarnation != card.incarnation:
            if not known.channel.closed and known.channel is not channel:
                known.channel.fail_pending()
            self._remove_departed(known, now)
            known = None
        if known is not None:
            known.card = card
            known.leaving = leaving
            known.last_heard_at = now
            if peers.is_outdated(known.channel, channel, self.suspect_s):
                self._relink(known, channel)
            return known
        peer = peers.Peer(card, channel, now, leaving, first_seen_at=now)
        self.peers[card.name] = peer
        journal.info('peer.joined', peer=card.name, incarnation=card.incarnation)
        _call_listeners(self.on_linked, peer)
        return peer

    def _relink(self, peer: peers.Peer, channel: link.Channel) -> None:
        """Send messages to a peer on another channel from now on."""
        peer.channel = channel
        journal.info('peer.relinked', peer=peer.card.name)
        _call_listeners(self.on_linked, peer)

    def handle_heartbeat(
        self, channel: link.Channel, rid: int, body: wire.Heartbeat
    ) -> None:
        """Handle a heartbeat, and answer it unless it is an answer itself."""
        now = self._clock()
        if body.nonce and not body.echo:
            channel.send(self._make_heartbeat(body.nonce, echo=True))
        channel.last_heard_at = now
        if channel.card is None:
            return
        # The peer may have been removed as silent, or its hello ignored.
        peer = self._join(channel, channel.card, leaving=body.leaving)
        if peer is None:
            return
        peer.load = body.load
        if body.state_labels != peer.state_labels:
            peer.state_labels = body.state_labels
            peer.versions = peers.parse_versions(body.state_labels)
        for incarnation, age_s in body.departed:
            departed_at = now - age_s
            self.departed_at[incarnation] = max(
                departed_at, self.departed_at.get(incarnation, departed_at)
            )
        sent_at = self._ping_sent_at.pop(body.nonce, None) if body.echo else None
        if sent_at is not None:
            _record_rtt(peer, now - sent_at)

    def find_by_channel(self, channel: link.Channel) -> peers.Peer | None:
        """Return the peer at the other end of a channel, or None."""
        if channel.card is None:
            return None
        peer = self.peers.get(channel.card.name)
        if peer is None or peer.card.incarnation != channel.card.incarnation:
            return None
        return peer

    def _make_heartbeat(self, nonce: int, *, echo: bool = False) -> wire.Heartbeat:
        now = self._clock()
        departed = tuple(
            (incarnation, now - departed_at)
            for incarnation, departed_at in list(self.departed_at.items())[
                -MAX_DEPARTED_SENT:
            ]
        )
        return wire.Heartbeat(
            nonce,
            self.leaving,
            self.get_load(),
            self.get_state_labels(),
            echo,
            departed,
        )

    def _make_hello(self) -> wire.Hello:
        return wire.Hello(self.card, self.leaving)

    async def _run(self) -> None:
        next_heartbeat_at = 0.0
        while True:
            now = self._clock()
            self._dialler.dial_due(self._select_wanted(now), self._is_linked, now)
            if now >= next_heartbeat_at:
                self._send_heartbeats(now)
                interval_s = peers.heartbeat_interval_s(len(self._dialler.channels))
                next_heartbeat_at = now + interval_s * self._rand.uniform(0.9, 1.1)
            self._remove_silent(now)
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _select_wanted(self, now: float) -> list[peers.Candidate]:
        """Return the candidates to keep a link to."""
        if self._chosen_links is None:
            self._chosen_links = peers.choose_links(
                self.card, self._candidates.values()
            )
        wanted = self._chosen_links
        return wanted + [
            candidate
            for candidate in self._candidates.values()
            if self._linked_until.get(candidate.name, 0) > now
            and candidate not in wanted
        ]

    def _set_candidates(self, candidates: dict[str, peers.Candidate]) -> None:
        """Replace the candidates; the links are chosen again if one has changed."""
        if candidates != self._candidates:
            self._candidates = candidates
            self._chosen_links = None

    def _is_linked(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.is_alive(self._clock(), self.suspect_s)

    def _send_heartbeats(self, now: float) -> None:
        self._ping_sent_at = {
            nonce: sent_at
            for nonce, sent_at in self._ping_sent_at.items()
            if now - sent_at < peers.DEAD_S
        }
        for channel in self._dialler.channels:
            nonce = next(self._nonces)
            self._ping_sent_at[nonce] = now
            channel.send(self._make_heartbeat(nonce))

    def _remove_silent(self, now: float) -> None:
        """Remove silent peers, silent connections and old departed incarnations."""
        dead_s = max(peers.DEAD_S, 2 * self.suspect_s)
        self._dialler.close_silent(dead_s, now)
        if self._router is not None:
            self._router.drop_silent(now - max(SESSION_TIMEOUT_S, 2 * dead_s))
        for name, peer in list(self.peers.items()):
            if now - peer.last_heard_at > dead_s:
                self.peers.pop(name)
                self._remove_departed(peer, now)
        self.departed_at = {
            incarnation: departed_at
            for incarnation, departed_at in self.departed_at.items()
            if now - departed_at < self.departed_retention_s
        }

    def _remove_departed(self, peer: peers.Peer, now: float) -> None:
        """Close the links of a removed peer, and remember a departed entry."""
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
        if self._router is not None:
            self._router.drop(peer.channel)
        _call_listeners(self.on_left, peer)


def _record_rtt(peer: peers.Peer, rtt_s: float) -> None:
    """Record a round trip to a peer; log when it becomes slow or fast again."""
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


def _call_listeners(listeners: list[Listener], peer: peers.Peer) -> None:
    for listener in listeners:
        try:
            listener(peer)
        except Exception as exc:
            journal.error('listener.failed', error=repr(exc))
