"""Records that hold in place of what a restored store lists, or lacks."""

import typing
from collections.abc import Callable

from primrosesaddle.fleet import items, servers

__all__ = ('KeptRecord', 'KeptRecords', 'has_left_since')


class KeptRecord(typing.NamedTuple):
    """The state of a record that holds in place of an item of the store.

    `revision` is that of the listed item, 0 if there is none; the body is None if the
    record is removed. It holds until the item changes, at most for `for_s` seconds.
    """

    key: str
    body: bytes | None
    revision: int
    for_s: float


class KeptRecords:
    """The kept records of a process, by key."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._records: dict[str, KeptRecord] = {}
        self._until: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Tell whether any record is kept."""
        return bool(self._records)

    def __contains__(self, key: str) -> bool:
        """Tell whether a record is kept."""
        return key in self._records

    def add(self, record: KeptRecord) -> None:
        """Keep a record from now on."""
        self._records[record.key] = record
        self._until[record.key] = self._clock() + record.for_s

    def get(self, key: str) -> KeptRecord | None:
        """Return the kept record of a key, or None."""
        return self._records.get(key)

    def shorten(self, record: KeptRecord) -> None:
        """Keep a record no longer than a peer that keeps the same one."""
        known = self._records[record.key]
        if known.body == record.body:
            until = self._clock() + record.for_s
            self._until[record.key] = min(self._until[record.key], until)

    def discard(self, key: str) -> None:
        """Keep a record no longer, if it is kept."""
        self._records.pop(key, None)
        self._until.pop(key, None)

    def clear(self) -> None:
        """Keep no record any longer."""
        self._records.clear()
        self._until.clear()

    def replaces(self, item: items.Item) -> bool:
        """Tell whether a record holds in place of an item."""
        kept = self._records.get(item.key)
        return (
            kept is not None
            and item.body is not None
            and kept.revision == item.revision
        )

    def pop_expired(self) -> list[str]:
        """Remove the records that were kept long enough, and return their keys."""
        now = self._clock()
        expired = [key for key, until in self._until.items() if now >= until]
        for key in expired:
            self.discard(key)
        return expired

    def list_remaining(self) -> tuple[KeptRecord, ...]:
        """Return the records, each with the time for which it is still kept."""
        now = self._clock()
        return tuple(
            record._replace(for_s=self._until[key] - now)
            for key, record in self._records.items()
        )


def has_left_since(known: servers.BackendServer, listed: object) -> bool:
    """Tell whether a listed record is of a server that is known to leave since then.

    A server that leaves does so for the rest of its start, which has to be known.
    """
    return (
        known.leaving
        and known.start_time_ms > 0
        and isinstance(listed, servers.BackendServer)
        and listed.start_time_ms == known.start_time_ms
    )
