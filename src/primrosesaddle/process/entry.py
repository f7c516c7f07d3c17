"""The entry: takes callers' calls and relays them to backend servers."""

import asyncio
import random

from tornado import httpserver, httputil

from primrosesaddle.calls import (
    admission,
    backends,
    budget,
    forwarding,
    intake,
    placement,
    routes,
)
from primrosesaddle.core import clocks, kernel, layers, pause
from primrosesaddle.fleet import feed, fleetview, mesh, node, reader
from primrosesaddle.membership import link, wire
from primrosesaddle.net import pool
from primrosesaddle.process import adapter, goals, listeners
from primrosesaddle.staging import piecesources, weightcache
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Entry', 'make_entry')

# Before the bound of a version, nothing is sent to older weights any more: a call
# may wait at its server for about this long before it begins.
VERSION_MARGIN_S = 0.8
# A call that has not begun this long before the bound is taken back from a server
# with older weights: the time for the relay to look, and for the close to arrive.
BEGIN_MARGIN_S = 0.25
# Both margins grow by what a slow path adds, as the call and the close that takes it
# back both wait on it; callers do not wait for longer than this.
MOST_PATH_S = 2.0
DIRECTORY_TTL_S = 1.0  # callers learn of an entry that leaves within this time
LATE_CALLERS = 3  # some callers keep a directory answer this many times as long
SWEEP_S = 0.2
STOP_MARGIN_S = 0.6  # before the platform ends a process that is still there
MAX_ADDRESSES = 64  # callers take no more
QUIET_S = 0.3  # without a call, after the last caller may have come


