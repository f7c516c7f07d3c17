"""The engine reconciler: brings an agent's engine to the wanted version."""

import asyncio
import dataclasses
import typing
from collections.abc import Callable

import msgspec

from primrosesaddle.core import layers
from primrosesaddle.membership import wire
from primrosesaddle.net import call
from primrosesaddle.staging import (
    area,
    fetching,
    loadplan,
    pieces,
    versionages,
    weightcache,
)
from primrosesaddle.telemetry import journal

__all__ = ('Engine', 'EngineState', 'EngineReconciler', 'make_goal')

CHECK_INTERVAL_S = 0.12  # between reads of the state, cheap on the same machine
ORDER_RETRY_S = 0.3  # an accepted order shows in the engine's state by then
UNREACHABLE_CHECKS = 2  # failed reads in a row before the engine counts as lost
REPORT_INTERVAL_S = 0.2  # between reports to entries when nothing changed
# Reports of mere changes of load that an agent sends per second, to all entries
# together. More took a third of its processor time with 14 entries.
MAX_LOAD_REPORTS_PER_S = 40
MAX_REPORT_INTERVAL_S = 0.35  # entries consider a report stale after 0.8 s
# Between reads of whether the engine is cold, and for how long entries want them: twice
# the interval at which they send their goals. Health checks take time of the engine.
COLD_CHECK_INTERVAL_S = 0.25
COLD_WATCH_S = 4.0
KEPT_GOALS = 3
LOADING_S = 0.4  # from the last piece of a part to the report that it is loaded


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports.

    `models` maps a model to the layers that are loaded. `busy` is whether the engine
    carries out an order. `pace` is over 1 when it is slower than its profile. `leaving`
    is whether it says that it is leaving, `memory_share` the part of its memory that
    requests hold.
    """

    models: dict[str, layers.Span]
    busy: bool
    active: int
    queued: int
    pace: float
    start_time_ms: int
    leaving: bool = False
    memory_share: float = 0.0


class Engine(area.StagingStore, typing.Protocol):
    """The engine of an agent's machine."""

    address: str

    async def read_state(self) -> EngineState:
        """Return the engine's state."""

    async def read_cold_s(self) -> float:
        """Return for how many more seconds the engine says that it is cold."""

    async def load(self, model: str, span: layers.Span) -> bool:
        """Order the engine to load layers, and return whether it accepted that."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """A load order that was sent at a time.

    `serves_on` is whether the engine keeps serving the layers that it holds.
    """

    version: pieces.Version
    span: layers.Span
    sent_at: float
    serves_on: bool


SendReport = Callable[[wire.ServerState], None]
_Held = layers.Span | None


class EngineReconciler:
    """Fetches the wanted version, loads it at the engine's turn, and sends reports.

    The functions in `state_listeners` are called with each state that was read.
    `is_machine_shared` is set by the owner, and sent with the reports.
    """

    def __init__(
        self,
        engine: Engine,
        cache: weightcache.WeightCache,
        bound_s: float,
        send_report: SendReport,
        count_receivers: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Create a reconciler of an engine, which has to be run.

        `bound_s` is the age in seconds at which a version is required;
        `count_receivers` returns the number of entries that `send_report` reaches.
        """
        self._engine = engine
        self._fetches = fetching.VersionFetcher(cache, clock)
        self._bound_s = bound_s
        self._send_report = send_report
        self._count_receivers = count_receivers
        self._clock = clock
        self._goals: list[loadplan.Goal] = []
        self._area = area.StagingArea(engine, cache, clock)
        self._state: EngineState | None = None
        self.is_machine_shared = False
        self.state_listeners: list[Callable[[EngineState], None]] = []
        self._failed_checks = 0
        self._order: _Order | None = None
        self._last_report: wire.ServerState | None = None
        self._reported_at = 0.0
        self._cold_until = 0.0
        self._cold_checked_at = 0.0
        self._watch_cold_until = 0.0

    @property
    def engine_state(self) -> EngineState | None:
        """The state of the engine as it was read last, None while it is lost."""
        return self._state

    def set_goal(self, goal: loadplan.Goal) -> None:
        """Adopt a wanted version, unless a newer one of the model is wanted already.

        For a version that is wanted already, the more reliable announcement is kept.
        """
        newest = self._goals[-1] if self._goals else None
        if newest is not None and newest.version.model == goal.version.model:
            if goal.version.number < newest.version.number:
                return
            if goal.version == newest.version:
                announcement = versionages.choose_announcement(
                    newest.announcement, goal.announcement
                )
                self._goals[-1] = dataclasses.replace(goal, announcement=announcement)
                return
        journal.info('goal.set', version=goal.version.label)
        self._goals.append(goal)
        self._goals = self._goals[-KEPT_GOALS:]

    def get_known_ages_s(self) -> dict[str, float]:
        """Return the known ages of the wanted versions in seconds, by label."""
        now = self._clock()
        return {
            goal.version.label: round(now - goal.announcement.announced_at, 3)
            for goal in self._goals
            if goal.announcement.is_known
        }

    def watch_cold(self) -> None:
        """Report for a while whether the engine is cold, as an entry asks for it."""
        self._watch_cold_until = self._clock() + COLD_WATCH_S

    def report_again(self) -> None:
        """Send the state again at the next check, as when an entry has just joined."""
        self._last_report = None

    async def run(self) -> None:
        """Reconcile the engine and send reports, until cancelled."""
        while True:
            await self._update_state()
            await self._update_cold()
            await self._advance()
            self._report_state()
            await asyncio.sleep(
                max(CHECK_INTERVAL_S, self._get_load_report_interval_s() / 2)
            )

    async def _update_state(self) -> None:
        """Read the engine's state, and notice when it is lost or has restarted."""
        try:
            state = await self._engine.read_state()
        except call.CallFailed as exc:
            self._failed_checks += 1
            if self._failed_checks == UNREACHABLE_CHECKS:
                journal.warning('engine.lost', error=str(exc))
                self._forget_engine()
            return
        if self._failed_checks >= UNREACHABLE_CHECKS:
            journal.info('engine.regained', born_ms=state.start_time_ms)
        self._failed_checks = 0
        known = self._state
        if known is not None and known.start_time_ms != state.start_time_ms:
            journal.info('engine.restarted', born_ms=state.start_time_ms)
            self._forget_engine()
        self._state = state
        for listener in self.state_listeners:
            listener(state)

    async def _update_cold(self) -> None:
        """Read whether the engine is cold, while entries ask for it."""
        now = self._clock()
        if self._state is None or now >= self._watch_cold_until:
            return
        if now - self._cold_checked_at < COLD_CHECK_INTERVAL_S:
            return
        self._cold_checked_at = now
        try:
            cold_s = await self._engine.read_cold_s()
        except call.CallFailed as exc:
            # What it stated last holds; `_update_state` notices an engine that is lost.
            journal.info('engine.cold_unknown', error=str(exc))
            return
        if cold_s and now >= self._cold_until:
            journal.info('engine.cold', for_s=round(cold_s, 2))
        self._cold_until = now + cold_s if cold_s else 0.0

    def _forget_engine(self) -> None:
        """Discard what is known of the engine, its staging area and the last order."""
        self._state = None
        self._area.reset()
        self._order = None

    async def _advance(self) -> None:
        """Fetch what the goals need, and load what has been fetched."""
        if not self._goals:
            return
        newest = self._goals[-1]
        state = self._state
        held = state.models.get(newest.version.model) if state else None
        self._record_loaded(held)
        held_version = layers.complete_version(held, newest.layer_count)
        if held_version == newest.version.number:
            return
        for goal in loadplan.list_newer_goals(self._goals, held):
            due = loadplan.get_due_time(goal, self._bound_s)
            self._fetches.start_fetch(goal.version, newest.ordered_parts[0], due)
            if self._fetches.is_complete(goal.version):
                break  # no older version is needed
        if state is None or state.busy:
            return
        try:
            await self._load_next(held_version, held)
        except call.CallFailed as exc:
            self._area.reset()
            journal.warning('engine.call_failed', error=str(exc))

    async def _load_next(self, held_version: int, held: _Held) -> None:
        """Stage and load what has been fetched.

        An engine that serves another version meanwhile waits for its turn to switch.
        """
        min_version = loadplan.get_required_version(
            self._goals, self._clock(), self._bound_s
        )
        load = loadplan.choose_load(self._goals, held, min_version, self._fetches)
        if load is None:
            return
        goal, span = load
        await self._area.stage_layers(goal.version, span)
        if held_version and self._clock() < self._get_switch_time(
            held_version, goal.switch_position
        ):
            return
        await self._load(goal, span, held)

    def _get_switch_time(self, held_version: int, position: float) -> float:
        """Return when this server may switch.

        Servers switch one after the other between the end of staging and the time at
        which a newer version is due; `position` is from 0 to 1.
        """
        deadline = loadplan.get_switch_deadline(
            self._goals, held_version, self._bound_s
        )
        spread_s = max(0.0, deadline - self._area.staged_at)
        return self._area.staged_at + spread_s * position

    async def _load(self, goal: loadplan.Goal, span: layers.Span, held: _Held) -> None:
        """Order the engine to load staged layers, once these have been verified.

        An order that was sent shortly before is not repeated.
        """
        wanted = goal.version
        order = self._order
        if order is not None and (order.version, order.span) == (wanted, span):
            if self._clock() - order.sent_at <= ORDER_RETRY_S:
                return
        if not await self._area.verify_layers(wanted, span):
            return
        serves_on = held is not None and held.version == wanted.number
        self._order = _Order(wanted, span, self._clock(), serves_on)
        self._report_state()
        try:
            accepted = await self._engine.load(wanted.model, span)
        except call.CallFailed as exc:
            # The order may have been accepted; the next state of the engine shows it.
            journal.warning('order.unanswered', version=wanted.label, error=str(exc))
            return
        journal.info(
            'order.sent',
            version=wanted.label,
            first=span.first,
            end=span.end,
            accepted=accepted,
            age_s=round(self._clock() - goal.announcement.announced_at, 3),
        )
        if not accepted:
            self._order = None

    def _record_loaded(self, held: _Held) -> None:
        """Complete the last order once the engine holds its layers.

        Older versions in memory are then dropped.
        """
        order = self._order
        if order is None or not layers.covers(held, order.span):
            return
        journal.info(
            'version.loaded',
            version=order.version.label,
            first=order.span.first,
            end=order.span.end,
            took_s=round(self._clock() - order.sent_at, 3),
        )
        self._order = None
        self._fetches.cancel_older(order.version)

    def _estimate_ready_s(self, state: EngineState) -> float:
        """Return in how many seconds the engine will hold more layers.

        These are its first part, and after that all layers. Returns 0 when that is
        not known, and for an engine that can serve alone.
        """
        if not self._goals:
            return 0.0
        newest = self._goals[-1]
        held = state.models.get(newest.version.model)
        if layers.complete_version(held, newest.layer_count):
            return 0.0
        share = 1 / len(newest.ordered_parts) if held is None else 1.0
        fetched_s = self._fetches.estimate_remaining_s(newest.version, share)
        return fetched_s + LOADING_S if fetched_s else 0.0

    def _report_state(self) -> None:
        """Send the engine's state to the entries if a report is due."""
        state = self._state
        if state is None:
            report = wire.ServerState(self._engine.address, 0, False)
        else:
            report = wire.ServerState(
                self._engine.address,
                state.start_time_ms,
                True,
                state.active,
                state.queued,
                state.models,
                self._order is not None and not self._order.serves_on,
                state.pace,
                round(self._estimate_ready_s(state), 2),
                state.leaving,
                round(max(0.0, self._cold_until - self._clock()), 2),
                round(state.memory_share, 3),
                self.is_machine_shared,
            )
        now = self._clock()
        if self._last_report is not None and _without_load(report) == _without_load(
            self._last_report
        ):
            quiet_s = REPORT_INTERVAL_S if report == self._last_report else 0.0
            if now - self._reported_at < max(
                quiet_s, self._get_load_report_interval_s()
            ):
                return
        self._last_report = report
        self._reported_at = now
        self._send_report(report)

    def _get_load_report_interval_s(self) -> float:
        """Return the seconds between reports of which only the load has changed."""
        return min(
            MAX_REPORT_INTERVAL_S, self._count_receivers() / MAX_LOAD_REPORTS_PER_S
        )


def _without_load(report: wire.ServerState) -> wire.ServerState:
    """Return a report without the values that change all the time."""
    return msgspec.structs.replace(
        report,
        active=0,
        queued=0,
        pace=1.0,
        ready_in_s=0.0,
        cold_remaining_s=float(report.cold_remaining_s > 0),
        memory_share=0.0,
    )


def make_goal(
    version: pieces.Version, report: wire.Goal, clock: Callable[[], float]
) -> loadplan.Goal:
    """Return the goal in a message of an entry; `clock` returns the time in seconds."""
    announcement = versionages.Announcement(clock() - report.age_s, report.age_known)
    return loadplan.Goal(
        version,
        announcement,
        report.switch_position,
        report.layer_count,
        report.first_part_index,
    )
