"""The staging area of the engine beside an agent: what was written, and is sound."""

import typing
from collections.abc import Callable

from primrosesaddle.core import layers
from primrosesaddle.staging import depot, pieces
from primrosesaddle.telemetry import journal

__all__ = ('Area', 'Shelf')


class Shelf(typing.Protocol):
    """The part of an engine that keeps staged pieces."""

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None."""

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece."""


class Area:
    """Write pieces to an engine's staging area, and read them back."""

    def __init__(
        self, shelf: Shelf, source: depot.Depot, clock: Callable[[], float]
    ) -> None:
        """Stage pieces from a depot."""
        self._shelf = shelf
        self._source = source
        self._clock = clock
        self._version: pieces.Version | None = None
        self._indexes: set[int] = set()
        self.ended_at = 0.0

    def forget(self) -> None:
        """Take nothing for staged, as after a loss of power or a spoilt piece."""
        self._version = None
        self._indexes = set()

    async def stage(self, wanted: pieces.Version, span: layers.Span) -> None:
        """Write the pieces of some layers that are not there yet.

        Raises `call.CallFailed`.
        """
        if self._version != wanted:
            self.forget()
            self._version = wanted
        digests = await self._source.digests(wanted)
        missing = [
            index
            for index in pieces.indexes_of(digests, span)
            if index not in self._indexes
        ]
        for index in missing:
            body = await self._source.piece(wanted, index)
            await self._shelf.write_piece(wanted.model, index, body)
            self._indexes.add(index)
        if missing:
            self.ended_at = self._clock()
            journal.info('version.staged', version=wanted.mark, pieces=len(missing))

    async def verify(self, wanted: pieces.Version, span: layers.Span) -> bool:
        """Read back the pieces of some layers, and return whether all are sound.

        Raises `call.CallFailed`.
        """
        digests = await self._source.digests(wanted)
        for index in pieces.indexes_of(digests, span):
            body = await self._shelf.read_piece(wanted.model, index)
            if body is None or not pieces.is_piece(digests, index, body):
                journal.warning('staged.spoilt', version=wanted.mark, index=index)
                self.forget()
                return False
        return True
