"""Request intake: authenticates and admits requests, and has their calls forwarded."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from primrosesaddle.calls import attempts, draining, forwarding, request, routes
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview
from primrosesaddle.telemetry import journal

__all__ = ('Allowance', 'IncomingRequest', 'RequestIntake', 'refuse_size')

NOT_READY_RETRY_S = 1.0  # a new process has a configuration within a second
# A caller that states a time limit shorter than the longest by more than this share
# is retrying: the time limits of first attempts differ by up to a sixth.
MIN_RETRY_SHARE = 0.25
# After this many calls of a route, the longest time limit among them is taken as the
# limit of first attempts; before that, the route's own limit is used as well.
MIN_CALLS_OBSERVED = 20
MAX_ROUTES = 4096  # routes whose time limits are remembered
STATUS_UNKNOWN_KEY = 401
STATUS_UNKNOWN_ROUTE = 404
STATUS_MALFORMED = 400
STATUS_TOO_LARGE = 413


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it was read.

    `key` is the bearer key. `arrived_at` is in seconds of the event loop's clock.
    `deadline_s` is the time limit that the caller states, None for none.
    `prompt_tokens` and `answer_tokens` are 0 when they are not stated, and
    `resume_from` is the id of the last event that the caller has, 0 for none. `parts`
    holds the ids of the parts of its prompt that other requests may share.
    """

    call_id: str
    method: str
    target: str
    host: str
    key: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    arrived_at: float
    deadline_s: float | None
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_from: int = 0
    parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a caller may send after the head of a request.

    The body may have `body_bytes`, and has to be complete at `deadline_at`, in seconds
    of the event loop's clock: later the call could not be served in any case.
    """

    body_bytes: int
    deadline_at: float


@dataclasses.dataclass(slots=True)
class _StatedLimits:
    """The time limits that callers of a route have stated."""

    calls: int = 0
    longest_s: float = 0.0


class RequestIntake:
    """Admits requests that the configuration allows, and refuses all others."""

    def __init__(
        self,
        published: fleetview.View,
        forwarder: forwarding.Forwarder,
        drain: draining.Drain | None = None,
    ) -> None:
        """Decide by the configuration in a view, and serve calls by a forwarder.

        A process without a `drain` never leaves.
        """
        self._view = published
        self._forwarder = forwarder
        self._stated_limits: dict[str, _StatedLimits] = {}
        self.on_refused: Callable[[verdict.Refusal], None] = lambda refusal: None
        self._drain = drain or draining.Drain(asyncio.get_running_loop().time)

    @property
    def leaving(self) -> bool:
        """Return whether this process is leaving."""
        return self._drain.leaving

    @property
    def in_flight(self) -> int:
        """Return the number of calls without a final answer."""
        return self._forwarder.in_flight

    async def serve(self, incoming: IncomingRequest, sink: attempts.AnswerSink) -> None:
        """Serve a request until its final answer is given."""
        try:
            call = self._admit(incoming)
        except verdict.Refusal as exc:
            self.log_refusal(incoming.call_id, exc)
            sink.refuse(exc)
            return
        await self._forwarder.serve(call, sink)

    @property
    def max_header_bytes(self) -> float:
        """The limit of the configuration in force for the headers of a request."""
        conf = self._view.configuration
        return math.inf if conf is None else conf.limits.header_bytes

    def check_head(self, incoming: IncomingRequest) -> Allowance:
        """Return what may follow the head of a request; its body is not read yet.

        Raises `verdict.Refusal`, which is logged, if the head tells that the request is
        refused.
        """
        try:
            conf, route, _ = self._find_route(incoming)
        except verdict.Refusal as exc:
            self.log_refusal(incoming.call_id, exc)
            raise
        limit_s = _compute_limit_s(incoming, route)
        return Allowance(conf.limits.body_bytes, incoming.arrived_at + limit_s)

    def log_refusal(self, call_id: str, refusal: verdict.Refusal) -> None:
        """Log that a request was refused before it became a call."""
        journal.info(
            'call.refused',
            id=call_id,
            status=refusal.status,
            reason=refusal.reason,
            configuration=self._configuration_version,
        )
        self.on_refused(refusal)

    @property
    def _configuration_version(self) -> int:
        conf = self._view.configuration
        return 0 if conf is None else conf.version

    def _admit(self, incoming: IncomingRequest) -> request.Call:
        """Return the call of a request; raise `verdict.Refusal` if it is refused."""
        conf, route, workspace = self._find_route(incoming)
        if len(incoming.body) > conf.limits.body_bytes:
            raise refuse_size(len(incoming.body), conf.limits.body_bytes)
        call = _make_call(incoming, conf, route, workspace)
        self._drain.check_admitted(call)
        call.spent_s = self._spent_s(route, incoming.deadline_s)
        return call

    def _find_route(
        self, incoming: IncomingRequest
    ) -> tuple[routes.Configuration, routes.Route, routes.Workspace | None]:
        """Return the configuration in force, and a request's route and workspace.

        Raises `verdict.Refusal` if the request is refused.
        """
        conf = self._view.configuration
        if conf is None:
            raise verdict.not_run('no_configuration', 503, NOT_READY_RETRY_S)
        path = incoming.target.partition('?')[0]
        host = incoming.host.rpartition(':')[0] or incoming.host
        route = conf.find_route(host.lower(), path)
        if route is None:
            raise verdict.not_run(f'no_route: {host}{path}', STATUS_UNKNOWN_ROUTE)
        if not incoming.call_id:
            raise verdict.not_run('no_request_id', STATUS_MALFORMED)
        return conf, route, self._find_workspace(conf, route, incoming.key)

    def _spent_s(self, route: routes.Route, deadline_s: float | None) -> float:
        """Return the seconds that a caller spent before this attempt.

        All callers of a route start with about the same time limit; one that states
        a much shorter limit has made earlier attempts.
        """
        if deadline_s is None:
            return 0.0
        stated = self._stated_limits.setdefault(route.name, _StatedLimits())
        stated.calls += 1
        stated.longest_s = max(deadline_s, stated.longest_s)
        if len(self._stated_limits) > MAX_ROUTES:
            self._stated_limits.pop(next(iter(self._stated_limits)))
        longest_s = stated.longest_s
        if stated.calls < MIN_CALLS_OBSERVED:
            longest_s = max(longest_s, route.timeout_s)
        spent_s = longest_s - deadline_s
        return spent_s if spent_s > MIN_RETRY_SHARE * longest_s else 0.0

    def _find_workspace(
        self, conf: routes.Configuration, route: routes.Route, key: str
    ) -> routes.Workspace | None:
        """Return the workspace of a key, None where none is needed.

        Raises `verdict.Refusal` when the key is unknown and the route not public.
        """
        if not conf.has_workspaces:
            return None
        workspace = conf.find_workspace(key) if key else None
        if workspace is None and not route.public:
            raise verdict.not_run('unknown_key', STATUS_UNKNOWN_KEY)
        return workspace


def refuse_size(size_bytes: int, limit_bytes: int) -> verdict.Refusal:
    """Return the refusal of a request whose body is larger than the limit."""
    reason = f'body_too_large: {size_bytes} limit={limit_bytes}'
    return verdict.not_run(reason, STATUS_TOO_LARGE)


def _compute_limit_s(incoming: IncomingRequest, route: routes.Route) -> float:
    """Return the time limit of a request in seconds."""
    if incoming.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, incoming.deadline_s)


def _make_call(
    incoming: IncomingRequest,
    conf: routes.Configuration,
    route: routes.Route,
    workspace: routes.Workspace | None,
) -> request.Call:
    limit_s = _compute_limit_s(incoming, route)
    return request.Call(
        call_id=incoming.call_id,
        method=incoming.method,
        target=incoming.target,
        headers=incoming.headers,
        body=incoming.body,
        route=route,
        workspace='' if workspace is None else workspace.name,
        rank=routes.compute_rank(route, workspace),
        arrived_at=incoming.arrived_at,
        deadline_at=incoming.arrived_at + limit_s,
        configuration=conf.version,
        model=incoming.model,
        cost=request.TokenCost(incoming.prompt_tokens, incoming.answer_tokens),
        resume_from=incoming.resume_from,
        parts=incoming.parts,
        homes=routes.compute_homes(route, workspace),
        homes_source=conf,
    )
