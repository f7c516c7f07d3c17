"""The reader: keeps the view up to date with the platform's store.

Only a few entries watch the store for changes. They forward what they read to the other
entries, so that a large item does not cross the links between regions once for each
entry. The other entries check from time to time that they have received all changes.
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

# Each watch is a call that costs money. An entry that starts to receive changes from
# another one keeps its own watch for as long as this.
WATCH_TIMEOUT_S = 2.0
# After an outage of the store an entry takes itself for a reader until it knows which
# others can read it. Within this time they have retried and sent a heartbeat.
READER_SELECTION_S = 1.3
READER_SELECTION_WATCH_S = 0.5
# Shares of the time within which a change must be in force. An entry that has received
# nothing for the first share asks the store for its revision. If that is higher, the
# entry waits the second share for the changes from a peer, then reads the store.
CHECK_SHARE = 0.4
RECEIVE_SHARE = 0.3
POLL_INTERVAL_S = 0.1  # between checks for changes received from other entries
RETRY_FIRST_S = 0.1
OUTAGE_FAILURES = 2
# A watch fails after 4 s of silence, a revision check within 3 s of the last answer.
OUTAGE_S = 3.5
# What peers sent within this time of the first failure, they may have read before it.
# In the same time before this entry regains the store, they may have regained it first.
OTHERS_MARGIN_S = 1.0
# A peer that has lost the store no longer says that it reaches it after this time: that
# of a watch, and of a heartbeat.
OTHERS_LABEL_S = 5.0
RETRY_CEILING_S = 0.6  # a change must be in force 2 s after the store is back


class Source(typing.Protocol):
    """A store from which published items are read."""

    async def read_all(self) -> fleetview.Snapshot:
        """Return all items."""

    async def wait_changes(self, after: int, wait_s: float) -> fleetview.Changes | None:
        """Return the changes after a revision, or None if the history is gone.

        If there are none, wait up to `wait_s` seconds for one.
        """

    async def revision(self) -> int:
        """Return the revision of the newest change."""


class Reader:
    """Read all items once, then follow the changes."""

    def __init__(
        self,
        source: Source,
        view: fleetview.View,
        item_feed: feed.Feed,
        max_delay_s: float,
        rand: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create a reader that updates a view from a source.

        `max_delay_s` is the time within which a change must be in force.
        """
        self._source = source
        self._view = view
        self._feed = item_feed
        self._check_s = CHECK_SHARE * max_delay_s
        self._receive_timeout_s = RECEIVE_SHARE * max_delay_s
        self._last_read_at = clock()
        self._rand = rand
        self._clock = clock
        self._failures = 0
        self._failing_since = 0.0
        self._others_served_at: float | None = None  # first evidence of that
        self._regained_at = 0.0
        self.store_era = 0  # of the last answer
        self._after: int | None = None
        # The store no longer has the changes after this revision. All items are read,
        # unless a peer has sent what is missing: reads by all entries at once would
        # fill the links between regions for longer than a read may take.
        self._history_gone_after = 0

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            if self._is_fed_by_peers():
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            try:
                await self._update()
                continue
            except call.CallFailed as exc:
                self._record_failure(exc)
            except Exception as exc:
                # The task must go on, because nothing restarts it.
                journal.error('reader.failed', error=repr(exc))
                self._record_failure(exc)
            await asyncio.sleep(
                backoff.delay_s(
                    self._failures, RETRY_FIRST_S, RETRY_CEILING_S, self._rand
                )
            )

    async def refresh(self) -> None:
        """Read what has changed at once, as after a pause of this process."""
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

    def _is_fed_by_peers(self) -> bool:
        """Tell whether another entry has sent recently what it read."""
        if not self.is_store_reachable or self._feed.is_reader():
            return False
        return self._clock() - self._last_update_at < self._check_s

    @property
    def _last_update_at(self) -> float:
        return max(self._last_read_at, self._feed.last_update_at)

    async def _update(self) -> None:
        before = self._view.revision
        if self._after is None and before <= self._history_gone_after:
            await self._read_all()
        elif self._after is None or self._feed.is_reader():
            await self._read_changes()
        else:
            await self._check_revision()
        if before:
            self._feed.forward_changes(before)

    async def _read_all(self) -> None:
        began_at = self._clock()
        snapshot = await self._source.read_all()
        self._record_success(began_at)
        self._record_position(snapshot.era, snapshot.revision)
        self._view.apply_snapshot(snapshot, fleetview.STORE)
        self._after = snapshot.revision
        journal.info(
            'store.read',
            items=len(snapshot.items),
            revision=snapshot.revision,
            era=snapshot.era,
        )

    async def _read_changes(self) -> None:
        after = max(self._view.revision, self._after or 0)
        is_watching = self.is_store_reachable and self._feed.is_reader()
        last_update_at = self._last_update_at
        began_at = self._clock()
        changes = await self._source.wait_changes(
            after, self._watch_timeout_s(is_watching)
        )
        answered_at = self._clock()
        # A watch reports a change at once, so nothing was unseen after it began.
        unseen_s = (began_at if is_watching else answered_at) - last_update_at
        if self._is_outage:
            unseen_s = 0.0
        if changes is None:
            # The end of an outage is recorded by the read of all items that follows.
            journal.info('store.history_gone', after=after)
            self._after = None
            self._history_gone_after = after
            return
        self._record_success(answered_at if is_watching else began_at)
        self._record_position(changes.era, changes.revision)
        self._view.apply_changes(changes._replace(unseen_s=unseen_s), fleetview.STORE)
        self._after = max(after, changes.revision)

    def _watch_timeout_s(self, is_watching: bool) -> float:
        """Return for how many seconds the store may wait for a change."""
        if not is_watching:
            return 0.0
        is_new = self._clock() - self._regained_at < READER_SELECTION_S
        return READER_SELECTION_WATCH_S if is_new else WATCH_TIMEOUT_S

    async def _check_revision(self) -> None:
        """Read changes that the store has and that no peer has sent in time."""
        began_at = self._clock()
        revision = await self._source.revision()
        receive_until = self._clock() + self._receive_timeout_s
        while self._view.revision < revision:
            if self._clock() >= receive_until:
                journal.info(
                    'store.untold', revision=revision, known=self._view.revision
                )
                await self._read_changes()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._record_success(began_at)

    def _record_position(self, era: int, revision: int) -> None:
        """Record the position of an answer, and log if the store has gone back."""
        if era != self.store_era:
            if self.store_era:
                journal.warning(
                    'store.era', era=era, before=self.store_era, revision=revision
                )
            self.store_era = era
        if revision < self._view.revision:
            journal.warning(
                'store.behind', era=era, revision=revision, known=self._view.revision
            )

    def _record_failure(self, exc: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            self._failing_since = self._clock()
            self._others_served_at = None
            journal.warning('store.lost', error=str(exc))
        if self._others_served_at is None and self._are_others_served():
            self._others_served_at = self._clock()

    def _are_others_served(self) -> bool:
        """Tell whether other entries have used the store since this one lost it."""
        if self._feed.last_update_at > self._failing_since + OTHERS_MARGIN_S:
            return True
        failing_s = self._clock() - self._failing_since
        return failing_s > OTHERS_LABEL_S and self._feed.is_store_reached_by_others()

    @property
    def _is_outage(self) -> bool:
        """Tell whether the store was unavailable, rather than one watch cut off."""
        silent_s = self._clock() - self._last_update_at
        return self._failures >= OUTAGE_FAILURES or (
            self._failures > 0 and silent_s >= OUTAGE_S
        )

    @property
    def _is_own_outage(self) -> bool:
        """Tell whether the store was unavailable to this entry, but not to others.

        What was removed then, or is removed now, did not expire by an outage.
        """
        served_at = self._others_served_at
        return served_at is not None and self._clock() - served_at > OTHERS_MARGIN_S

    def _record_success(self, known_at: float) -> None:
        """Record an answer of the store, whose content was current at `known_at`."""
        if self._is_outage and not self._is_own_outage:
            self._view.record_store_recovery()
        if not self.is_store_reachable:
            self._regained_at = self._clock()
        self._last_read_at = known_at
        if not self._failures:
            return
        self._failures = 0
        away_s = round(self._clock() - self._failing_since, 3)
        journal.info('store.regained', away_s=away_s, alone=self._is_own_outage)
