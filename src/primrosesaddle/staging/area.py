"""The staging area of the engine beside an agent: what was written, and is sound."""

import typing
from collections.abc import Callable

from primrosesaddle.core import layers
from primrosesaddle.staging import pieces, weightcache
from primrosesaddle.telemetry import journal

__all__ = ('StagingArea', 'StagingStore')


class StagingStore(typing.Protocol):
    """The part of an engine that keeps staged pieces."""

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None."""

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece."""


class StagingArea:
    """Write pieces to an engine's staging area, and read them back."""

    def __init__(
        self,
        shelf: StagingStore,
        source: weightcache.WeightCache,
        clock: Callable[[], float],
    ) -> None:
        """Stage pieces from a depot."""
        self._shelf = shelf
        self._source = source
        self._clock = clock
        self._version: pieces.Version | None = None
        self._indexes: set[int] = set()
        self.staged_at = 0.0

    def reset(self) -> None:
        """Take nothing for staged, as after a loss of power or a spoilt piece."""
        self._version = None
        self._indexes = set()

    async def stage_layers(self, wanted: pieces.Version, span: layers.Span) -> None:
        """Write the pieces of some layers that are not there yet.

        Raises `call.CallFailed`.
        """
        if self._version != wanted:
            self.reset()
            self._version = wanted
        digests = await self._source.fetch_digests(wanted)
        missing = [
            index
            for index in pieces.find_indexes(digests, span)
            if index not in self._indexes
        ]
        for index in missing:
            body = await self._source.fetch_piece(wanted, index)
            await self._shelf.write_piece(wanted.model, index, body)
            self._indexes.add(index)
        if missing:
            self.staged_at = self._clock()
            journal.info('version.staged', version=wanted.label, pieces=len(missing))

    async def verify_layers(self, wanted: pieces.Version, span: layers.Span) -> bool:
        """Read back the pieces of some layers, and return whether all are sound.

        Raises `call.CallFailed`.
        """
        digests = await self._source.fetch_digests(wanted)
        for index in pieces.find_indexes(digests, span):
            body = await self._shelf.read_piece(wanted.model, index)
            if body is None or not pieces.matches_digest(digests, index, body):
                journal.warning('staged.spoilt', version=wanted.label, index=index)
                self.reset()
                return False
        return True
