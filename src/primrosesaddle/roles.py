"""The two roles: what services an entry and an agent are made of."""

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
from primrosesaddle.core import addresses, kernel
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

LEAVE_MARGIN_S = 0.5
SETTLE_S = 0.3
HEADER_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 32 * 1024


def make_incarnation() -> str:
    """Return a name for this run of the process; later runs sort after it."""
    return f'{time.time_ns() // 1_000_000:013x}-{uuid.uuid4().hex[:8]}'


@dataclasses.dataclass
class Process:
    """One process: its settings, its kernel, and how it leaves."""

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
        """Stop every service, each ending what it has begun."""
        await self.kernel.stop()


def make_process(cfg: settings.Settings) -> Process:
    """Build the process that the settings ask for, and return it."""
    process = Process(
        cfg,
        make_incarnation(),
        kernel.Kernel(),
        dispatching.MessageDispatcher(),
        random.Random(),
    )
    shared = (_audit, _metrics, _traces, _members, _config, _instances)
    own: tuple[Factory, ...] = _ENTRY
    if cfg.server is not None:
        own = _ENGINE_AGENT if cfg.server.kind == 'engine' else _PLAIN_AGENT
    for factory in (*shared, _admin, *own):
        process.kernel.provide(factory(process))
    return process


def _audit(process: Process) -> kernel.Service:
    chain = audit.Chain(process.cfg.process.name, process.incarnation)

    async def start() -> None:
        chain.record('started', role=process.cfg.process.role)

    async def stop() -> None:
        chain.close()

    return kernel.Service('audit', chain, start, stop)


def _metrics(process: Process) -> kernel.Service:
    return kernel.Service('metrics', metrics.make_metrics())


def _traces(process: Process) -> kernel.Service:
    cfg = process.cfg
    tracer = traces.make_tracer(
        cfg.process.name,
        cfg.traces.endpoint,
        cfg.traces.share,
    )

    async def stop() -> None:
        await asyncio.to_thread(tracer.stop)

    return kernel.Service('traces', tracer, stop=stop)


def _card(process: Process) -> wire.Card:
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


def _members(process: Process) -> kernel.Service:
    cfg = process.cfg
    keys = link.read_keys(cfg.keys.curve_public, cfg.keys.curve_secret)
    board = process.message_dispatcher
    members = membertable.MemberTable(
        _card(process), board.make_hooks(), keys, process.rand
    )
    members.departed_retention_s = cfg.limits.key_retention_s
    board.register(
        wire.Hello, lambda channel, rid, body: members.handle_hello(channel, body)
    )
    board.register(wire.Heartbeat, members.handle_heartbeat)
    guards = []

    async def start() -> None:
        if keys is not None:
            guards.append(link.make_authenticator(keys))
        members.start(cfg.platform.seed_list)

    async def stop() -> None:
        await members.stop()
        for guard in guards:
            guard.stop()

    return kernel.Service('members', members, start, stop)


def _config(process: Process) -> kernel.Service:
    board = process.message_dispatcher
    conf = replica.CatalogueReplica(
        process.kernel.find('members'),
        replica.make_watch(process.cfg.platform.catalogue),
        process.rand,
    )
    chain = process.kernel.find('audit')
    board.on_revision = conf.pull_if_newer
    board.get_revision = lambda: conf.revision
    board.register(wire.PullCatalogue, conf.answer_pull)
    conf.listeners.append(
        lambda cat: chain.record('adopted', revision=cat.revision, digest=cat.digest),
    )

    async def start() -> None:
        process.kernel.spawn(conf.run(), 'config')

    return kernel.Service('config', conf, start)


def _instances(process: Process) -> kernel.Service:
    members: membertable.MemberTable = process.kernel.find('members')
    reader = instancepoller.InstancePoller(
        process.cfg.platform.instances, members, process.rand
    )

    async def start() -> None:
        process.kernel.spawn(reader.run(), 'instances')

    return kernel.Service('instances', reader, start)


def _limits(process: Process) -> kernel.Service:
    conf: replica.CatalogueReplica = process.kernel.find('config')
    members: membertable.MemberTable = process.kernel.find('members')

    def limits_of(workspace: str) -> limits.WorkspaceRates:
        entry = conf.current.get('workspace', workspace)
        if entry is None:
            return (1.0, 1.0)
        return (entry.limits.requests_per_s, entry.limits.tokens_per_s)

    limiter = limits.WorkspaceLimiter(process.cfg.process.name, limits_of)

    def hear(channel: link.Channel, rid: int, body: wire.WorkspaceDemand) -> None:
        peer = members.find_by_channel(channel)
        if peer is not None:
            report = limits.DemandReport(body.demand)
            limiter.update_from_report(peer.card.name, report, time.monotonic())

    async def exchange() -> None:
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
            told = wire.WorkspaceDemand(dict(limiter.make_report().demand))
            for peer in members.alive_peers('entry'):
                peer.channel.send(told)

    async def start() -> None:
        process.kernel.spawn(exchange(), 'limits')

    process.message_dispatcher.register(wire.WorkspaceDemand, hear)
    return kernel.Service('limits', limiter, start)


def _router(process: Process) -> kernel.Service:
    find = process.kernel.find
    conf: replica.CatalogueReplica = find('config')
    book = atmostonce.ForwardLog(process.cfg.limits.key_retention_s)
    dispatcher = dispatch.CallDispatcher(
        find('members'),
        conf,
        book,
        find('metrics'),
        find('traces'),
        process.rand,
    )

    def prior_keys(
        channel: link.Channel, rid: int, body: wire.PriorKeysRequest
    ) -> None:
        entry = conf.current.get('service', body.service)
        digest = keyowner.owners_digest(entry) if entry else ''
        dispatcher.answer_prior_keys(channel, rid, body, digest)

    process.message_dispatcher.register(wire.PriorKeysRequest, prior_keys)
    process.message_dispatcher.register(
        wire.WasForwardedRequest, dispatcher.answer_forwarded
    )
    find('members').on_left.append(dispatcher.forget_peer)
    return kernel.Service('router', dispatcher)


