"""Goals: which version of which model the agents of a service shall bring about."""

import asyncio
from collections.abc import Callable

import msgspec

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.fleet import fleetview, mesh
from primrosesaddle.membership import peers, wire
from primrosesaddle.staging import pieces, weightcache
from primrosesaddle.telemetry import journal

__all__ = ('GoalSender',)

FIRST_VERSION = 1  # in force until the operator names one
REFRESH_S = 2.0  # for agents that missed a message


class GoalSender:
    """Tell agents the versions they shall bring about, and read pieces ahead."""

    def __init__(
        self,
        seen: fleetview.View,
        links: mesh.Mesh,
        store: weightcache.WeightCache,
        clock: Callable[[], float],
    ) -> None:
        """Tell over the links of an entry what its view holds, by its clock."""
        self._view = seen
        self._links = links
        self._depot = store
        self._clock = clock
        self._told: list[tuple[str, int]] = []
        self._ahead: dict[str, asyncio.Task[None]] = {}

    def update(self) -> None:
        """Tell the agents when a version was named, and read it ahead."""
        found = [(goal.model, goal.version) for _, goal in self._goals()]
        if found == self._told:
            return
        self._told = found
        self.tell_all()
        for model, number in found:
            self._read_ahead(pieces.Version(model, number))

    def tell(self, peer: peers.Peer) -> None:
        """Tell one agent the goals of its service."""
        if peer.card.role != 'agent':
            return
        for service, goal in self._goals():
            if service == peer.card.serves:
                place = self._place(service, goal, peer.card.name)
                part = self._part(service, peer.card.server)
                told = msgspec.structs.replace(
                    goal, switch_position=place, first_part_index=part
                )
                peer.channel.send(told)

    def tell_all(self) -> None:
        """Tell every agent."""
        for peer in self._links.members.alive_peers('agent'):
            self.tell(peer)

    async def run(self) -> None:
        """Tell every agent again now and then, until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_S)
            self.tell_all()

    def origin_region(self) -> str:
        """Return the region of the origin, empty when it is not known."""
        conf = self._view.configuration
        origin = None if conf is None else conf.origin
        if origin is None:
            return ''
        return self._links.region_of(origin.data_centre)

    def _place(self, service: str, goal: wire.Goal, name: str) -> float:
        """Return an agent's place in the order in which servers switch."""
        mark = pieces.Version(goal.model, goal.version).label
        agents = self._links.members.alive_peers('agent', service)
        ordered = rendezvous.order(mark, [peer.card.name for peer in agents])
        return ordered.index(name) / len(ordered) if name in ordered else 0.0

    def _part(self, service: str, address: str) -> int:
        """Return the part that a server loads first, so that neighbours differ."""
        known = self._view.servers.values()
        places = {rec.data_centre for rec in known if rec.address == address}
        fellows = sorted(
            {
                rec.address
                for rec in known
                if rec.service == service and rec.data_centre in places
            }
        )
        return fellows.index(address) % layers.PARTS if address in fellows else 0

    def _goals(self) -> list[tuple[str, wire.Goal]]:
        conf = self._view.configuration
        if conf is None or conf.origin is None:
            return []
        goals = []
        for service in conf.services.values():
            engine = service.engine
            if engine is None:
                continue
            for model in engine.models:
                named = self._view.namings
                version = max(FIRST_VERSION, named.get_newest(model))
                naming = named.get_announcement(pieces.Version(model, version))
                goal = wire.Goal(
                    model,
                    version,
                    0.0 if naming is None else self._clock() - naming.announced_at,
                    conf.origin.address,
                    self.origin_region(),
                    layer_count=engine.layer_count,
                    age_known=naming is not None and naming.is_known,
                )
                goals.append((service.name, goal))
        return goals

    def _read_ahead(self, version: pieces.Version) -> None:
        if version.label in self._ahead:
            return
        journal.info('depot.reading_ahead', version=version.label)
        task = asyncio.create_task(self._depot.prefetch(version))
        self._ahead[version.label] = task
