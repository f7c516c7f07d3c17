"""The call: an admitted request of a caller, from arrival to final answer."""

import dataclasses

from primrosesaddle.balance import asking
from primrosesaddle.calls import routes
from primrosesaddle.core import verdict

__all__ = ('Call', 'TokenCost')

MIN_REMAINING_S = 0.05  # with less time remaining another attempt cannot succeed

Pairs = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCost:
    """The tokens of a generation: those of the prompt, and the most it may write."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Call:
    """One call; times are in seconds of the event loop's clock.

    `deadline_at` is when the caller gets a final answer at the latest. `resume_from`
    is the id of the last event that the caller has, 0 for none. `spent_s` is the time
    that the caller had spent on earlier attempts when it sent this request.
    `tried` and `refused_by` list the ids of servers. `version` is the version of the
    model at the server chosen last, `required_version` the lowest one that was
    allowed then. `answer_started` is set once a part of a stream has been sent to
    the caller, `stream_type` is the media type that was stated with it. `is_answered`
    is set once an answer of a server has been sent as a whole. `parts` holds the ids
    of the parts of its prompt that other calls may share. `is_trial` is set when it is
    to show whether one of them still crashes servers, `was_cut_off` when a server that
    may have run it closed the connection. `homes` lists the regions in which it may be
    served and stored, None for all, `homes_source` is the configuration by which they
    were last brought up to date. `answers`
    holds what agents said of their servers' load when they were asked for this call,
    by the ids of the servers. `longest_pause_s` is the longest time between events of
    its stream.
    """

    call_id: str
    method: str
    target: str
    headers: Pairs
    body: bytes | bytearray
    route: routes.Route
    workspace: str
    rank: int
    arrived_at: float
    deadline_at: float
    configuration: int
    model: str = ''
    cost: TokenCost = TokenCost()
    resume_from: int = 0
    spent_s: float = 0.0
    tried: list[str] = dataclasses.field(default_factory=list)
    refused_by: list[str] = dataclasses.field(default_factory=list)
    worst_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    queued_s: float = 0.0
    first_event_s: float = 0.0
    longest_pause_s: float = 0.0
    placement_summary: str = ''
    version: int = 0
    required_version: int = 0
    answer_started: bool = False
    stream_type: str = ''
    is_answered: bool = False
    parts: tuple[str, ...] = ()
    is_trial: bool = False
    was_cut_off: bool = False
    homes: frozenset[str] | None = None
    homes_source: routes.Configuration | None = None
    answers: dict[str, asking.Answer] = dataclasses.field(default_factory=dict)

    @property
    def objective_at(self) -> float:
        """Return when the first byte is due by the route's objective."""
        return self.arrived_at - self.spent_s + self.route.objective_s

    @property
    def is_late_retry(self) -> bool:
        """Return whether this is a caller's retry that is too late for the objective.

        A call whose answer has started does not count as one.
        """
        return self.spent_s > self.route.objective_s and not self.answer_started

    def can_send_again(self, now: float) -> bool:
        """Return whether attempts and time remain for sending the call once more."""
        has_time = self.deadline_at - now > MIN_REMAINING_S
        return has_time and len(self.tried) < self.route.max_attempts

    def record_verdict(self, attempt_verdict: verdict.Verdict) -> None:
        """Keep the first verdict of an attempt that is not `NOT_RUN`."""
        if self.worst_verdict is verdict.Verdict.NOT_RUN:
            self.worst_verdict = attempt_verdict