class Entry:
    """One entry: its services, and how it leaves."""

    def __init__(self, cfg: node.Node, made: adapter.Adapter) -> None:
        """Build the services of an entry."""
        self.cfg = cfg
        self.kernel = kernel.Kernel()
        self._clock = asyncio.get_running_loop().time
        self._rand = random.Random()
        self._adapter = made
        # What was named before this process looked must be in force here by the
        # time that others count it as in touch.
        assumed_age_s = max(0.0, cfg.bounds.version_s - cfg.bounds.contact_s)
        self._view = fleetview.View(made.decode_record, clocks.boot_time, assumed_age_s)
        self._metrics = metrics.make_metrics()
        self.mesh = mesh.make_mesh(cfg, self._view, self._rand)
        self.mesh.is_ready = lambda: self.ready
        self.feed = feed.Feed(
            self._view,
            self.mesh.members,
            self.mesh.message_dispatcher,
            lambda: self._goals.origin_region(),
            self._rand,
        )
        self.backends = backends.Backends(self._clock)
        self._view.listeners.append(self._update)
        self._kept = pool.make_pool()
        self.backends.removal_listeners.append(
            lambda backend: self._kept.forget(backend.server_id)
        )
        self._queue = self._make_queue()
        self._relay = self._make_relay()
        self._door = intake.RequestIntake(self._view, self._relay)
        self._reader = self._make_reader()
        self.mesh.is_store_reachable = lambda: self._reader.is_store_reachable
        self._servers: list[httpserver.HTTPServer] = []
        self._path_s = 0.0
        self._noted: dict[str, int] = {}  # versions that were logged as required
        self._origin: weightcache.Origin | None = None
        self._origin_address = ''
        self._depot = weightcache.WeightCache(
            cfg.name,
            cfg.region,
            weightcache.Sources(
                self._homes, lambda: self._origin, lambda: self._goals.origin_region()
            ),
            self._rand,
        )
        self._goals = goals.GoalSender(
            self._view, self.mesh, self._depot, clocks.boot_time
        )
        self.mesh.members.on_joined.append(self._goals.tell)
        self.mesh.message_dispatcher.register(wire.ServerState, self._hear_server)
        self.mesh.message_dispatcher.register(
            wire.ChunkRequest, self._depot.serve_request
        )
        self._metrics.gauge('origin_bytes', lambda: self._depot.origin_bytes)
        self._metrics.gauge('peer_bytes', lambda: self._depot.peer_bytes)
        self._metrics.gauge('items_bytes', lambda: self.feed.items_bytes)
        self._metrics.gauge('connections_opened', lambda: self._kept.opened)
        self._metrics.gauge('in_flight', lambda: self._door.in_flight)
        self._metrics.gauge('waiting', self._queue.count_waiting)

    @property
    def ready(self) -> bool:
        """Tell whether callers should come here."""
        return self._view.configuration is not None and not self._door.leaving

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        conf = self._view.configuration
        return 0 if conf is None else conf.version

    async def start(self) -> None:
        """Start every service."""
        spawn = self.kernel.spawn
        spawn(self._reader.run(), 'reader')
        spawn(self._queue.run(), 'admission')
        spawn(self._relay.watcher.run(), 'watcher')
        spawn(self._sweep(), 'sweep')
        spawn(self.mesh.run(), 'mesh')
        spawn(self.feed.run(), 'feed')
        spawn(self._goals.run(), 'goals')
        self.mesh.start()
        applications = self._adapter.applications
        self._listen(
            applications.make_call_application(self._door), self.cfg.listen.callers
        )
        self._listen(
            applications.make_readiness_application(lambda: self.ready),
            self.cfg.listen.ready,
        )
        self._listen(
            applications.make_directory_application(
                lambda region, data_centre: self.list_addresses(), DIRECTORY_TTL_S
            ),
            self.cfg.listen.directory,
        )
        self._servers.append(listeners.serve_metrics(self._metrics, self.cfg))

    async def stop(self) -> None:
        """Leave: take no new callers, end what has begun, then stop."""
        began = self._clock()
        gone_from = began + DIRECTORY_TTL_S * LATE_CALLERS
        ends_at = began + self.cfg.bounds.grace_s - STOP_MARGIN_S
        self._door.start_draining(gone_from, ends_at)
        self.mesh.announce_leaving()
        journal.info('entry.leaving', in_flight=self._door.in_flight)
        quiet_since = began
        while self._clock() < ends_at:
            await asyncio.sleep(0.05)
            if self._door.in_flight:
                quiet_since = self._clock()
            quiet_s = self._clock() - max(quiet_since, gone_from)
            if quiet_s > QUIET_S:
                break
        for server in self._servers:
            server.stop()
        await self.kernel.stop()
        await self.mesh.stop()
        self._kept.close()

    def apply_settings(self, cfg: node.Node) -> None:
        """Take changed settings."""
        self.cfg = cfg
        self.mesh.set_seeds(cfg.seeds)

    def _listen(
        self, app: httputil.HTTPServerConnectionDelegate, address: str | None
    ) -> None:
        if address is not None:
            self._servers.append(listeners.serve(app, address))

    def list_addresses(self) -> list[str]:
        """Return where callers may connect, in random order."""
        found = [peer.card.callers for peer in self.mesh.ready_entries()]
        if self.ready and self.cfg.listen.callers is not None:
            found.append(self.cfg.listen.callers)
        self._rand.shuffle(found)
        return [address for address in found if address][:MAX_ADDRESSES]

    def _required(self, model: str, margin_s: float = VERSION_MARGIN_S) -> int:
        bound_s = self.cfg.bounds.version_s - margin_s - self._path_s
        return self._view.namings.get_required_version(model, bound_s)

    def _fill_s(self, service: routes.Service) -> float | None:
        """Return how long the agents of a service take for a part of the weights."""
        engine = service.engine
        agents = self.mesh.members.alive_peers('agent', service.name)
        rates = [peer.card.link_bytes_per_s for peer in agents]
        if engine is None or not any(rates):
            return None
        part_bytes = engine.piece_count * engine.piece_bytes / layers.PARTS
        return part_bytes / max(rates) + engine.load_s

    def _make_reader(self) -> reader.Reader:
        bounds = self.cfg.bounds
        return reader.Reader(
            self._adapter.source,
            self._view,
            self.feed,
            min(bounds.configuration_s, bounds.drain_s),
            self._rand,
            self._clock,
        )

    def _make_queue(self) -> admission.Admission:
        placer = placement.Placer(
            self.backends,
            self.cfg.data_centre,
            self.cfg.regions,
            self._rand,
            self._clock,
            self._fill_s,
        )
        return admission.Admission(placer, self._required, self._clock)

    def _make_relay(self) -> forwarding.Forwarder:
        bounds = self.cfg.bounds
        repeats = budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_extra,
            self.mesh.count_entries,
            self._clock,
        )
        return forwarding.Forwarder(
            forwarding.Dependencies(
                self._view,
                self.backends,
                self._queue,
                self._kept,
                repeats,
                self._adapter.wire,
                self._metrics,
                self._rand,
                self._required,
                lambda model: self._required(model, BEGIN_MARGIN_S),
            )
        )

    def _homes(self) -> list[piecesources.Peer]:
        found = [
            piecesources.Peer(
                peer.card.name, peer.card.region, peer.channel, peer.leaving
            )
            for peer in self.mesh.serving_entries()
        ]
        this = piecesources.Peer(
            self.cfg.name, self.cfg.region, None, self._door.leaving
        )
        return [*found, this]

    def _hear_server(
        self, channel: link.Channel, rid: int, body: wire.ServerState
    ) -> None:
        report = backends.Report(
            self._clock(),
            body.active,
            body.queued,
            body.models,
            body.switching,
            body.pace,
            body.reachable,
            body.start_time_ms,
            body.ready_in_s,
        )
        self.backends.update_report(body.address, report)

    def _update(self) -> None:
        conf = self._view.configuration
        origin = None if conf is None else conf.origin
        if origin is not None and origin.address != self._origin_address:
            self._origin_address = origin.address
            self._origin = self._adapter.origin(origin.address)
        self._goals.update()
        self.backends.update_records(self._view.servers.values())
        for service in () if conf is None else conf.services:
            self._queue.grant_slots(service)

    async def _sweep(self) -> None:
        pauses = pause.PauseDetector(clocks.boot_time())
        while True:
            await asyncio.sleep(SWEEP_S)
            self._view.drop_expired_servers()
            self._kept.sweep()
            self._path_s = min(MOST_PATH_S, self.mesh.members.slowest_region_rtt_s())
            self._note_required()
            if pauses.observe(clocks.boot_time()):
                await self.refresh_after_pause()

    def _note_required(self) -> None:
        for model in self._view.namings.list_models():
            required = self._required(model)
            if required > self._noted.get(model, 0):
                self._noted[model] = required
                journal.info('version.required', model=model, version=required)

    async def refresh_after_pause(self) -> None:
        """Refresh what is old after this process stood still."""
        journal.warning('process.woke', in_flight=self._door.in_flight)
        self._kept.close()
        await self._reader.refresh()


def make_entry(cfg: node.Node, made: adapter.Adapter) -> Entry:
    """Build an entry, and return it."""
    return Entry(cfg, made)
