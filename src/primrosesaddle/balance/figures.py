"""Load figures: what was heard of a server's load, and its worth at its age."""

import dataclasses
import math

__all__ = ('Figures',)

# The speed of a shared machine changes several times a second. A slowdown is taken for
# unchanged for this long, and soon says nothing after that.
SLOWDOWN_HOLD_S = 0.25
SLOWDOWN_DECAY_S = 0.3
# A slowdown out of these bounds is taken for the bound.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The load of a server as it was heard of.

    `others` is the number of calls of other entries that ran or waited there at
    `read_at`. `slowdown` is how many times longer than usual work took on its machine
    at `slowdown_at`, as the server has stated itself; `states_slowdown` is whether it
    has ever done so. Times are in seconds of the local clock.
    """

    others: int = 0
    read_at: float = 0.0
    slowdown: float = 1.0
    slowdown_at: float = 0.0
    states_slowdown: bool = False

    def with_others(self, others: int, read_at: float) -> 'Figures':
        """Return the figures with a number of calls, unless they hold a later one."""
        if read_at < self.read_at:
            return self
        return dataclasses.replace(self, others=others, read_at=read_at)

    def with_slowdown(self, slowdown: float, stated_at: float) -> 'Figures':
        """Return the figures with a slowdown, unless they hold a later one."""
        if stated_at < self.slowdown_at:
            return self
        return dataclasses.replace(
            self,
            slowdown=min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown)),
            slowdown_at=stated_at,
            states_slowdown=True,
        )

    def estimate_slowdown(self, now: float) -> float:
        """Return the expected slowdown, which tends to 1 with the age of the figure."""
        age_s = now - self.slowdown_at
        trust = math.exp(-max(0.0, age_s - SLOWDOWN_HOLD_S) / SLOWDOWN_DECAY_S)
        return 1 + (self.slowdown - 1) * trust
