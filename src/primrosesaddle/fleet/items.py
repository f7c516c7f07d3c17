"""Published items, and the states in which each was known."""

import collections
import typing
from collections.abc import Iterable

__all__ = ('Item', 'ItemHistory')

# Newest states kept of each item: over a minute of a server that changes every second.
MAX_STATES = 64


class Item(typing.NamedTuple):
    """One published item; the body is None if the item was removed."""

    key: str
    body: bytes | None
    revision: int


class ItemHistory:
    """The states of items that were known, to recognize them in a restored store.

    States are kept as hashes of revision and body: the bodies of all states of a large
    item would fill the memory.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self._states: dict[str, collections.deque[int]] = {}

    def record(self, item: Item) -> None:
        """Record the state of an item that was published; removals are none."""
        if item.body is None:
            return
        states = self._states.get(item.key)
        if states is None:
            states = collections.deque(maxlen=MAX_STATES)
            self._states[item.key] = states
        state = _state_of(item)
        if state not in states:
            states.append(state)

    def forget(self, key: str) -> None:
        """Forget the states of an item."""
        self._states.pop(key, None)

    def find_known(self, items: Iterable[Item]) -> set[str]:
        """Return the keys of those items that were known in exactly this state."""
        return {
            item.key
            for item in items
            if _state_of(item) in self._states.get(item.key, ())
        }


def _state_of(item: Item) -> int:
    return hash((item.revision, item.body))
