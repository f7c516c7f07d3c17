"""Refusals and failures that an entry answers itself, each with a verdict."""

from primrosesaddle.calls import crashes, request, routes
from primrosesaddle.core import verdict

__all__ = (
    'refuse_blocked_call',
    'refuse_exhausted_call',
    'refuse_expired_call',
    'refuse_unanswered_call',
    'refuse_unserved_route',
)

RETRY_AFTER_S = 0.5  # stated when no known server can take a call
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


def refuse_unserved_route(route: routes.Route) -> verdict.Refusal:
    """Return the refusal of a call whose route has no server."""
    names = [name for name, _ in route.targets]
    return verdict.not_run(f'no_server: {names}', STATUS_UNAVAILABLE, RETRY_AFTER_S)


def refuse_blocked_call(block: crashes.Block) -> verdict.Refusal:
    """Return the refusal of a call with a part that crashes servers."""
    reason = f'part_crashes_servers: part={block.part} crashes={block.crash_count}'
    return verdict.not_run(
        reason, STATUS_UNAVAILABLE, max(RETRY_AFTER_S, block.retry_in_s)
    )


def refuse_unanswered_call(reason: str) -> verdict.Refusal:
    """Return the failure of a call that a server may have run without answering."""
    return verdict.may_have_run(reason, STATUS_BAD_GATEWAY)


def refuse_exhausted_call(call: request.Call) -> verdict.Refusal:
    """Return the final answer to a call that is not sent to any further server."""
    if call.worst_verdict is verdict.Verdict.NOT_RUN:
        return verdict.not_run(
            f'refused_by: {call.refused_by}', STATUS_UNAVAILABLE, RETRY_AFTER_S
        )
    return refuse_unanswered_call('no_answer')


def refuse_expired_call(call: request.Call) -> verdict.Refusal:
    """Return the final answer to a call whose time limit has passed."""
    if call.worst_verdict is verdict.Verdict.NOT_RUN and not call.tried:
        return verdict.not_run('time_limit', STATUS_UNAVAILABLE, RETRY_AFTER_S)
    return verdict.may_have_run('time_limit', STATUS_TIMEOUT)
