"""The doorway: judges a request by the configuration, and has it relayed."""

import dataclasses
import math

from primrosesaddle.calls import attempts, forwarding, request, routes
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview
from primrosesaddle.telemetry import journal

__all__ = ('IncomingRequest', 'RequestIntake')

LEAVING_RETRY_S = 0.1  # another entry takes the call at once
NOT_READY_RETRY_S = 1.0  # a fresh process has a configuration within a second
# Time limits of first attempts differ by up to a sixth of the longest.
RETRY_SHARE = 0.25
# Calls of a route after which the longest time limit among them is taken for that of
# first attempts; before, the route's own limit is.
MIN_CALLS_OBSERVED = 20
MAX_ROUTES = 4096  # whose time limits are remembered
STATUS_UNKNOWN_KEY = 401
STATUS_UNKNOWN_ROUTE = 404
STATUS_MALFORMED = 400


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it was read; `deadline_s` is None when none was stated."""

    call_id: str
    method: str
    target: str
    host: str
    key: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float
    deadline_s: float | None
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_from: int = 0


@dataclasses.dataclass(slots=True)
class _Seen:
    """The time limits that callers of a route stated."""

    calls: int = 0
    longest_s: float = 0.0


class RequestIntake:
    """Let calls in that the configuration allows; refuse the others."""

    def __init__(self, seen: fleetview.View, relay_calls: forwarding.Forwarder) -> None:
        """Judge by a view, and serve by a relay."""
        self._view = seen
        self._relay = relay_calls
        self._seen: dict[str, _Seen] = {}
        self.leaving = False
        self._gone_from = math.inf
        self._ends_at = math.inf

    def start_draining(self, gone_from: float, ends_at: float) -> None:
        """Serve on until a time, as this process leaves.

        From `gone_from` on, when callers should be gone, a call is taken only if it
        ends before `ends_at` at the latest.
        """
        self.leaving = True
        self._gone_from = gone_from
        self._ends_at = ends_at

    @property
    def in_flight(self) -> int:
        """Return the calls without a final answer."""
        return self._relay.in_flight

    async def serve(self, asked: IncomingRequest, sink: attempts.AnswerSink) -> None:
        """Serve a request until its final answer is given."""
        try:
            call = self._admit(asked)
        except verdict.Refusal as exc:
            journal.info(
                'call.refused',
                id=asked.call_id,
                status=exc.status,
                reason=exc.reason,
                configuration=self._version,
            )
            sink.refuse(exc)
            return
        await self._relay.serve(call, sink)

    @property
    def _version(self) -> int:
        conf = self._view.configuration
        return 0 if conf is None else conf.version

    def _admit(self, asked: IncomingRequest) -> request.Call:
        conf = self._view.configuration
        if conf is None:
            raise verdict.not_run('no_configuration', 503, NOT_READY_RETRY_S)
        path = asked.target.partition('?')[0]
        host = asked.host.rpartition(':')[0] or asked.host
        route = conf.find_route(host.lower(), path)
        if route is None:
            raise verdict.not_run(f'no_route: {host}{path}', STATUS_UNKNOWN_ROUTE)
        if not asked.call_id:
            raise verdict.not_run('no_request_id', STATUS_MALFORMED)
        workspace = self._workspace(conf, route, asked.key)
        call = _make_call(asked, conf, route, workspace)
        if asked.arrived_at >= self._gone_from and call.deadline_at > self._ends_at:
            raise verdict.not_run('leaving', 503, LEAVING_RETRY_S)
        call.spent_s = self._spent_s(route, asked.deadline_s)
        return call

    def _spent_s(self, route: routes.Route, deadline_s: float | None) -> float:
        """Return what a caller spent before this attempt.

        Callers of a route start with one time limit; an attempt that states less
        of it is a later one.
        """
        if deadline_s is None:
            return 0.0
        seen = self._seen.setdefault(route.name, _Seen())
        seen.calls += 1
        seen.longest_s = max(deadline_s, seen.longest_s)
        if len(self._seen) > MAX_ROUTES:
            self._seen.pop(next(iter(self._seen)))
        longest_s = seen.longest_s
        if seen.calls < MIN_CALLS_OBSERVED:
            longest_s = max(longest_s, route.timeout_s)
        spent_s = longest_s - deadline_s
        return spent_s if spent_s > RETRY_SHARE * longest_s else 0.0

    def _workspace(
        self, conf: routes.Configuration, route: routes.Route, key: str
    ) -> routes.Workspace | None:
        if not conf.has_workspaces:
            return None
        found = conf.find_workspace(key) if key else None
        if found is None and not route.public:
            raise verdict.not_run('unknown_key', STATUS_UNKNOWN_KEY)
        return found


def _make_call(
    asked: IncomingRequest,
    conf: routes.Configuration,
    route: routes.Route,
    workspace: routes.Workspace | None,
) -> request.Call:
    limit_s = route.timeout_s
    if asked.deadline_s is not None:
        limit_s = min(limit_s, asked.deadline_s)
    return request.Call(
        call_id=asked.call_id,
        method=asked.method,
        target=asked.target,
        headers=asked.headers,
        body=asked.body,
        route=route,
        workspace='' if workspace is None else workspace.name,
        rank=routes.compute_rank(route, workspace),
        arrived_at=asked.arrived_at,
        deadline_at=asked.arrived_at + limit_s,
        configuration=conf.version,
        model=asked.model,
        cost=request.TokenCost(asked.prompt_tokens, asked.answer_tokens),
        resume_from=asked.resume_from,
    )
