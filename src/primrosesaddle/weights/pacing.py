"""Pace transfers on each link, so that calls keep their share of the bandwidth."""

import asyncio
import time
from collections.abc import Callable

__all__ = ('Pacer', 'Pacers')

MAX_BURST_S = 0.05
IDLE_BACKLOG_S = 0.1


class Pacer:
    """Reserve the time of one link, first come, first served."""

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

    def reserve(self, size_bytes: int) -> float:
        """Reserve the link for a number of bytes; return the seconds to wait."""
        now = self._clock()
        start = max(self._free_at, now - MAX_BURST_S)
        self._free_at = start + size_bytes / self._rate
        return max(0.0, self._free_at - now)

    @property
    def backlog_s(self) -> float:
        """Return the seconds of link time that are reserved from now on."""
        return max(0.0, self._free_at - self._clock())

    async def wait_idle(self) -> None:
        """Wait until the backlog is at most IDLE_BACKLOG_S."""
        while self.backlog_s > IDLE_BACKLOG_S:
            await asyncio.sleep(self.backlog_s - IDLE_BACKLOG_S / 2)

    async def wait_to_send(self, size_bytes: int) -> None:
        """Reserve the link for a number of bytes, and wait for their time."""
        wait_s = self.reserve(size_bytes)
        if wait_s > 0:
            await asyncio.sleep(wait_s)


class Pacers:
    """The paced links of a process: upload, download, and one to each region."""

    def __init__(self, machine_bytes_per_s: float, share: float) -> None:
        """Create the pacers; transfers get a share of the machine's link each way."""
        self.upload = Pacer(machine_bytes_per_s * share)
        self.download = Pacer(machine_bytes_per_s * share)
        self._regions: dict[str, Pacer] = {}

    def backlog_s(self, region: str) -> float:
        """Return the backlog in seconds of the link to a region."""
        pacer = self._regions.get(region)
        return pacer.backlog_s if pacer else 0.0

    def region_pacer(self, name: str, bytes_per_s: float) -> Pacer:
        """Return the pacer of the link to a region, and set its rate."""
        pacer = self._regions.get(name)
        if pacer is None:
            pacer = Pacer(bytes_per_s)
            self._regions[name] = pacer
        pacer.set_rate(bytes_per_s)
        return pacer
