"""The reader: keeps the view in step with the platform's store.

Few entries wait at the store for changes, and what they read is passed on to the
others, so that a large item does not cross the links between regions once an entry.
The others ask the store now and then whether they have heard of everything.
"""

import asyncio
import random
import typing
from collections.abc import Callable

from primrosesaddle.core import backoff
from primrosesaddle.fleet import feed, fleetview
from primrosesaddle.net import call
from primrosesaddle.telemetry import journal

__all__ = ('Reader',)

# Each waiting watch is a priced call. An entry that is fed by another one from now on
# has a watch of its own for as long.
WAIT_S = 2.0
# An entry that the store answers again takes itself for one of those that read until it
# knows the others: they have tried again and sent a heartbeat by then.
AGREE_S = 1.3
AGREE_WAIT_S = 0.5
# Of the least time in which a change must be in force: an entry that has heard nothing
# for the first share asks the store whether something has changed. If so, it waits for
# the second share to be told what, and reads it then.
CHECK_SHARE = 0.4
TOLD_SHARE = 0.3
LOOK_S = 0.1  # between looks at what other entries have told
RETRY_FIRST_S = 0.1
OUTAGE_FAILURES = 2
# A watch is silent for 4 s until it fails. A look fails within 3 s of the last answer.
OUTAGE_S = 3.5
RETRY_CEILING_S = 0.6  # a change must be in force within two seconds of its return


class Source(typing.Protocol):
    """Where published items are read."""

    async def read_all(self) -> fleetview.Snapshot:
        """Return every item."""

    async def wait_changes(self, after: int, wait_s: float) -> fleetview.Changes | None:
        """Return the changes past a revision, or None when they are gone."""

    async def revision(self) -> int:
        """Return the revision of the newest change."""


class Reader:
    """Read everything once, then follow the changes."""

    def __init__(
        self,
        source: Source,
        seen: fleetview.View,
        fellows: feed.Feed,
        bound_s: float,
        rand: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Prepare to keep a view in step with a source.

        `bound_s` is the least time in which a change must be in force.
        """
        self._source = source
        self._view = seen
        self._feed = fellows
        self._check_s = CHECK_SHARE * bound_s
        self._told_s = TOLD_SHARE * bound_s
        self._read_at = clock()
        self._rand = rand
        self._clock = clock
        self._failures = 0
        self._failing_since = 0.0
        self._regained_at = 0.0
        self._after: int | None = None
        # The store no longer has the changes past this revision. Everything is read,
        # unless a peer has told what this process lacks: all entries at once would
        # fill the links between regions for longer than a read may take.
        self._gone_until = 0

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            if self._is_fed():
                await asyncio.sleep(LOOK_S)
                continue
            try:
                await self._step()
                continue
            except call.CallFailed as exc:
                self._note_failure(exc)
            except Exception as exc:
                # Nothing starts this task again; other entries read meanwhile.
                journal.error('reader.failed', error=repr(exc))
                self._note_failure(exc)
            await asyncio.sleep(
                backoff.delay_s(
                    self._failures, RETRY_FIRST_S, RETRY_CEILING_S, self._rand
                )
            )

    async def refresh(self) -> None:
        """Read now what has changed, as after this process stood still."""
        after = self._view.revision
        try:
            changes = await self._source.wait_changes(after, 0.0) if after else None
            if changes is None:
                self._view.apply_snapshot(
                    await self._source.read_all(), fleetview.STORE
                )
            else:
                self._view.apply_changes(changes, fleetview.STORE)
        except call.CallFailed as exc:
            journal.info('store.not_refreshed', error=str(exc))

    @property
    def is_store_reachable(self) -> bool:
        """Tell whether the store answers this process."""
        return self._after is not None and not self._failures

    def _is_fed(self) -> bool:
        """Tell whether another entry has told lately what it read."""
        if not self.is_store_reachable or self._feed.is_reader():
            return False
        return self._clock() - self._last_seen_at < self._check_s

    @property
    def _last_seen_at(self) -> float:
        return max(self._read_at, self._feed.last_update_at)

    async def _step(self) -> None:
        before = self._view.revision
        if self._after is None and before <= self._gone_until:
            await self._read_all()
        elif self._after is None or self._feed.is_reader():
            await self._read_changes()
        else:
            await self._check()
        if before:
            self._feed.forward_changes(before)

    async def _read_all(self) -> None:
        began = self._clock()
        snapshot = await self._source.read_all()
        self._note_success(began)
        self._view.apply_snapshot(snapshot, fleetview.STORE)
        self._after = snapshot.revision
        journal.info(
            'store.read', items=len(snapshot.items), revision=snapshot.revision
        )

    async def _read_changes(self) -> None:
        after = max(self._view.revision, self._after or 0)
        waits = self.is_store_reachable and self._feed.is_reader()
        seen_at = self._last_seen_at
        began = self._clock()
        changes = await self._source.wait_changes(after, self._wait_s(waits))
        answered = self._clock()
        # A watch that waited tells of a change at once.
        unseen_s = (began if waits else answered) - seen_at
        if self._is_outage:
            unseen_s = 0.0
        if changes is None:
            # The end of an outage is noted with the read of everything that follows.
            journal.info('store.history_gone', after=after)
            self._after = None
            self._gone_until = after
            return
        self._note_success(answered if waits else began)
        self._view.apply_changes(changes._replace(unseen_s=unseen_s), fleetview.STORE)
        self._after = max(after, changes.revision)

    def _wait_s(self, waits: bool) -> float:
        """Return how long the store may wait for changes before it answers."""
        if not waits:
            return 0.0
        is_new = self._clock() - self._regained_at < AGREE_S
        return AGREE_WAIT_S if is_new else WAIT_S

    async def _check(self) -> None:
        """Ask whether something has changed that nobody has told."""
        began = self._clock()
        revision = await self._source.revision()
        until = self._clock() + self._told_s
        while self._view.revision < revision:
            if self._clock() >= until:
                journal.info(
                    'store.untold', revision=revision, known=self._view.revision
                )
                await self._read_changes()
                return
            await asyncio.sleep(LOOK_S)
        self._note_success(began)

    def _note_failure(self, exc: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            self._failing_since = self._clock()
            journal.warning('store.lost', error=str(exc))

    @property
    def _is_outage(self) -> bool:
        """Tell whether the store was away, and not one watch cut."""
        silent_s = self._clock() - self._last_seen_at
        return self._failures >= OUTAGE_FAILURES or (
            self._failures > 0 and silent_s >= OUTAGE_S
        )

    def _note_success(self, known_at: float) -> None:
        """Note that the store answered; what it told was so at a time or later."""
        if self._is_outage:
            self._view.record_store_recovery()
        if not self.is_store_reachable:
            self._regained_at = self._clock()
        self._read_at = known_at
        if not self._failures:
            return
        self._failures = 0
        away_s = round(self._clock() - self._failing_since, 3)
        journal.info('store.regained', away_s=away_s)
