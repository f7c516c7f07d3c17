"""Build the services of a process, by its role: an entry or an agent."""

import asyncio
import dataclasses
import random
import ssl
import time
import typing
import uuid
from collections.abc import Callable

from tornado import httpserver, httputil

from primrosesaddle import settings
from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import addresses, kernel, positions
from primrosesaddle.gateway import (
    atmostonce,
    callers,
    callerstate,
    chat,
    concurrency,
    dispatch,
    fairqueue,
    keyowner,
    limits,
    scheduler,
)
from primrosesaddle.membership import (
    dispatching,
    instancepoller,
    link,
    membertable,
    wire,
)
from primrosesaddle.telemetry import admin, audit, journal, metrics, traces
from primrosesaddle.weights import fetch, orders, store, transfer

__all__ = ('Process', 'make_process')

ENTRIES_TTL_MARGIN_S = 0.5
FINAL_SEND_WAIT_S = 0.3
HEADER_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 32 * 1024


def make_incarnation() -> str:
    """Return an identifier of this run of the process; later runs sort after it."""
    return f'{time.time_ns() // 1_000_000:013x}-{uuid.uuid4().hex[:8]}'


@dataclasses.dataclass
class Process:
    """A process: its settings, message dispatcher, and the kernel of its services."""

    cfg: settings.Settings
    incarnation: str
    kernel: kernel.Kernel
    message_dispatcher: dispatching.MessageDispatcher
    rand: random.Random
    leave: Callable[[], 'asyncio.Future[None] | None'] | None = None

    async def start(self) -> None:
        """Start every service."""
        await self.kernel.start()

    async def stop(self) -> None:
        """Stop every service after it has finished its work."""
        await self.kernel.stop()


def make_process(cfg: settings.Settings) -> Process:
    """Return a process with the services for the role in the settings."""
    process = Process(
        cfg,
        make_incarnation(),
        kernel.Kernel(),
        dispatching.MessageDispatcher(),
        random.Random(),
    )
    shared_factories = (
        _make_audit,
        _make_metrics,
        _make_traces,
        _make_members,
        _make_config,
        _make_instances,
    )
    role_factories: tuple[Factory, ...] = _ENTRY
    if cfg.server is not None:
        role_factories = _ENGINE_AGENT if cfg.server.kind == 'engine' else _PLAIN_AGENT
    for factory in (*shared_factories, _make_admin, *role_factories):
        process.kernel.provide(factory(process))
    return process


def _make_audit(process: Process) -> kernel.Service:
    chain = audit.Chain(process.cfg.process.name, process.incarnation)

    async def start() -> None:
        chain.record('started', role=process.cfg.process.role)

    async def stop() -> None:
        chain.close()

    return kernel.Service('audit', chain, start, stop)


def _make_metrics(process: Process) -> kernel.Service:
    return kernel.Service('metrics', metrics.make_metrics())


def _make_traces(process: Process) -> kernel.Service:
    cfg = process.cfg
    tracer = traces.make_tracer(
        cfg.process.name,
        cfg.traces.endpoint,
        cfg.traces.share,
    )

    async def stop() -> None:
        await asyncio.to_thread(tracer.stop)

    return kernel.Service('traces', tracer, stop=stop)


def _make_card(process: Process) -> wire.Card:
    cfg = process.cfg
    return wire.Card(
        cfg.process.name,
        cfg.process.role,
        process.incarnation,
        cfg.listen.peers,
        cfg.process.region,
        cfg.process.data_centre,
        cfg.server.serves if cfg.server else '',
        cfg.server.kind if cfg.server else '',
        cfg.listen.callers or '',
        cfg.transfer.machine_bytes_per_s,
    )


