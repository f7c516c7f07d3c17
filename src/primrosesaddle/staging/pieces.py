"""Versions of weights: their digests, and pieces checked against them."""

import dataclasses
import hashlib

__all__ = ('Digests', 'Version', 'is_piece')


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One version of a model's weights."""

    model: str
    number: int

    @property
    def mark(self) -> str:
        """Return the version as one word, for messages and logs."""
        return f'{self.model}@{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """The SHA-256 digests of a version's pieces, in hexadecimal."""

    version: Version
    pieces: tuple[str, ...]


def is_piece(digests: Digests, index: int, body: bytes) -> bool:
    """Tell whether some bytes are the published piece."""
    return hashlib.sha256(body).hexdigest() == digests.pieces[index]


def parse_mark(mark: str) -> Version | None:
    """Return the version that a mark names, or None."""
    model, _, number = mark.rpartition('@')
    if not model or not number.isdigit():
        return None
    return Version(model, int(number))
