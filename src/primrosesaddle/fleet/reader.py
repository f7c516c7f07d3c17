"""The reader: keeps the view up to date with the platform's store.

Only a few entries watch the store for changes. They forward what they read to the other
entries, so that a large item does not cross the links between regions once for each
entry. The other entries check from time to time that they have received all changes.
"""

import asyncio
import random
import typing
from collections.abc import Callable

from primrosesaddle.core import backoff, positions
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
RETRY_CEILING_S = 0.3  # a change must be in force 2 s after the store is back


class Source(typing.Protocol):
    """A store from which published items are read."""

    async def read_all(self) -> fleetview.Snapshot:
        """Return all items."""

    async def wait_changes(self, after: int, wait_s: float) -> fleetview.Changes | None:
        """Return the changes after a revision, or None if the history is gone.

        They are of the era that the store is in, which may not be that of the revision.

        If there are none, wait up to `wait_s` seconds for one.
        """

    async def position(self) -> positions.Position:
        """Return the position of the newest change."""


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
        self._has_read = False  # all items, and every change since
        self._is_behind = False  # the store, by its last answer
        # The store no longer has the changes after this revision. All items are read,
        # unless a peer has sent what is missing: reads by all entries at once would
        # fill the links between regions for longer than a read may take.
        self._history_gone_at = positions.START

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
        known = self._view.position
        try:
            changes = None
            if known.revision:
                changes = await self._source.wait_changes(known.revision, 0.0)
            if changes is None or changes.era != known.era:
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
        return self._has_read and not self._failures

    def _is_fed_by_peers(self) -> bool:
        """Tell whether another entry has sent recently what it read."""
        if not self.is_store_reachable or self._feed.is_reader():
            return False
        return self._clock() - self._last_update_at < self._check_s

    @property
    def _last_update_at(self) -> float:
        return max(self._last_read_at, self._feed.last_update_at)

    async def _update(self) -> None:
        before = self._view.position
        if not self._has_read and before <= self._history_gone_at:
            await self._read_all()
        elif not self._has_read or self._feed.is_reader():
            await self._read_changes()
        else:
            await self._check_position()
        if before.revision and before.era == self._view.era:
            self._feed.forward_changes(before.revision)

    async def _read_all(self) -> None:
        began_at = self._clock()
        known = self._view.position
        last_update_at = self._last_update_at
        if self._is_behind:
            # All items may be megabytes.
            self._check_not_behind(await self._source.position(), known)
        snapshot = await self._source.read_all()
        self._check_not_behind(snapshot.position, known)
        unseen_s = self._unseen_s(last_update_at, self._clock())
        self._record_success(began_at)
        self._view.apply_snapshot(snapshot._replace(unseen_s=unseen_s), fleetview.STORE)
        self._has_read = True
        journal.info(
            'store.read',
            items=len(snapshot.items),
            revision=snapshot.revision,
            era=snapshot.era,
        )

    async def _read_changes(self) -> None:
        known = self._view.position
        is_watching = self.is_store_reachable and self._feed.is_reader()
        last_update_at = self._last_update_at
        began_at = self._clock()
        changes = await self._source.wait_changes(
            known.revision, self._watch_timeout_s(is_watching)
        )
        answered_at = self._clock()
        # A watch reports a change at once, so nothing was unseen after it began.
        seen_from = began_at if is_watching else answered_at
        unseen_s = self._unseen_s(last_update_at, seen_from)
        if changes is None or changes.era > known.era:
            # The end of an outage is recorded by the read of all items that follows.
            journal.info('store.history_gone', after=known.revision, era=known.era)
            is_gone_again = self._has_read and self._history_gone_at == known
            self._has_read = False
            self._history_gone_at = known
            if is_gone_again:
                raise call.CallFailed(f'the changes after {known} are gone again')
            return
        self._check_not_behind(changes.position, known)
        self._record_success(answered_at if is_watching else began_at)
        self._view.apply_changes(changes._replace(unseen_s=unseen_s), fleetview.STORE)
        self._has_read = True

    def _unseen_s(self, last_update_at: float, seen_from: float) -> float:
        """Return for how many seconds changes may have gone unseen.

        None is made in an outage of the store.
        """
        return 0.0 if self._is_outage else seen_from - last_update_at

    def _watch_timeout_s(self, is_watching: bool) -> float:
        """Return for how many seconds the store may wait for a change."""
        if not is_watching:
            return 0.0
        is_new = self._clock() - self._regained_at < READER_SELECTION_S
        return READER_SELECTION_WATCH_S if is_new else WATCH_TIMEOUT_S

    async def _check_position(self) -> None:
        """Read changes that the store has and that no peer has sent in time."""
        began_at = self._clock()
        known = self._view.position
        newest = await self._source.position()
        self._check_not_behind(newest, known)
        receive_until = self._clock() + self._receive_timeout_s
        while self._view.position < newest:
            if self._clock() >= receive_until:
                journal.info('store.untold', newest=newest, known=self._view.position)
                await self._read_changes()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._record_success(began_at)

    def _record_failure(self, exc: Exception) -> None:
        self._failures += 1
        self._view.store_contact.record_failure()
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
        # The view's clock may be ahead, by the time for which the machine slept.
        self._view.store_contact.record_answer(self._clock() - known_at)
        if not self.is_store_reachable:
            self._regained_at = self._clock()
        self._last_read_at = known_at
        if not self._failures:
            return
        self._failures = 0
        away_s = round(self._clock() - self._failing_since, 3)
        journal.info('store.regained', away_s=away_s, alone=self._is_own_outage)

    def _check_not_behind(
        self, answered: positions.Position, known: positions.Position
    ) -> None:
        """Raise `call.CallFailed` if the store answers from before what was known.

        Nothing can be read from such a store until it has caught up.
        """
        self._is_behind = answered < known
        if self._is_behind:
            journal.warning('store.behind', answered=answered, known=known)
            raise call.CallFailed(f'the store is at {answered}, behind {known}')
