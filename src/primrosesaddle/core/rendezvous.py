"""Rendezvous (highest random weight) hashing, plain and weighted."""

import math
from collections.abc import Iterable, Mapping

import xxhash

__all__ = ('select_owner', 'order', 'weighted_order')

_HASH_RANGE = 1 << 64


def order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names sorted by their hash with the key, the highest first."""
    return sorted(names, key=lambda name: (_hash(key, name), name), reverse=True)


def select_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of `order`, or None if there are no names."""
    return max(names, key=lambda name: (_hash(key, name), name), default=None)


def weighted_order(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names with a positive weight in the order for a key.

    Over many keys, each name is first in proportion to its weight.
    """
    scores = {
        name: -weight / math.log((_hash(key, name) + 1) / (_HASH_RANGE + 1))
        for name, weight in weights.items()
        if weight > 0
    }
    return sorted(scores, key=lambda name: (scores[name], name), reverse=True)


def _hash(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())
