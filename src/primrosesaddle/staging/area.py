"""The staging area of an agent's engine: writes pieces and verifies them."""

import typing
from collections.abc import Callable

from primrosesaddle.core import layers
from primrosesaddle.staging import pieces, weightcache
from primrosesaddle.telemetry import journal

__all__ = ('StagingArea', 'StagingStore')


class StagingStore(typing.Protocol):
    """The part of an engine that stores staged pieces."""

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None."""

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece."""


class StagingArea:
    """Writes pieces to an engine's staging store, and verifies them there.

    `staged_at` is when it last wrote pieces, by the clock.
    """

    def __init__(
        self,
        store: StagingStore,
        cache: weightcache.WeightCache,
        clock: Callable[[], float],
    ) -> None:
        """Stage pieces from a cache."""
        self._store = store
        self._cache = cache
        self._clock = clock
        self._version: pieces.Version | None = None
        self._indexes: set[int] = set()
        self.staged_at = 0.0

    def reset(self) -> None:
        """Treat nothing as staged, as after a power failure or a corrupt piece."""
        self._version = None
        self._indexes = set()

    async def stage_layers(self, wanted: pieces.Version, span: layers.Span) -> None:
        """Write the pieces of the layers that have not been staged yet.

        Raises `call.CallFailed`.
        """
        if self._version != wanted:
            self.reset()
            self._version = wanted
        digests = await self._cache.fetch_digests(wanted)
        missing = [
            index
            for index in pieces.find_indexes(digests, span)
            if index not in self._indexes
        ]
        for index in missing:
            body = await self._cache.fetch_piece(wanted, index)
            await self._store.write_piece(wanted.model, index, body)
            self._indexes.add(index)
        if missing:
            self.staged_at = self._clock()
            journal.info('version.staged', version=wanted.label, pieces=len(missing))

    async def verify_layers(self, wanted: pieces.Version, span: layers.Span) -> bool:
        """Read the pieces of the layers back, and return whether all are intact.

        If one is not, nothing is treated as staged any more. Raises
        `call.CallFailed`.
        """
        digests = await self._cache.fetch_digests(wanted)
        for index in pieces.find_indexes(digests, span):
            body = await self._store.read_piece(wanted.model, index)
            if body is None or not pieces.matches_digest(digests, index, body):
                journal.warning('staged.spoilt', version=wanted.label, index=index)
                self.reset()
                return False
        return True
