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
RECENT_AUDIT = 100

Read = Callable[[], typing.Any]


@dataclasses.dataclass
class AdminReads:
    """What operators can read; `ready` returns what is still missing."""

    members: membertable.MemberTable
    config: replica.CatalogueReplica
    metrics: metrics.Metrics
    audit: audit.Chain
    list_missing: Callable[[], list[str]]
    role_status: Callable[[], dict[str, typing.Any]]

    def status(self) -> dict[str, typing.Any]:
        """Return the state of this process in short."""
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
        """Return the peers known."""
        fresh = {
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
                'alive': peer.card.name in fresh,
                'leaving': peer.leaving,
                'live': list(peer.state_labels),
                'rtt_ms': round(peer.rtt_s * 1000, 2),
                'running': peer.load.running,
                'queued': peer.load.queued,
            }
            for peer in self.members.peers.values()
        ]

    def versions(self) -> list[dict[str, typing.Any]]:
        """Return every model and adapter, the version in force, and who has it."""
        cat = self.config.current
        found = []
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
            found.append(
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
        return found

    def limits(self) -> list[dict[str, typing.Any]]:
        """Return the limits in force."""
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


class _Json(web.RequestHandler):
    """Answer a read with JSON."""

    def initialize(self, read: Read) -> None:
        self.read = read

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(self.read()))


class _Ready(web.RequestHandler):
    """Tell whether the process takes work."""

    def initialize(self, panel: AdminReads) -> None:
        self.panel = panel

    def get(self) -> None:
        missing = self.panel.list_missing()
        self.set_status(_UNAVAILABLE if missing else _OK)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode({'ready': not missing, 'missing': missing}))


class _Metrics(web.RequestHandler):
    """Answer a scrape."""

    def initialize(self, panel: AdminReads) -> None:
        self.panel = panel

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.panel.metrics.to_text())


class _Missing(web.RequestHandler):
    """Any other path or method."""

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


def make_application(panel: AdminReads) -> web.Application:
    """Return the operators' HTTP application."""
    reads: dict[str, Read] = {
        'healthz': lambda: {'alive': True},
        'admin/v1/status': panel.status,
        'admin/v1/peers': panel.peers,
        'admin/v1/versions': panel.versions,
        'admin/v1/limits': panel.limits,
        'admin/v1/audit': lambda: list(panel.audit.recent)[-RECENT_AUDIT:],
    }
    return web.Application(
        [
            *((f'/{path}', _Json, {'read': read}) for path, read in reads.items()),
            (r'/readyz', _Ready, {'panel': panel}),
            (r'/metrics', _Metrics, {'panel': panel}),
        ],
        default_handler_class=_Missing,
        log_function=_log_nothing,
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Leave out tornado's own access log."""
