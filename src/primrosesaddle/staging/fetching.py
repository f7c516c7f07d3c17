"""Fetches of whole versions into an agent's memory, in the order of their bounds."""

import asyncio
import collections
import itertools
import math
import operator
from collections.abc import Callable

from primrosesaddle.core import layers
from primrosesaddle.staging import pieces, weightcache
from primrosesaddle.telemetry import journal

__all__ = ('VersionFetcher',)

# A fetch that brought nothing for this long is passed by the next one.
STALLED_S = 0.3
RATE_WINDOW_S = 2.0  # over which the rate of pieces is measured
POLL_S = 0.05
READERS = 2  # of pieces at once, so that the link is busy between two
PASSED_BY = 8  # pieces that are tried before one that was not there
PASS_S = 0.01  # before another piece is tried in place of one that is not there


class _Fetch:
    """The fetch of one version."""

    def __init__(self, now: float, span: layers.Span, due: float) -> None:
        self.began_at = now
        self.moved_at = now
        self.span = span
        self.due = due
        self.digests: pieces.Digests | None = None
        self.held: set[int] = set()
        self.task: asyncio.Task[None] | None = None

    @property
    def total(self) -> int:
        return 0 if self.digests is None else len(self.digests.pieces)

    @property
    def missing(self) -> int:
        return self.total - len(self.held)

    @property
    def whole(self) -> bool:
        return self.total > 0 and not self.missing


class VersionFetcher:
    """The versions that an agent fetches or holds."""

    def __init__(
        self, source: weightcache.WeightCache, clock: Callable[[], float]
    ) -> None:
        """Fetch from a depot."""
        self._source = source
        self._clock = clock
        self._fetches: dict[pieces.Version, _Fetch] = {}
        self._arrivals: collections.deque[float] = collections.deque()

    def start_fetch(
        self, version: pieces.Version, first: layers.Span, due: float = math.inf
    ) -> None:
        """Begin to fetch a version, some layers first, unless that has begun.

        `due` is when it must be loaded, by the clock.
        """
        known = self._fetches.get(version)
        if known is not None:
            known.due = due
            return
        begun = _Fetch(self._clock(), first, due)
        self._fetches[version] = begun
        begun.task = asyncio.create_task(self._run(version, begun))

    def is_complete(self, version: pieces.Version) -> bool:
        """Tell whether every piece of a version is held."""
        found = self._fetches.get(version)
        return found is not None and found.whole

    def get_held_share(self, version: pieces.Version) -> float:
        """Return the share of a version's pieces that is held."""
        found = self._fetches.get(version)
        if found is None or not found.total:
            return 0.0
        return len(found.held) / found.total

    def estimate_remaining_s(self, version: pieces.Version, share: float) -> float:
        """Return how long a share of a version still takes, 0 when not known."""
        found = self._fetches.get(version)
        if found is None or not found.held:
            return 0.0
        missing = max(0.0, share * found.total - len(found.held))
        return missing * (self._clock() - found.began_at) / len(found.held)

    def holds_layers(self, version: pieces.Version, span: layers.Span) -> bool:
        """Tell whether every piece of some layers is held."""
        found = self._fetches.get(version)
        if found is None or found.digests is None:
            return False
        return found.held.issuperset(pieces.find_indexes(found.digests, span))

    def cancel_older(self, version: pieces.Version) -> None:
        """Forget the versions of a model that are older than one."""
        for known in list(self._fetches):
            if known.model == version.model and known.number < version.number:
                task = self._fetches.pop(known).task
                if task is not None:
                    task.cancel()
                self._source.drop_version(known)

    async def _run(self, version: pieces.Version, begun: _Fetch) -> None:
        digests = await self._source.fetch_digests(version)
        begun.digests = digests
        missing = collections.deque(range(begun.total))
        missing.rotate(-pieces.find_indexes(digests, begun.span).start)
        readers = [self._read_some(version, begun, missing) for _ in range(READERS)]
        await asyncio.gather(*readers)
        took_s = round(self._clock() - begun.began_at, 3)
        journal.info('version.fetched', version=version.label, took_s=took_s)

    async def _read_some(
        self, version: pieces.Version, begun: _Fetch, missing: collections.deque[int]
    ) -> None:
        while missing:
            while self._stands_back(version):
                await asyncio.sleep(POLL_S)
            if not missing:
                return
            index = missing.popleft()
            if await self._source.try_fetch_piece(version, index) is None:
                # The entries do not hold it yet; another one may be there.
                missing.insert(PASSED_BY, index)
                await asyncio.sleep(PASS_S)
                continue
            begun.held.add(index)
            begun.moved_at = self._clock()
            self._arrivals.append(begun.moved_at)

    def _stands_back(self, version: pieces.Version) -> bool:
        """Tell whether a fetch waits for one that goes before it and moves."""
        now = self._clock()
        for other in self._in_turn(version.model):
            if other == version:
                return False
            if now - self._fetches[other].moved_at < STALLED_S:
                return True
        return False

    def _in_turn(self, model: str) -> list[pieces.Version]:
        """Return the versions that are not whole in the order of their fetches.

        Those that can be whole when they are due come first, the oldest leading, as it
        is due first. Of the others the newest is of the most use.
        """
        unfinished = [
            version
            for version, fetch in self._fetches.items()
            if version.model == model and not fetch.whole
        ]
        wanted = sorted(unfinished, key=operator.attrgetter('number'))
        now = self._clock()
        piece_s = self._piece_s(now)
        found = [self._fetches[version] for version in wanted]
        is_in_time = [now + fetch.missing * piece_s <= fetch.due for fetch in found]
        in_time = itertools.compress(wanted, is_in_time)
        late = itertools.compress(wanted, map(operator.not_, is_in_time))
        return [*in_time, *reversed(list(late))]

    def _piece_s(self, now: float) -> float:
        """Return the time between two pieces of late, 0 when none came."""
        while self._arrivals and now - self._arrivals[0] > RATE_WINDOW_S:
            self._arrivals.popleft()
        count = len(self._arrivals)
        return (now - self._arrivals[0]) / count if count else 0.0
