"""Namings: how long ago versions of weights were named, and which are required."""

import collections
import dataclasses
from collections.abc import Callable, Mapping

from primrosesaddle.staging import pieces
from primrosesaddle.telemetry import journal

__all__ = ('Naming', 'Namings', 'better')

MAX_VERSIONS = 8  # versions of a model whose times are kept


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
    """When a version was named, by a clock of this process, in seconds.

    `is_known` is false for an assumed time: nobody has told yet who saw it named.
    """

    named_at: float
    is_known: bool = True


def better(first: Naming, second: Naming) -> Naming:
    """Return which of two namings of a version to go by: a known, an earlier one."""
    if first.is_known != second.is_known:
        return first if first.is_known else second
    return min(first, second, key=lambda naming: naming.named_at)


class Namings:
    """The versions of each model that were named, and when."""

    def __init__(self, clock: Callable[[], float], assumed_age_s: float) -> None:
        """Create an empty record.

        `assumed_age_s` is the age taken for a version that was named before this
        process looked. The clock must go on while the machine is suspended.
        """
        self._clock = clock
        self._assumed_age_s = assumed_age_s
        self._published: dict[str, int] = {}
        self._found: dict[str, dict[int, Naming]] = collections.defaultdict(dict)

    def newest(self, model: str) -> int:
        """Return the newest published version of a model, 0 when there is none."""
        return self._published.get(model, 0)

    def models(self) -> list[str]:
        """Return the models of which a version is published."""
        return list(self._published)

    def learn(self, version: pieces.Version, *, is_new: bool) -> bool:
        """Take a version that is published, and return whether it is the newest.

        `is_new` tells that it has just been named, in place of some time ago.
        """
        if version.number <= self.newest(version.model):
            return False
        self._published[version.model] = version.number
        age_s = 0.0 if is_new else self._assumed_age_s
        self._take(version, Naming(self._clock() - age_s, is_known=is_new))
        return True

    def hear(self, ages_s: Mapping[str, float]) -> None:
        """Take a peer's word of how long ago versions were named, by their marks.

        It may tell of versions that were superseded before this process looked, and
        of one that this process has not read of yet.
        """
        now = self._clock()
        for mark, age_s in ages_s.items():
            version = pieces.parse_mark(mark)
            if version is not None:
                self._take(version, Naming(now - age_s))

    def of(self, version: pieces.Version) -> Naming | None:
        """Return when a version was named, or None for one that is not."""
        return self._found.get(version.model, {}).get(version.number)

    def known_ages_s(self) -> dict[str, float]:
        """Return how long ago each version was named, by its mark, where known."""
        now = self._clock()
        return {
            pieces.Version(model, number).mark: round(now - naming.named_at, 3)
            for model, found in self._found.items()
            for number, naming in found.items()
            if naming.is_known
        }

    def required(self, model: str, bound_s: float) -> int:
        """Return the version below which nothing may begin, 0 when any may.

        `bound_s` is the age in seconds from which a named version is required.
        """
        now = self._clock()
        found = self._found.get(model, {})
        old = [
            number
            for number, naming in found.items()
            if number <= self.newest(model) and now - naming.named_at >= bound_s
        ]
        return max(old, default=0)

    def _take(self, version: pieces.Version, told: Naming) -> None:
        found = self._found[version.model]
        held = found.get(version.number)
        if held is not None and better(held, told) is held:
            return
        found[version.number] = told
        while len(found) > MAX_VERSIONS:
            found.pop(min(found))
        if held is None or not held.is_known:
            journal.info(
                'version.age',
                version=version.mark,
                age_s=round(self._clock() - told.named_at, 3),
                known=told.is_known,
            )