def _make_members(process: Process) -> kernel.Service:
    cfg = process.cfg
    keys = link.read_keys(cfg.keys.curve_public, cfg.keys.curve_secret)
    dispatcher = process.message_dispatcher
    members = membertable.MemberTable(
        _make_card(process), dispatcher.make_hooks(), keys, process.rand
    )
    members.departed_retention_s = cfg.limits.key_retention_s
    dispatcher.register(
        wire.Hello, lambda channel, rid, body: members.handle_hello(channel, body)
    )
    dispatcher.register(wire.Heartbeat, members.handle_heartbeat)
    authenticators = []

    async def start() -> None:
        if keys is not None:
            authenticators.append(link.make_authenticator(keys))
        members.start(cfg.platform.seed_list)

    async def stop() -> None:
        await members.stop()
        for authenticator in authenticators:
            authenticator.stop()

    return kernel.Service('members', members, start, stop)


def _make_config(process: Process) -> kernel.Service:
    dispatcher = process.message_dispatcher
    catalogue_replica = replica.CatalogueReplica(
        process.kernel.find('members'),
        replica.make_watch(process.cfg.platform.catalogue),
        process.rand,
    )
    chain = process.kernel.find('audit')
    dispatcher.on_position = lambda channel, position: catalogue_replica.pull_if_newer(
        channel, position.revision
    )
    dispatcher.get_position = lambda: positions.Position(0, catalogue_replica.revision)
    dispatcher.register(wire.PullCatalogue, catalogue_replica.answer_pull)
    catalogue_replica.listeners.append(
        lambda cat: chain.record('adopted', revision=cat.revision, digest=cat.digest),
    )

    async def start() -> None:
        process.kernel.spawn(catalogue_replica.run(), 'config')

    return kernel.Service('config', catalogue_replica, start)


def _make_instances(process: Process) -> kernel.Service:
    members: membertable.MemberTable = process.kernel.find('members')
    poller = instancepoller.InstancePoller(
        process.cfg.platform.instances, members, process.rand
    )

    async def start() -> None:
        process.kernel.spawn(poller.run(), 'instances')

    return kernel.Service('instances', poller, start)


def _make_limits(process: Process) -> kernel.Service:
    catalogue_replica: replica.CatalogueReplica = process.kernel.find('config')
    members: membertable.MemberTable = process.kernel.find('members')

    def get_limits(workspace: str) -> limits.WorkspaceRates:
        entry = catalogue_replica.current.get('workspace', workspace)
        if entry is None:
            return (1.0, 1.0)
        return (entry.limits.requests_per_s, entry.limits.tokens_per_s)

    limiter = limits.WorkspaceLimiter(process.cfg.process.name, get_limits)

    def update_limiter(
        channel: link.Channel, rid: int, body: wire.WorkspaceDemand
    ) -> None:
        peer = members.find_by_channel(channel)
        if peer is not None:
            report = limits.DemandReport(body.demand)
            limiter.update_from_report(peer.card.name, report, time.monotonic())

    async def exchange_demand() -> None:
        while True:
            await asyncio.sleep(limits.REPORT_INTERVAL_S)
            listed = {
                cand.name for cand in members.listed_candidates('entry') if cand.name
            }
            linked = {
                peer.card.name
                for peer in members.peers.values()
                if peer.card.role == 'entry'
            }
            limiter.set_members(listed | linked)
            for name in limiter.shard_peers():
                members.keep_linked(name)
            limiter.update_shares(time.monotonic())
            message = wire.WorkspaceDemand(dict(limiter.make_report().demand))
            for peer in members.alive_peers('entry'):
                peer.channel.send(message)

    async def start() -> None:
        process.kernel.spawn(exchange_demand(), 'limits')

    process.message_dispatcher.register(wire.WorkspaceDemand, update_limiter)
    return kernel.Service('limits', limiter, start)


def _make_router(process: Process) -> kernel.Service:
    find = process.kernel.find
    catalogue_replica: replica.CatalogueReplica = find('config')
    book = atmostonce.ForwardLog(process.cfg.limits.key_retention_s)
    dispatcher = dispatch.CallDispatcher(
        find('members'),
        catalogue_replica,
        book,
        find('metrics'),
        find('traces'),
        process.rand,
    )

    def answer_prior_keys(
        channel: link.Channel, rid: int, body: wire.PriorKeysRequest
    ) -> None:
        entry = catalogue_replica.current.get('service', body.service)
        digest = keyowner.owners_digest(entry) if entry else ''
        dispatcher.answer_prior_keys(channel, rid, body, digest)

    process.message_dispatcher.register(wire.PriorKeysRequest, answer_prior_keys)
    process.message_dispatcher.register(
        wire.WasForwardedRequest, dispatcher.answer_forwarded
    )
    find('members').on_left.append(dispatcher.forget_peer)
    return kernel.Service('router', dispatcher)


