"""Rendezvous (highest random weight) hashing, plain and weighted."""

import math
from collections.abc import Iterable, Mapping

import xxhash

__all__ = ('first', 'order', 'weighted_order')

_SPAN = 1 << 64


def order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, the one that owns the key first."""
    return sorted(names, key=lambda name: (_hash(key, name), name), reverse=True)


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the name that owns the key, or None when there is no name."""
    return max(names, key=lambda name: (_hash(key, name), name), default=None)


def weighted_order(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names with a positive weight, owners in proportion to weight."""
    scores = {
        name: -weight / math.log((_hash(key, name) + 1) / (_SPAN + 1))
        for name, weight in weights.items()
        if weight > 0
    }
    return sorted(scores, key=lambda name: (scores[name], name), reverse=True)


def _hash(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())
