"""Asking: of which servers an entry asks the load before it sends a call.

The load that this is for: many entries that each send a few calls a second to servers
which change within as short a time. On figures that are a few tenths of a second old
all entries send to the servers that were idle then. Two or three servers that are drawn
at random and say what their load is at this moment spread the calls evenly.
"""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ('Answer', 'Candidate', 'draw_farther', 'draw_nearest', 'is_worth_more')

ASKED_AT_ONCE = 3  # a fourth answer improves the best one by little
# Part of the objective that the first byte may be predicted to take before servers
# farther away are asked as well: the prediction lacks the pass of the engine that is
# under way, and the prompts that arrive meanwhile.
CALM_SHARE = 0.35
ANSWER_VALID_S = 0.1  # an answer is used for this long, as while a call waits


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A server's load as its agent stated it at a time of the local clock."""

    calls: int
    unread_tokens: int
    pace: float
    received_at: float

    def is_valid(self, now: float) -> bool:
        """Return whether the answer still tells the server's load."""
        return now - self.received_at < ANSWER_VALID_S


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could be asked, and how far away it is in seconds."""

    server_id: str
    distance_s: float


def draw_nearest(
    candidates: Sequence[Candidate], rand: random.Random
) -> list[Candidate]:
    """Return servers to ask first, drawn from the nearest ones.

    Where fewer than two are as near, the next ones are drawn as well: one answer alone
    leaves no choice.
    """
    drawn: list[Candidate] = []
    for distance_s in sorted({candidate.distance_s for candidate in candidates}):
        group = [each for each in candidates if each.distance_s == distance_s]
        room = ASKED_AT_ONCE - len(drawn)
        drawn += rand.sample(group, min(room, len(group)))
        if len(drawn) > 1:
            break
    return drawn


def draw_farther(
    candidates: Sequence[Candidate], asked: Sequence[Candidate], rand: random.Random
) -> list[Candidate]:
    """Return servers to ask after others have answered that they are busy."""
    rest = [candidate for candidate in candidates if candidate not in asked]
    return rand.sample(rest, min(ASKED_AT_ONCE, len(rest)))


def is_worth_more(best_cost_s: float | None, objective_s: float) -> bool:
    """Return whether servers farther away are asked.

    `best_cost_s` is the cost of the call at the best server that answered, None if none
    has answered or has room.
    """
    return best_cost_s is None or best_cost_s > CALM_SHARE * objective_s
