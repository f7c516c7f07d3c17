"""Limit of the calls that an engine runs at once, adapted to its latency."""

import dataclasses

from primrosesaddle.configuration import catalogue

__all__ = ('AdaptiveLimit',)

MAX_LATENCY_FACTOR = 2.0
DECREASE_FACTOR = 0.9
SAMPLES_PER_STEP = 8
BASELINE_DRIFT_FACTOR = 1.01
URGENT_EXCESS_SHARE = 0.25
MAX_URGENT_SHARE = 0.75
URGENT_MEAN_SMOOTHING = 0.02


@dataclasses.dataclass
class AdaptiveLimit:
    """Additive increase and multiplicative decrease of a concurrency limit.

    The signal is the time per token in relation to the lowest that was measured. This
    baseline drifts up slowly, so that it follows a change of model or load. The slots
    that urgent calls use on average are reserved for them. A batch has room for a few
    more, slower calls: urgent calls may exceed the limit, unless there are so many
    that the other ranks would not get their floors.

    `ceiling` and `floor` bound the limit, in calls.
    """

    ceiling: int
    floor: int = 2
    running: int = 0
    running_non_urgent: int = 0
    _limit: float = 0
    _mean_urgent: float = 0
    _baseline_s: float = 0
    _total_s: float = 0
    _sample_count: int = 0

    def __post_init__(self) -> None:
        """Start at the ceiling; only latency lowers the limit."""
        self._limit = float(self.ceiling)

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return max(self.floor, int(self._limit))

    @property
    def urgent(self) -> int:
        """Return the number of running urgent calls."""
        return self.running - self.running_non_urgent

    def can_start(self, rank: catalogue.Rank) -> bool:
        """Tell whether a call of the rank may start now."""
        max_urgent = max(1, int(self.limit * MAX_URGENT_SHARE))
        if rank is not catalogue.Rank.URGENT:
            reserved = min(max_urgent, round(self._mean_urgent))
            limit_for_others = max(1, self.limit - reserved)
            return (
                self.running < self.limit and self.running_non_urgent < limit_for_others
            )
        if self.running < self.limit:
            return True
        excess = max(1, int(self.limit * URGENT_EXCESS_SHARE))
        return self.running < self.limit + excess and self.urgent < max_urgent

    def record_start(self, rank: catalogue.Rank) -> None:
        """Count a call that starts."""
        self.running += 1
        if rank is not catalogue.Rank.URGENT:
            self.running_non_urgent += 1
        self._mean_urgent += URGENT_MEAN_SMOOTHING * (self.urgent - self._mean_urgent)

    def record_end(self, rank: catalogue.Rank) -> None:
        """Count a call that ended."""
        self.running -= 1
        if rank is not catalogue.Rank.URGENT:
            self.running_non_urgent -= 1

    def observe_latency(self, seconds_per_token: float) -> None:
        """Record the latency of a finished call.

        The limit is adapted once in `SAMPLES_PER_STEP` calls.
        """
        self._total_s += seconds_per_token
        self._sample_count += 1
        if self._sample_count < SAMPLES_PER_STEP:
            return
        mean_s = self._total_s / self._sample_count
        self._total_s = 0
        self._sample_count = 0
        self._adapt(mean_s)

    def _adapt(self, mean_s: float) -> None:
        """Update baseline and limit from a mean time per token."""
        if not self._baseline_s or mean_s < self._baseline_s:
            self._baseline_s = mean_s
        else:
            self._baseline_s *= BASELINE_DRIFT_FACTOR
        if mean_s > MAX_LATENCY_FACTOR * self._baseline_s:
            self._limit = max(float(self.floor), self._limit * DECREASE_FACTOR)
        else:
            self._limit = min(float(self.ceiling), self._limit + 1)
