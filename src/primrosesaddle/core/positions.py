"""Positions in the history of a store that may be restored from a copy."""

import typing

__all__ = ('START', 'Position')


class Position(typing.NamedTuple):
    """A revision of an era; positions are ordered by era first.

    Each restoration of the store begins an era, in which it gives out revisions again
    that it had given out before. A store that is never restored is in era 0.
    """

    era: int
    revision: int


START = Position(0, 0)  # before anything was read
