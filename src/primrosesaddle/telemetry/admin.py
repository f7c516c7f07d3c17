"""The operators' read-only HTTP interface, on a listener of its own."""

import dataclasses
import typing
from collections.abc import Callable

import msgspec
from tornado import web

from primrosesaddle.configuration import replica
from primrosesaddle.core import verdict
from primrosesaddle.membership import membertable
from primrosesaddle.telemetry import audit, metrics

__all__ = ('AdminReads', 'make_application')

_OK = 200
_UNAVAILABLE = 503
MAX_AUDIT_RECORDS = 100

Read = Callable[[], typing.Any]


@dataclasses.dataclass
class AdminReads:
    """What operators can read of a process.

    `list_missing` names what the process still lacks to accept work, `role_status`
    returns the part of the status that depends on the role.
    """

    members: membertable.MemberTable
    config: replica.CatalogueReplica
    metrics: metrics.Metrics
    audit: audit.Chain
    list_missing: Callable[[], list[str]]
    role_status: Callable[[], dict[str, typing.Any]]

    def status(self) -> dict[str, typing.Any]:
        """Return a summary of the state of this process."""
        card = self.members.card
        return {
            'name': card.name,
            'role': card.role,
            'incarnation': card.incarnation,
            'region': card.region,
            'data_centre': card.data_centre,
            'leaving': self.members.leaving,
            'missing': self.list_missing(),
            'config': replica.summarize(self.config),
            **self.role_status(),
        }

    def peers(self) -> list[dict[str, typing.Any]]:
        """Return the known peers, alive or not."""
        alive = {
            peer.card.name
            for role in ('entry', 'agent')
            for peer in self.members.alive_peers(role)
        }
        return [
            {
                'name': peer.card.name,
                'role': peer.card.role,
                'incarnation': peer.card.incarnation,
                'address': peer.card.address,
                'region': peer.card.region,
                'data_centre': peer.card.data_centre,
                'serves': peer.card.serves,
                'alive': peer.card.name in alive,
                'leaving': peer.leaving,
                'live': list(peer.state_labels),
                'rtt_ms': round(peer.rtt_s * 1000, 2),
                'running': peer.load.running,
                'queued': peer.load.queued,
            }
            for peer in self.members.peers.values()
        ]

    def versions(self) -> list[dict[str, typing.Any]]:
        """Return each model and adapter, its version in force, and the agents with it.

        `live` names agents that serve the version, `failed` those that failed to load
        it.
        """
        cat = self.config.current
        rows = []
        for entry in (*cat.entries_of_kind('model'), *cat.entries_of_kind('adapter')):
            pinned = cat.version_of(entry)
            serves = getattr(entry, 'base', entry.name)
            agents = [
                peer
                for peer in self.members.peers.values()
                if peer.card.role == 'agent' and peer.card.serves == serves
            ]
            live = [
                peer.card.name
                for peer in agents
                if peer.versions.get(entry.name) == pinned.manifest
            ]
            failed = f'!{entry.name}={pinned.manifest}'
            rows.append(
                {
                    'name': entry.name,
                    'version': pinned.name,
                    'manifest': pinned.manifest,
                    'agents': len(agents),
                    'live': sorted(live),
                    'failed': sorted(
                        peer.card.name for peer in agents if failed in peer.state_labels
                    ),
                }
            )
        return rows

    def limits(self) -> list[dict[str, typing.Any]]:
        """Return the limits of each catalogue entry in force."""
        return [
            {
                'kind': kind,
                'name': entry.name,
                'owner': entry.owner,
                'class': entry.class_,
                'limits': msgspec.to_builtins(entry.limits),
            }
            for (kind, _), entry in self.config.current.entries.items()
        ]


class _JsonHandler(web.RequestHandler):
    """Answers with the JSON of a function's result."""

    def initialize(self, read: Read) -> None:
        self.read = read

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(self.read()))


class _ReadinessHandler(web.RequestHandler):
    """Answers 200 when the process accepts work, else 503 with what is missing."""

    def initialize(self, admin_reads: AdminReads) -> None:
        self.admin_reads = admin_reads

    def get(self) -> None:
        missing = self.admin_reads.list_missing()
        self.set_status(_UNAVAILABLE if missing else _OK)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode({'ready': not missing, 'missing': missing}))


class _MetricsHandler(web.RequestHandler):
    """Answers with the metrics in the Prometheus text format."""

    def initialize(self, admin_reads: AdminReads) -> None:
        self.admin_reads = admin_reads

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.admin_reads.metrics.to_text())


class _NotFoundHandler(web.RequestHandler):
    """Answers any other path or method with 404."""

    def prepare(self) -> None:
        self.set_status(404)
        self.set_header('Content-Type', 'application/json')
        refusal = verdict.not_run('path_unknown', 404)
        self.finish(
            msgspec.json.encode(
                {
                    'verdict': refusal.verdict.value,
                    'reason': refusal.reason,
                }
            )
        )


def make_application(admin_reads: AdminReads) -> web.Application:
    """Return the operators' HTTP application."""
    reads: dict[str, Read] = {
        'healthz': lambda: {'alive': True},
        'admin/v1/status': admin_reads.status,
        'admin/v1/peers': admin_reads.peers,
        'admin/v1/versions': admin_reads.versions,
        'admin/v1/limits': admin_reads.limits,
        'admin/v1/audit': lambda: list(admin_reads.audit.recent)[-MAX_AUDIT_RECORDS:],
    }
    return web.Application(
        [
            *(
                (f'/{path}', _JsonHandler, {'read': read})
                for path, read in reads.items()
            ),
            (r'/readyz', _ReadinessHandler, {'admin_reads': admin_reads}),
            (r'/metrics', _MetricsHandler, {'admin_reads': admin_reads}),
        ],
        default_handler_class=_NotFoundHandler,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Log nothing, instead of tornado's access log."""
