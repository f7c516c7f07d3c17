"""Crashes: calls are not sent with a part that ends one server after the other.

Entries exchange crashes, complete answers and blocks as ages in seconds. Merging takes
late, doubled and reordered reports: a crash is known by the start of the server that
ended, and of the answers with a part the latest counts.
"""

import dataclasses
import functools
from collections.abc import Callable, Collection, Iterable, Sequence

from primrosesaddle.calls import evidence, notices
from primrosesaddle.telemetry import journal

__all__ = (
    'Block',
    'BlockReport',
    'Clearance',
    'Crash',
    'CrashHistory',
    'Facts',
)

FIRST_BLOCK_S = 120.0  # since the newest crash; doubles when a trial call crashes too
MAX_BLOCK_S = 3600.0  # also how long a block is kept after it has lapsed
TRIAL_TIMEOUT_S = 30.0  # without an outcome, until another call is let pass
# The same for a call without the parts that may be to blame in place of its own.
EARLY_TRIAL_S = 1.0  # since the newest crash
EARLY_TRIAL_TIMEOUT_S = 2.0
MAX_BLOCKS = 64
# An answer that is reported again seems later by the delay of the report. A difference
# up to this is no news, so that the time does not grow as entries pass it on.
MAX_REPORT_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A server that ended `age_s` ago, and the parts of calls it had just begun.

    `had_worked` is whether it had worked on other calls since its start.
    """

    incarnation: notices.Incarnation
    parts: tuple[str, ...]
    age_s: float
    had_worked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A part with which a call was last answered completely `age_s` ago."""

    part: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BlockReport:
    """A blocked part as told to other entries.

    `incarnation` and `age_s` are of the newest crash, `lapses` counts the times that
    calls crashed servers after the block had lapsed, and `trial_age_s` is set while a
    trial call has no outcome. `tied` holds the parts that were in the same crashes.
    """

    part: str
    crash_count: int
    incarnation: notices.Incarnation
    age_s: float
    lapses: int
    trial_age_s: float | None = None
    tied: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What a history tells other entries."""

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    blocks: tuple[BlockReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Why a call is not sent.

    `age_s` is of the newest crash, `retry_in_s` the time until a trial call may be due,
    and `source` who made the block known: 'own' or a peer.
    """

    part: str
    crash_count: int
    age_s: float
    retry_in_s: float
    source: str


@dataclasses.dataclass(slots=True)
class _KnownBlock:
    """A block as kept: `at` is the time of the newest crash, of the steady clock."""

    crash_count: int
    incarnation: notices.Incarnation
    at: float
    lapses: int
    source: str
    tried_at: float | None = None
    tied: frozenset[str] = frozenset()

    @property
    def lapses_at(self) -> float:
        """When a trial call is due first."""
        return self.at + min(FIRST_BLOCK_S * 2.0**self.lapses, MAX_BLOCK_S)

    @property
    def trial_due_at(self) -> float:
        """When the next trial call is due."""
        if self.tried_at is None:
            return self.lapses_at
        return max(self.lapses_at, self.tried_at + TRIAL_TIMEOUT_S)

    @property
    def early_trial_due_at(self) -> float:
        """When the next early trial call is due."""
        due_at = self.at + EARLY_TRIAL_S
        if self.tried_at is None:
            return due_at
        return max(due_at, self.tried_at + EARLY_TRIAL_TIMEOUT_S)

    def add_crash(self, incarnation: notices.Incarnation, at: float) -> bool:
        """Add a later crash, and return whether the block had lapsed before it."""
        had_lapsed = at >= self.lapses_at
        self.lapses += had_lapsed
        self.incarnation, self.at, self.tried_at = incarnation, at, None
        return had_lapsed

    def unite(self, told: '_KnownBlock') -> bool:
        """Add what a peer knows of the block, and return whether that was new."""
        is_new = told.crash_count > self.crash_count or told.lapses > self.lapses
        self.crash_count = max(self.crash_count, told.crash_count)
        self.lapses = max(self.lapses, told.lapses)
        self.tied &= told.tied
        if told.incarnation == self.incarnation:
            self.at = min(self.at, told.at)
        elif told.at > self.at:
            is_new = True
            self.incarnation, self.at = told.incarnation, told.at
            self.tried_at = None
        if told.tried_at is not None and told.tried_at > self.at:
            self.tried_at = max(self.tried_at or told.tried_at, told.tried_at)
        return is_new