def _make_caller_server(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    members: membertable.MemberTable = find('members')
    caller_context = callerstate.CallerContext(
        cfg,
        members,
        find('config'),
        find('router'),
        find('limits'),
        find('metrics'),
        find('audit'),
        find('traces'),
        process.rand,
    )
    server = _make_http_server(callers.make_application(caller_context), cfg)
    find('metrics').gauge('in_flight', lambda: caller_context.in_flight)

    async def record_floods() -> None:
        while True:
            await asyncio.sleep(limits.REPORT_INTERVAL_S)
            caller_context.record_flood_refusals()

    async def start() -> None:
        process.kernel.spawn(record_floods(), 'floods')
        host, port = addresses.split_address(cfg.listen.callers or '')
        server.listen(port, host)

    async def stop() -> None:
        started_at = time.monotonic()
        members.broadcast_heartbeat(leaving=True)
        await asyncio.sleep(cfg.limits.entries_ttl_s + ENTRIES_TTL_MARGIN_S)
        server.stop()
        while (
            caller_context.in_flight
            and time.monotonic() - started_at < cfg.limits.drain_s
        ):
            await asyncio.sleep(0.05)
        await asyncio.sleep(FINAL_SEND_WAIT_S)
        caller_context.record_flood_refusals()
        await server.close_all_connections()

    return kernel.Service('callers', caller_context, start, stop)


def _make_http_server(
    app: httputil.HTTPServerConnectionDelegate, cfg: settings.Settings
) -> httpserver.HTTPServer:
    context = None
    if cfg.keys.tls_certificate:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(cfg.keys.tls_certificate, cfg.keys.tls_key)
    return httpserver.HTTPServer(
        app,
        ssl_options=context,
        idle_connection_timeout=HEADER_TIMEOUT_S * 6,
        max_header_size=MAX_HEADER_BYTES,
    )


def _make_weights(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    weight_transfer = transfer.WeightTransfer(
        fetch.WeightsConfig(
            cfg.platform.store,
            cfg.platform.origin,
            cfg.platform.store_region,
            cfg.transfer.machine_bytes_per_s,
            cfg.transfer.region_bytes_per_s,
            cfg.transfer.memory_bytes,
        ),
        find('members'),
        fetch.Sources(store.read_manifest, store.read_chunk),
        find('metrics'),
        process.rand,
    )
    find('members').on_left.append(weight_transfer.drop_peer)
    process.message_dispatcher.register(
        wire.ChunkRequest, weight_transfer.answer_chunk_request
    )
    process.message_dispatcher.register(
        wire.HeldChunks,
        lambda channel, rid, body: weight_transfer.update_from_held_chunks(
            channel, body
        ),
    )

    async def start() -> None:
        process.kernel.spawn(weight_transfer.run(), 'weights')

    return kernel.Service('weights', weight_transfer, start, weight_transfer.stop)


def _make_engine(process: Process) -> kernel.Service:
    find = process.kernel.find
    members: membertable.MemberTable = find('members')
    reconciler = orders.Reconciler(
        _require_server(process.cfg).url,
        members,
        find('config'),
        find('weights'),
        find('audit'),
    )
    members.get_state_labels = lambda: reconciler.version_labels

    async def start() -> None:
        process.kernel.spawn(reconciler.run(), 'engine')

    return kernel.Service('engine', reconciler, start)


def _make_queue(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    members: membertable.MemberTable = find('members')
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(cfg.limits.queue_length))
    limit = concurrency.AdaptiveLimit(cfg.limits.concurrency)
    run, stop = _make_runner(process)
    call_scheduler = scheduler.CallScheduler(
        scheduler.Dependencies(
            members,
            find('config'),
            queue,
            limit,
            find('metrics'),
            find('audit'),
            find('traces'),
            run,
            stop,
        )
    )
    members.get_load = lambda: call_scheduler.load
    members.on_left.append(call_scheduler.cancel_calls_of)
    dispatcher = process.message_dispatcher
    dispatcher.register(wire.Call, call_scheduler.accept_call)
    dispatcher.register(wire.Credit, call_scheduler.add_credit)
    dispatcher.register(
        wire.Cancel, lambda channel, rid, body: call_scheduler.cancel_call(channel, rid)
    )
    find('metrics').gauge('queued', lambda: len(queue))
    find('metrics').gauge('concurrency', lambda: limit.limit)

    def leave() -> None:
        if not call_scheduler.leaving:
            call_scheduler.leaving = True
            members.broadcast_heartbeat(leaving=True)
            journal.info('agent.leaving')

    find('instances').on_listed_leaving = leave

    async def start() -> None:
        process.kernel.spawn(call_scheduler.run(), 'gate')

    async def drain() -> None:
        leave()
        await call_scheduler.drain(cfg.limits.drain_s)
        await asyncio.sleep(FINAL_SEND_WAIT_S)

    return kernel.Service('queue', call_scheduler, start, drain)


def _make_runner(process: Process) -> tuple[scheduler.RunCall, scheduler.CancelCall]:
    """Return the functions that run and cancel calls at the backend server."""
    find = process.kernel.find
    server = _require_server(process.cfg)
    if server.kind == 'engine':
        reconciler: orders.Reconciler = find('engine')
        runner = chat.ChatRunner(server.url, lambda: reconciler.live)
        runner.outcome_listeners.append(
            lambda digest, answered: reconciler.record_outcome(
                digest, answered=answered
            ),
        )
        return runner.run_call, runner.cancel_call
    ledger = atmostonce.KeyLedger(
        process.incarnation, process.cfg.limits.key_retention_s
    )
    service_runner = keyowner.PlainServiceRunner(
        server.url,
        server.serves,
        find('members'),
        find('config'),
        ledger,
    )
    process.kernel.spawn_later(service_runner.query_entries, 'homes')
    return service_runner.run_call, service_runner.cancel_call


def _require_server(cfg: settings.Settings) -> settings.Server:
    """Return the [server] section.

    Raises `ValueError` when there is none.
    """
    if cfg.server is None:
        raise ValueError('an agent needs a [server] section')
    return cfg.server


def _make_admin(process: Process) -> kernel.Service:
    find = process.kernel.find
    admin_reads = admin.AdminReads(
        find('members'),
        find('config'),
        find('metrics'),
        find('audit'),
        lambda: _list_missing(process),
        lambda: _report_weights(process),
    )
    server = httpserver.HTTPServer(admin.make_application(admin_reads))

    async def start() -> None:
        host, port = addresses.split_address(process.cfg.listen.admin)
        server.listen(port, host)

    async def stop() -> None:
        server.stop()
        await server.close_all_connections()

    return kernel.Service('admin', admin_reads, start, stop)


def _report_weights(process: Process) -> dict[str, typing.Any]:
    """Return the held and the live versions of an agent with an engine."""
    if not process.kernel.has('engine'):
        return {}
    find = process.kernel.find
    return {'weights': find('weights').progress(), 'live': dict(find('engine').live)}


def _list_missing(process: Process) -> list[str]:
    """Return what keeps the process from being ready."""
    members: membertable.MemberTable = process.kernel.find('members')
    catalogue_replica: replica.CatalogueReplica = process.kernel.find('config')
    missing = []
    if catalogue_replica.current is catalogue.EMPTY:
        missing.append('catalogue')
    if members.leaving:
        missing.append('leaving')
    if members.card.role == 'entry' and not members.alive_peers('agent'):
        missing.append('agents')
    if process.kernel.has('engine') and not process.kernel.find('engine').live:
        missing.append('weights')
    return missing


_ENTRY = (_make_limits, _make_router, _make_caller_server)
Factory = Callable[[Process], kernel.Service]
_ENGINE_AGENT = (_make_weights, _make_engine, _make_queue)
_PLAIN_AGENT = (_make_queue,)
