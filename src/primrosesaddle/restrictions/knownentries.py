"""Known entries: those that may send calls, also while this process does not hear them.

What servers bear is shared by entries that cannot always hear each other. An entry that
is cut off must not take the parts of all the others, and they must not take its part
before it may have lost its callers.
"""

from collections.abc import Callable, Mapping

__all__ = ('KnownEntries',)

# An entry that is not heard of for this long, neither directly nor by a peer's roster,
# is forgotten. One that is cut off for longer, and still has callers, takes its part
# while others take it again; callers leave it much sooner.
FORGOTTEN_AFTER_S = 600.0
# Entries are forgotten only while most were heard of within this time: among 330
# entries a roster names about 64, and one arrives every 2 s. Two parts of a fleet that
# is split cannot both hear most of it, so that one of them forgets none.
HEARD_WITHIN_S = 20.0


class KnownEntries:
    """The names of entries, and their data centres.

    `revision` grows with each change.
    """

    def __init__(self, name: str, data_centre: str, clock: Callable[[], float]) -> None:
        """Create a collection that holds this entry; `clock` returns seconds."""
        self._name = name
        self._clock = clock
        self._places = {name: data_centre}
        self._heard_at: dict[str, float] = {}
        self.revision = 0

    @property
    def places(self) -> Mapping[str, str]:
        """Return the data centres of all known entries by name, with this entry."""
        return self._places

    @property
    def has_others(self) -> bool:
        """Return whether another entry is known."""
        return len(self._places) > 1

    def record_heard(self, name: str, data_centre: str) -> None:
        """Record that an entry is alive."""
        if name == self._name:
            return
        self._heard_at[name] = self._clock()
        if self._places.get(name) != data_centre:
            self._places[name] = data_centre
            self.revision += 1

    def forget(self, name: str) -> None:
        """Forget an entry that has said that it leaves, and is gone."""
        if self._heard_at.pop(name, None) is not None:
            self._places.pop(name)
            self.revision += 1

    def forget_silent(self) -> None:
        """Forget entries that were not heard of for long, while most others are."""
        now = self._clock()
        ages_s = {name: now - at for name, at in self._heard_at.items()}
        heard = 1 + sum(age_s <= HEARD_WITHIN_S for age_s in ages_s.values())
        if 2 * heard <= len(self._places):
            return
        for name, age_s in ages_s.items():
            if age_s > FORGOTTEN_AFTER_S:
                self.forget(name)
