"""The keeper: brings the engine beside an agent to the version that is wanted."""

import asyncio
import dataclasses
import typing
from collections.abc import Callable

import xxhash

from primrosesaddle import journal, wire
from primrosesaddle.net import call
from primrosesaddle.staging import depot, pieces

__all__ = ('Engine', 'EngineState', 'Keeper')

LOOK_S = 0.12  # between reports, which are free on the same machine
WAVES = 2  # groups of servers that switch one after the other
# Before the bound of a version, the last wave switches: running calls end and the
# weights load in about this time.
SWITCH_S = 1.5
LAST_WAVE_MARGIN_S = 1.6
ORDER_RETRY_S = 0.3
UNREACHABLE_LOOKS = 2  # failed reports in a row before a server counts as gone
TELL_S = 0.2  # between reports to entries when nothing changed but the load


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

    async def held(self, model: str) -> set[int]:
        """Return the indexes of the pieces that are staged."""

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None."""

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece."""

    async def load(self, version: pieces.Version) -> bool:
        """Order the staged version loaded, and return whether it was accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """The version to hold; `named_at` is of this process's clock."""

    version: pieces.Version
    named_at: float


Tell = Callable[[wire.ServerState], None]


class Keeper:
    """Report on the engine, stage the wanted version, and switch in turn."""

    def __init__(
        self,
        engine: Engine,
        source: depot.Depot,
        name: str,
        bound_s: float,
        tell: Tell,
        clock: Callable[[], float],
    ) -> None:
        """Create a keeper; `bound_s` is the age at which a version is required."""
        self._engine = engine
        self._source = source
        self._name = name
        self._bound_s = bound_s
        self._tell = tell
        self._clock = clock
        self._goal: Goal | None = None
        self._staged: pieces.Version | None = None
        self._staging: asyncio.Task[None] | None = None
        self._state: EngineState | None = None
        self._failed_looks = 0
        self._switching = False
        self._ordered_at = 0.0
        self._told: wire.ServerState | None = None
        self._told_at = 0.0

    def aim(self, goal: Goal) -> None:
        """Take the version that is wanted; an older one is ignored."""
        known = self._goal
        if known is not None and known.version.model == goal.version.model:
            if goal.version.number < known.version.number:
                return
            if goal.version.number == known.version.number:
                if goal.named_at < known.named_at:
                    self._goal = goal
                return
        journal.info('goal.set', version=goal.version.mark)
        self._goal = goal
        self._stop_staging()

    def look_again(self) -> None:
        """Tell the entries anew, as when one has just joined."""
        self._told = None

    async def run(self) -> None:
        """Look after the engine until cancelled."""
        while True:
            await self._look()
            if self._state is not None and self._goal is not None:
                await self._advance(self._state, self._goal)
            self._report()
            await asyncio.sleep(LOOK_S)

    async def _look(self) -> None:
        try:
            state = await self._engine.report()
        except call.CallFailed as exc:
            self._failed_looks += 1
            if self._failed_looks == UNREACHABLE_LOOKS:
                journal.warning('engine.lost', error=str(exc))
                self._state = None
                self._switching = False
            return
        if self._failed_looks >= UNREACHABLE_LOOKS:
            journal.info('engine.regained', born_ms=state.born_ms)
        self._failed_looks = 0
        known = self._state
        if known is not None and known.born_ms != state.born_ms:
            journal.info('engine.restarted', born_ms=state.born_ms)
            self._staged = None
            self._switching = False
        self._state = state

    async def _advance(self, state: EngineState, goal: Goal) -> None:
        wanted = goal.version
        if state.models.get(wanted.model) == wanted.number:
            if self._switching:
                took_s = round(self._clock() - self._ordered_at, 3)
                journal.info('version.loaded', version=wanted.mark, took_s=took_s)
            self._switching = False
            return
        if self._staged != wanted:
            self._stage(wanted)
            return
        if state.busy or (self._switching and not self._order_failed(state)):
            return
        if state.models.get(wanted.model) and self._clock() < self._turn(goal):
            return
        await self._switch(goal)

    def _order_failed(self, state: EngineState) -> bool:
        """Tell whether an accepted order shows no effect."""
        return not state.busy and self._clock() - self._ordered_at > ORDER_RETRY_S

    def _turn(self, goal: Goal) -> float:
        """Return when this server's wave may switch."""
        key = f'{goal.version.mark}:{self._name}'
        wave = xxhash.xxh3_64_intdigest(key.encode()) % WAVES
        if not wave:
            return 0.0
        last = goal.named_at + self._bound_s - LAST_WAVE_MARGIN_S
        return last - SWITCH_S * (WAVES - 1 - wave)

    async def _switch(self, goal: Goal) -> None:
        wanted = goal.version
        if not await self._verify(wanted):
            self._staged = None
            return
        self._switching = True
        self._report()
        self._ordered_at = self._clock()
        try:
            accepted = await self._engine.load(wanted)
        except call.CallFailed as exc:
            # The order may have been taken; the next report tells.
            journal.warning('order.unanswered', version=wanted.mark, error=str(exc))
            return
        age_s = round(self._clock() - goal.named_at, 3)
        journal.info(
            'order.sent', version=wanted.mark, accepted=accepted, age_s=age_s
        )
        if not accepted:
            self._switching = False

    async def _verify(self, wanted: pieces.Version) -> bool:
        """Read back every staged piece, and return whether all are sound."""
        digests = await self._source.digests(wanted)
        for index in range(len(digests.pieces)):
            try:
                body = await self._engine.read_piece(wanted.model, index)
            except call.CallFailed as exc:
                journal.info('engine.unread', index=index, error=str(exc))
                return False
            if body is None or not pieces.is_piece(digests, index, body):
                journal.warning('staged.spoilt', version=wanted.mark, index=index)
                return False
        return True

    def _stage(self, wanted: pieces.Version) -> None:
        if self._staging is None or self._staging.done():
            self._staging = asyncio.create_task(self._stage_all(wanted))

    def _stop_staging(self) -> None:
        if self._staging is not None:
            self._staging.cancel()
            self._staging = None

    async def _stage_all(self, wanted: pieces.Version) -> None:
        began = self._clock()
        try:
            digests = await self._source.digests(wanted)
            missing = await self._missing(wanted, digests)
            for index in missing:
                body = await self._source.piece(wanted, index)
                await self._engine.write_piece(wanted.model, index, body)
                self._source.drop(wanted, index)
        except call.CallFailed as exc:
            journal.info('staging.failed', version=wanted.mark, error=str(exc))
            return
        self._staged = wanted
        took_s = round(self._clock() - began, 3)
        journal.info(
            'version.staged',
            version=wanted.mark,
            fetched=len(missing),
            took_s=took_s,
        )

    async def _missing(
        self, wanted: pieces.Version, digests: pieces.Digests
    ) -> list[int]:
        """Return the pieces that are not staged, or not as published."""
        held = await self._engine.held(wanted.model)
        missing = []
        for index in range(len(digests.pieces)):
            body = None
            if index in held:
                body = await self._engine.read_piece(wanted.model, index)
            if body is None or not pieces.is_piece(digests, index, body):
                missing.append(index)
        return missing

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
                self._switching or (state.busy and not state.models),
                state.pace,
            )
        now = self._clock()
        if told == self._told and now - self._told_at < TELL_S:
            return
        self._told = told
        self._told_at = now
        self._tell(told)


def make_goal(
    version: pieces.Version, age_s: float, clock: Callable[[], float]
) -> Goal:
    """Return a goal that was named some seconds ago."""
    return Goal(version, clock() - age_s)

