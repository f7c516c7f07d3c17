"""Stand-in for the platform's list of instances, which lags behind."""

import asyncio
import time
import typing

from tornado import web

from demo.standins import common

__all__ = ('InstanceList', 'routes')


class InstanceList:
    """The published list; readers see it `lag_s` seconds late."""

    def __init__(self, lag_s: float) -> None:
        """Create an empty list."""
        self.faults = common.Faults(down=False, empty=False, frozen=False, lag_s=lag_s)
        self._published: list[tuple[float, list[dict[str, typing.Any]]]] = []
        self._shown: list[dict[str, typing.Any]] = []

    def publish(self, listed: list[dict[str, typing.Any]]) -> None:
        """Publish a list."""
        self._published.append((time.monotonic(), listed))

    def set_state(self, name: str, state: str) -> bool:
        """Publish the list with a changed state; return if the instance is listed."""
        newest = self._published[-1][1] if self._published else []
        changed = [
            {**item, 'state': state} if item['name'] == name else item
            for item in newest
        ]
        self.publish(changed)
        return any(item['name'] == name for item in newest)

    def newest(self) -> list[dict[str, typing.Any]]:
        """Return the list that was published last."""
        return self._published[-1][1] if self._published else []

    def shown(self) -> list[dict[str, typing.Any]]:
        """Return the list that readers see now."""
        if self.faults.empty:
            return []
        now = time.monotonic()
        while not self.faults.frozen and self._published:
            at, listed = self._published[0]
            if now - at < self.faults.lag_s and self._shown:
                break
            self._shown = listed
            if len(self._published) == 1:
                break
            self._published.pop(0)
        return self._shown


class _ListHandler(common.Handler):
    def initialize(self, listing: InstanceList) -> None:
        self.listing = listing

    async def get(self) -> None:
        if self.listing.faults.down:
            raise web.HTTPError(503)
        await asyncio.sleep(0)
        self.reply({'instances': self.listing.shown()})


class _PublishHandler(common.Handler):
    def initialize(self, listing: InstanceList) -> None:
        self.listing = listing

    def get(self) -> None:
        self.reply({'instances': self.listing.newest()})

    def put(self) -> None:
        self.listing.publish(self.json()['instances'])
        self.reply({'published': True})


class _StateHandler(common.Handler):
    """`PUT /standin/state`: sets the state of one instance, by its name."""

    def initialize(self, listing: InstanceList) -> None:
        self.listing = listing

    def put(self) -> None:
        body = self.json()
        known = self.listing.set_state(body['name'], body.get('state', 'leaving'))
        self.reply({'known': known}, 200 if known else 404)


def routes(listing: InstanceList) -> list[typing.Any]:
    """Return the routes of the stand-in."""
    kwargs = {'listing': listing}
    return [
        (r'/v1/instances', _ListHandler, kwargs),
        (r'/standin/instances', _PublishHandler, kwargs),
        (r'/standin/state', _StateHandler, kwargs),
        *common.fault_routes(listing.faults),
    ]


def main() -> None:
    """Run the stand-in."""
    args = common.arguments('instance list', lag_s=1.0)
    common.run(lambda: routes(InstanceList(args.lag_s)), args.listen)


if __name__ == '__main__':
    main()
