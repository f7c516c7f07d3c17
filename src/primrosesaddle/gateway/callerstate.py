"""State that the HTTP handlers of an entry share: workspaces, calls, refusals."""

import collections
import dataclasses
import hashlib
import hmac
import random
import time
import typing

import msgspec
from tornado import httputil

from primrosesaddle import settings
from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import rendezvous, verdict
from primrosesaddle.gateway import dispatch, limits
from primrosesaddle.membership import membertable
from primrosesaddle.telemetry import audit, metrics, traces

__all__ = ('FLOOD_REFUSAL', 'CallerContext', 'refusal_body')

FLOOD_REFUSAL: typing.Final = verdict.not_run(
    'workspace_rate_limit',
    429,
    limits.MAX_DELAY_S,
)


@dataclasses.dataclass
class CallerContext:
    """Services and counters that the HTTP handlers of an entry use.

    `in_flight` counts the calls under way, `in_flight_by_workspace` those of each
    workspace, `flood_refusals` the refusals that are not yet recorded.
    """

    cfg: settings.Settings
    members: membertable.MemberTable
    config: replica.CatalogueReplica
    dispatcher: dispatch.CallDispatcher
    limiter: limits.WorkspaceLimiter
    metrics: metrics.Metrics
    audit: audit.Chain
    tracer: traces.Tracer
    rand: random.Random
    in_flight: int = 0
    entries_served_at: float = 0
    in_flight_by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    flood_refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def record_flood_refusals(self) -> None:
        """Record the refusals of floods since the last call, one record a workspace."""
        for name, count in self.flood_refusals.items():
            reason = FLOOD_REFUSAL.reason
            verdict_name = FLOOD_REFUSAL.verdict.value
            self.metrics.count('refused', count, reason=reason, verdict=verdict_name)
            self.audit.record(
                'refused',
                workspace=name,
                verdict=verdict_name,
                reason=reason,
                count=count,
                status=FLOOD_REFUSAL.status,
                revision=self.config.revision,
            )
        self.flood_refusals.clear()

    def authenticate(self, header: str) -> catalogue.Workspace:
        """Return the workspace of a bearer token.

        Raises `Refusal` when the token is missing or unknown.
        """
        scheme, _, token = header.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise verdict.not_run('token_missing', 401)
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        workspace = self.config.current.workspaces_by_token_sha256.get(digest)
        if workspace is None or not hmac.compare_digest(workspace.token_sha256, digest):
            raise verdict.not_run('token_unknown', 401)
        return workspace

    def is_flooded(self, request_headers: httputil.HTTPHeaders) -> bool:
        """Tell whether a request's workspace is over its rate; count the refusal."""
        try:
            workspace = self.authenticate(request_headers.get('Authorization', ''))
        except verdict.Refusal:
            return False
        flooded = self.limiter.is_flooded(workspace.name, time.monotonic())
        if flooded:
            self.flood_refusals[workspace.name] += 1
        return flooded

    def entries_for(self, workspace: str) -> list[str]:
        """Return the addresses of the entries that share a workspace's limit.

        They are the addresses for callers, in the order of preference.
        """
        addresses = {
            peer.card.name: peer.card.callers
            for peer in self.members.alive_peers('entry')
            if not peer.leaving and peer.card.callers
        }
        own_card = self.members.card
        if not self.members.leaving:
            addresses[own_card.name] = own_card.callers
        names = rendezvous.order(workspace, addresses)[: limits.ENTRIES_PER_WORKSPACE]
        return [addresses[name] for name in names]


def refusal_body(exc: verdict.Refusal, call_id: str = '') -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        {
            'verdict': exc.verdict.value,
            'reason': exc.reason,
            'call_id': call_id,
            'error': {
                'message': exc.reason,
                'type': exc.verdict.value,
                'code': exc.status,
            },
        }
    )
