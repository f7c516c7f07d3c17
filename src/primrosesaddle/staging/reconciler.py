"""The keeper: brings the engine beside an agent to the version that is wanted."""

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

LOOK_S = 0.12  # between reports, which are free on the same machine
ORDER_RETRY_S = 0.3  # an order that began shows in the report by then
UNREACHABLE_LOOKS = 2  # failed reports in a row before a server counts as gone
TELL_S = 0.2  # between reports to entries when nothing changed
# Reports of load alone that an agent sends a second, to all entries together. More
# took a third of its processor time with 14 entries.
REPORTS_PER_S = 40
MAX_REPORT_INTERVAL_S = 0.35  # entries take a report for stale after 0.8 s
KEPT_GOALS = 3
LOADING_S = 0.4  # from the last piece of a part to the report that it is loaded


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own report; `models` holds the layers that are loaded."""

    models: dict[str, layers.Span]
    busy: bool
    active: int
    queued: int
    pace: float
    start_time_ms: int


class Engine(area.StagingStore, typing.Protocol):
    """The engine beside an agent."""

    address: str

    async def read_state(self) -> EngineState:
        """Return the engine's report."""

    async def load(self, model: str, span: layers.Span) -> bool:
        """Order that these layers be held, and return whether that was accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """An order that was sent; `alongside` when the engine serves on meanwhile."""

    version: pieces.Version
    span: layers.Span
    at: float
    alongside: bool


Tell = Callable[[wire.ServerState], None]
_Held = layers.Span | None


class EngineReconciler:
    """Report on the engine, fetch the wanted version, and switch in turn."""

    def __init__(
        self,
        engine: Engine,
        source: weightcache.WeightCache,
        bound_s: float,
        tell: Tell,
        audience: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        """Create a keeper.

        `bound_s` is the age at which a version is required, `audience` the number
        of entries that `tell` reaches.
        """
        self._engine = engine
        self._fetches = fetching.VersionFetcher(source, clock)
        self._bound_s = bound_s
        self._tell = tell
        self._audience = audience
        self._clock = clock
        self._goals: list[loadplan.Goal] = []
        self._area = area.StagingArea(engine, source, clock)
        self._state: EngineState | None = None
        self._failed_looks = 0
        self._order: _Order | None = None
        self._told: wire.ServerState | None = None
        self._told_at = 0.0

    def set_goal(self, goal: loadplan.Goal) -> None:
        """Take a version that is wanted; an older one than the newest is ignored."""
        newest = self._goals[-1] if self._goals else None
        if newest is not None and newest.version.model == goal.version.model:
            if goal.version.number < newest.version.number:
                return
            if goal.version == newest.version:
                naming = versionages.choose_announcement(
                    newest.announcement, goal.announcement
                )
                self._goals[-1] = dataclasses.replace(goal, announcement=naming)
                return
        journal.info('goal.set', version=goal.version.label)
        self._goals.append(goal)
        self._goals = self._goals[-KEPT_GOALS:]

    def get_known_ages_s(self) -> dict[str, float]:
        """Return how long ago the wanted versions were named, where known."""
        now = self._clock()
        return {
            goal.version.label: round(now - goal.announcement.announced_at, 3)
            for goal in self._goals
            if goal.announcement.is_known
        }

    def report_again(self) -> None:
        """Tell the entries anew, as when one has just joined."""
        self._told = None

    async def run(self) -> None:
        """Look after the engine until cancelled."""
        while True:
            await self._look()
            await self._advance()
            self._report()
            await asyncio.sleep(max(LOOK_S, self._pause_s() / 2))

    async def _look(self) -> None:
        try:
            state = await self._engine.read_state()
        except call.CallFailed as exc:
            self._failed_looks += 1
            if self._failed_looks == UNREACHABLE_LOOKS:
                journal.warning('engine.lost', error=str(exc))
                self._forget_engine()
            return
        if self._failed_looks >= UNREACHABLE_LOOKS:
            journal.info('engine.regained', born_ms=state.start_time_ms)
        self._failed_looks = 0
        known = self._state
        if known is not None and known.start_time_ms != state.start_time_ms:
            journal.info('engine.restarted', born_ms=state.start_time_ms)
            self._forget_engine()
        self._state = state

    def _forget_engine(self) -> None:
        self._state = None
        self._area.reset()
        self._order = None

    async def _advance(self) -> None:
        if not self._goals:
            return
        newest = self._goals[-1]
        state = self._state
        held = state.models.get(newest.version.model) if state else None
        self._note_loaded(held)
        loaded = layers.complete_version(held, newest.layer_count)
        if loaded == newest.version.number:
            return
        for goal in loadplan.list_newer_goals(self._goals, held):
            due = loadplan.get_due_time(goal, self._bound_s)
            self._fetches.start_fetch(goal.version, newest.ordered_parts[0], due)
            if self._fetches.is_complete(goal.version):
                break  # what is older is of no use
        if state is None or state.busy:
            return
        try:
            await self._bring_next(loaded, held)
        except call.CallFailed as exc:
            self._area.reset()
            journal.warning('engine.call_failed', error=str(exc))

    async def _bring_next(self, loaded: int, held: _Held) -> None:
        """Load what is fetched, in turn if another version serves."""
        least = loadplan.get_required_version(self._goals, self._clock(), self._bound_s)
        found = loadplan.choose_load(self._goals, held, least, self._fetches)
        if found is None:
            return
        goal, span = found
        await self._area.stage_layers(goal.version, span)
        if loaded and self._clock() < self._turn(loaded, goal.switch_position):
            return
        await self._load(goal, span, held)

    def _turn(self, loaded: int, place: float) -> float:
        """Return when this server may switch, in its turn before the bound."""
        last = loadplan.get_switch_deadline(self._goals, loaded, self._bound_s)
        spread_s = max(0.0, last - self._area.staged_at)
        return self._area.staged_at + spread_s * place

    async def _load(self, goal: loadplan.Goal, span: layers.Span, held: _Held) -> None:
        wanted = goal.version
        order = self._order
        if order is not None and (order.version, order.span) == (wanted, span):
            if self._clock() - order.at <= ORDER_RETRY_S:
                return
        if not await self._area.verify_layers(wanted, span):
            return
        alongside = held is not None and held.version == wanted.number
        self._order = _Order(wanted, span, self._clock(), alongside)
        self._report()
        try:
            accepted = await self._engine.load(wanted.model, span)
        except call.CallFailed as exc:
            # The order may have been taken; the next report tells.
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

    def _note_loaded(self, held: _Held) -> None:
        """Note that the layers under way are loaded."""
        order = self._order
        if order is None or not layers.covers(held, order.span):
            return
        journal.info(
            'version.loaded',
            version=order.version.label,
            first=order.span.first,
            end=order.span.end,
            took_s=round(self._clock() - order.at, 3),
        )
        self._order = None
        self._fetches.cancel_older(order.version)

    def _ready_in_s(self, state: EngineState) -> float:
        """Return when an engine that cannot serve alone will hold more layers.

        That is its first part, and after that all layers; 0 if it is not known.
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

    def _report(self) -> None:
        state = self._state
        if state is None:
            told = wire.ServerState(self._engine.address, 0, False)
        else:
            told = wire.ServerState(
                self._engine.address,
                state.start_time_ms,
                True,
                state.active,
                state.queued,
                state.models,
                self._order is not None and not self._order.alongside,
                state.pace,
                round(self._ready_in_s(state), 2),
            )
        now = self._clock()
        if self._told is not None and _state_of(told) == _state_of(self._told):
            quiet_s = TELL_S if told == self._told else 0.0
            if now - self._told_at < max(quiet_s, self._pause_s()):
                return
        self._told = told
        self._told_at = now
        self._tell(told)

    def _pause_s(self) -> float:
        """Return the time between reports of load alone."""
        return min(MAX_REPORT_INTERVAL_S, self._audience() / REPORTS_PER_S)


def _state_of(told: wire.ServerState) -> wire.ServerState:
    """Return a report without the load, which changes all the time."""
    return msgspec.structs.replace(told, active=0, queued=0, pace=1.0, ready_in_s=0.0)


def make_goal(
    version: pieces.Version, told: wire.Goal, clock: Callable[[], float]
) -> loadplan.Goal:
    """Return the goal that an entry told."""
    naming = versionages.Announcement(clock() - told.age_s, told.age_known)
    return loadplan.Goal(
        version, naming, told.switch_position, told.layer_count, told.first_part_index
    )
