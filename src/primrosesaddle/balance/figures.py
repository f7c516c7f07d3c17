"""Load figures: what was heard of a server's load, and its worth at its age."""

import dataclasses
import math

__all__ = ('Figures',)

# Agents report the pace at most this far apart; until then a pace holds as it is.
PACE_HOLD_S = 0.35
# The speed of a shared machine changes several times a second, so that an older pace
# soon says nothing.
PACE_DECAY_S = 0.5
MIN_PACE = 0.1  # a pace out of these bounds is taken for the bound
MAX_PACE = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The load of a server as it was heard of.

    `others` is the number of calls of other entries that ran or waited there at
    `read_at`, `pace` how many times longer than usual work took at `pace_at`, both in
    seconds of the local clock. `states_pace` is whether the server itself has stated a
    pace with an answer, which servers do that share their machines with others.
    """

    others: int = 0
    read_at: float = 0.0
    pace: float = 1.0
    pace_at: float = 0.0
    states_pace: bool = False

    def with_others(self, others: int, read_at: float) -> 'Figures':
        """Return the figures with a number of calls, unless they hold a later one."""
        if read_at < self.read_at:
            return self
        return dataclasses.replace(self, others=others, read_at=read_at)

    def with_pace(self, pace: float, pace_at: float) -> 'Figures':
        """Return the figures with a pace, unless they hold a later one."""
        if pace_at < self.pace_at:
            return self
        return dataclasses.replace(self, pace=_limit_pace(pace), pace_at=pace_at)

    def with_stated_pace(self, pace: float, pace_at: float) -> 'Figures':
        """Return the figures with a pace that the server stated with an answer."""
        return dataclasses.replace(self.with_pace(pace, pace_at), states_pace=True)

    def estimate_pace(self, now: float) -> float:
        """Return the expected pace, which tends to 1 with the age of the figure."""
        age_s = now - self.pace_at
        trust = math.exp(-max(0.0, age_s - PACE_HOLD_S) / PACE_DECAY_S)
        return 1 + (self.pace - 1) * trust


def _limit_pace(pace: float) -> float:
    """Return a stated pace within bounds, 1 if it is not a number."""
    if math.isnan(pace):
        return 1.0
    return min(MAX_PACE, max(MIN_PACE, pace))
