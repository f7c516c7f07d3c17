"""Load planning: which wanted version an engine loads next, and when."""

import dataclasses
import math
import typing
from collections.abc import Iterator, Sequence

from primrosesaddle.core import layers
from primrosesaddle.staging import pieces, versionages

__all__ = (
    'FetchState',
    'Goal',
    'Load',
    'get_due_time',
    'get_switch_deadline',
    'list_newer_goals',
    'choose_load',
    'get_required_version',
)

# The last server switches this long before a version is required, so that the calls
# that it has received have begun by then.
SWITCH_MARGIN_S = 0.8
# No older version is loaded once this share of a newer one is held.
NEARLY_COMPLETE_SHARE = 0.8


class FetchState(typing.Protocol):
    """The pieces of each version that are in an agent's memory."""

    def is_complete(self, version: pieces.Version) -> bool:
        """Return whether every piece of a version is held."""

    def get_held_share(self, version: pieces.Version) -> float:
        """Return the share of a version's pieces that is held, from 0 to 1."""

    def holds_layers(self, version: pieces.Version, span: layers.Span) -> bool:
        """Return whether every piece of the layers of a span is held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """A version that an engine is to load, and when it was announced.

    `switch_position` is the server's position, from 0 to 1, in the order in which
    the servers switch. `layer_count` is 0 when it is not known. `first_part_index`
    tells which part of the layers a server without any loads first.
    """

    version: pieces.Version
    announcement: versionages.Announcement
    switch_position: float = 0.0
    layer_count: int = 0
    first_part_index: int = 0

    @property
    def all_layers(self) -> layers.Span:
        """Return the span of all layers."""
        return layers.all_layers(self.layer_count, self.version.number)

    @property
    def ordered_parts(self) -> tuple[layers.Span, ...]:
        """Return the parts of the layers, starting with the one to load first."""
        parts = layers.split_layers(self.layer_count, self.version.number)
        first = self.first_part_index % len(parts)
        return parts[first:] + parts[:first]


class Load(typing.NamedTuple):
    """Layers to load, and the goal that they belong to."""

    goal: Goal
    span: layers.Span


def get_due_time(goal: Goal, bound_s: float) -> float:
    """Return the time from which an engine begins no call on an older version.

    `bound_s` is the age in seconds from which a version is required.
    """
    return goal.announcement.announced_at + bound_s - SWITCH_MARGIN_S


def get_switch_deadline(goals: Sequence[Goal], held: int, bound_s: float) -> float:
    """Return the time until which an engine may serve the version that it holds.

    It is the earliest due time of a newer version, infinite without one.
    """
    newer_due = [
        get_due_time(goal, bound_s) for goal in goals if goal.version.number > held
    ]
    return min(newer_due, default=math.inf)


def list_newer_goals(goals: Sequence[Goal], held: layers.Span | None) -> list[Goal]:
    """Return the goals that are not reached and not older, the newest first."""
    number = 0 if held is None else held.version
    return [
        goal
        for goal in reversed(goals)
        if goal.version.number >= number and not layers.covers(held, goal.all_layers)
    ]


def get_required_version(goals: Sequence[Goal], now: float, bound_s: float) -> int:
    """Return the lowest version on which an engine may begin calls, 0 for any."""
    old = [goal.version.number for goal in goals if now >= get_due_time(goal, bound_s)]
    return max(old, default=0)


def choose_load(
    goals: Sequence[Goal],
    held: layers.Span | None,
    min_version: int,
    fetched: FetchState,
) -> Load | None:
    """Return the layers to load next: a complete version, or a part; None for none.

    `goals` are in order of their versions. `held` is the span that the engine has
    loaded, and `min_version` the lowest version on which it may begin calls.
    An engine that can serve an allowed version loads only complete versions. One
    that cannot also loads a part, unless it holds a part of an allowed version.
    """
    wanted = list_newer_goals(goals, held)
    complete_version = layers.complete_version(held, goals[-1].layer_count)
    if complete_version >= max(1, min_version):
        return next(
            _iter_complete(wanted, fetched, max_newer_share=NEARLY_COMPLETE_SHARE), None
        )
    allowed = [goal for goal in wanted if goal.version.number >= min_version]
    load = next(_iter_complete(allowed, fetched), None)
    if load is None and (held is None or held.version < min_version):
        load = next(_iter_parts(allowed, fetched), None)
    return load or next(_iter_complete(wanted, fetched), None)


def _iter_complete(
    wanted: Sequence[Goal], fetched: FetchState, max_newer_share: float = 1.0
) -> Iterator[Load]:
    """Yield completely fetched versions, the newest first.

    It stops at a version of which more than `max_newer_share` is held already, so
    that no older one is loaded shortly before that is complete.
    """
    for goal in wanted:
        if fetched.is_complete(goal.version):
            yield Load(goal, goal.all_layers)
        elif fetched.get_held_share(goal.version) > max_newer_share:
            return


def _iter_parts(wanted: Sequence[Goal], fetched: FetchState) -> Iterator[Load]:
    """Yield the fetched parts of versions, this server's first part leading."""
    for goal in wanted:
        for span in goal.ordered_parts:
            if fetched.holds_layers(goal.version, span):
                yield Load(goal, span)
