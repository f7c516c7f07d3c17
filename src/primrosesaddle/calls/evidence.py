"""Evidence: which parts of prompts explain that servers ended.

A part that crashes servers is in each of its crashes and is never answered completely.
The other parts of its calls are shared with calls that are answered, and each of those
answers clears them of the crashes before it. Times are in seconds of a steady clock.

Where only one server can take the calls with a part, it may be the server that is at
fault. It is not if it works on other calls after each start, until one with the part
comes.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

import xxhash

from primrosesaddle.calls import notices

__all__ = ('Evidence', 'Explanation')

WINDOW_S = 600.0  # older crashes are forgotten
CLEARANCE_S = 7200.0  # peers are told of an answer as long as they may block its part
# Servers that end within this of the first one may have a cause in common that is no
# call, such as a power loss. Longer moments would also hold crashes by frequent calls.
MOMENT_S = 0.2
MIN_CRASHES = 3  # that no answer has cleared, until a part is accused
# For a part that was answered before, for one that ends a single server, and for parts
# that occurred only together.
MIN_CRASHES_IN_DOUBT = 5
# A part is not accused of crashes up to this long after its last answer: when most
# servers are down, nothing with it may be answered for some seconds.
ANSWER_HOLDS_S = 30.0
MIN_MOMENTS = 2  # so that servers that end at one moment accuse nobody
# That count, of one moment. A part that was answered before may be in all of them, such
# as the first part of all prompts of a workspace: for it, a moment counts once.
MAX_CRASHES_OF_MOMENT = 2
MIN_SHARED_CRASHES = 2  # of a part and a rival, and half of the crashes of the part
MIN_SERVERS = 2  # fewer may be at fault themselves, see `_ends_sound_server`
# Ended starts of a single server that had worked on calls. One of them may have been
# before the server broke.
MIN_WORKING_STARTS = 2
MIN_SHARE_OF_ENDS = 0.5  # of the ends of a single server since the first with the part

MIN_ENDS_TO_WITHHOLD = 2  # of a server under calls with a part
# Seconds since the newest end for which such calls wait until the server has worked.
MAX_WITHHELD_S = 10.0

MAX_CRASHES = 256
MAX_WORKING = 4096  # starts of servers that have worked on calls, the newest
MAX_PARTS = 64  # of a crash
# Parts whose last complete answer is known, the newest of them.
MAX_CLEARED = 4096  # with crashes that peers may report again
MAX_ANSWERED = 4096  # others

NEVER = float('-inf')

Incarnations = set[notices.Incarnation]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownCrash:
    """The parts of calls that a server had just begun to answer when it ended.

    `had_worked` is whether it had answered other calls since its start, or was past the
    beginning of their answers.
    """

    parts: frozenset[str]
    at: float
    had_worked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The parts that explain the known crashes.

    The `undecided` ones occurred only together and can't be told apart yet.
    """

    accused: tuple[str, ...] = ()
    undecided: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Weight:
    """How strongly the crashes that have no other explanation speak against a part.

    `ends_sound_server` is whether they all are of one server that is not at fault.
    """

    counted: int
    never_answered: bool
    lately_answered: bool
    crash_count: int
    moment_count: int
    server_count: int
    ends_sound_server: bool

    @property
    def is_enough(self) -> bool:
        """Whether the part may be accused."""
        has_servers = self.server_count >= MIN_SERVERS
        is_clear = self.never_answered and has_servers
        needed = MIN_CRASHES if is_clear else MIN_CRASHES_IN_DOUBT
        return (
            not self.lately_answered
            and self.counted >= needed
            and self.moment_count >= MIN_MOMENTS
            and (has_servers or self.ends_sound_server)
        )

    @property
    def is_enough_in_doubt(self) -> bool:
        """Whether the part may be accused together with others."""
        return self.never_answered and self.counted >= MIN_CRASHES_IN_DOUBT

    @property
    def is_suspicious(self) -> bool:
        """Whether a call with the part may have ended its server."""
        return self.never_answered or self.counted > 1

    @property
    def accusation(self) -> tuple[bool, int, int]:
        """The order among parts that may be accused.

        A part that was answered before comes last, as it is also in the crashes of
        other parts.
        """
        return (self.never_answered, self.counted, self.crash_count)

    @property
    def suspicion(self) -> tuple[int, bool, int]:
        """The order among other parts."""
        return (self.counted, self.never_answered, self.crash_count)


