"""Goals: the version of each model that the agents of a service are to load."""

import asyncio
from collections.abc import Callable

import msgspec

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.fleet import fleetview, mesh
from primrosesaddle.membership import peers, wire
from primrosesaddle.staging import pieces, weightcache
from primrosesaddle.telemetry import journal

__all__ = ('GoalSender',)

FIRST_VERSION = 1  # wanted until the operator publishes a version
RESEND_INTERVAL_S = 2.0  # reaches agents that missed a message


class GoalSender:
    """Sends agents the versions to load, and prefetches the pieces of new ones."""

    def __init__(
        self,
        published: fleetview.View,
        mesh_links: mesh.Mesh,
        weight_cache: weightcache.WeightCache,
        clock: Callable[[], float],
    ) -> None:
        """Create a sender of an entry.

        Versions come from the view of published records; `clock` returns seconds and
        goes on while the machine is suspended, as the view's clock.
        """
        self._view = published
        self._mesh = mesh_links
        self._weight_cache = weight_cache
        self._clock = clock
        self._sent: list[tuple[str, int]] = []
        self._prefetch_tasks: dict[str, asyncio.Task[None]] = {}

    def update_from_view(self) -> None:
        """Send goals to all agents and prefetch pieces, if a wanted version changed."""
        versions = [(goal.model, goal.version) for _, goal in self._list_goals()]
        if versions == self._sent:
            return
        self._sent = versions
        self.send_to_all_agents()
        for model, number in versions:
            self._start_prefetch(pieces.Version(model, number))

    def send_goals(self, peer: peers.Peer) -> None:
        """Send an agent the goals of its service; other peers get nothing."""
        if peer.card.role != 'agent':
            return
        for service, goal in self._list_goals():
            if service == peer.card.serves:
                position = self._switch_position(service, goal, peer.card.name)
                part_index = self._first_part(service, peer.card.server)
                agent_goal = msgspec.structs.replace(
                    goal, switch_position=position, first_part_index=part_index
                )
                peer.channel.send(agent_goal)

    def send_to_all_agents(self) -> None:
        """Send every agent the goals of its service."""
        for peer in self._mesh.members.alive_peers('agent'):
            self.send_goals(peer)

    async def run(self) -> None:
        """Send the goals to every agent again at intervals, until cancelled."""
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            self.send_to_all_agents()

    def origin_region(self) -> str:
        """Return the region of the origin, or '' when it is not known."""
        conf = self._view.configuration
        origin = None if conf is None else conf.origin
        if origin is None:
            return ''
        return self._mesh.region_of(origin.data_centre)

    def get_shape(self, model: str) -> pieces.Shape:
        """Return the shape of a model's weights, as the configuration states it."""
        for _, goal in self._list_goals():
            if goal.model == model:
                return pieces.Shape(goal.layer_count, goal.piece_count)
        return pieces.Shape()

    def _switch_position(self, service: str, goal: wire.Goal, name: str) -> float:
        """Return an agent's position in the order in which servers switch versions.

        From 0 for the first up to, but without, 1; 0 for an unknown agent.
        """
        label = pieces.Version(goal.model, goal.version).label
        agents = self._mesh.members.alive_peers('agent', service)
        ordered = rendezvous.order(label, [peer.card.name for peer in agents])
        return ordered.index(name) / len(ordered) if name in ordered else 0.0

    def _first_part(self, service: str, address: str) -> int:
        """Return the index of the part of the weights that a server loads first.

        Servers of one data centre and service load different parts first.
        """
        known = self._view.servers.values()
        data_centres = {rec.data_centre for rec in known if rec.address == address}
        addresses = sorted(
            {
                rec.address
                for rec in known
                if rec.service == service and rec.data_centre in data_centres
            }
        )
        return (
            addresses.index(address) % layers.PART_COUNT if address in addresses else 0
        )

    def _list_goals(self) -> list[tuple[str, wire.Goal]]:
        """Return the goal of each model of each service, with the service's name."""
        conf = self._view.configuration
        if conf is None or conf.origin is None:
            return []
        goals = []
        for service in conf.services.values():
            engine = service.engine
            if engine is None:
                continue
            for model in engine.models:
                announcements = self._view.version_ages
                version = max(FIRST_VERSION, announcements.get_newest(model))
                announcement = announcements.get_announcement(
                    pieces.Version(model, version)
                )
                goal = wire.Goal(
                    model,
                    version,
                    0.0
                    if announcement is None
                    else self._clock() - announcement.announced_at,
                    conf.origin.address,
                    self.origin_region(),
                    layer_count=engine.layer_count,
                    age_known=announcement is not None and announcement.is_known,
                    piece_count=engine.piece_count,
                    asks_cold=service.cold_start_s > 0
                    and not self._mesh.is_store_reachable(),
                )
                goals.append((service.name, goal))
        return goals

    def _start_prefetch(self, version: pieces.Version) -> None:
        """Start to read a version's pieces into the cache, once for each version."""
        if version.label in self._prefetch_tasks:
            return
        journal.info('depot.reading_ahead', version=version.label)
        task = asyncio.create_task(self._weight_cache.prefetch(version))
        self._prefetch_tasks[version.label] = task
