"""Ages of versions: when each was announced, and which is required by its age."""

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping

from primrosesaddle.staging import pieces
from primrosesaddle.telemetry import journal

__all__ = ('Announcement', 'VersionAges', 'choose_announcement')

MAX_VERSIONS = 8  # versions of each model whose announcements are kept


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """When a version was announced, in seconds of a clock of this process.

    `is_known` is false for an assumed time: this process was not watching when the
    version was announced, and no peer that was has reported its age yet.
    """

    announced_at: float
    is_known: bool = True


def choose_announcement(first: Announcement, second: Announcement) -> Announcement:
    """Return the more reliable of two announcements of a version.

    A known time is preferred to an assumed one, which may be far too early. Of two
    known ones the earlier is more exact, as every process learns of it with a delay.
    """
    if first.is_known != second.is_known:
        return first if first.is_known else second
    return min(first, second, key=lambda announcement: announcement.announced_at)


class VersionAges:
    """The announced versions of each model, and when they were announced.

    The functions in `listeners` are called when this process saw an announcement.
    """

    def __init__(self, clock: Callable[[], float], assumed_age_s: float) -> None:
        """Create an empty record.

        `assumed_age_s` is the highest age that is assumed for a version announced
        while this process was not watching. One that was announced before this process
        began to watch may be older by as long as that took. The clock has to advance
        while the machine is suspended.
        """
        self._clock = clock
        self._created_at = clock()
        self._assumed_age_s = assumed_age_s
        self._newest: dict[str, int] = {}
        self._announcements: dict[str, dict[int, Announcement]] = (
            collections.defaultdict(dict)
        )
        self.listeners: list[Callable[[], None]] = []

    def get_newest(self, model: str) -> int:
        """Return the newest published version of a model, 0 for none."""
        return self._newest.get(model, 0)

    def list_models(self) -> list[str]:
        """Return the models that have a published version."""
        return list(self._newest)

    def record_published(self, version: pieces.Version, unseen_s: float) -> bool:
        """Record a published version, and return whether it is the newest so far.

        `unseen_s` is for how long this process had not been watching before, 0 if it
        saw the announcement, infinite if it had not begun to watch.
        """
        if version.number <= self.get_newest(version.model):
            return False
        self._newest[version.model] = version.number
        max_age_s = self._assumed_age_s
        if math.isinf(unseen_s):
            max_age_s += self._clock() - self._created_at
        age_s = min(unseen_s, max_age_s)
        self._merge(version, Announcement(self._clock() - age_s, is_known=not unseen_s))
        if not unseen_s:
            for listener in self.listeners:
                listener()
        return True

    def merge_peer_ages(self, ages_s: Mapping[str, float]) -> None:
        """Merge the ages of versions that a peer reports, by label, in seconds.

        They may include versions that were superseded before this process started
        to watch, and one that it has not read yet.
        """
        now = self._clock()
        for label, age_s in ages_s.items():
            version = pieces.parse_label(label)
            if version is not None:
                self._merge(version, Announcement(now - age_s))

    def get_announcement(self, version: pieces.Version) -> Announcement | None:
        """Return the announcement of a version, or None."""
        return self._announcements.get(version.model, {}).get(version.number)

    def get_known_ages_s(self) -> dict[str, float]:
        """Return the known ages of versions in seconds, by label."""
        now = self._clock()
        return {
            pieces.Version(model, number).label: round(
                now - announcement.announced_at, 3
            )
            for model, by_number in self._announcements.items()
            for number, announcement in by_number.items()
            if announcement.is_known
        }

    def get_required_version(self, model: str, bound_s: float) -> int:
        """Return the lowest version on which a call may begin, 0 for any.

        A version is required once its age reaches `bound_s` seconds.
        """
        now = self._clock()
        by_number = self._announcements.get(model, {})
        old = [
            number
            for number, announcement in by_number.items()
            if number <= self.get_newest(model)
            and now - announcement.announced_at >= bound_s
        ]
        return max(old, default=0)

    def _merge(self, version: pieces.Version, received: Announcement) -> None:
        """Keep an announcement if it is more reliable than the known one.

        The oldest version of the model is dropped when there are too many.
        """
        by_number = self._announcements[version.model]
        known = by_number.get(version.number)
        if known is not None and choose_announcement(known, received) is known:
            return
        if len(by_number) >= MAX_VERSIONS and known is None:
            oldest = min(by_number)
            if version.number < oldest:
                return
            by_number.pop(oldest)
        by_number[version.number] = received
        if known is None or not known.is_known:
            journal.info(
                'version.age',
                version=version.label,
                age_s=round(self._clock() - received.announced_at, 3),
                known=received.is_known,
            )
