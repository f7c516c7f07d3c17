"""The retry budget: retries are limited to a share of first sends in a time window."""

import collections
from collections.abc import Callable

__all__ = ('RetryBudget',)

SLICES = 10  # the window consists of this many slices, which expire one by one


class _Window:
    """Counts of first sends and retries of a service, in slices of time."""

    def __init__(self) -> None:
        self.slices: collections.deque[list[float]] = collections.deque()

    def add_sends(
        self, now: float, width_s: float, first_sends: int, retries: int
    ) -> None:
        slice_start = now - now % width_s
        if not self.slices or self.slices[-1][0] != slice_start:
            self.slices.append([slice_start, 0, 0])
        self.slices[-1][1] += first_sends
        self.slices[-1][2] += retries

    def sum_since(self, since: float) -> tuple[float, float]:
        """Return first sends and retries since a time, and drop older slices."""
        while self.slices and self.slices[0][0] < since:
            self.slices.popleft()
        first_sends = sum(part[1] for part in self.slices)
        return first_sends, sum(part[2] for part in self.slices)


class RetryBudget:
    """Grants as many retries as this entry's part of the bound allows."""

    def __init__(
        self,
        ratio: float,
        window_s: float,
        extra: float,
        entries: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Create a budget.

        In any `window_s`, retries may be `ratio` times the first sends of a service,
        and `extra` more, which all entries share; `entries` returns their number.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._entries = entries
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def record_first_send(self, service: str) -> None:
        """Count the first send of a call."""
        self._add(service, 1, 0)

    def claim_retry(self, service: str) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        if not self.has_retry(service):
            return False
        self._add(service, 0, 1)
        return True

    def has_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry now."""
        now = self._clock()
        window = self._windows.setdefault(service, _Window())
        # One slice more than the window, as the oldest slice has only partly expired.
        since = now - self._window_s * (1 + 1 / SLICES)
        first_sends, retries = window.sum_since(since)
        allowed = self._ratio * first_sends + self._extra / max(1, self._entries())
        return retries + 1 <= allowed

    def _add(self, service: str, first_sends: int, retries: int) -> None:
        window = self._windows.setdefault(service, _Window())
        width_s = self._window_s / SLICES
        window.add_sends(self._clock(), width_s, first_sends, retries)
