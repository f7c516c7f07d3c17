"""Orders to the engine: bring it to the versions in force, and keep it there."""

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

READ_BACK_S = 0.4
OLD_ORDER_LIFE_S = 2.0
RETRY_S = 1.0
STAGE_PARALLEL = 4
FENCE_REVISION_STEP = 1 << 20
LOAD_TIMEOUT_S = 60.0
ERROR_SAMPLES = 20
READ_BACK_FAILURES = 3


@dataclasses.dataclass(frozen=True)
class WantedVersion:
    """A version that the catalogue puts in force under a name."""

    target: str
    digest: str
    base: str
    share: float
    error_share: float
    checks_fencing: bool


@dataclasses.dataclass
class _Outcomes:
    answers: int = 0
    errors: int = 0


def list_wanted_versions(cat: catalogue.Catalogue, serves: str) -> list[WantedVersion]:
    """Return what the server of a model is to have, the model itself first."""
    model = cat.get('model', serves)
    if model is None:
        return []
    found = [_wanted(cat, model, '', model)]
    found.extend(
        _wanted(cat, adapter, serves, model)
        for adapter in cat.entries_of_kind('adapter')
        if adapter.base == serves
    )
    return found


def next_fence(revision: int, known: int) -> int:
    """Return a fencing number above the engine's own and any older revision's."""
    return max(known + 1, revision * FENCE_REVISION_STEP)


