"""Periodic reads of the instance list into the table of members."""

import asyncio
import random
from collections.abc import Callable

from primrosesaddle.core import httpio
from primrosesaddle.membership import instances, membertable, peers
from primrosesaddle.telemetry import journal

__all__ = ('InstancePoller',)

MIN_INTERVAL_S = 1.0
LISTED_PER_S = 100  # lists with more instances are read less often


class InstancePoller:
    """Read the instance list, and detect that this process is to leave.

    `on_listed_leaving` is called when the list says that this process is leaving.
    """

    def __init__(
        self, url: str, members: membertable.MemberTable, rand: random.Random
    ) -> None:
        """Create a poller of the list at a URL."""
        self._url = url
        self._members = members
        self._rand = rand
        self._listed_count = 0
        self.on_listed_leaving: Callable[[], None] | None = None

    async def run(self) -> None:
        """Read the list periodically, until cancelled."""
        while True:
            try:
                await self._read()
            except httpio.HttpFailure as exc:
                journal.debug('instances.unread', error=str(exc))
            interval_s = max(MIN_INTERVAL_S, self._listed_count / LISTED_PER_S)
            await asyncio.sleep(interval_s * self._rand.uniform(0.8, 1.2))

    async def _read(self) -> None:
        """Read the list once, and update the candidates of the table of members."""
        listed = await instances.fetch_instances(self._url)
        own_card = self._members.card
        self._listed_count = len(listed)
        if listed:
            self._members.update_listed(
                peers.Candidate(
                    item.address,
                    item.role,
                    item.name,
                    item.serves,
                    item.region,
                    item.data_centre,
                )
                for item in listed
                if item.name != own_card.name
            )
        for item in listed:
            leaving = item.state == 'leaving' and item.address == own_card.address
            if leaving and self.on_listed_leaving is not None:
                self.on_listed_leaving()
