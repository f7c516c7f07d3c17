"""The keeper: brings the engine beside an agent to the version that is wanted."""

import asyncio
import dataclasses
import typing
from collections.abc import Callable

from primrosesaddle.membership import wire
from primrosesaddle.net import call
from primrosesaddle.staging import depot, fetches, pieces
from primrosesaddle.telemetry import journal

__all__ = ('Engine', 'EngineState', 'Goal', 'Keeper', 'make_goal')

LOOK_S = 0.12  # between reports, which are free on the same machine
# The last server switches this long before a version is required: calls that it
# has taken have begun by then.
LAST_TURN_MARGIN_S = 0.8
ORDER_RETRY_S = 0.3  # an order that began shows in the report by then
UNREACHABLE_LOOKS = 2  # failed reports in a row before a server counts as gone
TELL_S = 0.2  # between reports to entries when only the load changed
NEARLY_WHOLE = 0.8  # share of the newest version from which an older is passed over
KEPT_GOALS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own report; `models` holds what is loaded whole."""

    models: dict[str, int]
    busy: bool
    active: int
    queued: int
    pace: float
    born_ms: int


class Engine(typing.Protocol):
    """The engine beside an agent."""

    address: str

    async def report(self) -> EngineState:
        """Return the engine's report."""

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None."""

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece."""

    async def load(self, version: pieces.Version) -> bool:
        """Order the staged version loaded, and return whether it was accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """The version to hold; `named_at` is of this process's clock.

    `place` is this server's, from 0 to 1, in the order in which servers switch.
    """

    version: pieces.Version
    named_at: float
    place: float = 0.0


Tell = Callable[[wire.ServerState], None]


class Keeper:
    """Report on the engine, fetch the wanted version, and switch in turn."""

    def __init__(
        self,
        engine: Engine,
        source: depot.Depot,
        bound_s: float,
        tell: Tell,
        clock: Callable[[], float],
    ) -> None:
        """Create a keeper; `bound_s` is the age at which a version is required."""
        self._engine = engine
        self._source = source
        self._fetches = fetches.Fetches(source, clock)
        self._bound_s = bound_s
        self._tell = tell
        self._clock = clock
        self._goals: list[Goal] = []
        self._staged: pieces.Version | None = None
        self._staged_at = 0.0
        self._state: EngineState | None = None
        self._failed_looks = 0
        self._switching: pieces.Version | None = None
        self._ordered_at = 0.0
        self._told: wire.ServerState | None = None
        self._told_at = 0.0

    def aim(self, goal: Goal) -> None:
        """Take a version that is wanted; an older one than the newest is ignored."""
        newest = self._goals[-1] if self._goals else None
        if newest is not None and newest.version.model == goal.version.model:
            if goal.version.number < newest.version.number:
                return
            if goal.version == newest.version:
                named_at = min(goal.named_at, newest.named_at)
                self._goals[-1] = dataclasses.replace(goal, named_at=named_at)
                return
        journal.info('goal.set', version=goal.version.mark)
        self._goals.append(goal)
        self._goals = self._goals[-KEPT_GOALS:]

    def look_again(self) -> None:
        """Tell the entries anew, as when one has just joined."""
        self._told = None

    async def run(self) -> None:
        """Look after the engine until cancelled."""
        while True:
            await self._look()
            await self._advance()
            self._report()
            await asyncio.sleep(LOOK_S)

    async def _look(self) -> None:
        try:
            state = await self._engine.report()
        except call.CallFailed as exc:
            self._failed_looks += 1
            if self._failed_looks == UNREACHABLE_LOOKS:
                journal.warning('engine.lost', error=str(exc))
                self._forget_engine()
            return
        if self._failed_looks >= UNREACHABLE_LOOKS:
            journal.info('engine.regained', born_ms=state.born_ms)
        self._failed_looks = 0
        known = self._state
        if known is not None and known.born_ms != state.born_ms:
            journal.info('engine.restarted', born_ms=state.born_ms)
            self._forget_engine()
        self._state = state

    def _forget_engine(self) -> None:
        self._state = None
        self._staged = None
        self._switching = None

    async def _advance(self) -> None:
        if not self._goals:
            return
        newest = self._goals[-1]
        state = self._state
        loaded = state.models.get(newest.version.model, 0) if state else 0
        self._note_loaded(loaded)
        if loaded == newest.version.number:
            return
        for goal in self._goals:
            if goal.version.number > loaded:
                self._fetches.want(goal.version)
        chosen = self._next_goal(loaded)
        if state is None or chosen is None or state.busy:
            return
        try:
            await self._bring(chosen, loaded)
        except call.CallFailed as exc:
            self._staged = None
            journal.warning('engine.call_failed', error=str(exc))

    def _next_goal(self, loaded: int) -> Goal | None:
        """Return the newest goal that is fetched, unless a newer one nearly is."""
        for goal in reversed(self._goals):
            if goal.version.number <= loaded:
                return None
            if self._fetches.is_whole(goal.version):
                return goal
            if loaded and self._fetches.share(goal.version) > NEARLY_WHOLE:
                return None
        return None

    async def _bring(self, goal: Goal, loaded: int) -> None:
        wanted = goal.version
        if self._staged != wanted:
            await self._stage(wanted)
        if self._switching == wanted and not self._order_failed():
            return
        if loaded and self._clock() < self._turn(goal):
            return
        await self._switch(goal)

    def _order_failed(self) -> bool:
        """Tell whether an order that was sent shows no effect."""
        return self._clock() - self._ordered_at > ORDER_RETRY_S

    def _turn(self, goal: Goal) -> float:
        """Return when this server may switch, in its turn before the bound."""
        last = goal.named_at + self._bound_s - LAST_TURN_MARGIN_S
        spread_s = max(0.0, last - self._staged_at)
        return self._staged_at + spread_s * goal.place

    async def _switch(self, goal: Goal) -> None:
        wanted = goal.version
        if not await self._verify(wanted):
            self._staged = None
            return
        self._switching = wanted
        self._report()
        self._ordered_at = self._clock()
        try:
            accepted = await self._engine.load(wanted)
        except call.CallFailed as exc:
            # The order may have been taken; the next report tells.
            journal.warning('order.unanswered', version=wanted.mark, error=str(exc))
            return
        age_s = round(self._clock() - goal.named_at, 3)
        journal.info('order.sent', version=wanted.mark, accepted=accepted, age_s=age_s)
        if not accepted:
            self._switching = None

    def _note_loaded(self, loaded: int) -> None:
        """Note that the version under way is loaded."""
        wanted = self._switching
        if wanted is None or loaded != wanted.number:
            return
        took_s = round(self._clock() - self._ordered_at, 3)
        journal.info('version.loaded', version=wanted.mark, took_s=took_s)
        self._switching = None
        self._fetches.drop_before(wanted)

    async def _stage(self, wanted: pieces.Version) -> None:
        """Write every piece to the engine's staging area.

        Raises `call.CallFailed`.
        """
        digests = await self._source.digests(wanted)
        for index, _ in enumerate(digests.pieces):
            body = await self._source.piece(wanted, index)
            await self._engine.write_piece(wanted.model, index, body)
        self._staged = wanted
        self._staged_at = self._clock()
        journal.info('version.staged', version=wanted.mark)

    async def _verify(self, wanted: pieces.Version) -> bool:
        """Read back every staged piece, and return whether all are sound.

        Raises `call.CallFailed`.
        """
        digests = await self._source.digests(wanted)
        for index, _ in enumerate(digests.pieces):
            body = await self._engine.read_piece(wanted.model, index)
            if body is None or not pieces.is_piece(digests, index, body):
                journal.warning('staged.spoilt', version=wanted.mark, index=index)
                return False
        return True

    def _report(self) -> None:
        state = self._state
        if state is None:
            told = wire.ServerState(self._engine.address, 0, False)
        else:
            told = wire.ServerState(
                self._engine.address,
                state.born_ms,
                True,
                state.active,
                state.queued,
                state.models,
                self._switching is not None,
                state.pace,
            )
        now = self._clock()
        if told == self._told and now - self._told_at < TELL_S:
            return
        self._told = told
        self._told_at = now
        self._tell(told)


def make_goal(
    version: pieces.Version, told: wire.Goal, clock: Callable[[], float]
) -> Goal:
    """Return the goal that an entry told."""
    return Goal(version, clock() - told.age_s, told.place)
