"""The regular reading of the instance list into the table of members."""

import asyncio
import random
from collections.abc import Callable

from primrosesaddle.core import httpio
from primrosesaddle.membership import instances, membertable, peers
from primrosesaddle.telemetry import journal

__all__ = ('InstancePoller',)

LIST_INTERVAL_S = 1.0
LISTED_PER_S = 100


class InstancePoller:
    """Read the instance list, and tell whether this process is to leave."""

    def __init__(
        self, url: str, members: membertable.MemberTable, rand: random.Random
    ) -> None:
        """Read the list at a URL into the table of members."""
        self._url = url
        self._members = members
        self._rand = rand
        self._listed = 0
        self.on_listed_leaving: Callable[[], None] | None = None

    async def run(self) -> None:
        """Read it again and again, until cancelled."""
        while True:
            try:
                await self._read()
            except httpio.HttpFailure as exc:
                journal.debug('instances.unread', error=str(exc))
            interval_s = max(LIST_INTERVAL_S, self._listed / LISTED_PER_S)
            await asyncio.sleep(interval_s * self._rand.uniform(0.8, 1.2))

    async def _read(self) -> None:
        found = await instances.fetch_instances(self._url)
        mine = self._members.card
        self._listed = len(found)
        if found:
            self._members.update_listed(
                peers.Candidate(
                    item.address,
                    item.role,
                    item.name,
                    item.serves,
                    item.region,
                    item.data_centre,
                )
                for item in found
                if item.name != mine.name
            )
        for item in found:
            leaving = item.state == 'leaving' and item.address == mine.address
            if leaving and self.on_listed_leaving is not None:
                self.on_listed_leaving()