def _front(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    members: membertable.MemberTable = find('members')
    context = callerstate.CallerContext(
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
    server = _http_server(callers.make_application(context), cfg)
    find('metrics').gauge('in_flight', lambda: context.in_flight)

    async def account() -> None:
        while True:
            await asyncio.sleep(limits.REPORT_INTERVAL_S)
            context.record_flood_refusals()

    async def start() -> None:
        process.kernel.spawn(account(), 'floods')
        host, port = addresses.split_address(cfg.listen.callers or '')
        server.listen(port, host)

    async def stop() -> None:
        began = time.monotonic()
        members.broadcast_heartbeat(leaving=True)
        await asyncio.sleep(cfg.limits.entries_ttl_s + LEAVE_MARGIN_S)
        server.stop()
        while context.in_flight and time.monotonic() - began < cfg.limits.drain_s:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_S)
        context.record_flood_refusals()
        await server.close_all_connections()

    return kernel.Service('callers', context, start, stop)


def _http_server(
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


def _weights(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    made = transfer.WeightTransfer(
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
    find('members').on_left.append(made.drop_peer)
    process.message_dispatcher.register(wire.ChunkRequest, made.answer_chunk_request)
    process.message_dispatcher.register(
        wire.HeldChunks,
        lambda channel, rid, body: made.update_from_held_chunks(channel, body),
    )

    async def start() -> None:
        process.kernel.spawn(made.run(), 'weights')

    return kernel.Service('weights', made, start, made.stop)


def _engine(process: Process) -> kernel.Service:
    find = process.kernel.find
    members: membertable.MemberTable = find('members')
    reconciler = orders.Reconciler(
        _server_of(process.cfg).url,
        members,
        find('config'),
        find('weights'),
        find('audit'),
    )
    members.get_state_labels = lambda: reconciler.version_labels

    async def start() -> None:
        process.kernel.spawn(reconciler.run(), 'engine')

    return kernel.Service('engine', reconciler, start)


def _queue(process: Process) -> kernel.Service:
    find = process.kernel.find
    cfg = process.cfg
    members: membertable.MemberTable = find('members')
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(cfg.limits.queue_length))
    limit = concurrency.AdaptiveLimit(cfg.limits.concurrency)
    run, stop = _runner(process)
    made = scheduler.CallScheduler(
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
    members.get_load = lambda: made.load
    members.on_left.append(made.cancel_calls_of)
    board = process.message_dispatcher
    board.register(wire.Call, made.accept_call)
    board.register(wire.Credit, made.add_credit)
    board.register(
        wire.Cancel, lambda channel, rid, body: made.cancel_call(channel, rid)
    )
    find('metrics').gauge('queued', lambda: len(queue))
    find('metrics').gauge('concurrency', lambda: limit.limit)

    def leave() -> None:
        if not made.leaving:
            made.leaving = True
            members.broadcast_heartbeat(leaving=True)
            journal.info('agent.leaving')

    find('instances').on_listed_leaving = leave

    async def start() -> None:
        process.kernel.spawn(made.run(), 'gate')

    async def drain() -> None:
        leave()
        await made.drain(cfg.limits.drain_s)
        await asyncio.sleep(SETTLE_S)

    return kernel.Service('queue', made, start, drain)


def _runner(process: Process) -> tuple[scheduler.RunCall, scheduler.CancelCall]:
    find = process.kernel.find
    server = _server_of(process.cfg)
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
    home = keyowner.PlainServiceRunner(
        server.url,
        server.serves,
        find('members'),
        find('config'),
        ledger,
    )
    process.kernel.spawn_later(home.query_entries, 'homes')
    return home.run_call, home.cancel_call


def _server_of(cfg: settings.Settings) -> settings.Server:
    if cfg.server is None:
        raise ValueError('an agent needs a [server] section')
    return cfg.server


def _admin(process: Process) -> kernel.Service:
    find = process.kernel.find
    panel = admin.AdminReads(
        find('members'),
        find('config'),
        find('metrics'),
        find('audit'),
        lambda: _missing(process),
        lambda: _extra(process),
    )
    server = httpserver.HTTPServer(admin.make_application(panel))

    async def start() -> None:
        host, port = addresses.split_address(process.cfg.listen.admin)
        server.listen(port, host)

    async def stop() -> None:
        server.stop()
        await server.close_all_connections()

    return kernel.Service('admin', panel, start, stop)


def _extra(process: Process) -> dict[str, typing.Any]:
    if not process.kernel.has('engine'):
        return {}
    find = process.kernel.find
    return {'weights': find('weights').progress(), 'live': dict(find('engine').live)}


def _missing(process: Process) -> list[str]:
    members: membertable.MemberTable = process.kernel.find('members')
    conf: replica.CatalogueReplica = process.kernel.find('config')
    found = []
    if conf.current is catalogue.EMPTY:
        found.append('catalogue')
    if members.leaving:
        found.append('leaving')
    if members.card.role == 'entry' and not members.alive_peers('agent'):
        found.append('agents')
    if process.kernel.has('engine') and not process.kernel.find('engine').live:
        found.append('weights')
    return found


_ENTRY = (_limits, _router, _front)
Factory = Callable[[Process], kernel.Service]
_ENGINE_AGENT = (_weights, _engine, _queue)
_PLAIN_AGENT = (_queue,)
