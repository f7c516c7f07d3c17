"""Ranges of model layers that a server holds, and of which version.

A model is a stack of layers. A server holds one contiguous range of them. A server
that holds all layers runs requests alone; servers that hold a part each run a request
together, one after the other.
"""

import typing

__all__ = (
    'END_UNKNOWN',
    'PART_COUNT',
    'Span',
    'all_layers',
    'complete_version',
    'covers',
    'split_layers',
)

# Parts in which servers load a model. An agent's link takes 4.4 s for a model of 2.1 MB
# at 3.8 Mbit/s, so two servers that load a half each can serve after half that time.
# With more parts the origin's link (1.7 s for a copy at 9.9 Mbit/s) would be the limit.
PART_COUNT = 2
END_UNKNOWN = 2**31  # end of a span of all layers when their number is not known


class Span(typing.NamedTuple):
    """Layers of a version, from `first` up to but not including `end`."""

    first: int
    end: int
    version: int


def covers(held: Span | None, wanted: Span) -> bool:
    """Tell whether `held` contains every layer of `wanted`, of the same version.

    An end of `END_UNKNOWN` in `wanted` is not compared.
    """
    return (
        held is not None
        and held.version == wanted.version
        and held.first <= wanted.first
        and (wanted.end <= held.end or wanted.end == END_UNKNOWN)
    )


def complete_version(held: Span | None, count: int) -> int:
    """Return the version of which all `count` layers are held, 0 for none.

    If `count` is 0, the number of layers is not known, and a span that starts at the
    first layer counts as complete.
    """
    if held is None or not covers(held, all_layers(count, held.version)):
        return 0
    return held.version


def all_layers(count: int, version: int) -> Span:
    """Return the span of all layers; `count` is 0 if their number is not known."""
    return Span(0, count or END_UNKNOWN, version)


def split_layers(layers: int, version: int) -> tuple[Span, ...]:
    """Return the parts in which servers load a model of `layers` layers.

    If their number is not known (0), there is one part.
    """
    if not layers:
        return (all_layers(layers, version),)
    count = min(PART_COUNT, layers)
    bounds = [layers * part // count for part in range(count + 1)]
    return tuple(
        Span(first, end, version)
        for first, end in zip(bounds, bounds[1:], strict=False)
    )
