"""Entries that hold one workspace's limit together, in virtual time."""

import random

from primrosesaddle.core import verdict
from primrosesaddle.gateway import limits

__all__ = ('RATE', 'World')

RATE = 100.0
TICK_S = 0.01


class World:
    """Entries that exchange reports each second over links that may be cut."""

    def __init__(self, count):
        self.now = 0.0
        self.names = [f'e{index}' for index in range(count)]
        self.entries = {name: self.make_entry(name) for name in self.names}
        self.cut = set()
        self.admitted = []
        for one in self.entries.values():
            one.set_members(self.names)

    def make_entry(self, name):
        """Return the limiter of an entry."""
        return limits.WorkspaceLimiter(name, lambda workspace: (RATE, RATE * 1000))

    def exchange(self):
        """Every entry measures, moves its share, and tells the others."""
        for name, one in self.entries.items():
            one.update_shares(self.now)
        for name, one in self.entries.items():
            for other, there in self.entries.items():
                if other != name and not {name, other} & self.cut:
                    there.update_from_report(name, one.make_report(), self.now)

    def run(self, seconds, demand):
        """Offer calls a second to each entry as `demand` says."""
        for _ in range(seconds):
            for _ in range(int(1 / TICK_S)):
                for name, rate in demand.items():
                    self._offer(name, rate * TICK_S)
                self.now += TICK_S
            self.exchange()

    def _offer(self, name, amount):
        if name not in self.entries:
            return
        whole = int(amount) + (random.Random(self.now).random() < amount % 1)
        for _ in range(whole):
            try:
                delay_s = self.entries[name].admit('w', 1, self.now)
            except verdict.Refusal:
                continue
            self.admitted.append(self.now + delay_s)

    def busiest_second(self, since=0.0):
        """Return the most that passed in any one second, over the limit."""
        times = sorted(at for at in self.admitted if at >= since)
        most = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1:
                first += 1
            most = max(most, last - first + 1)
        return most / RATE
