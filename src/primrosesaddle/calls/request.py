"""One call of a caller, as it passes through an entry."""

import dataclasses

from primrosesaddle.calls import routes
from primrosesaddle.core import verdict

__all__ = ('Call', 'TokenCost')

LEAST_LEFT_S = 0.05  # a send with less time left is of no use

Pairs = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCost:
    """What a generation takes: tokens to read and, at most, to write."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Call:
    """One call; times are of the event loop's clock, in seconds.

    `final_at` is when the caller gets its final answer at the latest; `spent_s` is
    what the caller had spent on earlier attempts. `version` is that of the model at
    the server chosen last, `required` the least that was allowed then.
    """

    call_id: str
    method: str
    target: str
    headers: Pairs
    body: bytes
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
    placement_summary: str = ''
    version: int = 0
    required: int = 0
    answer_started: bool = False

    @property
    def objective_at(self) -> float:
        """Return when the objective for the first byte runs out."""
        return self.arrived_at - self.spent_s + self.route.objective_s

    @property
    def is_late_retry(self) -> bool:
        """Tell whether the caller came back when it could be no more on time."""
        return self.spent_s > self.route.objective_s and not self.answer_started

    def can_send_again(self, now: float) -> bool:
        """Tell whether the call has an attempt and time left for another send."""
        is_left = self.deadline_at - now > LEAST_LEFT_S
        return is_left and len(self.tried) < self.route.max_attempts

    def note(self, found: verdict.Verdict) -> None:
        """Keep the worst verdict of all attempts."""
        if self.worst_verdict is verdict.Verdict.NOT_RUN:
            self.worst_verdict = found