class CrashHistory:
    """The crashes and complete answers that a process knows of, and its blocks.

    Blocks are decided on when facts change; a lookup costs the number of parts only.
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
        self._evidence = evidence.Evidence()
        self._blocks: dict[str, _KnownBlock] = {}
        self._undecided: frozenset[str] = frozenset()
        self._suspects: frozenset[str] | None = None  # None until asked for

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

    def record_working(self, incarnation: notices.Incarnation) -> bool:
        """Record a server that answers a call, or is past the answer's beginning.

        Return whether its end was known, so that other entries have to be told.
        """
        is_new = self._evidence.add_working(incarnation)
        self._decide('own')
        return is_new

    def awaits_work(
        self, parts: Iterable[str], incarnation: notices.Incarnation
    ) -> bool:
        """Return whether a server first has to work on calls without these parts."""
        now = self._clock()
        return any(self._evidence.awaits_work(part, incarnation, now) for part in parts)

    @property
    def block_count(self) -> int:
        """The number of blocked parts."""
        return len(self._blocks)

    def find_block(self, parts: Sequence[str]) -> Block | None:
        """Return the block on one of the parts, None if the call may be sent.

        The last part of a prompt may be left out, here and above, if it is no other
        prompt's: then calls beside one that crashes a server are repeated more often.

        Ask once for each call: when a block has lapsed, the process that owns the trial
        gets None once, and the call that it asked for is the trial.
        """
        block = self.get_block(parts)
        if block is None:
            now = self._clock()
            for tried in filter(functools.partial(self._applies, parts), parts):
                self._blocks[tried].tried_at = now
                _log('part.trial', tried, self._blocks[tried], now)
        return block

    def get_block(self, parts: Sequence[str]) -> Block | None:
        """Return what `find_block` would return, without making a call the trial."""
        now = self._clock()
        for part in parts:
            if not self._applies(parts, part):
                continue
            block = self._blocks[part]
            retry_in_s = _get_retry_s(
                block,
                now,
                is_early=not block.lapses and self._evidence.tells_apart(parts, part),
                owns_trial=self._owns_trial(part),
            )
            if retry_in_s:
                return Block(
                    part,
                    block.crash_count,
                    now - block.at,
                    retry_in_s,
                    block.source,
                )
        return None

    def _applies(self, parts: Collection[str], part: str) -> bool:
        """Return whether a part of a call is blocked, and so are all tied to it.

        Parts that only occurred together cannot be told apart. Calls that have some of
        them are served, and their answers clear those that are sound.
        """
        block = self._blocks.get(part)
        return block is not None and all(
            tied in parts for tied in block.tied if tied in self._blocks
        )

    def is_suspect(self, parts: Iterable[str], min_age_s: float = 0.0) -> bool:
        """Return whether a call with these parts may have ended its server.

        That is so if one of them is blocked or has a crash since its last complete
        answer, unless another part is in more crashes and explains this one. A part
        that was answered before is suspected from its second crash. Unless a part is
        blocked, its first crash has to be `min_age_s` ago.
        """
        if self._suspects is None:
            accused = self._undecided.union(self._blocks)
            self._suspects = accused | self._evidence.list_suspects(accused)
            self._log_suspects(self._suspects.difference(self._blocks))
        until = self._clock() - min_age_s
        return any(
            part in self._blocks or self._evidence.get_first_crash_at(part) <= until
            for part in parts
            if part in self._suspects
        )

    def export_crash(self, incarnation: notices.Incarnation) -> Facts:
        """Return a crash, and when its parts were last answered, for other entries.

        A part that was answered before is not easily taken for the cause of a crash.
        """
        crash = self._evidence.crashes.get(incarnation)
        if crash is None:
            return Facts()
        now = self._clock()
        parts = tuple(sorted(crash.parts))
        answers = ((part, self._evidence.get_answered_at(part)) for part in parts)
        return Facts(
            (Crash(incarnation, parts, now - crash.at, crash.had_worked),),
            tuple(
                Clearance(part, now - at) for part, at in answers if at > evidence.NEVER
            ),
        )

    def export(self) -> Facts:
        """Return all facts that other entries may need, of bounded size."""
        now = self._clock()
        self._forget_old(now)
        self._decide('own')
        return Facts(
            tuple(
                Crash(
                    incarnation,
                    tuple(sorted(crash.parts)),
                    now - crash.at,
                    crash.had_worked,
                )
                for incarnation, crash in self._evidence.crashes.items()
            ),
            tuple(
                Clearance(part, now - at)
                for part, at in self._evidence.cleared_at.items()
            ),
            tuple(
                BlockReport(
                    part,
                    block.crash_count,
                    block.incarnation,
                    now - block.at,
                    block.lapses,
                    None if block.tried_at is None else now - block.tried_at,
                    tuple(sorted(block.tied)),
                )
                for part, block in self._blocks.items()
            ),
        )

    def merge(self, facts: Facts, source: str) -> bool:
        """Add what another entry knows.

        Return whether entries have to be told: something was new, or the other entry
        does not know yet that a part is cleared.
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
        """Add a crash, and return whether others have to be told."""
        at = self._clock() - max(told.age_s, 0.0)
        if at <= self._clock() - evidence.WINDOW_S:
            return False
        before = self._evidence.crashes.get(told.incarnation)
        if not self._evidence.add_crash(
            told.incarnation, told.parts, at, had_worked=told.had_worked
        ):
            return False
        after = self._evidence.crashes[told.incarnation]
        for block in self._blocks.values():
            if block.incarnation == told.incarnation:
                block.at = min(block.at, after.at)
        return (
            before is None
            or before.parts != after.parts
            or before.had_worked != after.had_worked
            or before.at - after.at > MAX_REPORT_DELAY_S
        )

    def _add_clearance(self, part: str, at: float, source: str) -> bool:
        """Add a peer's answer, and return whether others have to be told."""
        gained_s = at - self._evidence.get_answered_at(part)
        clears = self._clears_block(part, at) or self._evidence.find_cleared(part, at)
        if clears or gained_s > MAX_REPORT_DELAY_S:
            return self._add_answer(part, at, source)
        return False

    def _clears_block(self, part: str, at: float) -> bool:
        block = self._blocks.get(part)
        return block is not None and at > block.at - evidence.ANSWER_HOLDS_S

    def _add_answer(self, part: str, at: float, source: str) -> bool:
        """Add a complete answer, and return whether it clears anything."""
        if self._evidence.get_uncleared(part):
            self._suspects = None
        cleared = self._evidence.add_answer(part, at)
        if not self._clears_block(part, at):
            return bool(cleared)
        self._evidence.keep_answer(part)
        block = self._blocks.pop(part)
        block.source = source
        _log('part.cleared', part, block, self._clock())
        self._evidence.is_changed = True
        return True

    def _add_block(self, report: BlockReport, source: str) -> bool:
        """Add a peer's block, and return whether others have to be told."""
        now = self._clock()
        at = now - max(report.age_s, 0.0)
        crash = self._evidence.crashes.get(report.incarnation)
        if crash is not None:
            at = min(at, crash.at)
        answered_at = self._evidence.get_answered_at(report.part)
        if answered_at > at - evidence.ANSWER_HOLDS_S:
            self._evidence.keep_answer(report.part)
            return True
        told = _KnownBlock(
            report.crash_count, report.incarnation, at, report.lapses, source
        )
        told.tied = frozenset(report.tied)
        if report.trial_age_s is not None:
            told.tried_at = now - max(report.trial_age_s, 0.0)
        if now > told.lapses_at + MAX_BLOCK_S:
            return False
        self._evidence.is_changed = True
        known = self._blocks.get(report.part)
        if known is None:
            self._block(report.part, told)
            return True
        return known.unite(told)

    def _block(self, part: str, block: _KnownBlock) -> None:
        self._blocks[part] = block
        _log('part.blocked', part, block, self._clock())
        if len(self._blocks) > MAX_BLOCKS:
            self._forget_block(
                min(self._blocks, key=lambda each: (self._blocks[each].at, each))
            )

    def _forget_block(self, part: str) -> None:
        _log('part.forgotten', part, self._blocks.pop(part), self._clock())

    def _forget_old(self, now: float) -> None:
        self._evidence.forget_old(now)
        for part, block in list(self._blocks.items()):
            if now > block.lapses_at + MAX_BLOCK_S:
                self._forget_block(part)

    def _decide(self, source: str) -> None:
        """Block the parts that explain crashes."""
        if not self._evidence.is_changed:
            return
        self._suspects = None
        self._forget_old(self._clock())
        for part, block in self._blocks.items():
            self._count_later_crashes(part, block, source)
        kept = {part for part in self._blocks if not self._is_reviewed(part)}
        explanation = self._evidence.explain(kept)
        self._undecided = explanation.undecided
        new = {part for part in explanation.accused if part not in self._blocks}
        for accused in explanation.accused:
            if accused in new:
                block = self._make_block(accused, source)
                block.tied = self._list_tied(accused, new)
                self._block(accused, block)
        self._withdraw_explained(kept.union(explanation.accused))

    def _list_tied(self, part: str, accused: Iterable[str]) -> frozenset[str]:
        """Return the parts accused of the same crashes, empty if it is alone."""
        crashes = self._evidence.get_uncleared(part)
        tied = frozenset(
            each for each in accused if self._evidence.get_uncleared(each) == crashes
        )
        return tied if len(tied) > 1 else frozenset()

    def _is_reviewed(self, part: str) -> bool:
        """Return whether a block rests on crashes that are all known here."""
        block = self._blocks[part]
        uncleared = self._evidence.get_uncleared(part)
        return not block.lapses and len(uncleared) >= block.crash_count

    def _withdraw_explained(self, accused: set[str]) -> None:
        """Withdraw blocks on parts whose crashes are all explained by other parts.

        The calls with the part that crashes servers may be those of another entry, and
        be known later than the calls that were at the server with them.
        """
        explained = self._evidence.list_uncleared(accused)
        for part in list(self._blocks):
            if part not in accused and self._evidence.get_uncleared(part) <= explained:
                _log('part.cleared', part, self._blocks.pop(part), self._clock())

    def _count_later_crashes(self, part: str, block: _KnownBlock, source: str) -> None:
        crashes = self._evidence.crashes
        uncleared = self._evidence.get_uncleared(part)
        block.crash_count = max(block.crash_count, len(uncleared))
        for incarnation in evidence.sort_by_time(uncleared, crashes):
            at = crashes[incarnation].at
            if at <= block.at or incarnation == block.incarnation:
                continue
            if not block.tied <= crashes[incarnation].parts:
                block.tied = frozenset()
            if block.add_crash(incarnation, at):
                block.source = source
                _log('part.blocked', part, block, self._clock())

    def _make_block(self, part: str, source: str) -> _KnownBlock:
        crashes = self._evidence.crashes
        uncleared = self._evidence.get_uncleared(part)
        newest = evidence.sort_by_time(uncleared, crashes)[-1]
        return _KnownBlock(len(uncleared), newest, crashes[newest].at, 0, source)

    def _log_suspects(self, suspects: Iterable[str]) -> None:
        now = self._clock()
        for part in sorted(suspects):
            block = self._make_block(part, 'own')
            log = journal.debug if block.crash_count == 1 else journal.info
            _log('part.suspected', part, block, now, log)


def _get_retry_s(
    block: _KnownBlock, now: float, *, is_early: bool, owns_trial: bool
) -> float:
    """Return in how many seconds a call with a blocked part may pass, 0 for now.

    An early trial is made by a call that tells the part from its rivals. Otherwise a
    part that sound calls share, and that is blocked in place of another, would stay
    blocked: nothing with it is answered.
    """
    due_at = block.early_trial_due_at if is_early else block.trial_due_at
    if now < due_at:
        return due_at - now
    if owns_trial:
        return 0.0
    return EARLY_TRIAL_TIMEOUT_S if is_early else TRIAL_TIMEOUT_S


def _log(
    event: str,
    part: str,
    block: _KnownBlock,
    now: float,
    log: Callable[..., None] = journal.info,
) -> None:
    log(
        event,
        part=part,
        count=block.crash_count,
        age_s=round(now - block.at, 3),
        source=block.source,
    )
