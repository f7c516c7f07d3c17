"""The choice: what an engine loads next, and when, of the versions that are wanted."""

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

# The last server switches this long before a version is required: calls that it
# has taken have begun by then.
SWITCH_MARGIN_S = 0.8
NEARLY_COMPLETE_SHARE = (
    0.8  # share of the newest version from which an older is passed over
)


class FetchState(typing.Protocol):
    """What is held of each version in an agent's memory."""

    def is_complete(self, version: pieces.Version) -> bool:
        """Tell whether every piece of a version is held."""

    def get_held_share(self, version: pieces.Version) -> float:
        """Return the share of a version's pieces that is held."""

    def holds_layers(self, version: pieces.Version, span: layers.Span) -> bool:
        """Tell whether every piece of some layers is held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """The version to hold, and when it was named.

    `place` is this server's, from 0 to 1, in the order in which servers switch;
    `part` is the part of the layers that it loads first while it holds none.
    """

    version: pieces.Version
    announcement: versionages.Announcement
    switch_position: float = 0.0
    layer_count: int = 0
    first_part: int = 0

    @property
    def all_layers(self) -> layers.Span:
        """Return the span of all layers, whose number may not be known."""
        return layers.all_layers(self.layer_count, self.version.number)

    @property
    def ordered_parts(self) -> tuple[layers.Span, ...]:
        """Return the parts of the layers, the one to load first leading."""
        found = layers.split_layers(self.layer_count, self.version.number)
        first = self.first_part % len(found)
        return found[first:] + found[:first]


class Load(typing.NamedTuple):
    """Layers to load, and the goal that they serve."""

    goal: Goal
    span: layers.Span


def get_due_time(goal: Goal, bound_s: float) -> float:
    """Return from when on an engine begins nothing that is older than a goal.

    `bound_s` is the age in seconds from which a version is required.
    """
    return goal.announcement.announced_at + bound_s - SWITCH_MARGIN_S


def get_switch_deadline(goals: Sequence[Goal], held: int, bound_s: float) -> float:
    """Return until when an engine that holds a version may serve, by any newer one."""
    newer_due = [
        get_due_time(goal, bound_s) for goal in goals if goal.version.number > held
    ]
    return min(newer_due, default=math.inf)


def list_newer_goals(goals: Sequence[Goal], held: layers.Span | None) -> list[Goal]:
    """Return the goals that bring an engine further, the newest first."""
    number = 0 if held is None else held.version
    return [
        goal
        for goal in reversed(goals)
        if goal.version.number >= number and not layers.covers(held, goal.all_layers)
    ]


def get_required_version(goals: Sequence[Goal], now: float, bound_s: float) -> int:
    """Return the version below which an engine begins nothing more, 0 for none."""
    old = [goal.version.number for goal in goals if now >= get_due_time(goal, bound_s)]
    return max(old, default=0)


def choose_load(
    goals: Sequence[Goal],
    held: layers.Span | None,
    least: int,
    fetched: FetchState,
) -> Load | None:
    """Return what is fetched: a whole version, or a part to begin with.

    `goals` are in order of their versions, `held` is what the engine has loaded, and
    `least` the version below which it begins nothing more.
    """
    wanted = list_newer_goals(goals, held)
    loaded = layers.complete_version(held, goals[-1].layer_count)
    if loaded >= max(1, least):
        return next(_whole(wanted, fetched, nearly=NEARLY_COMPLETE_SHARE), None)
    allowed = [goal for goal in wanted if goal.version.number >= least]
    found = next(_whole(allowed, fetched), None)
    if found is None and (held is None or held.version < least):
        found = next(_parts(allowed, fetched), None)
    return found or next(_whole(wanted, fetched), None)


def _whole(
    wanted: Sequence[Goal], fetched: FetchState, nearly: float = 1.0
) -> Iterator[Load]:
    """Yield whole versions, the newest first.

    Older ones are passed over when more than a share of a newer one is held.
    """
    for goal in wanted:
        if fetched.is_complete(goal.version):
            yield Load(goal, goal.all_layers)
        elif fetched.get_held_share(goal.version) > nearly:
            return


def _parts(wanted: Sequence[Goal], fetched: FetchState) -> Iterator[Load]:
    """Yield the parts of versions, this server's part first."""
    for goal in wanted:
        for span in goal.ordered_parts:
            if fetched.holds_layers(goal.version, span):
                yield Load(goal, span)
