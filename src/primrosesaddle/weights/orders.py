"""Reconcile an engine with the versions in force, by load orders."""

import asyncio
import collections
import dataclasses
import time

from primrosesaddle.configuration import catalogue, replica
from primrosesaddle.core import httpio, pause
from primrosesaddle.membership import membertable
from primrosesaddle.telemetry import audit, journal
from primrosesaddle.weights import engine, switching, transfer

__all__ = ('Reconciler', 'WantedVersion', 'next_fence', 'list_wanted_versions')

READ_BACK_INTERVAL_S = 0.4
OLD_ORDER_LIFETIME_S = 2.0
RETRY_S = 1.0
PARALLEL_STAGED_CHUNKS = 4
FENCE_REVISION_STEP = 1 << 20
LOAD_TIMEOUT_S = 60.0
MIN_ANSWERS_TO_JUDGE = 20
MAX_LOAD_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class WantedVersion:
    """A version that the catalogue puts in force under a name.

    `target` is the name of the model or adapter, `base` the model of an adapter.
    `share` of the servers may switch at once, and calls may fail up to
    `error_share`.
    """

    target: str
    digest: str
    base: str
    share: float
    error_share: float
    checks_fencing: bool


@dataclasses.dataclass
class _Outcomes:
    """The answers of a version since the last check, and the errors among them."""

    answers: int = 0
    errors: int = 0


def list_wanted_versions(cat: catalogue.Catalogue, serves: str) -> list[WantedVersion]:
    """Return the versions that a model's server must load, the model's own first."""
    model = cat.get('model', serves)
    if model is None:
        return []
    versions = [_make_wanted_version(cat, model, '', model)]
    versions.extend(
        _make_wanted_version(cat, adapter, serves, model)
        for adapter in cat.entries_of_kind('adapter')
        if adapter.base == serves
    )
    return versions


def next_fence(revision: int, known: int) -> int:
    """Return a fencing number above `known` and above those of older revisions."""
    return max(known + 1, revision * FENCE_REVISION_STEP)