class Evidence:
    """The crashes and complete answers that are known, both of bounded number."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self.crashes: dict[notices.Incarnation, KnownCrash] = {}
        self.cleared_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        self._uncleared: dict[str, Incarnations] = {}
        self._working: dict[notices.Incarnation, None] = {}
        self._rivals: dict[str, frozenset[str]] = {}  # as far as asked for
        # Whether `explain` may return something else than before.
        self.is_changed = False

    def add_working(self, incarnation: notices.Incarnation) -> bool:
        """Add that a server works on calls; return whether that changes its crash."""
        self._working[incarnation] = None
        while len(self._working) > MAX_WORKING:
            self._working.pop(next(iter(self._working)))
        crash = self.crashes.get(incarnation)
        return crash is not None and self.add_crash(incarnation, (), crash.at)

    def awaits_work(
        self, part: str, incarnation: notices.Incarnation, now: float
    ) -> bool:
        """Return whether a server has to work on other calls before one with a part.

        It has to if the part may have ended it several times: the next end then shows
        whether the server itself is at fault. The wait lasts `MAX_WITHHELD_S` at most,
        as there may be no other calls.
        """
        if incarnation in self._working or self.get_answered_at(part) > NEVER:
            return False
        ends = [
            self.crashes[each]
            for each in self.get_uncleared(part)
            if each[0] == incarnation[0]
        ]
        return (
            len(ends) >= MIN_ENDS_TO_WITHHOLD
            and any(end.had_worked for end in ends)
            and now - max(end.at for end in ends) < MAX_WITHHELD_S
        )

    def add_crash(
        self,
        incarnation: notices.Incarnation,
        parts: Collection[str],
        at: float,
        *,
        had_worked: bool = False,
    ) -> bool:
        """Add parts to a crash, and return whether the crash is changed by that.

        The earliest time of a crash is kept, as reports take time.
        """
        known = self.crashes.get(incarnation)
        if known is None:
            if not parts or not self._make_room(at):
                return False
            known = KnownCrash(frozenset(), at)
        crash = KnownCrash(
            _bound_parts(incarnation, known.parts.union(parts)),
            min(known.at, at),
            known.had_worked or had_worked or incarnation in self._working,
        )
        if crash == known:
            return False
        for left_out in known.parts - crash.parts:
            self._discard_uncleared(left_out, incarnation)
        self.crashes[incarnation] = crash
        self.is_changed = True
        for part in crash.parts:
            self.keep_answer(part)
            if self.get_answered_at(part) > crash.at:
                self._discard_uncleared(part, incarnation)
            else:
                self._uncleared.setdefault(part, set()).add(incarnation)
        self._rivals.clear()
        return True

    def add_answer(self, part: str, at: float) -> Incarnations:
        """Add a complete answer, and return the crashes of which it clears a part."""
        if at <= self.get_answered_at(part):
            return set()
        if part in self._uncleared:
            self._rivals.clear()
        if len(self.get_uncleared(part)) >= MIN_CRASHES:
            self.is_changed = True
        if part in self.cleared_at or part in self._uncleared:
            self._put_cleared(part, at)
        else:
            self._answered_at.pop(part, None)
            self._answered_at[part] = at
            _drop_oldest(self._answered_at, MAX_ANSWERED)
        cleared = self.find_cleared(part, at)
        for incarnation in cleared:
            self._discard_uncleared(part, incarnation)
        return cleared

    def find_cleared(self, part: str, at: float) -> Incarnations:
        """Return the crashes of which an answer at `at` would clear a part."""
        crashes = self._uncleared.get(part, ())
        return {each for each in crashes if at > self.crashes[each].at}

    def get_answered_at(self, part: str) -> float:
        """Return when a part was last answered completely, `NEVER` if never."""
        cleared_at = self.cleared_at.get(part)
        if cleared_at is None:
            return self._answered_at.get(part, NEVER)
        return cleared_at

    def get_uncleared(self, part: str) -> Incarnations:
        """Return the crashes of a part that no later answer has cleared."""
        return self._uncleared.get(part, set())

    def get_first_crash_at(self, part: str) -> float:
        """Return when the first crash was that no answer has cleared, or infinity."""
        times = (self.crashes[each].at for each in self.get_uncleared(part))
        return min(times, default=math.inf)

    def keep_answer(self, part: str) -> None:
        """Keep the last answer of a part among those that matter to peers."""
        answered_at = self._answered_at.pop(part, None)
        if answered_at is not None:
            self._put_cleared(part, answered_at)

    def forget_old(self, now: float) -> None:
        """Forget what is older than the window."""
        old = [
            incarnation
            for incarnation, crash in self.crashes.items()
            if crash.at <= now - WINDOW_S
        ]
        for incarnation in old:
            self._drop_crash(incarnation)
        self._forget_old_answers(now)

    def explain(self, already_accused: Iterable[str]) -> Explanation:
        """Find the parts that explain the crashes of which none is accused already.

        The part in most crashes comes first. Its crashes are taken out, so that the
        other parts of its calls are not accused with it.
        """
        self.is_changed = False
        explained = self.list_uncleared(already_accused)
        moments = group_moments(self.crashes)
        candidates = [
            part
            for part, crashes in self._uncleared.items()
            if len(crashes) >= MIN_CRASHES and len(crashes - explained) >= MIN_CRASHES
        ]
        accused: list[str] = []
        undecided: set[str] = set()
        while candidates:
            weights = {
                part: self._weigh(part, explained, moments) for part in candidates
            }
            candidates = [part for part in candidates if weights[part].is_enough]
            tied = self._list_heaviest(candidates, weights, explained)
            if len(tied) == 1 or (tied and weights[tied[0]].is_enough_in_doubt):
                accused.extend(tied)
            else:
                undecided.update(tied)
            explained |= self.list_uncleared(tied)
        return Explanation(tuple(accused), frozenset(undecided))

    def list_suspects(self, accused: Iterable[str]) -> frozenset[str]:
        """Return the parts that best explain the crashes that none accused explains."""
        explained = self.list_uncleared(accused)
        moments = group_moments(self.crashes)
        by_suspicion = collections.defaultdict(list)
        suspicious: set[str] = set()
        for part, crashes in self._uncleared.items():
            if not crashes <= explained:
                weight = self._weigh(part, explained, moments)
                by_suspicion[weight.suspicion].append(part)
                if weight.is_suspicious:
                    suspicious.add(part)
        suspects: set[str] = set()
        for suspicion in sorted(by_suspicion, reverse=True):
            found = [
                part
                for part in by_suspicion[suspicion]
                if not self._uncleared[part] <= explained
            ]
            explained |= self.list_uncleared(found)
            suspects.update(found)
        return frozenset(suspects & suspicious)

    def tells_apart(self, parts: Collection[str], part: str) -> bool:
        """Return whether the outcome of a call tells a part from its rivals.

        It does if the part has any, and the call has none of them.
        """
        rivals = self._rivals.get(part)
        if rivals is None:
            rivals = self._rivals[part] = self.list_rivals(part)
        return bool(rivals) and rivals.isdisjoint(parts)

    def list_rivals(self, part: str) -> frozenset[str]:
        """Return the parts that explain the most crashes of a part beside it.

        There are none unless they explain at least half of its crashes. One that was
        answered before is no rival of a part that never was.
        """
        crashes = self.get_uncleared(part)
        is_known = self.get_answered_at(part) > NEVER
        shared = collections.Counter(
            other
            for each in crashes
            for other in self.crashes[each].parts
            if other != part and each in self.get_uncleared(other)
        )
        counts = {
            other: count
            for other, count in shared.items()
            if is_known or self.get_answered_at(other) == NEVER
        }
        most = max(counts.values(), default=0)
        if most < MIN_SHARED_CRASHES or 2 * most < len(crashes):
            return frozenset()
        return frozenset(other for other, count in counts.items() if count == most)

    def list_uncleared(self, parts: Iterable[str]) -> Incarnations:
        """Return the crashes of some parts that no later answer has cleared."""
        return set().union(*(self._uncleared.get(part, ()) for part in parts))

    def _make_room(self, at: float) -> bool:
        """Return whether a new crash is kept, dropping the oldest one if necessary."""
        if len(self.crashes) < MAX_CRASHES:
            return True
        oldest = sort_by_time(self.crashes, self.crashes)[0]
        if self.crashes[oldest].at >= at:
            return False
        self._drop_crash(oldest)
        return True

    def _drop_crash(self, incarnation: notices.Incarnation) -> None:
        self.is_changed = True
        for part in self.crashes.pop(incarnation).parts:
            self._discard_uncleared(part, incarnation)

    def _discard_uncleared(self, part: str, incarnation: notices.Incarnation) -> None:
        self._rivals.clear()
        crashes = self._uncleared.get(part, set())
        crashes.discard(incarnation)
        if not crashes:
            self._uncleared.pop(part, None)

    def _put_cleared(self, part: str, at: float) -> None:
        self._answered_at.pop(part, None)
        self.cleared_at.pop(part, None)
        self.cleared_at[part] = at
        _drop_oldest(self.cleared_at, MAX_CLEARED)

    def _forget_old_answers(self, now: float) -> None:
        """Keep no longer for peers what can clear no crash that they may report."""
        oldest = now - CLEARANCE_S
        old = {part for part, at in self.cleared_at.items() if at <= oldest}
        if old:
            old.difference_update(*(crash.parts for crash in self.crashes.values()))
        for part in old:
            self._answered_at[part] = self.cleared_at.pop(part)
        _drop_oldest(self._answered_at, MAX_ANSWERED)

    def _weigh(
        self,
        part: str,
        explained: Incarnations,
        moments: Mapping[notices.Incarnation, int],
    ) -> _Weight:
        crashes = self._uncleared[part] - explained
        by_moment = collections.Counter(moments[each] for each in crashes)
        answered_at = self.get_answered_at(part)
        never_answered = answered_at == NEVER
        max_counted = MAX_CRASHES_OF_MOMENT if never_answered else 1
        newest_at = max((self.crashes[each].at for each in crashes), default=NEVER)
        return _Weight(
            sum(min(count, max_counted) for count in by_moment.values()),
            never_answered,
            not never_answered and answered_at > newest_at - ANSWER_HOLDS_S,
            len(crashes),
            len(by_moment),
            len({server_id for server_id, _ in crashes}),
            never_answered and self._ends_sound_server(crashes, explained),
        )

    def _ends_sound_server(
        self, crashes: Incarnations, explained: Incarnations
    ) -> bool:
        """Return whether crashes of a part are all of one server that works otherwise.

        Such a server answers other calls in some of its starts, and half or more of its
        ends are among the crashes.
        """
        server_ids = {server_id for server_id, _ in crashes}
        if len(server_ids) != 1 or len(crashes) < MIN_CRASHES_IN_DOUBT:
            return False
        first_at = min(self.crashes[each].at for each in crashes)
        ends = {
            each
            for each, crash in self.crashes.items()
            if each[0] in server_ids and crash.at >= first_at
        }
        working_count = sum(self.crashes[each].had_worked for each in crashes)
        share_of_ends = len(crashes) / len(ends - explained)
        return (
            working_count >= MIN_WORKING_STARTS and share_of_ends >= MIN_SHARE_OF_ENDS
        )

    def _list_heaviest(
        self,
        candidates: Iterable[str],
        weights: Mapping[str, _Weight],
        explained: Incarnations,
    ) -> list[str]:
        """Return the part to be accused first, and those that share its crashes."""
        ranked = sorted((weights[part].accusation, part) for part in candidates)
        if not ranked:
            return []
        heaviest, first = ranked[-1]
        crashes = self._uncleared[first] - explained
        return [
            part
            for rank, part in ranked
            if rank == heaviest and not crashes.isdisjoint(self._uncleared[part])
        ]


def sort_by_time(
    incarnations: Iterable[notices.Incarnation],
    crashes: Mapping[notices.Incarnation, KnownCrash],
) -> list[notices.Incarnation]:
    """Return the servers in the order in which they ended."""
    return sorted(incarnations, key=lambda each: (crashes[each].at, each))


def group_moments(
    crashes: Mapping[notices.Incarnation, KnownCrash],
) -> dict[notices.Incarnation, int]:
    """Number the moments at which servers ended."""
    moments: dict[notices.Incarnation, int] = {}
    number = 0
    began_at = NEVER
    for incarnation in sort_by_time(crashes, crashes):
        at = crashes[incarnation].at
        if at - began_at > MOMENT_S:
            number += 1
            began_at = at
        moments[incarnation] = number
    return moments


def _bound_parts(
    incarnation: notices.Incarnation, parts: frozenset[str]
) -> frozenset[str]:
    """Return at most `MAX_PARTS` parts, the same ones in whatever order they came.

    Each crash keeps others, so that no part is left out of all.
    """
    if len(parts) <= MAX_PARTS:
        return parts
    seed = xxhash.xxh64_intdigest(repr(incarnation).encode())
    ranked = sorted(
        (xxhash.xxh64_intdigest(each.encode(), seed), each) for each in parts
    )
    return frozenset(part for _, part in ranked[:MAX_PARTS])


def _drop_oldest(times: dict[str, float], max_size: int) -> None:
    """Keep the newest of a mapping in the order of insertion."""
    while len(times) > max_size:
        times.pop(next(iter(times)))
