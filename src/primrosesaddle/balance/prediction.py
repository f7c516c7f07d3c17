"""Prediction: what a call costs at an engine, for itself and for those that run there.

The load that this is for: engines that read prompts between the events of the streams
that they write. A long prompt, or a few short ones, delays each of these streams, the
more the slower the machine is at that moment.
"""

import typing

__all__ = ('EngineWork', 'estimate_harm_s', 'predict_first_byte_s')

# Part of an objective from which a predicted time is taken for a risk: the pass that is
# under way and the prompts that arrive meanwhile are not in the prediction.
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


def estimate_harm_s(
    pass_s: float, running: float, pause_s: float, objective_s: float
) -> float:
    """Return the expected delay of calls at an engine beyond their objectives.

    A pass that takes `pass_s` is a pause of all streams that run there, for which the
    objective is `pause_s`, 0 for none; the call that is sent gets its first byte after
    it, for which the objective is `objective_s`.
    """
    late_calls = _estimate_risk(pass_s, objective_s)
    if pause_s:
        late_calls += running * _estimate_risk(pass_s, pause_s)
    return late_calls * (pause_s or objective_s)


def _estimate_risk(expected_s: float, limit_s: float) -> float:
    """Return the probability, from 0 to 1, that something takes longer than a limit."""
    safe_s = RISK_SHARE * limit_s
    if expected_s <= safe_s:
        return 0.0
    return min(1.0, (expected_s - safe_s) / (limit_s - safe_s))
