"""How many calls an engine runs at once, adapted to the latency that it shows."""

import dataclasses

from primrosesaddle.configuration import catalogue

__all__ = ('AdaptiveLimit',)

TOLERANCE = 2.0
DECREASE = 0.9
SAMPLES_PER_STEP = 8
BASELINE_DRIFT = 1.01
URGENT_EXCESS_SHARE = 0.25
URGENT_FLOOD_SHARE = 0.75
URGENT_MEAN_WEIGHT = 0.02


@dataclasses.dataclass
class AdaptiveLimit:
    """Additive increase and multiplicative decrease of a concurrency limit.

    The signal is the time per token against the best that was seen. The best
    drifts up slowly, so that a change of model or load is learned. The places that
    urgent calls use on average are kept for them. A batch has room for a few more,
    slower calls: urgent ones may exceed the limit, unless they flood and would keep
    the other ranks from their floors.
    """

    ceiling: int
    floor: int = 2
    running: int = 0
    running_non_urgent: int = 0
    _limit: float = 0
    _urgent_mean: float = 0
    _baseline: float = 0
    _total: float = 0
    _count: int = 0

    def __post_init__(self) -> None:
        """Start at the ceiling: only latency lowers the limit."""
        self._limit = float(self.ceiling)

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return max(self.floor, int(self._limit))

    @property
    def urgent(self) -> int:
        """Return the number of urgent calls that run."""
        return self.running - self.running_non_urgent

    def can_start(self, rank: catalogue.Rank) -> bool:
        """Tell whether a call of a rank may start now."""
        flood = max(1, int(self.limit * URGENT_FLOOD_SHARE))
        if rank is not catalogue.Rank.URGENT:
            kept = min(flood, round(self._urgent_mean))
            free = max(1, self.limit - kept)
            return self.running < self.limit and self.running_non_urgent < free
        if self.running < self.limit:
            return True
        excess = max(1, int(self.limit * URGENT_EXCESS_SHARE))
        return self.running < self.limit + excess and self.urgent < flood

    def record_start(self, rank: catalogue.Rank) -> None:
        """Count a call that starts."""
        self.running += 1
        if rank is not catalogue.Rank.URGENT:
            self.running_non_urgent += 1
        self._urgent_mean += URGENT_MEAN_WEIGHT * (self.urgent - self._urgent_mean)

    def record_end(self, rank: catalogue.Rank) -> None:
        """Count a call that ended."""
        self.running -= 1
        if rank is not catalogue.Rank.URGENT:
            self.running_non_urgent -= 1

    def observe_latency(self, seconds_per_token: float) -> None:
        """Take the latency of a finished call, and adapt after a few of them."""
        self._total += seconds_per_token
        self._count += 1
        if self._count < SAMPLES_PER_STEP:
            return
        mean = self._total / self._count
        self._total = 0
        self._count = 0
        self._step(mean)

    def _step(self, mean: float) -> None:
        if not self._baseline or mean < self._baseline:
            self._baseline = mean
        else:
            self._baseline *= BASELINE_DRIFT
        if mean > TOLERANCE * self._baseline:
            self._limit = max(float(self.floor), self._limit * DECREASE)
        else:
            self._limit = min(float(self.ceiling), self._limit + 1)
