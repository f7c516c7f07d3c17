"""The agent process: brings its engine to the wanted version and reports its state."""

import asyncio
import random

from primrosesaddle.calls import crashes
from primrosesaddle.core import clocks, kernel
from primrosesaddle.fleet import mesh, node
from primrosesaddle.membership import link, peers, wire
from primrosesaddle.process import (
    adapter,
    capacity,
    crashreports,
    listeners,
    loadquestions,
)
from primrosesaddle.staging import pieces, piecesources, reconciler, weightcache
from primrosesaddle.telemetry import metrics

__all__ = ('Agent', 'make_agent')

# After this long without an entry, an agent reads weights from the origin itself.
# All agents at once would use up the origin's connections, so they first allow
# entries that restart this time to return.
NO_ENTRY_LIMIT_S = 5.0
STOP_DELAY_S = 0.2  # for the notice that this agent leaves to reach its peers


class Agent:
    """The agent of one engine: its services, their start and stop."""

    def __init__(self, cfg: node.Node, platform: adapter.Adapter) -> None:
        """Create the services of an agent; `start` starts them."""
        self.cfg = cfg
        self.kernel = kernel.Kernel()
        self._clock = asyncio.get_running_loop().time
        self._platform = platform
        self._metrics = metrics.make_metrics()
        rand = random.Random()
        self._mesh = mesh.make_mesh(cfg, None, rand)
        self._mesh.members.on_linked.append(self._on_peer_linked)
        self._goal: wire.Goal | None = None
        self._shapes: dict[str, pieces.Shape] = {}
        self._entry_seen_at = self._clock()
        self._origin: weightcache.Origin | None = None
        self._origin_address = ''
        sources = weightcache.Sources(
            self._list_origin_readers,
            self._origin_without_entries,
            lambda: self._origin_region,
            lambda model: self._shapes.get(model, pieces.Shape()),
        )
        weight_cache = weightcache.WeightCache(
            cfg.name, cfg.region, sources, rand, weightcache.AGENT_PARALLEL_BLOCKS
        )
        self._reconciler: reconciler.EngineReconciler | None = None
        if cfg.server is not None:
            self._reconciler = reconciler.EngineReconciler(
                platform.make_engine(cfg.server),
                weight_cache,
                cfg.bounds.version_s,
                self._send_state_to_entries,
                lambda: len(self._mesh.members.alive_peers('entry')),
                clocks.seconds_since_boot,
            )
            self._mesh.get_version_ages_s = self._reconciler.get_known_ages_s
            loadquestions.answer_questions(self._mesh, self._reconciler, self._clock)
        self._mesh.message_dispatcher.register(wire.Goal, self._on_goal)
        # Agents keep what entries know of crashes, in case all entries are restarted.
        self.crash_history = crashes.CrashHistory(self._clock, lambda part: False)
        crashreports.share_crashes(self._mesh, self.crash_history, rand)
        self._metrics.gauge('origin_bytes', lambda: weight_cache.origin_bytes)
        self._metrics.gauge('peer_bytes', lambda: weight_cache.peer_bytes)

    async def start(self) -> None:
        """Start every service."""
        self._mesh.start()
        if self._reconciler is not None:
            self.kernel.keep_running(self._reconciler.run, 'keeper')
        planned = capacity.plan_capacity(self.cfg.memory_bytes, self.cfg.descriptors)
        listeners.serve(
            listeners.make_metrics_application(self._metrics),
            self.cfg.listen.metrics,
            planned.other_connections,
        )

    async def stop(self) -> None:
        """Notify peers that this agent leaves, then stop every service."""
        self._mesh.announce_leaving()
        await asyncio.sleep(STOP_DELAY_S)
        await self.kernel.stop()
        await self._mesh.stop()

    def hurry(self) -> None:
        """Do nothing, as a stop takes little more than `STOP_DELAY_S`."""

    def apply_settings(self, cfg: node.Node) -> None:
        """Apply changed settings; only the addresses of seeds take effect."""
        self.cfg = cfg
        self._mesh.set_seeds(cfg.seeds)

    @property
    def _origin_region(self) -> str:
        return '' if self._goal is None else self._goal.origin_region

    def _origin_without_entries(self) -> weightcache.Origin | None:
        """Return the origin if no entry was there for NO_ENTRY_LIMIT_S, else None."""
        no_entry_s = self._clock() - self._entry_seen_at
        return self._origin if no_entry_s > NO_ENTRY_LIMIT_S else None

    def _list_origin_readers(self) -> list[piecesources.Peer]:
        """Return the entries that read pieces from the origin for their peers."""
        readers = [
            piecesources.Peer(
                peer.card.name, peer.card.region, peer.channel, peer.leaving
            )
            for peer in self._mesh.serving_entries()
        ]
        if readers:
            self._entry_seen_at = self._clock()
        return readers

    def _send_state_to_entries(self, state: wire.ServerState) -> None:
        for peer in self._mesh.members.alive_peers('entry'):
            peer.channel.send(state)

    def _on_peer_linked(self, peer: peers.Peer) -> None:
        if self._reconciler is not None:
            self._reconciler.report_again()

    def _on_goal(self, channel: link.Channel, rid: int, body: wire.Goal) -> None:
        self._goal = body
        self._shapes[body.model] = pieces.Shape(body.layer_count, body.piece_count)
        if body.origin != self._origin_address:
            self._origin_address = body.origin
            self._origin = self._platform.make_origin(body.origin)
        if self._reconciler is not None:
            if body.asks_cold:
                self._reconciler.watch_cold()
            version = pieces.Version(body.model, body.version)
            self._reconciler.set_goal(
                reconciler.make_goal(version, body, clocks.seconds_since_boot)
            )


def make_agent(cfg: node.Node, platform: adapter.Adapter) -> Agent:
    """Return an agent with these settings on a platform."""
    return Agent(cfg, platform)
