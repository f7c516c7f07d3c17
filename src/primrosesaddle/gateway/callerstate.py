"""What the callers' handlers share: who calls, what is held, what was refused."""

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
    """What the handlers work with."""

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
    named_at: float = 0
    in_flight_by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    flood_refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def record_flood_refusals(self) -> None:
        """Record the early refusals since the last time, one record a workspace."""
        for name, count in self.flood_refusals.items():
            reason = FLOOD_REFUSAL.reason
            said = FLOOD_REFUSAL.verdict.value
            self.metrics.count('refused', count, reason=reason, verdict=said)
            self.audit.record(
                'refused',
                workspace=name,
                verdict=said,
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
        found = self.config.current.workspaces_by_token_sha256.get(digest)
        if found is None or not hmac.compare_digest(found.token_sha256, digest):
            raise verdict.not_run('token_unknown', 401)
        return found

    def is_flooded(self, sent: httputil.HTTPHeaders) -> bool:
        """Tell whether a request is one of a workspace in flood, and count it."""
        try:
            space = self.authenticate(sent.get('Authorization', ''))
        except verdict.Refusal:
            return False
        flooded = self.limiter.is_flooded(space.name, time.monotonic())
        if flooded:
            self.flood_refusals[space.name] += 1
        return flooded

    def entries_for(self, workspace: str) -> list[str]:
        """Return the callers' addresses of the entries, a workspace's own first."""
        cards = {
            peer.card.name: peer.card.callers
            for peer in self.members.alive_peers('entry')
            if not peer.leaving and peer.card.callers
        }
        mine = self.members.card
        if not self.members.leaving:
            cards[mine.name] = mine.callers
        chosen = rendezvous.order(workspace, cards)[: limits.ENTRIES_PER_WORKSPACE]
        return [cards[name] for name in chosen]


def refusal_body(exc: verdict.Refusal, call_id: str = '') -> bytes:
    """Return the JSON of a refusal."""
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
