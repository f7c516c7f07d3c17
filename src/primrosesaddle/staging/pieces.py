"""Versions of weights, the digests of their pieces, and checks against these."""

import dataclasses
import hashlib
import re

from primrosesaddle.core import layers

__all__ = (
    'Digests',
    'Shape',
    'Version',
    'check_digests',
    'find_indexes',
    'matches_digest',
    'parse_label',
)

_DIGEST = re.compile('[0-9a-f]{64}')  # SHA-256 in hexadecimal


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of a model's weights."""

    model: str
    number: int

    @property
    def label(self) -> str:
        """Return the version as text such as `m0@3`, for messages and logs."""
        return f'{self.model}@{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """The SHA-256 digests of a version's pieces, in hexadecimal.

    `layer_count` is the number of layers in all pieces, 0 when it is not known.
    """

    version: Version
    pieces: tuple[str, ...]
    layer_count: int = 0

    @property
    def fingerprint(self) -> str:
        """Return a short text that differs for other digests or layers."""
        text = '\n'.join((str(self.layer_count), *self.pieces))
        return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The number of layers and pieces of a model's weights, 0 where not known."""

    layer_count: int = 0
    piece_count: int = 0


def check_digests(digests: Digests, shape: Shape) -> None:
    """Raise `ValueError` unless digests are well-formed and of the expected number.

    The number of layers is not compared: see `find_indexes`.
    """
    label = digests.version.label
    for index, digest in enumerate(digests.pieces):
        if _DIGEST.fullmatch(digest) is None:
            raise ValueError(f'digest {index} of {label} is no SHA-256: {digest!r}')
    count = len(digests.pieces)
    if not count or shape.piece_count not in {0, count}:
        raise ValueError(f'{label} has {count} digests, not {shape.piece_count}')


def matches_digest(digests: Digests, index: int, body: bytes) -> bool:
    """Return whether a piece is intact, that is, matches the published digest."""
    if index >= len(digests.pieces):
        return False
    return hashlib.sha256(body).hexdigest() == digests.pieces[index]


def find_indexes(digests: Digests, span: layers.Span) -> range:
    """Return the indexes of the pieces that hold the layers of a span.

    It is all pieces when the number of layers is not known.
    """
    count = len(digests.pieces)
    if not digests.layer_count:
        return range(count)
    first = span.first * count // digests.layer_count
    end = -(-span.end * count // digests.layer_count)
    return range(first, min(count, end))


def parse_label(label: str) -> Version | None:
    """Return the version of a label such as `m0@3`, None for any other text."""
    model, _, number = label.rpartition('@')
    if not model or not number.isdigit():
        return None
    return Version(model, int(number))
