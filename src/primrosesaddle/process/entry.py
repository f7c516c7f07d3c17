"""The entry process: accepts callers' calls and forwards them to backend servers."""

import asyncio
import dataclasses
import math
import random

from primrosesaddle.calls import (
    admission,
    backends,
    budget,
    crashes,
    crashwatch,
    draining,
    forwarding,
    intake,
    placement,
    routes,
)
from primrosesaddle.core import clocks, kernel, layers, pause, rendezvous
from primrosesaddle.fleet import feed, fleetview, mesh, node, reader
from primrosesaddle.membership import link, wire
from primrosesaddle.net import bodies, pool
from primrosesaddle.overload import control
from primrosesaddle.process import (
    adapter,
    capacity,
    coldstarts,
    crashreports,
    departures,
    goals,
    guards,
    listeners,
    loadquestions,
    restrictions,
)
from primrosesaddle.restrictions import homes, memoryroom
from primrosesaddle.staging import piecesources, weightcache
from primrosesaddle.telemetry import journal, metrics

__all__ = ('Entry', 'make_entry')

# From this long before a version's bound, no call is sent to a server with older
# weights: a call may wait at its server for about this long before it begins.
SEND_MARGIN_S = 0.8
# A call that has not begun this long before the bound is withdrawn from a server with
# older weights: the time to notice it, and for the closed connection to reach the
# server.
BEGIN_MARGIN_S = 0.25
# Both margins grow by the delay of a slow path, as the call and the close that
# withdraws it both wait on it. This is the most that is added: callers do not wait for
# longer.
MAX_PATH_DELAY_S = 2.0
DIRECTORY_TTL_S = 1.0  # within it, callers learn that an entry leaves
LATE_CALLERS_FACTOR = 3  # some callers use a directory answer for 3 times its TTL
SWEEP_INTERVAL_S = 0.2
STOP_CHECK_INTERVAL_S = 0.05  # between checks for calls in flight while leaving
STOP_MARGIN_S = 0.6  # before the platform kills a process that still runs
LAST_ANSWERS_S = 0.15  # of this margin, for the final answers to reach their callers
MAX_ADDRESSES = 64  # callers accept no more
IDLE_BEFORE_STOP_S = 0.3  # without a call, after the last caller may have connected


