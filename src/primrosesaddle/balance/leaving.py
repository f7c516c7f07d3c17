"""Leaving: what it costs a call to go to another data centre, besides the work there.

The load that this is for: a data centre with more callers than its servers have room
for, beside one that has room, or that is as full. Every call is compared on fresh
answers of a few servers at home and elsewhere. By these alone, two full data centres
would swap calls whenever one draw is luckier than the other, at the cost of the links
between them.

The price of leaving is a floor, which is what the distance costs, and an extra that
moves in small steps: down while calls at home cost more than there, up again, faster,
once they do not. So a full data centre sends what exceeds its room, one that recovers
keeps its own calls first, and where both are full each keeps its own.
"""

import dataclasses
import math
from collections.abc import Callable

__all__ = ('Leaving',)

# The highest extra. It exceeds what the luck of a draw of three servers changes, and
# is less than a call loses that is late at home.
MAX_EXTRA_S = 0.15
# Steps of the extra, in seconds a second. Figures may be half a second old, in which
# the extra falls by a third at most. It rises twice as fast: calls return first.
FALL_PER_S = 0.1
RISE_PER_S = 0.2
# Gain at which the extra falls at its full rate; less where less is to be gained.
FULL_GAIN_S = 0.05
COST_TIME_S = 0.5  # over which costs of a data centre are averaged
COST_STALE_S = 3.0  # older costs of a data centre say nothing
# Each way, the call and each event of its stream take the distance once.
ROUND_TRIPS = 2.0


@dataclasses.dataclass(slots=True)
class _Place:
    """A data centre: the mean cost of calls there, and the extra price of leaving."""

    cost_s: float = 0.0
    cost_at: float = -math.inf
    extra_s: float = MAX_EXTRA_S
    extra_at: float = -math.inf


class Leaving:
    """The prices of other data centres for the calls of one service at one entry.

    Without figures every price is the highest, so that calls stay at home first.
    """

    def __init__(self, home: str, clock: Callable[[], float]) -> None:
        """Create the prices of an entry in a data centre; `clock` returns seconds."""
        self._home = home
        self._clock = clock
        self._places: dict[str, _Place] = {}

    def record_cost(self, data_centre: str, cost_s: float) -> None:
        """Record what a call would cost at a server of a data centre, in seconds."""
        now = self._clock()
        place = self._places.setdefault(data_centre, _Place())
        age_s = now - place.cost_at
        if age_s > COST_STALE_S:
            place.cost_s = cost_s
        else:
            weight = 1 - math.exp(-max(age_s, COST_TIME_S / 10) / COST_TIME_S)
            place.cost_s += weight * (cost_s - place.cost_s)
        place.cost_at = now

    def get_price_s(self, data_centre: str, least_s: float, rtt_s: float) -> float:
        """Return the price of leaving for a data centre in seconds, 0 for home.

        It is at least `least_s`. `rtt_s` is the round trip there, 0 if not known; that
        over a lossy or narrow link is long.
        """
        if data_centre == self._home:
            return 0.0
        floor_s = max(least_s, ROUND_TRIPS * rtt_s)
        return floor_s + self._update_extra(data_centre, floor_s)

    def _update_extra(self, data_centre: str, floor_s: float) -> float:
        """Move the extra by the time that has passed, and return it."""
        now = self._clock()
        place = self._places.setdefault(data_centre, _Place())
        passed_s = min(now - place.extra_at, COST_TIME_S)
        place.extra_at = now
        home = self._places.get(self._home)
        if home is None or not self._is_known(home) or not self._is_known(place):
            gain_s = 0.0
        else:
            gain_s = home.cost_s - place.cost_s - floor_s
        if gain_s > 0:
            step_s = -FALL_PER_S * passed_s * min(1.0, gain_s / FULL_GAIN_S)
        else:
            step_s = RISE_PER_S * passed_s
        place.extra_s = min(MAX_EXTRA_S, max(0.0, place.extra_s + step_s))
        return place.extra_s

    def _is_known(self, place: _Place) -> bool:
        return self._clock() - place.cost_at < COST_STALE_S
