"""The reader: keeps the view in step with the platform's store."""

import asyncio
import random
import typing
from collections.abc import Callable

from primrosesaddle.core import backoff
from primrosesaddle.fleet import view
from primrosesaddle.net import call
from primrosesaddle.telemetry import journal

__all__ = ('Reader',)

WAIT_S = 10.0  # each waiting watch is a priced call; the kernel finds dead paths
RETRY_FIRST_S = 0.1
OUTAGE_FAILURES = 2
RETRY_CEILING_S = 0.6  # a change must be in force within two seconds of its return


class Source(typing.Protocol):
    """Where published items are read."""

    async def read_all(self) -> view.Snapshot:
        """Return every item."""

    async def wait_changes(self, after: int, wait_s: float) -> view.Changes | None:
        """Return the changes past a revision, or None when they are gone."""


class Reader:
    """Read everything once, then follow the changes."""

    def __init__(
        self,
        source: Source,
        seen: view.View,
        rand: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Prepare to keep a view in step with a source."""
        self._source = source
        self._view = seen
        self._rand = rand
        self._clock = clock
        self._failures = 0
        self._failing_since = 0.0
        self._after: int | None = None

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            try:
                await self._step()
            except call.CallFailed as exc:
                self._note_failure(exc)
                await asyncio.sleep(
                    backoff.delay_s(
                        self._failures, RETRY_FIRST_S, RETRY_CEILING_S, self._rand
                    )
                )

    async def refresh(self) -> None:
        """Read everything now, as after this process stood still."""
        try:
            snapshot = await self._source.read_all()
        except call.CallFailed as exc:
            journal.info('store.not_refreshed', error=str(exc))
            return
        self._view.replace(snapshot, view.STORE)

    async def _step(self) -> None:
        if self._after is None:
            snapshot = await self._source.read_all()
            self._note_success()
            self._view.replace(snapshot, view.STORE)
            self._after = snapshot.revision
            journal.info(
                'store.read', items=len(snapshot.items), revision=snapshot.revision
            )
            return
        changes = await self._source.wait_changes(self._after, self._wait_s)
        self._note_success()
        if changes is None:
            journal.info('store.history_gone', after=self._after)
            self._after = None
            return
        self._view.apply(changes, view.STORE)
        self._after = max(self._after, changes.revision)

    @property
    def _wait_s(self) -> float:
        """Return a short wait after a failure, to learn soon that it is over."""
        return 0.0 if self._failures else WAIT_S

    def _note_failure(self, exc: call.CallFailed) -> None:
        self._failures += 1
        if self._failures == 1:
            self._failing_since = self._clock()
            journal.warning('store.lost', error=str(exc))

    def _note_success(self) -> None:
        if not self._failures:
            return
        # One failure is a watch that was cut; an outage fails the retry as well.
        if self._failures >= OUTAGE_FAILURES:
            self._view.note_store_returned()
        self._failures = 0
        away_s = round(self._clock() - self._failing_since, 3)
        journal.info('store.regained', away_s=away_s)
