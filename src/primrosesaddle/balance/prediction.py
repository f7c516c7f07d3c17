"""Prediction: what a call costs at an engine, for itself and for those that run there.

The load that this is for: engines that read prompts between the events of the streams
that they write. A long prompt, or a few short ones, delays each of these streams, the
more the slower the machine is at that moment.
"""

import typing

__all__ = ('EngineWork', 'estimate_harm_s', 'predict_first_byte_s')

# Part of the objective for pauses from which a pass of an engine is taken for a risk:
# more prompts arrive before it begins.
RISK_SHARE = 0.5


class EngineWork(typing.Protocol):
    """What an engine needs for its work at a pace of 1; see `routes.EngineProfile`."""

    @property
    def slots(self) -> int:
        """Return the number of calls that run at once."""

    @property
    def event_s(self) -> float:
        """Return the seconds between events of a stream on a full engine."""

    @property
    def read_tokens_per_s(self) -> float:
        """Return the rate at which prompts are read."""


def predict_first_byte_s(
    work: EngineWork, pace: float, running: float, unread_tokens: float
) -> float:
    """Return the predicted seconds from sending a call to its first byte.

    That is how long one pass of the engine takes: an event of each running stream,
    and the prompts, that of the call included, which have not been read.
    """
    pass_s = work.event_s * min(1.0, running / work.slots)
    return pace * (unread_tokens / work.read_tokens_per_s + pass_s)


def estimate_harm_s(pass_s: float, running: float, pause_s: float) -> float:
    """Return the expected delay, beyond their objective, of the calls at an engine.

    A pass that takes `pass_s` is a pause of all streams that run there. `pause_s` is
    the objective for pauses, 0 for none.
    """
    safe_s = RISK_SHARE * pause_s
    if not pause_s or pass_s <= safe_s:
        return 0.0
    probability = min(1.0, (pass_s - safe_s) / (pause_s - safe_s))
    return probability * pause_s * (1 + running)