class Entry:
    """One entry: its services, their start and graceful stop."""

    def __init__(self, cfg: node.Node, platform: adapter.Adapter) -> None:
        """Create the services of an entry; `start` starts them."""
        self.cfg = cfg
        self.kernel = kernel.Kernel()
        self._clock = asyncio.get_running_loop().time
        self._rand = random.Random()
        self._platform = platform
        self._capacity = capacity.plan_capacity(cfg.memory_bytes, cfg.descriptors)
        # A version announced before this process read the store must be in force here
        # by the time that others count it as in touch.
        assumed_age_s = max(0.0, cfg.bounds.version_s - cfg.bounds.contact_s)
        self._view = fleetview.View(
            platform.decode_record, clocks.seconds_since_boot, assumed_age_s
        )
        self._metrics = metrics.make_metrics()
        self._restrictions = restrictions.Restrictions(
            self._view, lambda: self.cfg.regions, self._metrics
        )
        self.mesh = mesh.make_mesh(cfg, self._view, self._rand)
        self.mesh.is_ready = lambda: self.ready
        self.feed = feed.Feed(
            self._view,
            self.mesh.members,
            self.mesh.message_dispatcher,
            lambda: self._goal_sender.origin_region(),
            self._rand,
        )
        self.backends = backends.Backends(self._clock)
        self._view.listeners.append(self._on_view_changed)
        self._connections = pool.make_pool()
        self.backends.removal_listeners.append(
            lambda backend: self._connections.close_idle(backend.server_id)
        )
        departures.share_departures(self.mesh, self.backends)
        self.crash_history = crashes.CrashHistory(self._clock, self._owns_trial)
        self._crash_watch = self._make_crash_watch()
        self.cold_starts = coldstarts.make_cold_starts(
            cfg,
            self._view,
            self.backends,
            self.mesh,
            self._is_store_reached,
            self._metrics,
        )
        self._room = control.Control(
            self.backends,
            self.mesh.count_entries,
            self._rand,
            self._clock,
            self._required_version,
            self._metrics,
        )
        self._metrics.gauge('slots_use', self._room.get_highest_use)
        self._placer = self._make_placer()
        self._admission = self._make_admission()
        self._drain = draining.Drain(clocks.seconds_since_boot)
        self._forwarder = self._make_forwarder()
        self._forwarder.send_listeners.append(self.cold_starts.record_sent)
        self._request_intake = intake.RequestIntake(
            self._view, self._forwarder, self._drain
        )
        body_budget = bodies.BodyBudget(self._capacity.body_bytes, self._clock)
        self._call_application = platform.applications.make_call_application(
            self._request_intake, body_budget
        )
        self._guard = guards.Guard(self._call_application, self._view)
        self._guard.report(self._metrics, self._request_intake, body_budget)
        self._reader = self._make_reader()
        self.mesh.is_store_reachable = lambda: self._reader.is_store_reachable
        self._metrics.gauge('store_era', lambda: self._view.era)
        self._metrics.gauge('store_revision', lambda: self._view.revision)
        self._path_delay_s = 0.0
        self._stop_by = math.inf
        self._pauses = pause.PauseDetector(clocks.seconds_since_boot())
        self._logged_required: dict[str, int] = {}  # by model
        self._origin: weightcache.Origin | None = None
        self._origin_address = ''
        self._weight_cache = weightcache.WeightCache(
            cfg.name,
            cfg.region,
            weightcache.Sources(
                self._list_origin_readers,
                lambda: self._origin,
                lambda: self._goal_sender.origin_region(),
                lambda model: self._goal_sender.get_shape(model),
            ),
            self._rand,
        )
        self._goal_sender = goals.GoalSender(
            self._view, self.mesh, self._weight_cache, clocks.seconds_since_boot
        )
        self.mesh.members.on_linked.append(self._goal_sender.send_goals)
        self.mesh.message_dispatcher.register(wire.ServerState, self._on_server_state)
        self.mesh.message_dispatcher.register(
            wire.ChunkRequest, self._weight_cache.serve_request
        )
        self._metrics.gauge('origin_bytes', lambda: self._weight_cache.origin_bytes)
        self._metrics.gauge('peer_bytes', lambda: self._weight_cache.peer_bytes)
        self._metrics.gauge('items_bytes', lambda: self.feed.items_bytes)
        self._metrics.gauge(
            'connections_opened', lambda: self._connections.opened_count
        )
        self._metrics.gauge('in_flight', lambda: self._request_intake.in_flight)
        self._metrics.gauge('waiting', self._admission.count_waiting)
        self._metrics.gauge('excluded_calls', lambda: self._admission.excluded_count)

    @property
    def ready(self) -> bool:
        """Whether callers should connect: it has a configuration and is not leaving."""
        return self._view.configuration is not None and not self._request_intake.leaving

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        conf = self._view.configuration
        return 0 if conf is None else conf.version

    async def start(self) -> None:
        """Start every service."""
        keep_running = self.kernel.keep_running
        keep_running(self._reader.run, 'reader')
        keep_running(self._admission.run, 'admission')
        keep_running(self._forwarder.watcher.run, 'watcher')
        keep_running(self._run_sweeps, 'sweep')
        keep_running(self.mesh.run, 'mesh')
        keep_running(self.feed.run, 'feed')
        keep_running(self._goal_sender.run, 'goals')
        keep_running(lambda: self.cold_starts.run(self.mesh), 'cold_starts')
        self.mesh.start()
        applications = self._platform.applications
        guards.start_listeners(
            self._guard,
            self.cfg.listen,
            self._capacity,
            {
                'callers': self._call_application,
                'ready': applications.make_readiness_application(lambda: self.ready),
                'directory': applications.make_directory_application(
                    self.list_addresses, DIRECTORY_TTL_S
                ),
                'metrics': listeners.make_metrics_application(self._metrics),
            },
        )

    async def stop(self) -> None:
        """Finish the calls in flight, then stop every service.

        Callers are served on until none should come any more and no call was in
        flight for IDLE_BEFORE_STOP_S, at most until STOP_MARGIN_S before the grace
        period of the settings ends, or until `hurry` is called. After a pause of the
        process the signal may have waited as long, and the grace period with it.
        """
        began = clocks.seconds_since_boot()
        callers_gone_at = began + DIRECTORY_TTL_S * LATE_CALLERS_FACTOR
        signalled_at = self._pauses.earliest_time(began)
        stop_by = signalled_at + self.cfg.bounds.grace_s - STOP_MARGIN_S
        self._stop_by = min(stop_by, self._stop_by)
        self._drain.start(callers_gone_at, self._stop_by)
        self.mesh.announce_leaving()
        journal.info('entry.leaving', in_flight=self._request_intake.in_flight)
        idle_since = began
        while clocks.seconds_since_boot() < self._stop_by:
            self._drain.end_unsent_calls()
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
            now = clocks.seconds_since_boot()
            if self._call_application.count_unanswered():
                idle_since = now
            idle_s = now - max(idle_since, callers_gone_at)
            if idle_s > IDLE_BEFORE_STOP_S:
                break
        self._guard.stop()
        await self._finish_last_calls()
        await self.kernel.stop()
        await self.mesh.stop()
        self._connections.close()

    def hurry(self) -> None:
        """End a stop early: give the calls in flight their final answers now."""
        self._stop_by = min(clocks.seconds_since_boot(), self._stop_by)
        self._drain.start(self._stop_by, self._stop_by)

    async def _finish_last_calls(self) -> None:
        """Close the idle connections of callers, and answer what arrived meanwhile.

        Kept connections would accept requests up to the end of the process, which then
        cuts them off. Calls that are still running as the stop ends get a final answer
        that tells whether they may have run, and requests that are still being read
        are refused.
        """
        wait_until = math.inf
        while True:
            self._call_application.close_idle_connections()
            if not self._call_application.count_unanswered():
                return
            now = clocks.seconds_since_boot()
            if now >= self._stop_by:
                self._drain.end_calls()
                refusal = draining.make_refusal()
                self._call_application.refuse_incomplete_requests(refusal)
                wait_until = min(wait_until, now + LAST_ANSWERS_S)
            if now >= wait_until:
                break
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        unanswered = self._call_application.count_unanswered()
        journal.warning('entry.interrupted', unanswered=unanswered)

    def apply_settings(self, cfg: node.Node) -> None:
        """Apply changed settings."""
        self.cfg = cfg
        self.mesh.set_seeds(cfg.seeds)

    def list_addresses(
        self, host: str = '', region: str = '', data_centre: str = ''
    ) -> list[str]:
        """Return the addresses of ready entries for callers of a host.

        They are in random order. `region` and `data_centre` are the caller's.
        """
        cards = [peer.card for peer in self.mesh.ready_entries()]
        if self.ready:
            cards.append(self.mesh.members.card)
        known = [
            homes.EntryAddress(card.callers, card.region)
            for card in cards
            if card.callers
        ]
        known = self._restrictions.select_entries(known, host, region, data_centre)
        self._rand.shuffle(known)
        return [entry.address for entry in known][:MAX_ADDRESSES]

    def _required_version(self, model: str, margin_s: float = SEND_MARGIN_S) -> int:
        """Return the lowest version of a model that a call may use, 0 for any.

        A version is required `margin_s` and the path's delay before its bound.
        """
        bound_s = self.cfg.bounds.version_s - margin_s - self._path_delay_s
        return self._view.version_ages.get_required_version(model, bound_s)

    def _estimate_part_load_s(self, service: routes.Service) -> float | None:
        """Estimate how long a service's agents need to load a part of the weights.

        Returns seconds, or None for a service without an engine or known link rates.
        """
        engine = service.engine
        agents = self.mesh.members.alive_peers('agent', service.name)
        rates = [peer.card.link_bytes_per_s for peer in agents]
        if engine is None or not any(rates):
            return None
        part_bytes = engine.piece_count * engine.piece_bytes / layers.PART_COUNT
        return part_bytes / max(rates) + engine.load_s

    def _make_reader(self) -> reader.Reader:
        bounds = self.cfg.bounds
        return reader.Reader(
            self._platform.source,
            self._view,
            self.feed,
            min(bounds.configuration_s, bounds.drain_s, bounds.evacuate_s),
            self._rand,
            self._clock,
        )

    def _make_placer(self) -> placement.Placer:
        return placement.Placer(
            self.backends,
            self.cfg.data_centre,
            self.cfg.regions,
            self._rand,
            self._clock,
            self._estimate_part_load_s,
            dataclasses.replace(
                self.cold_starts.make_constraints(
                    memoryroom.make_rule(
                        self._find_service, self.mesh.count_entries, self._clock
                    )
                ),
                allowed=self._restrictions.list_rules(),
                own_limit=self._room.limit_own_calls,
                total_limit=self._room.limit_all_calls,
            ),
        )

    def _make_admission(self) -> admission.Admission:
        admitted = admission.Admission(
            self._placer, self._required_version, self._clock, self._room
        )
        admitted.grant_listeners.append(self.cold_starts.grant)
        admitted.release_listeners.append(self.cold_starts.release)
        return admitted

    def _find_service(self, name: str) -> routes.Service | None:
        conf = self._view.configuration
        return None if conf is None else conf.services.get(name)

    def _is_store_reached(self) -> bool:
        """Return whether the store answers this entry, or others that it hears."""
        return self._reader.is_store_reachable or self.feed.is_store_reached_by_others()

    def _make_forwarder(self) -> forwarding.Forwarder:
        bounds = self.cfg.bounds
        repeat_budget = budget.RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_extra,
            self.mesh.count_entries,
            self._clock,
        )
        asker = loadquestions.LoadAsker(
            self.mesh,
            self.backends,
            self._placer,
            self._required_version,
            self._metrics,
            self._rand,
            self._clock,
        )
        return forwarding.Forwarder(
            forwarding.Dependencies(
                self._view,
                self.backends,
                self._admission,
                self._connections,
                repeat_budget,
                self._drain,
                self._platform.wire,
                self._metrics,
                self._rand,
                self._required_version,
                lambda model: self._required_version(model, BEGIN_MARGIN_S),
                self._crash_watch,
                asker.ask,
                self._capacity.answer_bytes,
            )
        )

    def _make_crash_watch(self) -> crashwatch.CrashWatch:
        history = self.crash_history
        watch = crashwatch.CrashWatch(
            history,
            self.backends,
            self._connections,
            self._metrics,
            self._clock,
            self.kernel.spawn,
        )
        reports = crashreports.share_crashes(self.mesh, history, self._rand)
        watch.crash_listeners.append(reports.send_crash)
        watch.answer_listeners.append(reports.send_cleared)
        return watch

    def _owns_trial(self, part: str) -> bool:
        """Return whether this entry is the one that tries a part of prompts again."""
        names = [peer.card.name for peer in self.mesh.ready_entries()]
        if self.ready:
            names.append(self.cfg.name)
        return rendezvous.select_owner(part, names) == self.cfg.name

    def _list_origin_readers(self) -> list[piecesources.Peer]:
        """Return the entries that read pieces from the origin, with this one last."""
        readers = [
            piecesources.Peer(
                peer.card.name, peer.card.region, peer.channel, peer.leaving
            )
            for peer in self.mesh.serving_entries()
        ]
        this = piecesources.Peer(
            self.cfg.name, self.cfg.region, None, self._request_intake.leaving
        )
        return [*readers, this]

    def _on_server_state(
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
            body.memory_share,
            body.is_machine_shared,
        )
        self.backends.update_report(body.address, report)
        self.cold_starts.update_from_agent(body)
        if body.leaving:
            self.backends.mark_leaving_at(body.address, body.start_time_ms)

    def _on_view_changed(self) -> None:
        """Apply changed records: origin, goals of agents, servers, waiting calls."""
        conf = self._view.configuration
        origin = None if conf is None else conf.origin
        if origin is not None and origin.address != self._origin_address:
            self._origin_address = origin.address
            self._origin = self._platform.make_origin(origin.address)
        self._goal_sender.update_from_view()
        self.cold_starts.update_from_view()
        self.backends.update_records(self._view.servers.values())
        self._admission.refuse_excluded()
        for service in () if conf is None else conf.services:
            self._admission.grant_slots(service)

    async def _run_sweeps(self) -> None:
        """Remove what expired and detect pauses at intervals, until cancelled."""
        self._pauses = pause.PauseDetector(clocks.seconds_since_boot())
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._guard.sweep()
            self._view.drop_expired_servers()
            self._connections.close_expired()
            self._path_delay_s = min(
                MAX_PATH_DELAY_S, self.mesh.members.slowest_region_rtt_s()
            )
            self._log_required_versions()
            if self._pauses.observe(clocks.seconds_since_boot()):
                await self.refresh_after_pause()

    def _log_required_versions(self) -> None:
        for model in self._view.version_ages.list_models():
            required = self._required_version(model)
            if required > self._logged_required.get(model, 0):
                self._logged_required[model] = required
                journal.info('version.required', model=model, version=required)

    async def refresh_after_pause(self) -> None:
        """Close kept connections and read the store again after a pause."""
        journal.warning('process.woke', in_flight=self._request_intake.in_flight)
        self._connections.close()
        await self._reader.refresh()


def make_entry(cfg: node.Node, platform: adapter.Adapter) -> Entry:
    """Return an entry with these settings on a platform."""
    return Entry(cfg, platform)
