"""Versions of weights: their digests, and pieces checked against them."""

import dataclasses
import hashlib

from primrosesaddle.core import layers

__all__ = ('Digests', 'Version', 'find_indexes', 'matches_digest', 'parse_label')


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of a model's weights."""

    model: str
    number: int

    @property
    def label(self) -> str:
        """Return the version as one word, for messages and logs."""
        return f'{self.model}@{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """The SHA-256 digests of a version's pieces, in hexadecimal.

    `layer_count` is how many layers the pieces make up, 0 when that is not told.
    """

    version: Version
    pieces: tuple[str, ...]
    layer_count: int = 0


def matches_digest(digests: Digests, index: int, body: bytes) -> bool:
    """Tell whether some bytes are the published piece."""
    return hashlib.sha256(body).hexdigest() == digests.pieces[index]


def find_indexes(digests: Digests, span: layers.Span) -> range:
    """Return the indexes of the pieces that some layers are made of."""
    count = len(digests.pieces)
    if not digests.layer_count:
        return range(count)
    first = span.first * count // digests.layer_count
    end = -(-span.end * count // digests.layer_count)
    return range(first, min(count, end))


def parse_label(mark: str) -> Version | None:
    """Return the version that a mark names, or None."""
    model, _, number = mark.rpartition('@')
    if not model or not number.isdigit():
        return None
    return Version(model, int(number))
