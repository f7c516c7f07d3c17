"""The mesh: links to other processes, and the published records they pass on."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Sequence

from primrosesaddle.fleet import node, view
from primrosesaddle.membership import link, members, peers, switchboard, wire
from primrosesaddle.telemetry import journal

__all__ = ('Mesh', 'make_mesh')

ROSTER_S = 2.0  # a new process is known everywhere within two rounds
PULL_LAG_S = 0.15  # a reader of the store hears of a change itself by then
READY = 'ready'


class Mesh:
    """This process among the others."""

    def __init__(
        self, cfg: node.Node, seen: view.View | None, rand: random.Random
    ) -> None:
        """Prepare the links of a process; an agent has no view to share.

        `items_bytes` counts what is sent of published items.
        """
        self.board = switchboard.Switchboard()
        self.ready: Callable[[], bool] = bool
        self.ages_s: Callable[[], dict[str, float]] = dict
        self._view = seen
        self._rand = rand
        self._pulling: set[str] = set()
        self.items_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.mates = members.Members(_card(cfg), self.board.hooks(), None, rand)
        self.mates.live = self._marks
        self.mates.joined.append(self._greet)
        self._seeds = cfg.seeds
        self._regions = cfg.regions
        board = self.board
        board.on(wire.Hello, lambda channel, rid, body: self.mates.greet(channel, body))
        board.on(wire.Heartbeat, self.mates.beat)
        board.on(wire.Roster, self._take_roster)
        if seen is not None:
            board.on(wire.PullItems, self._answer_pull)
            board.on(wire.NamedAges, self._take_ages)
            self.ages_s = seen.namings.known_ages_s
            seen.namings.learned.append(self._tell_all_ages)
            board.watch = self._saw_revision
            board.revision = lambda: seen.revision

    def start(self) -> None:
        """Open the links."""
        self.mates.start(self._seeds)

    def reseed(self, seeds: Sequence[str]) -> None:
        """Look for peers at other addresses too."""
        self._seeds = tuple(seeds)
        self.mates.introduce(peers.Candidate(address) for address in seeds)

    async def run(self) -> None:
        """Tell peers at random what this process knows, until cancelled."""
        while True:
            await asyncio.sleep(ROSTER_S * self._rand.uniform(0.8, 1.2))
            told = list(self.mates.peers.values())
            if told:
                self._rand.choice(told).channel.send(self.mates.roster())
            entries = self.mates.alive('entry')
            if entries:
                self._tell_ages(self._rand.choice(entries))

    async def stop(self) -> None:
        """Close the links."""
        await self.mates.stop()

    def leave(self) -> None:
        """Tell every peer that this process leaves."""
        self.mates.announce(leaving=True)

    def entries(self) -> list[peers.Peer]:
        """Return the other entries that are ready for callers."""
        return [peer for peer in self.serving() if not peer.leaving]

    def serving(self) -> list[peers.Peer]:
        """Return the other entries that are ready, or leave and still serve peers."""
        return [
            peer
            for peer in self.mates.alive('entry')
            if peer.leaving or READY in peer.live
        ]

    def entry_count(self) -> int:
        """Return how many entries are alive, this one among them."""
        return len(self.mates.alive('entry')) + 1

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, empty when it is not known."""
        return self._regions.get(data_centre, '')

    def _marks(self) -> tuple[str, ...]:
        return (READY,) if self.ready() else ()

    def _greet(self, peer: peers.Peer) -> None:
        peer.channel.send(self.mates.roster())
        if peer.card.role == 'entry':
            self._tell_ages(peer)

    def _tell_all_ages(self) -> None:
        for peer in self.mates.alive('entry'):
            self._tell_ages(peer)

    def _tell_ages(self, peer: peers.Peer) -> None:
        ages_s = self.ages_s()
        if ages_s:
            peer.channel.send(wire.NamedAges(ages_s))

    def _take_ages(self, channel: link.Channel, rid: int, body: wire.NamedAges) -> None:
        if self._view is not None:
            self._view.namings.hear(body.ages_s)

    def _take_roster(self, channel: link.Channel, rid: int, body: wire.Roster) -> None:
        self.mates.introduce(
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

    def _saw_revision(self, channel: link.Channel, revision: int) -> None:
        card = channel.card
        if self._view is None or card is None or card.role != 'entry':
            return
        if revision <= self._view.revision or card.name in self._pulling:
            return
        self._pulling.add(card.name)
        task = asyncio.create_task(self._pull(channel, card.name, revision))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull(self, channel: link.Channel, name: str, revision: int) -> None:
        """Pull what a peer knows, unless the store tells it first."""
        seen = self._view
        began = time.monotonic()
        try:
            if seen is not None and seen.configuration is not None:
                await asyncio.sleep(PULL_LAG_S)
            if seen is None or seen.revision >= revision:
                return
            ask = wire.PullItems(seen.revision)
            body = await channel.request(ask, 1.0)
        except (TimeoutError, link.ChannelClosed) as exc:
            journal.info('items.unpulled', peer=name, error=repr(exc))
            return
        finally:
            self._pulling.discard(name)
        if isinstance(body, wire.Items):
            journal.info(
                'items.pulled',
                peer=name,
                after=ask.after,
                revision=body.revision,
                size=sum(len(row[1] or b'') for row in body.items),
                took_s=round(time.monotonic() - began, 3),
            )
            self._take_items(seen, body, name)

    def _take_items(self, seen: view.View, body: wire.Items, name: str) -> None:
        # Before the items, so that a version among them has an age at once.
        seen.namings.hear(body.named_ages_s)
        items = [view.Item(*row) for row in body.items]
        if body.whole:
            seen.replace(view.Snapshot(items, body.revision), name)
        else:
            seen.apply(view.Changes(items, body.revision), name)

    def _answer_pull(
        self, channel: link.Channel, rid: int, body: wire.PullItems
    ) -> None:
        if self._view is None:
            return
        whole = body.after < self._view.history_from
        found = self._view.since(0 if whole else body.after)
        self.items_bytes += sum(len(item.body or b'') for item in found.items)
        told = wire.Items(
            tuple((item.key, item.body, item.revision) for item in found.items),
            found.revision,
            whole,
            self.ages_s(),
        )
        channel.send(told, rid, reply=True)


def make_mesh(cfg: node.Node, seen: view.View | None, rand: random.Random) -> Mesh:
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