class Reconciler:
    """Compare the engine's state with the catalogue, and order what is missing."""

    def __init__(
        self,
        url: str,
        members: membertable.MemberTable,
        conf: replica.CatalogueReplica,
        store: transfer.WeightTransfer,
        chain: audit.Chain,
    ) -> None:
        """Create the reconciler of one engine."""
        self._url = url
        self._members = members
        self._config = conf
        self._weights = store
        self._audit = chain
        self._pause_detector = pause.PauseDetector(time.monotonic())
        self._fence = 0
        self._old_orders_expire_at = time.monotonic() + OLD_ORDER_LIFETIME_S
        self._ready_at: dict[str, float] = {}
        self._failed: dict[str, str] = {}
        self._attempts: collections.Counter[str] = collections.Counter()
        self._outcomes: dict[str, _Outcomes] = {}
        self._before: dict[str, str] = {}
        self.live: dict[str, str] = {}
        self.switching = ''

    @property
    def version_labels(self) -> tuple[str, ...]:
        """Return the heartbeat labels of the live and of the failed versions."""
        live = [switching.format_live_label(*pair) for pair in self.live.items()]
        failed = [switching.format_failed_label(*pair) for pair in self._failed.items()]
        return (*live, *failed)

    def record_outcome(self, digest: str, answered: bool) -> None:
        """Count a call to a version; `answered` is false when it failed."""
        tally = self._outcomes.setdefault(digest, _Outcomes())
        tally.answers += 1
        tally.errors += not answered

    async def run(self) -> None:
        """Reconcile the engine every READ_BACK_INTERVAL_S until cancelled."""
        while True:
            try:
                await self._reconcile_once()
            except httpio.HttpFailure as exc:
                if self.live:
                    journal.warning('engine.unreachable', error=str(exc))
                self._set_live({})
            await asyncio.sleep(READ_BACK_INTERVAL_S)

    async def _reconcile_once(self) -> None:
        wanted = list_wanted_versions(self._config.current, self._members.card.serves)
        if not wanted:
            return
        state = await engine.read_state(self._url)
        self._fence = max(self._fence, state.fence)
        self._update_live(state, wanted)
        self._drop_unwanted(wanted)
        for wanted_version in wanted:
            if state.loaded.get(wanted_version.target) != wanted_version.digest:
                await self._load_when_due(wanted_version, state)

    def _update_live(
        self, state: engine.EngineState, wanted: list[WantedVersion]
    ) -> None:
        """Set the live versions to those that the engine reports and that are wanted.

        An engine that does not check fencing may still carry out an order of an
        earlier process, so its state is ignored for OLD_ORDER_LIFETIME_S.
        """
        checks_fencing = any(wanted_version.checks_fencing for wanted_version in wanted)
        if not checks_fencing and time.monotonic() < self._old_orders_expire_at:
            return
        known = {
            version.manifest
            for version in self._config.current.entries_of_kind('version')
        }
        names = {wanted_version.target for wanted_version in wanted}
        self._set_live(
            {
                target: digest
                for target, digest in state.loaded.items()
                if target in names and digest in known
            }
        )
        for wanted_version in wanted:
            self._check_error_share(wanted_version)

    def _set_live(self, live: dict[str, str]) -> None:
        """Set the live versions by name; record and announce a change."""
        if live == self.live:
            return
        for target, digest in live.items():
            if self.live.get(target) != digest:
                self._audit.record(
                    'live',
                    target=target,
                    version=digest,
                    revision=self._config.revision,
                )
        self.live = live
        self._members.broadcast_heartbeat(leaving=self._members.leaving)

    def _check_error_share(self, wanted_version: WantedVersion) -> None:
        tally = self._outcomes.get(wanted_version.digest)
        if tally is None or tally.answers < MIN_ANSWERS_TO_JUDGE:
            return
        if tally.errors / tally.answers > wanted_version.error_share:
            self._stop_rollout(wanted_version, 'error_share')
        self._outcomes[wanted_version.digest] = _Outcomes()

    def _stop_rollout(self, wanted_version: WantedVersion, reason: str) -> None:
        if self._failed.get(wanted_version.target) == wanted_version.digest:
            return
        self._failed[wanted_version.target] = wanted_version.digest
        self._audit.record(
            'rollout_stopped',
            target=wanted_version.target,
            version=wanted_version.digest,
            reason=reason,
            revision=self._config.revision,
        )
        journal.error('rollout.stopped', target=wanted_version.target, reason=reason)
        self._members.broadcast_heartbeat(leaving=self._members.leaving)

    def _drop_unwanted(self, wanted: list[WantedVersion]) -> None:
        """Discard versions that are not wanted, and their failures."""
        digests = {wanted_version.digest for wanted_version in wanted}
        for digest in list(self._weights.progress()):
            if digest not in digests:
                self._weights.discard_version(digest)
                self._ready_at.pop(digest, None)
        current = {
            wanted_version.target: wanted_version.digest for wanted_version in wanted
        }
        for target, digest in list(self._failed.items()):
            if current.get(target) != digest:
                self._failed.pop(target)

    async def _load_when_due(
        self, wanted_version: WantedVersion, state: engine.EngineState
    ) -> None:
        fetching = self._weights.start_fetch(wanted_version.digest)
        if not fetching.done.is_set() or state.loading:
            return
        if wanted_version.base and wanted_version.base not in state.loaded:
            return
        now = time.monotonic()
        ready_at = self._ready_at.setdefault(wanted_version.digest, now)
        if state.loaded.get(wanted_version.target) and not self._may_switch(
            wanted_version, now - ready_at
        ):
            return
        if self._failed.get(wanted_version.target) == wanted_version.digest:
            return
        self.switching = wanted_version.target
        try:
            await self._stage_and_order(wanted_version, state)
        except (engine.OrderRefused, httpio.HttpFailure) as exc:
            self._handle_failed_order(wanted_version, exc)
        finally:
            self.switching = ''

    def _may_switch(self, wanted_version: WantedVersion, waited_s: float) -> bool:
        live_label = switching.format_live_label(
            wanted_version.target, wanted_version.digest
        )
        failed_label = switching.format_failed_label(
            wanted_version.target, wanted_version.digest
        )
        name = self._members.card.name
        states = [switching.SwitchState(name, live=False)]
        states.extend(
            switching.SwitchState(
                peer.card.name,
                live_label in peer.state_labels,
                failed_label in peer.state_labels,
                waited_s,
            )
            for peer in self._members.alive_peers('agent', self._members.card.serves)
        )
        return switching.may_switch(
            name, wanted_version.digest, states, wanted_version.share
        )

    async def _stage_and_order(
        self, wanted_version: WantedVersion, state: engine.EngineState
    ) -> None:
        await self._stage(wanted_version.digest, state)
        self._pause_detector.observe(time.monotonic())
        fresh = await engine.read_state(self._url)
        self._fence = next_fence(self._config.revision, max(self._fence, fresh.fence))
        if self._pause_detector.observe(time.monotonic()) or not self._is_still_wanted(
            wanted_version
        ):
            return
        order = engine.LoadOrder(
            self._fence,
            wanted_version.target,
            wanted_version.digest,
            wanted_version.base,
        )
        self._audit.record(
            'order',
            target=wanted_version.target,
            version=wanted_version.digest,
            fence=self._fence,
            revision=self._config.revision,
        )
        await engine.send_order(self._url, order)
        await self._await_loaded(wanted_version)

    async def _await_loaded(self, wanted_version: WantedVersion) -> None:
        deadline = time.monotonic() + LOAD_TIMEOUT_S
        while time.monotonic() < deadline:
            state = await engine.read_state(self._url)
            if state.loaded.get(wanted_version.target) == wanted_version.digest:
                await engine.drop_weights(self._url, wanted_version.digest)
                self._attempts.pop(wanted_version.digest, None)
                self._update_live(
                    state,
                    list_wanted_versions(
                        self._config.current, self._members.card.serves
                    ),
                )
                return
            if not state.loading:
                raise httpio.HttpFailure(
                    'the engine reports another version than ordered', sent=True
                )
            await asyncio.sleep(READ_BACK_INTERVAL_S / 4)
        raise httpio.HttpFailure(
            f'the engine was still loading after {LOAD_TIMEOUT_S} s', sent=True
        )

    def _handle_failed_order(
        self, wanted_version: WantedVersion, exc: Exception
    ) -> None:
        self._attempts[wanted_version.digest] += 1
        journal.warning(
            'order.failed',
            target=wanted_version.target,
            error=str(exc),
            attempts=self._attempts[wanted_version.digest],
        )
        stale = isinstance(exc, engine.OrderRefused) and exc.stale
        if not stale and self._attempts[wanted_version.digest] >= MAX_LOAD_ATTEMPTS:
            self._stop_rollout(wanted_version, 'read_back')

    def _is_still_wanted(self, wanted_version: WantedVersion) -> bool:
        return wanted_version in list_wanted_versions(
            self._config.current, self._members.card.serves
        )

    async def _stage(self, digest: str, state: engine.EngineState) -> None:
        """Send the engine the manifest and the chunks that it has not staged.

        Raises `HttpFailure` when the engine does not accept one, or when the
        version is not complete here.
        """
        stored = self._weights.table.get(digest)
        if stored is None or not stored.is_complete:
            raise httpio.HttpFailure('the weights are no longer in memory', sent=False)
        await engine.put_weights(self._url, digest, 'manifest', stored.text)
        staged = set(state.staged.get(digest, ()))
        missing = [index for index in sorted(stored.chunks) if index not in staged]
        for start in range(0, len(missing), PARALLEL_STAGED_CHUNKS):
            await asyncio.gather(
                *(
                    engine.put_weights(
                        self._url, digest, str(index), stored.chunks[index]
                    )
                    for index in missing[start : start + PARALLEL_STAGED_CHUNKS]
                )
            )


def _make_wanted_version(
    cat: catalogue.Catalogue,
    entry: catalogue.Model | catalogue.Adapter,
    base: str,
    model: catalogue.Model,
) -> WantedVersion:
    return WantedVersion(
        entry.name,
        cat.version_of(entry).manifest,
        base,
        entry.limits.switching_share,
        entry.limits.error_share,
        model.engine.checks_fencing,
    )
