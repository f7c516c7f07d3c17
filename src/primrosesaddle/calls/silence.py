"""Timeouts: how long an attempt may be silent before another one is made beside it."""

from primrosesaddle.calls import attempts, routes

__all__ = ('get_silence_limit_s',)

# A stream without an event for this long is tried elsewhere as well; callers give up
# after two seconds.
STREAM_SILENCE_LIMIT_S = 1.1
FIRST_EVENT_LIMIT_S = 1.5  # before the first event, when a prompt may wait to be read
IDEMPOTENT_MULTIPLE = 2.0  # objectives until an idempotent call is tried again


def get_silence_limit_s(attempt: attempts.Attempt) -> float:
    """Return the seconds for which an attempt may be silent."""
    call = attempt.call
    if call.route.kind is not routes.RouteKind.STREAM:
        return IDEMPOTENT_MULTIPLE * call.route.objective_s
    if call.answer_started:
        return STREAM_SILENCE_LIMIT_S
    return FIRST_EVENT_LIMIT_S + attempt.choice.predicted_s
