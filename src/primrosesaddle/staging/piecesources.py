"""Sources of pieces: where each process reads a piece, in which order.

Each piece has a primary among the entries of a region: the entry that reads the piece
into the region, and from which the other processes of the region read it.
"""

import typing
from collections.abc import Sequence

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.membership import link
from primrosesaddle.staging import pieces

__all__ = ('Peer', 'Source', 'interleave_indexes', 'is_primary', 'list_sources')

# Entries of each kind that are asked for a piece before the origin is.
MAX_HOLDERS = 2


class Peer(typing.NamedTuple):
    """An entry that may hold pieces, or the origin, which has no channel."""

    name: str
    region: str
    channel: link.Channel | None
    leaving: bool = False


class Source(typing.NamedTuple):
    """Where to read a piece; `only_if_held` asks only for what is held there."""

    peer: Peer
    only_if_held: bool = False


def is_primary(
    name: str,
    region: str,
    version: pieces.Version,
    index: int,
    entries: Sequence[Peer],
) -> bool:
    """Return whether an entry is the primary of a piece in its region."""
    primaries = _rank_primaries(version, index, _in_region(entries, region))
    return bool(primaries) and primaries[0].name == name


def list_sources(
    name: str,
    region: str,
    origin: Peer,
    version: pieces.Version,
    index: int,
    entries: Sequence[Peer],
) -> list[Source]:
    """Return the sources from which a process reads a piece, in order.

    A primary reads from the origin if that is in its region, else from the primaries
    in the origin's region; every other process reads from the primaries of its own
    region. For a region without entries, the primaries among all entries are used.
    In addition, entries of the region are asked for what they hold, and by the
    primary also those of other regions.
    """
    own_region = _in_region(entries, region)
    primaries = _rank_primaries(version, index, own_region)
    is_own_primary = not primaries or primaries[0].name == name
    if is_own_primary:
        primaries = _rank_primaries(
            version, index, _in_region(entries, origin.region) or entries
        )
    if primaries and primaries[0].name == name:
        primaries = []
    readers = [Source(peer) for peer in primaries if peer.name != name]
    first = readers[:1]
    last = [*readers[1:MAX_HOLDERS], Source(origin)]
    excluded = {name, *(source.peer.name for source in first)}
    near = _list_holders(version, index, own_region, excluded)
    if not is_own_primary:
        return [*first, *near, *last]
    elsewhere = [peer for peer in entries if peer.region != region]
    far = _list_holders(
        version, index, _first_of_each_region(version, index, elsewhere), excluded
    )
    return [*near, *first, *far, *last]


def interleave_indexes(count: int) -> list[int]:
    """Return the indexes of pieces in an order in which all parts progress equally."""
    stride = -(-count // layers.PART_COUNT) or 1
    return sorted(range(count), key=lambda index: (index % stride, index))


def _in_region(entries: Sequence[Peer], region: str) -> list[Peer]:
    return [peer for peer in entries if peer.region == region]


def _rank_primaries(
    version: pieces.Version, index: int, entries: Sequence[Peer]
) -> list[Peer]:
    """Return the entries that are not leaving, or all if all are, in rank order."""
    staying = [peer for peer in entries if not peer.leaving]
    return _rank_entries(version, index, staying or entries)


def _list_holders(
    version: pieces.Version, index: int, entries: Sequence[Peer], excluded: set[str]
) -> list[Source]:
    """Return the entries most likely to hold a piece, without the excluded names."""
    ordered = _rank_entries(version, index, entries)
    eligible = [peer for peer in ordered if peer.name not in excluded]
    return [Source(peer, only_if_held=True) for peer in eligible[:MAX_HOLDERS]]


def _first_of_each_region(
    version: pieces.Version, index: int, entries: Sequence[Peer]
) -> list[Peer]:
    """Return the first entry of each region in the rank order of a piece."""
    ordered = _rank_entries(version, index, entries)
    return list({peer.region: peer for peer in reversed(ordered)}.values())


def _rank_entries(
    version: pieces.Version, index: int, entries: Sequence[Peer]
) -> list[Peer]:
    """Return entries in the order of their rendezvous hashes for a piece."""
    by_name = {peer.name: peer for peer in entries}
    ordered = rendezvous.order(f'{version.label}:{index}', by_name)
    return [by_name[name] for name in ordered]
