"""Layers: which layers of a model a server holds, and of which version.

A model is a stack of layers, of which a server holds one run. A server that holds
all of them runs requests alone; servers that hold a part each run them together.
"""

import typing

__all__ = ('ALL', 'PARTS', 'Span', 'covers', 'parts', 'whole', 'whole_version')

# An agent's link takes 4.4 s for a copy of 2.1 MB at 3.8 Mbit/s. Two servers that
# hold a half each serve after half of that; with more parts it is the origin's link
# (1.7 s for a copy at 9.9 Mbit/s) that they would wait for.
PARTS = 2
ALL = 2**31  # the end of a span of all layers, where their number is not told


class Span(typing.NamedTuple):
    """Layers of a version from `first` up to, but without, `end`."""

    first: int
    end: int
    version: int


def covers(held: Span | None, wanted: Span) -> bool:
    """Tell whether every layer of a span is held."""
    return (
        held is not None
        and held.version == wanted.version
        and held.first <= wanted.first
        and (wanted.end <= held.end or wanted.end == ALL)
    )


def whole_version(held: Span | None, count: int) -> int:
    """Return the version of which all layers are held, 0 for none.

    `count` is 0 when the number of layers is not known; any that are held then do.
    """
    if held is None or not covers(held, whole(count, held.version)):
        return 0
    return held.version


def whole(count: int, version: int) -> Span:
    """Return the span of all layers; `count` is 0 when that is not known."""
    return Span(0, count or ALL, version)


def parts(layers: int, version: int) -> tuple[Span, ...]:
    """Return the parts in which servers load a model of some layers.

    It is one part where their number is not known, which is 0 then.
    """
    if not layers:
        return (whole(layers, version),)
    count = min(PARTS, layers)
    bounds = [layers * part // count for part in range(count + 1)]
    return tuple(
        Span(first, end, version)
        for first, end in zip(bounds, bounds[1:], strict=False)
    )
