"""Fetching of complete versions into an agent's memory, by the order of due times."""

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

# A fetch that has received nothing for this long no longer blocks the next one.
STALLED_S = 0.3
RATE_WINDOW_S = 2.0  # over which the rate of pieces is measured
POLL_S = 0.05
PARALLEL_READS = 2  # pieces read at once, so that the link is busy between two
REQUEUE_DISTANCE = 8  # pieces that are tried before one that was not available
UNAVAILABLE_PAUSE_S = 0.01  # pause after a piece that was not available


class _Fetch:
    """The state of the fetch of one version.

    `span` holds the layers to read first, `due` the time at which the version has to
    be loaded, `held` the indexes of the pieces that were received.
    """

    def __init__(self, now: float, span: layers.Span, due: float) -> None:
        self.started_at = now
        self.last_progress_at = now
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
    def is_complete(self) -> bool:
        return self.total > 0 and not self.missing


class VersionFetcher:
    """Fetches versions into an agent's memory, and tracks what is held of each."""

    def __init__(
        self, cache: weightcache.WeightCache, clock: Callable[[], float]
    ) -> None:
        """Fetch by means of a cache, which stores the pieces."""
        self._cache = cache
        self._clock = clock
        self._fetches: dict[pieces.Version, _Fetch] = {}
        self._arrivals: collections.deque[float] = collections.deque()

    def start_fetch(
        self, version: pieces.Version, first: layers.Span, due: float = math.inf
    ) -> None:
        """Start to fetch a version, beginning with the layers `first`.

        `due` is when it has to be loaded, by the clock; it is updated when the fetch
        has started already.
        """
        running = self._fetches.get(version)
        if running is not None:
            running.due = due
            return
        fetch = _Fetch(self._clock(), first, due)
        self._fetches[version] = fetch
        fetch.task = asyncio.create_task(self._fetch_version(version, fetch))

    def is_complete(self, version: pieces.Version) -> bool:
        """Return whether every piece of a version is held."""
        fetch = self._fetches.get(version)
        return fetch is not None and fetch.is_complete

    def get_held_share(self, version: pieces.Version) -> float:
        """Return the share of a version's pieces that is held, from 0 to 1."""
        fetch = self._fetches.get(version)
        if fetch is None or not fetch.total:
            return 0.0
        return len(fetch.held) / fetch.total

    def estimate_remaining_s(self, version: pieces.Version, share: float) -> float:
        """Return in how many seconds a share of a version will be held.

        Returns 0 when that is not known.
        """
        fetch = self._fetches.get(version)
        if fetch is None or not fetch.held:
            return 0.0
        missing = max(0.0, share * fetch.total - len(fetch.held))
        return missing * (self._clock() - fetch.started_at) / len(fetch.held)

    def holds_layers(self, version: pieces.Version, span: layers.Span) -> bool:
        """Return whether every piece of the layers of a span is held."""
        fetch = self._fetches.get(version)
        if fetch is None or fetch.digests is None:
            return False
        return fetch.held.issuperset(pieces.find_indexes(fetch.digests, span))

    def cancel_older(self, version: pieces.Version) -> None:
        """Cancel fetches of older versions of the model, and drop their pieces."""
        for fetched in list(self._fetches):
            if fetched.model == version.model and fetched.number < version.number:
                task = self._fetches.pop(fetched).task
                if task is not None:
                    task.cancel()
                self._cache.drop_version(fetched)

    async def _fetch_version(self, version: pieces.Version, fetch: _Fetch) -> None:
        digests = await self._cache.fetch_digests(version)
        fetch.digests = digests
        missing = collections.deque(range(fetch.total))
        missing.rotate(-pieces.find_indexes(digests, fetch.span).start)
        readers = [
            self._read_pieces(version, fetch, missing) for _ in range(PARALLEL_READS)
        ]
        await asyncio.gather(*readers)
        took_s = round(self._clock() - fetch.started_at, 3)
        journal.info('version.fetched', version=version.label, took_s=took_s)

    async def _read_pieces(
        self, version: pieces.Version, fetch: _Fetch, missing: collections.deque[int]
    ) -> None:
        while missing:
            while self._has_to_wait(version):
                await asyncio.sleep(POLL_S)
            if not missing:
                return
            index = missing.popleft()
            if await self._cache.try_fetch_piece(version, index) is None:
                # The entries do not hold this piece yet; they may hold another one.
                missing.insert(REQUEUE_DISTANCE, index)
                await asyncio.sleep(UNAVAILABLE_PAUSE_S)
                continue
            fetch.held.add(index)
            fetch.last_progress_at = self._clock()
            self._arrivals.append(fetch.last_progress_at)

    def _has_to_wait(self, version: pieces.Version) -> bool:
        """Return whether a fetch has to wait for an earlier one that makes progress."""
        now = self._clock()
        for ahead in self._order_fetches(version.model):
            if ahead == version:
                return False
            if now - self._fetches[ahead].last_progress_at < STALLED_S:
                return True
        return False

    def _order_fetches(self, model: str) -> list[pieces.Version]:
        """Return the incomplete versions of a model in the order of their fetches.

        Versions that can be complete when they are due come first, starting with the
        oldest, which is due first. The others follow, starting with the newest, which
        is of the most use.
        """
        unfinished = [
            version
            for version, fetch in self._fetches.items()
            if version.model == model and not fetch.is_complete
        ]
        wanted = sorted(unfinished, key=operator.attrgetter('number'))
        now = self._clock()
        piece_interval_s = self._compute_piece_interval_s(now)
        pending = [self._fetches[version] for version in wanted]
        is_in_time = [
            now + fetch.missing * piece_interval_s <= fetch.due for fetch in pending
        ]
        in_time = itertools.compress(wanted, is_in_time)
        late = itertools.compress(wanted, map(operator.not_, is_in_time))
        return [*in_time, *reversed(list(late))]

    def _compute_piece_interval_s(self, now: float) -> float:
        """Return the recent time between two received pieces, 0 without any."""
        while self._arrivals and now - self._arrivals[0] > RATE_WINDOW_S:
            self._arrivals.popleft()
        count = len(self._arrivals)
        return (now - self._arrivals[0]) / count if count else 0.0
