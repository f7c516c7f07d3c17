"""Crashes: parts of prompts under which one server after the other ends.

A part that crashes every server is in each of its crashes and is never answered, while
the other parts of its calls are shared with calls that are answered. Entries exchange
crashes, complete answers and blocks as ages in seconds. Merging takes late, doubled and
reordered reports: a crash is known by the start of the server that ended.
"""

import collections
import dataclasses
import functools
import itertools
from collections.abc import Callable, Iterable, Mapping

import xxhash

from primrosesaddle.calls import notices
from primrosesaddle.telemetry import journal

__all__ = (
    'Block',
    'BlockReport',
    'Clearance',
    'Crash',
    'CrashHistory',
    'Facts',
)

WINDOW_S = 600.0  # older crashes are forgotten
# Servers that end within this of each other have a cause in common that is no call,
# such as a power loss. The bound on the sum keeps crashes by frequent calls apart.
MOMENT_GAP_S = 0.2
MAX_MOMENT_S = 0.4
MIN_MOMENTS = 3  # with uncleared crashes, until a part is blocked
# For a part that was answered before, and for parts that occurred only together.
MIN_MOMENTS_IN_DOUBT = 5
MIN_SERVERS = 2  # a single server that ends again and again is at fault itself

FIRST_BLOCK_S = 120.0  # since the newest crash; doubles when a trial call crashes too
MAX_BLOCK_S = 3600.0
TRIAL_TIMEOUT_S = 30.0  # without an outcome, until another call is let pass
# Less than this is taken for the delay of a report, so that a time that is passed on
# between entries does not grow.
TIME_ERROR_S = 0.5

MAX_CRASHES = 256
MAX_PARTS = 64  # of a crash
MAX_BLOCKS = 64
MAX_CLEARANCES = 4096
MAX_ANSWERED = 4096  # parts whose last complete answer is known, the newest


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A server that ended `age_s` ago, and the parts of calls it had just begun."""

    incarnation: notices.Incarnation
    parts: tuple[str, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A part with which a call was last answered completely `age_s` ago."""

    part: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BlockReport:
    """A blocked part as told to other entries.

    `incarnation` and `age_s` are of the newest crash, `lapses` counts the trial calls
    that crashed a server, and `trial_age_s` is set while a trial call has no outcome.
    """

    part: str
    crash_count: int
    incarnation: notices.Incarnation
    age_s: float
    lapses: int
    trial_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a history tells other entries."""

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    blocks: tuple[BlockReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Why a call is not sent.

    `age_s` is of the newest crash, `retry_in_s` the time until a trial call is due, and
    `source` who made the block known: 'own' or a peer.
    """

    part: str
    crash_count: int
    age_s: float
    retry_in_s: float
    source: str


@dataclasses.dataclass(slots=True)
class _KnownCrash:
    """A crash as kept: `at` is in seconds of the steady clock."""

    parts: frozenset[str]
    at: float


@dataclasses.dataclass(slots=True)
class _KnownBlock:
    """A block as kept: `at` is the time of the newest crash."""

    crash_count: int
    incarnation: notices.Incarnation
    at: float
    lapses: int
    source: str
    tried_at: float | None = None

    @property
    def lapses_at(self) -> float:
        """The time from which a trial call is due."""
        return self.at + min(FIRST_BLOCK_S * 2.0**self.lapses, MAX_BLOCK_S)


@dataclasses.dataclass(frozen=True, slots=True)
class _Weight:
    """How strongly crashes speak against a part."""

    moments: int
    never_answered: bool
    crash_count: int
    server_count: int

    @property
    def needed_moments(self) -> int:
        """The number of moments from which the part may be blocked."""
        return MIN_MOMENTS if self.never_answered else MIN_MOMENTS_IN_DOUBT

    @property
    def is_enough(self) -> bool:
        """Whether the part may be blocked."""
        return self.moments >= self.needed_moments and self.server_count >= MIN_SERVERS

    @property
    def rank(self) -> tuple[bool, int, int]:
        """The order among parts that may be blocked.

        A part that was answered before comes last: it is in the crashes of the others.
        """
        return (self.never_answered, self.moments, self.crash_count)

    @property
    def suspicion(self) -> tuple[int, bool, int]:
        """The order among parts that may not be blocked yet."""
        return (self.moments, self.never_answered, self.crash_count)


