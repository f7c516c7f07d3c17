"""The agent: keeps the weights of the engine beside it, and reports on it."""

import asyncio
import random

from primrosesaddle.core import clocks, kernel
from primrosesaddle.fleet import mesh, node
from primrosesaddle.membership import link, peers, wire
from primrosesaddle.process import adapter, listeners
from primrosesaddle.staging import pieces, piecesources, reconciler, weightcache
from primrosesaddle.telemetry import metrics

__all__ = ('Agent', 'make_agent')

# Without an entry for this long, an agent reads from the origin itself. All agents
# at once would take up its connections, so they give restarted entries time.
LONELY_S = 5.0
STOP_S = 0.2  # for peers to hear that this agent leaves


class Agent:
    """One agent: its services, and how it leaves."""

    def __init__(self, cfg: node.Node, made: adapter.Adapter) -> None:
        """Build the services of an agent."""
        self.cfg = cfg
        self.kernel = kernel.Kernel()
        self._clock = asyncio.get_running_loop().time
        self._adapter = made
        self._metrics = metrics.make_metrics()
        rand = random.Random()
        self._mesh = mesh.make_mesh(cfg, None, rand)
        self._mesh.members.on_joined.append(self._joined)
        self._goal: wire.Goal | None = None
        self._last_entry = self._clock()
        self._origin: weightcache.Origin | None = None
        self._origin_address = ''
        sources = weightcache.Sources(
            self._homes, self._lonely_origin, lambda: self._origin_region
        )
        store = weightcache.WeightCache(
            cfg.name, cfg.region, sources, rand, weightcache.AGENT_PARALLEL_BLOCKS
        )
        self._keeper: reconciler.EngineReconciler | None = None
        if cfg.server is not None:
            self._keeper = reconciler.EngineReconciler(
                made.engine(cfg.server),
                store,
                cfg.bounds.version_s,
                self._tell,
                lambda: len(self._mesh.members.alive_peers('entry')),
                clocks.boot_time,
            )
            self._mesh.get_version_ages_s = self._keeper.get_known_ages_s
        self._mesh.message_dispatcher.register(wire.Goal, self._take_goal)
        self._metrics.gauge('origin_bytes', lambda: store.origin_bytes)
        self._metrics.gauge('peer_bytes', lambda: store.peer_bytes)

    async def start(self) -> None:
        """Start every service."""
        self._mesh.start()
        if self._keeper is not None:
            self.kernel.spawn(self._keeper.run(), 'keeper')
        listeners.serve_metrics(self._metrics, self.cfg)

    async def stop(self) -> None:
        """Stop every service."""
        self._mesh.announce_leaving()
        await asyncio.sleep(STOP_S)
        await self.kernel.stop()
        await self._mesh.stop()

    def apply_settings(self, cfg: node.Node) -> None:
        """Take changed settings."""
        self.cfg = cfg
        self._mesh.set_seeds(cfg.seeds)

    @property
    def _origin_region(self) -> str:
        return '' if self._goal is None else self._goal.origin_region

    def _lonely_origin(self) -> weightcache.Origin | None:
        """Return the origin once no entry has been there for long."""
        lonely_s = self._clock() - self._last_entry
        return self._origin if lonely_s > LONELY_S else None

    def _homes(self) -> list[piecesources.Peer]:
        found = [
            piecesources.Peer(
                peer.card.name, peer.card.region, peer.channel, peer.leaving
            )
            for peer in self._mesh.serving_entries()
        ]
        if found:
            self._last_entry = self._clock()
        return found

    def _tell(self, state: wire.ServerState) -> None:
        for peer in self._mesh.members.alive_peers('entry'):
            peer.channel.send(state)

    def _joined(self, peer: peers.Peer) -> None:
        if self._keeper is not None:
            self._keeper.report_again()

    def _take_goal(self, channel: link.Channel, rid: int, body: wire.Goal) -> None:
        self._goal = body
        if body.origin != self._origin_address:
            self._origin_address = body.origin
            self._origin = self._adapter.origin(body.origin)
        if self._keeper is not None:
            version = pieces.Version(body.model, body.version)
            self._keeper.set_goal(reconciler.make_goal(version, body, clocks.boot_time))


def make_agent(cfg: node.Node, made: adapter.Adapter) -> Agent:
    """Build an agent, and return it."""
    return Agent(cfg, made)
