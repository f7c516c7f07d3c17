"""Cold starts in an entry: feeds the cold shares, and applies them to calls."""

import asyncio
from collections.abc import Callable, Iterator

from primrosesaddle.calls import backends, placement, request
from primrosesaddle.fleet import fleetview, mesh, node, servers
from primrosesaddle.membership import peers, wire
from primrosesaddle.restrictions import coldshares, coldstart, knownentries
from primrosesaddle.telemetry import journal, metrics

__all__ = ('ColdStarts', 'make_cold_starts')

UPDATE_INTERVAL_S = 0.5  # entries are heard about as often


class ColdStarts:
    """Keeps calls from cold servers beyond this entry's share."""

    def __init__(
        self,
        shares: coldshares.ColdShares,
        entries: knownentries.KnownEntries,
        view: fleetview.View,
        known_backends: backends.Backends,
        bounds: node.Bounds,
        entry_metrics: metrics.Metrics,
    ) -> None:
        """Create the rules of an entry; see `make_cold_starts`."""
        self._shares = shares
        self._entries = entries
        self._view = view
        self._backends = known_backends
        self._bounds = bounds
        self._metrics = entry_metrics
        self._adopted: dict[str, servers.BackendServer] = {}

    def make_constraints(self, *room: placement.Constraint) -> placement.Constraints:
        """Return these rules for placement, and others about room."""
        return placement.Constraints(
            room=(self._explain, *room), room_waits=(self._estimate_wait_s,)
        )

    def update_from_view(self) -> None:
        """Adopt the published configuration, and servers that are published again."""
        conf = self._view.configuration
        services = {} if conf is None else conf.services
        self._shares.limits = {
            service.name: coldstart.compute_limits(
                service.cold_calls_per_s,
                self._bounds.cold_overage,
                self._bounds.cold_slack,
            )
            for service in services.values()
            if service.cold_start_s > 0 and service.cold_calls_per_s > 0
        }
        was_cold = self._shares.servers.count_cold()
        self._shares.servers.update(self._list_published())
        is_cold = self._shares.servers.count_cold()
        if is_cold != was_cold:
            journal.info('servers.cold', count=is_cold, before=was_cold)

    def update_from_agent(self, body: wire.ServerState) -> None:
        """Adopt the cold time in a report of an agent."""
        backend = self._backends.get_by_address(body.address)
        if backend is None or not body.cold_remaining_s:
            return
        if body.start_time_ms != backend.record.start_time_ms:
            return
        if self._shares.servers.record_remaining(
            backend.incarnation, body.cold_remaining_s
        ):
            journal.info(
                'server.cold',
                server=backend.server_id,
                for_s=round(body.cold_remaining_s, 2),
                source='agent',
            )

    def grant(self, call: request.Call, choice: placement.Choice) -> None:
        """Count a call that has been given a server."""
        self._shares.grant(_make_target(choice.backend), call.call_id)

    def release(self, call: request.Call, choice: placement.Choice) -> None:
        """Stop counting a call that was given a server, unless it was sent."""
        self._shares.release(_make_target(choice.backend), call.call_id)

    def record_sent(self, call: request.Call, backend: backends.Backend) -> None:
        """Count a call that is sent now."""
        target = _make_target(backend)
        self._shares.record_sent(target, call.call_id)
        if self._shares.servers.get_remaining_s(target.incarnation):
            self._metrics.count('calls_sent_to_cold', service=target.service)
            journal.info(
                'call.sent_to_cold',
                id=call.call_id,
                server=backend.server_id,
                cold_s=round(
                    self._shares.servers.get_remaining_s(target.incarnation), 2
                ),
            )

    def hear(self, known: wire.KnownProcess | wire.Card) -> None:
        """Record that an entry is alive."""
        if known.role == 'entry':
            self._entries.record_heard(known.name, known.data_centre)

    def forget_leaving(self, peer: peers.Peer) -> None:
        """Forget an entry that is gone and had said that it leaves."""
        if peer.leaving and peer.card.role == 'entry':
            self._entries.forget(peer.card.name)

    def count_cold(self) -> int:
        """Return the number of servers that are cold."""
        return self._shares.servers.count_cold()

    async def run(self, links: mesh.Mesh) -> None:
        """Keep up to date which entries there are, until cancelled.

        Cold times that count down are no change of the view, and are adopted here.
        """
        while True:
            self.update_from_view()
            for peer in links.members.alive_peers('entry'):
                self.hear(peer.card)
            self._shares.sweep()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _explain(self, call: request.Call, backend: backends.Backend) -> str:
        if backend.record.service not in self._shares.limits:
            return ''
        return self._shares.explain(_make_target(backend))

    def _estimate_wait_s(self, call: request.Call, backend: backends.Backend) -> float:
        if backend.record.service not in self._shares.limits:
            return 0.0
        return self._shares.estimate_wait_s(_make_target(backend))

    def _list_published(self) -> Iterator[tuple[coldstart.Incarnation, float, float]]:
        conf = self._view.configuration
        services = {} if conf is None else conf.services
        for record in self._view.servers.values():
            service = services.get(record.service)
            if service is not None and service.name in self._shares.limits:
                incarnation = record.server_id, record.start_time_ms
                # What a record states holds from when it was received.
                is_new = self._adopted.get(record.server_id) is not record
                stated_s = record.cold_remaining_s if is_new else 0.0
                yield incarnation, service.cold_start_s, stated_s
        self._adopted = dict(self._view.servers)


def make_cold_starts(
    cfg: node.Node,
    view: fleetview.View,
    known_backends: backends.Backends,
    links: mesh.Mesh,
    is_store_reached: Callable[[], bool],
    entry_metrics: metrics.Metrics,
) -> ColdStarts:
    """Return the rules of an entry, which listens to the links.

    `is_store_reached` returns whether the store answers this entry, or others that it
    hears.
    """
    clock = asyncio.get_running_loop().time
    entries = knownentries.KnownEntries(cfg.name, cfg.data_centre, clock)

    def is_informed(incarnation: coldstart.Incarnation) -> bool:
        backend = known_backends.get_by_id(incarnation[0])
        has_report = (
            backend is not None and backend.get_fresh_report(clock()) is not None
        )
        return has_report or is_store_reached()

    shares = coldshares.ColdShares(
        cfg.name,
        entries,
        cfg.bounds.contact_s if cfg.seeds else 0.0,
        is_informed,
        clock,
    )
    rules = ColdStarts(shares, entries, view, known_backends, cfg.bounds, entry_metrics)
    links.roster_listeners.append(rules.hear)
    links.members.on_left.append(rules.forget_leaving)
    entry_metrics.gauge('cold_servers', rules.count_cold)
    return rules


def _make_target(backend: backends.Backend) -> coldshares.Target:
    record = backend.record
    return coldshares.Target(backend.incarnation, record.service, record.data_centre)
