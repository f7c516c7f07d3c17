"""Pacing of transfers by link, so that calls keep their share of it."""

import asyncio
import time
from collections.abc import Callable

__all__ = ('Pacer', 'Pacers')

BURST_S = 0.05
AHEAD_S = 0.1


class Pacer:
    """Hand out the time of one link, in the order of asking."""

    def __init__(
        self,
        bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a pacer for a rate in bytes a second."""
        self._rate = bytes_per_s
        self._clock = clock
        self._free_at = 0.0

    @property
    def rate(self) -> float:
        """Return the rate in bytes a second."""
        return self._rate

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate for what is reserved from now on."""
        self._rate = bytes_per_s

    def reserve(self, size: int) -> float:
        """Reserve the link for some bytes, and return the seconds to wait first."""
        now = self._clock()
        begin = max(self._free_at, now - BURST_S)
        self._free_at = begin + size / self._rate
        return max(0.0, self._free_at - now)

    @property
    def backlog_s(self) -> float:
        """Return the seconds that are reserved ahead."""
        return max(0.0, self._free_at - self._clock())

    async def wait_idle(self) -> None:
        """Wait until little is reserved ahead."""
        while self.backlog_s > AHEAD_S:
            await asyncio.sleep(self.backlog_s - AHEAD_S / 2)

    async def wait_to_send(self, size: int) -> None:
        """Wait until some bytes have had their time on the link."""
        wait_s = self.reserve(size)
        if wait_s > 0:
            await asyncio.sleep(wait_s)


class Pacers:
    """The links of one process: its own, both ways, and one to each region."""

    def __init__(self, machine_bytes_per_s: float, share: float) -> None:
        """Create the pacers; transfers get a share of the machine's link."""
        self.upload = Pacer(machine_bytes_per_s * share)
        self.download = Pacer(machine_bytes_per_s * share)
        self._regions: dict[str, Pacer] = {}

    def backlog_s(self, region: str) -> float:
        """Return the seconds reserved ahead on the link to a region."""
        pacer = self._regions.get(region)
        return pacer.backlog_s if pacer else 0.0

    def region_pacer(self, name: str, bytes_per_s: float) -> Pacer:
        """Return the pacer of the link to a region, at a rate."""
        pacer = self._regions.get(name)
        if pacer is None:
            pacer = Pacer(bytes_per_s)
            self._regions[name] = pacer
        pacer.set_rate(bytes_per_s)
        return pacer
