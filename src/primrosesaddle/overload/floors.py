"""Floors: that no group of callers is served far less often than all callers are.

The load is a long overload, in which a choice by rank alone would never serve the least
urgent calls. A group whose calls get room less than `FLOOR` times as often as all calls
do is behind, and its next call goes first.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ('Floors',)

# Callers tolerate a quarter of the rate of all; entries differ, so more is kept.
FLOOR = 0.4
HALF_LIFE_S = 4.0  # of the memory of outcomes
MIN_CALLS = 4.0  # fewer in memory say nothing about a group
MAX_GROUPS = 4096  # groups in memory, the newest


@dataclasses.dataclass(slots=True)
class _Record:
    """How many calls of a group got an outcome, and how many of these got room."""

    calls: float = 0.0
    served: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, *, served: bool) -> None:
        """Record the outcome of a call."""
        self.decay(now)
        self.calls += 1
        self.served += served

    def decay(self, now: float) -> None:
        """Let older outcomes count less."""
        kept = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.calls *= kept
        self.served *= kept
        self.updated_at = now

    @property
    def rate(self) -> float:
        """Return the share of calls that got room, 1 when there were none."""
        return self.served / self.calls if self.calls else 1.0


class Floors:
    """How often the calls of groups get room, beside those of all. Times in seconds."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._all = _Record()
        self._groups: dict[str, _Record] = {}

    def record(self, groups: Iterable[str], now: float, *, served: bool) -> None:
        """Record whether a call of some groups got room."""
        self._all.add(now, served=served)
        for name in groups:
            group = self._groups.pop(name, None) or _Record()
            self._groups[name] = group
            group.add(now, served=served)
        while len(self._groups) > MAX_GROUPS:
            self._groups.pop(next(iter(self._groups)))

    def find_behind(self, groups: Iterable[str], now: float) -> str:
        """Return the first of some groups that is behind, empty for none."""
        for name in groups:
            group = self._groups.get(name)
            if group is None:
                continue
            group.decay(now)
            if group.calls >= MIN_CALLS and group.rate < FLOOR * self._all.rate:
                return name
        return ''