class Reconciler:
    """Compare what the engine says with what is in force, and order the rest."""

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
        self._detector = pause.PauseDetector(time.monotonic())
        self._fence = 0
        self._trusted_at = time.monotonic() + OLD_ORDER_LIFE_S
        self._ready_at: dict[str, float] = {}
        self._failed: dict[str, str] = {}
        self._attempts: collections.Counter[str] = collections.Counter()
        self._outcomes: dict[str, _Outcomes] = {}
        self._before: dict[str, str] = {}
        self.live: dict[str, str] = {}
        self.switching = ''

    @property
    def version_labels(self) -> tuple[str, ...]:
        """Return what peers are told: live versions, and versions that failed."""
        live = [switching.format_live_label(*pair) for pair in self.live.items()]
        failed = [switching.format_failed_label(*pair) for pair in self._failed.items()]
        return (*live, *failed)

    def record_outcome(self, digest: str, answered: bool) -> None:
        """Count an answer or a failure of a version."""
        tally = self._outcomes.setdefault(digest, _Outcomes())
        tally.answers += 1
        tally.errors += not answered

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                await self._round()
            except httpio.HttpFailure as exc:
                if self.live:
                    journal.warning('engine.unreachable', error=str(exc))
                self._set_live({})
            await asyncio.sleep(READ_BACK_S)

    async def _round(self) -> None:
        wanted = list_wanted_versions(self._config.current, self._members.card.serves)
        if not wanted:
            return
        state = await engine.read_state(self._url)
        self._fence = max(self._fence, state.fence)
        self._read_back(state, wanted)
        self._forget_unwanted(wanted)
        for want in wanted:
            if state.loaded.get(want.target) != want.digest:
                await self._bring(want, state)

    def _read_back(
        self, state: engine.EngineState, wanted: list[WantedVersion]
    ) -> None:
        trusts = any(want.checks_fencing for want in wanted)
        if not trusts and time.monotonic() < self._trusted_at:
            return
        known = {
            version.manifest
            for version in self._config.current.entries_of_kind('version')
        }
        names = {want.target for want in wanted}
        self._set_live(
            {
                target: digest
                for target, digest in state.loaded.items()
                if target in names and digest in known
            }
        )
        for want in wanted:
            self._watch_errors(want)

    def _set_live(self, live: dict[str, str]) -> None:
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

    def _watch_errors(self, want: WantedVersion) -> None:
        tally = self._outcomes.get(want.digest)
        if tally is None or tally.answers < ERROR_SAMPLES:
            return
        if tally.errors / tally.answers > want.error_share:
            self._fail(want, 'error_share')
        self._outcomes[want.digest] = _Outcomes()

    def _fail(self, want: WantedVersion, reason: str) -> None:
        if self._failed.get(want.target) == want.digest:
            return
        self._failed[want.target] = want.digest
        self._audit.record(
            'rollout_stopped',
            target=want.target,
            version=want.digest,
            reason=reason,
            revision=self._config.revision,
        )
        journal.error('rollout.stopped', target=want.target, reason=reason)
        self._members.broadcast_heartbeat(leaving=self._members.leaving)

    def _forget_unwanted(self, wanted: list[WantedVersion]) -> None:
        digests = {want.digest for want in wanted}
        for digest in list(self._weights.progress()):
            if digest not in digests:
                self._weights.discard_version(digest)
                self._ready_at.pop(digest, None)
        current = {want.target: want.digest for want in wanted}
        for target, digest in list(self._failed.items()):
            if current.get(target) != digest:
                self._failed.pop(target)

    async def _bring(self, want: WantedVersion, state: engine.EngineState) -> None:
        fetching = self._weights.start_fetch(want.digest)
        if not fetching.done.is_set() or state.loading:
            return
        if want.base and want.base not in state.loaded:
            return
        now = time.monotonic()
        ready_at = self._ready_at.setdefault(want.digest, now)
        if state.loaded.get(want.target) and not self._may_switch(want, now - ready_at):
            return
        if self._failed.get(want.target) == want.digest:
            return
        self.switching = want.target
        try:
            await self._load(want, state)
        except (engine.OrderRefused, httpio.HttpFailure) as exc:
            self._order_failed(want, exc)
        finally:
            self.switching = ''

    def _may_switch(self, want: WantedVersion, waited_s: float) -> bool:
        live = switching.format_live_label(want.target, want.digest)
        failed = switching.format_failed_label(want.target, want.digest)
        name = self._members.card.name
        turns = [switching.SwitchState(name, live=False)]
        turns.extend(
            switching.SwitchState(
                peer.card.name,
                live in peer.state_labels,
                failed in peer.state_labels,
                waited_s,
            )
            for peer in self._members.alive_peers('agent', self._members.card.serves)
        )
        return switching.may_switch(name, want.digest, turns, want.share)

    async def _load(self, want: WantedVersion, state: engine.EngineState) -> None:
        await self._stage(want.digest, state)
        self._detector.observe(time.monotonic())
        fresh = await engine.read_state(self._url)
        self._fence = next_fence(self._config.revision, max(self._fence, fresh.fence))
        if self._detector.observe(time.monotonic()) or not self._still_wanted(want):
            return
        order = engine.LoadOrder(self._fence, want.target, want.digest, want.base)
        self._audit.record(
            'order',
            target=want.target,
            version=want.digest,
            fence=self._fence,
            revision=self._config.revision,
        )
        await engine.send_order(self._url, order)
        await self._confirm(want)

    async def _confirm(self, want: WantedVersion) -> None:
        deadline = time.monotonic() + LOAD_TIMEOUT_S
        while time.monotonic() < deadline:
            state = await engine.read_state(self._url)
            if state.loaded.get(want.target) == want.digest:
                await engine.drop_weights(self._url, want.digest)
                self._attempts.pop(want.digest, None)
                self._read_back(
                    state,
                    list_wanted_versions(
                        self._config.current, self._members.card.serves
                    ),
                )
                return
            if not state.loading:
                raise httpio.HttpFailure('read-back differs from the order', sent=True)
            await asyncio.sleep(READ_BACK_S / 4)
        raise httpio.HttpFailure('the load took too long', sent=True)

    def _order_failed(self, want: WantedVersion, exc: Exception) -> None:
        self._attempts[want.digest] += 1
        journal.warning(
            'order.failed',
            target=want.target,
            error=str(exc),
            attempts=self._attempts[want.digest],
        )
        stale = isinstance(exc, engine.OrderRefused) and exc.stale
        if not stale and self._attempts[want.digest] >= READ_BACK_FAILURES:
            self._fail(want, 'read_back')

    def _still_wanted(self, want: WantedVersion) -> bool:
        return want in list_wanted_versions(
            self._config.current, self._members.card.serves
        )

    async def _stage(self, digest: str, state: engine.EngineState) -> None:
        holding = self._weights.table.get(digest)
        if holding is None or not holding.is_complete:
            raise httpio.HttpFailure('the weights are gone', sent=False)
        await engine.put_weights(self._url, digest, 'manifest', holding.text)
        staged = set(state.staged.get(digest, ()))
        missing = [index for index in sorted(holding.chunks) if index not in staged]
        for at in range(0, len(missing), STAGE_PARALLEL):
            await asyncio.gather(
                *(
                    engine.put_weights(
                        self._url, digest, str(index), holding.chunks[index]
                    )
                    for index in missing[at : at + STAGE_PARALLEL]
                )
            )


def _wanted(
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
