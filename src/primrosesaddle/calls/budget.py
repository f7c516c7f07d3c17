"""The retry budget: retries are limited to a share of first sends in a time window.

Each entry may spend the share of its own first sends, and an equal part of what all
entries may spend beside it. As it goes by the largest number of entries that it knew in
the window, entries that lose touch with each other do not take more.
"""

import collections
from collections.abc import Callable

__all__ = ('RetryBudget',)

SLICES = 10  # the window consists of this many slices, which expire one by one
# Assumed as the least number of entries within one window of the start, when a process
# may not know the others yet, and an earlier one in its place may have spent its part.
STARTING_ENTRIES = 16


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
        self._started_at = clock()
        self._entry_counts: collections.deque[tuple[float, int]] = collections.deque()

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
        allowed = self._ratio * first_sends + self._extra / self._count_entries(now)
        return retries + 1 <= allowed

    def _add(self, service: str, first_sends: int, retries: int) -> None:
        window = self._windows.setdefault(service, _Window())
        now = self._clock()
        window.add_sends(now, self._slice_s, first_sends, retries)
        if not self._entry_counts or now - self._entry_counts[-1][0] >= self._slice_s:
            self._count_entries(now)

    @property
    def _slice_s(self) -> float:
        return self._window_s / SLICES

    def _count_entries(self, now: float) -> int:
        """Return the largest number of entries known in the window."""
        counts = self._entry_counts
        counts.append((now, max(1, self._entries())))
        while now - counts[0][0] > self._window_s + self._slice_s:
            counts.popleft()
        is_new = now - self._started_at < self._window_s
        known = max(count for _, count in counts)
        return max(known, STARTING_ENTRIES) if is_new else known