class CrashHistory:
    """The crashes and complete answers known to a process, and what follows from them.

    Decisions are made when facts change; a lookup costs the number of parts it is for.
    """

    def __init__(
        self, clock: Callable[[], float], owns_trial: Callable[[str], bool]
    ) -> None:
        """Create an empty history.

        `clock` returns a steady time in seconds. `owns_trial` tells whether this
        process is the one that may let a call with a blocked part pass as a trial.
        """
        self._clock = clock
        self._owns_trial = owns_trial
        self._crashes: dict[notices.Incarnation, _KnownCrash] = {}
        self._blocks: dict[str, _KnownBlock] = {}
        # Complete answers: of parts with crashes, and of all others.
        self._cleared_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        self._uncleared: dict[str, set[notices.Incarnation]] = {}
        self._suspects: frozenset[str] = frozenset()
        # Crashes with a blocked part: answers with their other parts decide nothing.
        self._explained: set[notices.Incarnation] = set()
        self._is_outdated = False

    def record_crash(
        self,
        incarnation: notices.Incarnation,
        parts: Iterable[str],
        age_s: float = 0.0,
        source: str = 'own',
    ) -> bool:
        """Record a server that ended with calls that it had just begun to answer.

        Return whether that was new, so that other entries have to be told.
        """
        is_new = self._add_crash(Crash(incarnation, tuple(parts), age_s))
        self._decide(source)
        return is_new

    def record_sound(
        self, parts: Iterable[str], age_s: float = 0.0, source: str = 'own'
    ) -> tuple[str, ...]:
        """Record that a call with these parts was answered completely.

        Return the parts that this clears, of which other entries have to be told.
        """
        at = self._clock() - max(age_s, 0.0)
        told = tuple(part for part in parts if self._add_answer(part, at, source))
        self._decide(source)
        return told

    def find_block(self, parts: Iterable[str]) -> Block | None:
        """Return the block on one of the parts, None if the call may be sent.

        Ask once for a call: after a block has lapsed, the process that owns the trial
        of its part gets None once, for the call that it is asked for.
        """
        blocked = [part for part in parts if part in self._blocks]
        if not blocked:
            return None
        now = self._clock()
        for part in blocked:
            block = self._blocks[part]
            retry_in_s = _get_trial_due(block, now) - now
            if retry_in_s > 0 or not self._owns_trial(part):
                return Block(
                    part,
                    block.crash_count,
                    now - block.at,
                    retry_in_s if retry_in_s > 0 else TRIAL_TIMEOUT_S,
                    block.source,
                )
        for part in blocked:
            self._blocks[part].tried_at = now
            _log('part.trial', part, self._blocks[part], now)
        return None

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether a call with these parts may have ended its server.

        Parts whose crashes are explained by another part are not suspected.
        """
        return any(part in self._suspects or part in self._blocks for part in parts)

    def export(self) -> Facts:
        """Return all facts that other entries need, of bounded size."""
        now = self._clock()
        self._forget_old(now)
        self._decide('own')
        return Facts(
            tuple(
                Crash(incarnation, tuple(sorted(crash.parts)), now - crash.at)
                for incarnation, crash in self._crashes.items()
            ),
            tuple(Clearance(part, now - at) for part, at in self._cleared_at.items()),
            tuple(
                BlockReport(
                    part,
                    block.crash_count,
                    block.incarnation,
                    now - block.at,
                    block.lapses,
                    None if block.tried_at is None else now - block.tried_at,
                )
                for part, block in self._blocks.items()
            ),
        )

    def merge(self, facts: Facts, source: str) -> bool:
        """Add what another entry knows.

        Return whether other entries have to be told: something was new, or a block was
        reported that is known to be cleared.
        """
        now = self._clock()
        news = [self._add_crash(crash) for crash in facts.crashes]
        for clearance in facts.clearances:
            at = now - max(clearance.age_s, 0.0)
            news.append(self._add_clearance(clearance.part, at, source))
        news.extend(self._add_block(report, source) for report in facts.blocks)
        self._decide(source)
        return any(news)

    def _add_crash(self, told: Crash) -> bool:
        """Add a crash, and return whether it was new or had more parts."""
        at = self._clock() - max(told.age_s, 0.0)
        if not told.parts or at <= self._clock() - WINDOW_S:
            return False
        crash = self._crashes.get(told.incarnation)
        if crash is None:
            if len(self._crashes) >= MAX_CRASHES and not self._make_room(at):
                return False
            crash = _KnownCrash(frozenset(), at)
            self._crashes[told.incarnation] = crash
        parts = _bound_parts(told.incarnation, crash.parts.union(told.parts))
        if parts == crash.parts and at >= crash.at:
            return False
        is_new = parts != crash.parts or at < crash.at - TIME_ERROR_S
        for left_out in crash.parts - parts:
            self._drop_uncleared(left_out, told.incarnation)
        crash.parts, crash.at = parts, min(crash.at, at)
        self._correct_blocks(told.incarnation, crash.at)
        for part in parts:
            self._weigh(part, told.incarnation)
        self._is_outdated = True
        return is_new

    def _correct_blocks(self, incarnation: notices.Incarnation, at: float) -> None:
        """Take over an earlier time of a crash, which is nearer to the true one."""
        for block in self._blocks.values():
            if block.incarnation == incarnation:
                block.at = min(block.at, at)

    def _weigh(self, part: str, incarnation: notices.Incarnation) -> None:
        """Count a crash against one of its parts unless a later answer clears it."""
        answered_at = self._answered_at.pop(part, None)
        if answered_at is not None:
            self._cleared_at[part] = answered_at
        if self._get_answered_at(part) > self._crashes[incarnation].at:
            self._drop_uncleared(part, incarnation)
        else:
            self._uncleared.setdefault(part, set()).add(incarnation)

    def _drop_uncleared(self, part: str, incarnation: notices.Incarnation) -> None:
        """Count a crash no longer against a part."""
        remaining = self._uncleared.get(part, set())
        remaining.discard(incarnation)
        if not remaining:
            self._uncleared.pop(part, None)

    def _get_answered_at(self, part: str) -> float:
        """Return when a part was last answered completely, -inf if never."""
        answered_at = self._cleared_at.get(part)
        if answered_at is None:
            answered_at = self._answered_at.get(part, float('-inf'))
        return answered_at

    def _add_clearance(self, part: str, at: float, source: str) -> bool:
        """Add an answer known from a peer, and return whether it says anything new."""
        gained_s = at - self._get_answered_at(part)
        if gained_s <= 0 or (
            gained_s <= TIME_ERROR_S and not self._would_clear(part, at)
        ):
            return False
        return self._add_answer(part, at, source)

    def _would_clear(self, part: str, at: float) -> bool:
        """Return whether an answer clears a crash of a part, or its block."""
        block = self._blocks.get(part)
        if block is not None and at > block.at:
            return True
        crashes = self._uncleared.get(part, ())
        return any(at > self._crashes[each].at for each in crashes)

    def _add_answer(self, part: str, at: float, source: str) -> bool:
        """Add a complete answer, and return whether it clears anything."""
        if at <= self._get_answered_at(part):
            return False
        clears = self._would_clear(part, at)
        if clears or part in self._cleared_at or part in self._uncleared:
            self._cleared_at.pop(part, None)
            self._cleared_at[part] = at
        else:
            self._answered_at.pop(part, None)
            self._answered_at[part] = at
            _drop_oldest(self._answered_at, MAX_ANSWERED)
        if clears:
            self._answered_at.pop(part, None)
            self._clear(part, at, source)
        return clears

    def _clear(self, part: str, at: float, source: str) -> None:
        for incarnation in list(self._uncleared.get(part, ())):
            if at > self._crashes[incarnation].at:
                self._drop_uncleared(part, incarnation)
                self._is_outdated |= incarnation not in self._explained
        block = self._blocks.get(part)
        if block is not None and at > block.at:
            self._blocks.pop(part)
            self._is_outdated = True
            block.source = source
            _log('part.cleared', part, block, self._clock())

    def _add_block(self, report: BlockReport, source: str) -> bool:
        """Add a block of a peer, and return whether others have to be told."""
        now = self._clock()
        at = now - max(report.age_s, 0.0)
        crash = self._crashes.get(report.incarnation)
        if crash is not None:
            at = min(at, crash.at)
        answered_at = self._get_answered_at(report.part)
        if answered_at > at:
            self._answered_at.pop(report.part, None)
            self._cleared_at[report.part] = answered_at
            return True
        told = _KnownBlock(
            report.crash_count, report.incarnation, at, report.lapses, source
        )
        if report.trial_age_s is not None:
            told.tried_at = now - report.trial_age_s
        if now > told.lapses_at + MAX_BLOCK_S:
            return False
        known = self._blocks.get(report.part)
        self._is_outdated = True
        if known is None:
            self._block(report.part, told)
            return True
        return _unite_blocks(known, told)

    def _block(self, part: str, block: _KnownBlock) -> None:
        self._blocks[part] = block
        _log('part.blocked', part, block, self._clock())
        if len(self._blocks) > MAX_BLOCKS:
            oldest = min(self._blocks, key=lambda each: self._blocks[each].at)
            dropped = self._blocks.pop(oldest)
            _log('part.forgotten', oldest, dropped, self._clock())

    def _make_room(self, at: float) -> bool:
        """Drop the oldest crash if it is older than a new one."""
        oldest = _sort_by_time(self._crashes, self._crashes)[0]
        if self._crashes[oldest].at >= at:
            return False
        self._drop_crash(oldest)
        return True

    def _drop_crash(self, incarnation: notices.Incarnation) -> None:
        for part in self._crashes.pop(incarnation).parts:
            self._drop_uncleared(part, incarnation)
        self._is_outdated = True

    def _forget_old(self, now: float) -> None:
        for incarnation, crash in list(self._crashes.items()):
            if crash.at <= now - WINDOW_S:
                self._drop_crash(incarnation)
        for part, block in list(self._blocks.items()):
            if now > block.lapses_at + MAX_BLOCK_S:
                self._blocks.pop(part)
                _log('part.forgotten', part, block, now)
        self._forget_clearances(now)

    def _forget_clearances(self, now: float) -> None:
        """Keep the answers that may clear a crash or a block that a peer reports."""
        in_crashes: set[str] = set()
        if any(at <= now - WINDOW_S for at in self._cleared_at.values()):
            in_crashes.update(*(crash.parts for crash in self._crashes.values()))
        for part, at in list(self._cleared_at.items()):
            if at <= now - WINDOW_S and part not in in_crashes:
                self._answered_at[part] = self._cleared_at.pop(part)
        _drop_oldest(self._cleared_at, MAX_CLEARANCES)
        _drop_oldest(self._answered_at, MAX_ANSWERED)

    def _decide(self, source: str) -> None:
        """Find the parts that explain the crashes, block them and suspect others."""
        if not self._is_outdated:
            return
        self._forget_old(self._clock())
        self._is_outdated = False
        moments = _group_moments(self._crashes)
        for part, block in self._blocks.items():
            self._count_later_crashes(part, block, source)
        explained = self._list_explained()
        weigh = functools.partial(self._weigh_part, moments, explained)
        undecided = self._block_explaining(weigh, explained, source)
        self._suspects = undecided | self._list_suspects(weigh, explained)
        self._explained = self._list_explained()

    def _list_explained(self) -> set[notices.Incarnation]:
        """Return the crashes with a blocked part."""
        crashes = (self._uncleared.get(part, ()) for part in self._blocks)
        return set(itertools.chain.from_iterable(crashes))

    def _count_later_crashes(self, part: str, block: _KnownBlock, source: str) -> None:
        crashes = self._uncleared.get(part, set())
        block.crash_count = max(block.crash_count, len(crashes))
        for incarnation in _sort_by_time(crashes, self._crashes):
            at = self._crashes[incarnation].at
            if at > block.at:
                is_lapsed = at > block.lapses_at
                block.lapses += is_lapsed
                block.incarnation, block.at, block.tried_at = incarnation, at, None
                if is_lapsed:
                    block.source = source
                    _log('part.blocked', part, block, self._clock())

    def _weigh_part(
        self,
        moments: Mapping[notices.Incarnation, int],
        explained: set[notices.Incarnation],
        part: str,
    ) -> _Weight:
        crashes = self._uncleared[part] - explained
        return _Weight(
            len({moments[each] for each in crashes}),
            self._get_answered_at(part) == float('-inf'),
            len(crashes),
            len({server_id for server_id, _ in crashes}),
        )

    def _block_explaining(
        self,
        weigh: Callable[[str], _Weight],
        explained: set[notices.Incarnation],
        source: str,
    ) -> frozenset[str]:
        """Block the parts in most crashes, one after the other.

        The crashes of each are taken out, so that the other parts of its calls are not
        accused with it. Return the parts that can't be told apart yet.
        """
        undecided: set[str] = set()
        candidates = [
            part
            for part, crashes in self._uncleared.items()
            if len(crashes) >= MIN_MOMENTS and part not in self._blocks
        ]
        while True:
            weights = {part: weigh(part) for part in candidates}
            weights = {part: each for part, each in weights.items() if each.is_enough}
            if not weights:
                return frozenset(undecided)
            top = max(each.rank for each in weights.values())
            ranked = [part for part, each in weights.items() if each.rank == top]
            first, *others = sorted(ranked)
            crashes = self._uncleared[first] - explained
            tied = [first]
            tied.extend(part for part in others if crashes & self._uncleared[part])
            weight = weights[first]
            in_doubt = len(tied) > 1 and not (
                weight.never_answered and weight.moments >= MIN_MOMENTS_IN_DOUBT
            )
            for part in tied:
                if in_doubt:
                    undecided.add(part)
                else:
                    self._block_own(part, source)
                explained.update(self._uncleared[part])

    def _block_own(self, part: str, source: str) -> None:
        crashes = self._uncleared[part]
        newest = _sort_by_time(crashes, self._crashes)[-1]
        at = self._crashes[newest].at
        self._block(part, _KnownBlock(len(crashes), newest, at, 0, source))

    def _list_suspects(
        self,
        weigh: Callable[[str], _Weight],
        explained: set[notices.Incarnation],
    ) -> frozenset[str]:
        """Return the parts that best explain the crashes that remain."""
        by_suspicion = collections.defaultdict(list)
        for part, crashes in self._uncleared.items():
            if not crashes <= explained:
                by_suspicion[weigh(part).suspicion].append(part)
        remaining = set(explained)
        suspects: set[str] = set()
        for suspicion in sorted(by_suspicion, reverse=True):
            found = [
                part
                for part in by_suspicion[suspicion]
                if not self._uncleared[part] <= remaining
            ]
            for part in found:
                remaining |= self._uncleared[part]
            suspects.update(found)
        return frozenset(suspects)


def _get_trial_due(block: _KnownBlock, now: float) -> float:
    """Return when the next trial call is due."""
    if block.tried_at is None:
        return block.lapses_at
    return max(block.lapses_at, block.tried_at + TRIAL_TIMEOUT_S)


def _unite_blocks(known: _KnownBlock, told: _KnownBlock) -> bool:
    """Add what a peer knows of a block, and return whether that was new."""
    is_new = told.crash_count > known.crash_count or told.lapses > known.lapses
    known.crash_count = max(known.crash_count, told.crash_count)
    known.lapses = max(known.lapses, told.lapses)
    if told.incarnation == known.incarnation:
        known.at = min(known.at, told.at)
    elif told.at > known.at:
        is_new = True
        known.incarnation, known.at = told.incarnation, told.at
        known.tried_at = told.tried_at
    if told.tried_at is not None and told.tried_at > known.at:
        known.tried_at = max(known.tried_at or told.tried_at, told.tried_at)
    return is_new


def _sort_by_time(
    incarnations: Iterable[notices.Incarnation],
    crashes: Mapping[notices.Incarnation, _KnownCrash],
) -> list[notices.Incarnation]:
    """Return the servers in the order in which they ended."""
    return sorted(incarnations, key=lambda each: (crashes[each].at, each))


def _group_moments(
    crashes: Mapping[notices.Incarnation, _KnownCrash],
) -> dict[notices.Incarnation, int]:
    """Number the moments at which servers ended."""
    moments: dict[notices.Incarnation, int] = {}
    number = 0
    began_at = last_at = float('-inf')
    for incarnation in _sort_by_time(crashes, crashes):
        at = crashes[incarnation].at
        if at - last_at > MOMENT_GAP_S or at - began_at > MAX_MOMENT_S:
            number += 1
            began_at = at
        last_at = at
        moments[incarnation] = number
    return moments


def _bound_parts(
    incarnation: notices.Incarnation, parts: frozenset[str]
) -> frozenset[str]:
    """Return at most `MAX_PARTS` parts, the same ones whatever order they came in.

    Each crash keeps others, so that no part is always left out.
    """
    if len(parts) <= MAX_PARTS:
        return parts
    seed = xxhash.xxh64_intdigest(repr(incarnation).encode())
    ordered = sorted(
        parts, key=lambda part: (xxhash.xxh64_intdigest(part.encode(), seed), part)
    )
    return frozenset(ordered[:MAX_PARTS])


def _drop_oldest(times: dict[str, float], max_size: int) -> None:
    """Keep the newest of a mapping in the order of insertion."""
    while len(times) > max_size:
        times.pop(next(iter(times)))


def _log(event: str, part: str, block: _KnownBlock, now: float) -> None:
    journal.info(
        event,
        part=part,
        count=block.crash_count,
        age_s=round(now - block.at, 3),
        source=block.source,
    )
