"""Shares: how many calls one entry may have at a server that many entries use.

The load is that of a service whose slots are nearly all in use. Entries that fill every
slot that a report shows as free fill it several times, as they all see the same report,
some hundred milliseconds late; the calls then queue at the server until all are late.
Here an entry keeps the calls that it has, sends a new one for each that ends, and takes
its share of what is free, rounded at random so that the shares add up over the entries.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ('FleetUse', 'ServerLoad', 'add_loads', 'compute_own_limit')

# Part of the free slots that is handed out at each report: a report is older than the
# previous one's grants, so that some of these are not in it yet.
FREE_GAIN = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """The slots of a server, and its calls by the last figure: all, and own ones."""

    slots: int
    total: float
    own: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetUse:
    """The use of a service by all entries.

    `use` is the number of calls that run or wait at its servers over the number of
    their slots, `share` the part of it that is this entry's. `is_divided` is whether
    there have been more entries than the slots of a server.
    """

    use: float = 0.0
    share: float = 1.0
    is_divided: bool = False


def add_loads(
    loads: Iterable[ServerLoad], entry_count: int, most_entries: int
) -> FleetUse:
    """Return the use of servers that `entry_count` entries share.

    `most_entries` is the largest number of entries that was known. An entry with few
    calls gets as much of what is free as an equal share.
    """
    slots = own = most_slots = 0
    total = 0.0
    for load in loads:
        slots += load.slots
        most_slots = max(most_slots, load.slots)
        total += load.total
        own += load.own
    equal = 1 / max(1, entry_count)
    share = max(equal, own / total) if total else equal
    is_divided = 0 < most_slots < most_entries
    return FleetUse(total / slots if slots else 0.0, min(1.0, share), is_divided)


def compute_own_limit(
    load: ServerLoad, target: float, share: float, draw: float
) -> int:
    """Return how many calls an entry may have at a server until its next report.

    `target` is the number of calls of all entries that the server should have. Of what
    is missing, `share` is taken up; of what is above it, each entry gives up its part.
    `draw`, in [0, 1), rounds the result.
    """
    free = target - load.total
    if free >= 0:
        return load.own + int(share * free * FREE_GAIN + draw)
    given_up = -free * load.own / load.total
    return max(0, load.own - int(given_up + draw))
