"""The budget of repeats: a share of the first sends in a sliding window."""

import collections
from collections.abc import Callable

__all__ = ('RetryBudget',)

SLICES = 10  # parts of the window that slide out one by one


class _Window:
    """Counts of a service in slices of time."""

    def __init__(self) -> None:
        self.slices: collections.deque[list[float]] = collections.deque()

    def add(self, at: float, width_s: float, firsts: int, repeats: int) -> None:
        begin = at - at % width_s
        if not self.slices or self.slices[-1][0] != begin:
            self.slices.append([begin, 0, 0])
        self.slices[-1][1] += firsts
        self.slices[-1][2] += repeats

    def totals(self, since: float) -> tuple[float, float]:
        while self.slices and self.slices[0][0] < since:
            self.slices.popleft()
        firsts = sum(part[1] for part in self.slices)
        return firsts, sum(part[2] for part in self.slices)


class RetryBudget:
    """Let through as many repeats as this entry's part of the bound allows."""

    def __init__(
        self,
        ratio: float,
        window_s: float,
        extra: float,
        entries: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Create a budget; `extra` is shared by all entries."""
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
        """Take a repeat out of the budget, and return whether there was one."""
        now = self._clock()
        window = self._windows.setdefault(service, _Window())
        # One slice more than the window, as the oldest slice is only partly past.
        since = now - self._window_s * (1 + 1 / SLICES)
        firsts, repeats = window.totals(since)
        allowed = self._ratio * firsts + self._extra / max(1, self._entries())
        if repeats + 1 > allowed:
            return False
        self._add(service, 0, 1)
        return True

    def _add(self, service: str, firsts: int, repeats: int) -> None:
        window = self._windows.setdefault(service, _Window())
        width_s = self._window_s / SLICES
        window.add(self._clock(), width_s, firsts, repeats)
