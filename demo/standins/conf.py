"""Stand-in for the configuration service, with long polls and a count of calls."""

import asyncio
import collections
import contextlib
import time
import typing

import msgspec
from tornado import web

from demo.standins import common

__all__ = ('ConfigurationService', 'routes')

MAX_WAIT_S = 60.0
RATE_WINDOW_S = 10.0


class ConfigurationService:
    """The published catalogues, and long polls that wait for the next one."""

    def __init__(self) -> None:
        """Create a service without a catalogue."""
        self.faults = common.Faults(down=False, stale=False, delay_s=0.0)
        self.calls = 0
        self._call_times: collections.deque[float] = collections.deque()
        self._documents: list[tuple[int, bytes]] = []
        self._changed = asyncio.Event()

    def publish(self, text: bytes) -> int:
        """Publish a document with a revision above the last one; return the revision.

        A body that is not a JSON object is published unchanged.
        """
        last = self._documents[-1][0] if self._documents else 0
        revision = last + 1
        try:
            raw = msgspec.json.decode(text, type=dict[str, typing.Any])
        except msgspec.MsgspecError:
            raw = None
        if raw is not None:
            requested = raw.get('revision')
            if isinstance(requested, int) and not isinstance(requested, bool):
                revision = max(requested, revision)
            text = msgspec.json.encode({**raw, 'revision': revision})
        self._documents.append((revision, text))
        self._changed.set()
        self._changed = asyncio.Event()
        return revision

    def current(self) -> tuple[int, bytes]:
        """Return the revision and text that readers see, the one before when stale."""
        if not self._documents:
            return (0, b'')
        stale = self.faults.stale and len(self._documents) > 1
        return self._documents[-2 if stale else -1]

    def count(self) -> None:
        """Count a call."""
        now = time.monotonic()
        self.calls += 1
        self._call_times.append(now)
        while self._call_times and now - self._call_times[0] > RATE_WINDOW_S:
            self._call_times.popleft()

    def tally(self) -> dict[str, float]:
        """Return the number of calls, and their rate over RATE_WINDOW_S."""
        recent = [
            at for at in self._call_times if time.monotonic() - at < RATE_WINDOW_S
        ]
        return {'calls': self.calls, 'calls_per_s': len(recent) / RATE_WINDOW_S}

    async def wait(self, after: int, wait_s: float) -> tuple[int, bytes]:
        """Wait for a revision above `after`; return the current one with its text."""
        deadline = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            revision, text = self.current()
            remaining_s = deadline - time.monotonic()
            if revision > after or remaining_s <= 0:
                return revision, text
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)


class _CatalogueHandler(common.Handler):
    def initialize(self, service: ConfigurationService) -> None:
        self.service = service

    async def get(self) -> None:
        self.service.count()
        if self.service.faults.down:
            raise web.HTTPError(503)
        await asyncio.sleep(self.service.faults.delay_s)
        after = int(self.get_query_argument('after', '-1'))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        revision, text = await self.service.wait(after, wait_s)
        if not text or self.service.faults.down:
            raise web.HTTPError(503)
        if revision <= after:
            self.set_status(304)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(text)


class _PublishHandler(common.Handler):
    def initialize(self, service: ConfigurationService) -> None:
        self.service = service

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(self.service.current()[1])

    def put(self) -> None:
        self.reply({'revision': self.service.publish(self.request.body)})


def routes(service: ConfigurationService) -> list[typing.Any]:
    """Return the routes of the stand-in."""
    kwargs = {'service': service}
    return [
        (r'/v1/catalogue', _CatalogueHandler, kwargs),
        (r'/standin/catalogue', _PublishHandler, kwargs),
        (r'/standin/calls', common.JsonRead, {'read': service.tally}),
        *common.fault_routes(service.faults),
    ]


def main() -> None:
    """Run the stand-in."""
    args = common.arguments('configuration service')
    common.run(lambda: routes(ConfigurationService()), args.listen)


if __name__ == '__main__':
    main()
