"""Namings: how long ago versions of weights were named, and which are required."""

import collections
import dataclasses
from collections.abc import Callable, Mapping

from primrosesaddle.staging import pieces
from primrosesaddle.telemetry import journal

__all__ = ('Announcement', 'VersionAges', 'choose_announcement')

MAX_VERSIONS = 8  # versions of a model whose times are kept


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """When a version was named, by a clock of this process, in seconds.

    `is_known` is false for an assumed time: this process did not see the version
    named, and none that did has told it yet.
    """

    announced_at: float
    is_known: bool = True


def choose_announcement(first: Announcement, second: Announcement) -> Announcement:
    """Return which of two namings of a version to go by.

    A known one goes before an assumed one, which may be far too old. Of two known
    ones the earlier is closer to the truth, as whoever saw it named saw it late.
    """
    if first.is_known != second.is_known:
        return first if first.is_known else second
    return min(first, second, key=lambda naming: naming.announced_at)


class VersionAges:
    """The versions of each model that were named, and when."""

    def __init__(self, clock: Callable[[], float], assumed_age_s: float) -> None:
        """Create an empty record.

        `assumed_age_s` is the most that is assumed of the age of a version that was
        named while this process did not look. The clock must go on while the machine
        is suspended. `learned` is called when this process saw a version named.
        """
        self._clock = clock
        self._assumed_age_s = assumed_age_s
        self._newest: dict[str, int] = {}
        self._named: dict[str, dict[int, Announcement]] = collections.defaultdict(dict)
        self.listeners: list[Callable[[], None]] = []

    def get_newest(self, model: str) -> int:
        """Return the newest published version of a model, 0 when there is none."""
        return self._newest.get(model, 0)

    def list_models(self) -> list[str]:
        """Return the models of which a version is published."""
        return list(self._newest)

    def record_published(self, version: pieces.Version, unseen_s: float) -> bool:
        """Take a version that is published, and return whether it is the newest.

        `unseen_s` is how long this process had not looked before; 0 if it saw the
        version named.
        """
        if version.number <= self.get_newest(version.model):
            return False
        self._newest[version.model] = version.number
        age_s = min(unseen_s, self._assumed_age_s)
        self._take(version, Announcement(self._clock() - age_s, is_known=not unseen_s))
        if not unseen_s:
            for listener in self.listeners:
                listener()
        return True

    def merge_peer_ages(self, ages_s: Mapping[str, float]) -> None:
        """Take a peer's word of how long ago versions were named, by their marks.

        It may tell of versions that were superseded before this process looked, and
        of one that this process has not read of yet.
        """
        now = self._clock()
        for mark, age_s in ages_s.items():
            version = pieces.parse_label(mark)
            if version is not None:
                self._take(version, Announcement(now - age_s))

    def get_announcement(self, version: pieces.Version) -> Announcement | None:
        """Return when a version was named, or None for one that is not."""
        return self._named.get(version.model, {}).get(version.number)

    def get_known_ages_s(self) -> dict[str, float]:
        """Return how long ago each version was named, by its mark, where known."""
        now = self._clock()
        return {
            pieces.Version(model, number).label: round(now - naming.announced_at, 3)
            for model, found in self._named.items()
            for number, naming in found.items()
            if naming.is_known
        }

    def get_required_version(self, model: str, bound_s: float) -> int:
        """Return the version below which nothing may begin, 0 when any may.

        `bound_s` is the age in seconds from which a named version is required.
        """
        now = self._clock()
        found = self._named.get(model, {})
        old = [
            number
            for number, naming in found.items()
            if number <= self.get_newest(model) and now - naming.announced_at >= bound_s
        ]
        return max(old, default=0)

    def _take(self, version: pieces.Version, told: Announcement) -> None:
        found = self._named[version.model]
        held = found.get(version.number)
        if held is not None and choose_announcement(held, told) is held:
            return
        if len(found) >= MAX_VERSIONS and held is None:
            oldest = min(found)
            if version.number < oldest:
                return
            found.pop(oldest)
        found[version.number] = told
        if held is None or not held.is_known:
            journal.info(
                'version.age',
                version=version.label,
                age_s=round(self._clock() - told.announced_at, 3),
                known=told.is_known,
            )
