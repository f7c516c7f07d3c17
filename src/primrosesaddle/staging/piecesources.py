"""Homes: which entry reads a piece first, and whom the others ask for it."""

import typing
from collections.abc import Sequence

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.membership import link
from primrosesaddle.staging import pieces

__all__ = ('Peer', 'Source', 'interleave_indexes', 'is_primary', 'list_sources')

MAX_HOLDERS = 2  # entries of each sort that are asked for a piece before the origin is


class Peer(typing.NamedTuple):
    """An entry that may hold pieces; the origin has no channel."""

    name: str
    region: str
    channel: link.Channel | None
    leaving: bool = False


class Source(typing.NamedTuple):
    """Whom to ask for a piece, and whether only for what it holds already."""

    peer: Peer
    only_if_held: bool = False


def is_primary(
    name: str,
    region: str,
    version: pieces.Version,
    index: int,
    everyone: Sequence[Peer],
) -> bool:
    """Tell whether an entry is the home of a piece in its region."""
    homes = _homes(version, index, _within(everyone, region))
    return bool(homes) and homes[0].name == name


def list_sources(
    name: str,
    region: str,
    origin: Peer,
    version: pieces.Version,
    index: int,
    everyone: Sequence[Peer],
) -> list[Source]:
    """Return where a process in a region reads a piece, in order.

    A home reads from the origin when it is in its region, else from the homes
    there; every other process reads from the homes of its own region. Without an
    entry in a region, the homes among all entries take the place of its homes.
    Between these, others are asked for what they hold: entries of the region, and
    those of other regions when no other entry of the region reads the piece.
    """
    mine = _within(everyone, region)
    homes = _homes(version, index, mine)
    is_reader = not homes or homes[0].name == name
    if is_reader:
        homes = _homes(version, index, _within(everyone, origin.region) or everyone)
    if homes and homes[0].name == name:
        homes = []
    asked = [Source(peer) for peer in homes if peer.name != name]
    first = asked[:1]
    last = [*asked[1:MAX_HOLDERS], Source(origin)]
    known = {name, *(source.peer.name for source in first)}
    near = _holders(version, index, mine, known)
    if not is_reader:
        return [*first, *near, *last]
    elsewhere = [peer for peer in everyone if peer.region != region]
    far = _holders(version, index, _firsts(version, index, elsewhere), known)
    return [*near, *first, *far, *last]


def interleave_indexes(count: int) -> list[int]:
    """Return indexes so that the parts of the layers progress alike."""
    stride = -(-count // layers.PART_COUNT) or 1
    return sorted(range(count), key=lambda index: (index % stride, index))


def _within(everyone: Sequence[Peer], region: str) -> list[Peer]:
    return [peer for peer in everyone if peer.region == region]


def _homes(version: pieces.Version, index: int, entries: Sequence[Peer]) -> list[Peer]:
    """Return the entries that stay in order, or all where none stays."""
    staying = [peer for peer in entries if not peer.leaving]
    return _ordered(version, index, staying or entries)


def _holders(
    version: pieces.Version, index: int, entries: Sequence[Peer], known: set[str]
) -> list[Source]:
    """Return the entries that are the likeliest to hold a piece, save some."""
    ordered = _ordered(version, index, entries)
    others = [peer for peer in ordered if peer.name not in known]
    return [Source(peer, only_if_held=True) for peer in others[:MAX_HOLDERS]]


def _firsts(version: pieces.Version, index: int, entries: Sequence[Peer]) -> list[Peer]:
    """Return the first entry of each region."""
    ordered = _ordered(version, index, entries)
    return list({peer.region: peer for peer in reversed(ordered)}.values())


def _ordered(
    version: pieces.Version, index: int, entries: Sequence[Peer]
) -> list[Peer]:
    by_name = {peer.name: peer for peer in entries}
    ordered = rendezvous.order(f'{version.label}:{index}', by_name)
    return [by_name[name] for name in ordered]
