"""Patience: how long an attempt may be silent before it is made elsewhere."""

from primrosesaddle.calls import attempts, routes

__all__ = ('of',)

# A stream without an event for this long goes on elsewhere; callers give up after
# two seconds.
STALL_S = 1.1
STALL_FIRST_S = 1.5  # before the first event, when a prompt may wait to be read
IDEMPOTENT_PATIENCE = 2.0  # objectives until an idempotent call is tried elsewhere


def of(attempt: attempts.Attempt) -> float:
    """Return the seconds for which an attempt may be silent."""
    call = attempt.call
    if call.route.kind is not routes.Kind.STREAM:
        return IDEMPOTENT_PATIENCE * call.route.objective_s
    if call.answering:
        return STALL_S
    return STALL_FIRST_S + attempt.choice.predicted_s
