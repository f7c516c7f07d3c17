"""Stand-in for a plain booking service that counts the runs of every key.

Several backend servers of the service share one process and its bookings; each has
its own address.
"""

import asyncio
import collections
import random
import typing

from demo.standins import common

__all__ = ('BookingService', 'routes')


class BookingService:
    """The bookings, and the number of runs of each key."""

    def __init__(self) -> None:
        """Create a service without bookings."""
        self.faults = common.Faults(delay_s=0.0, drop_answer_share=0.0, down=False)
        self.runs: collections.Counter[str] = collections.Counter()
        self.bookings: list[dict[str, typing.Any]] = []
        self.rand = random.Random(11)

    def book(self, key: str, slot: object) -> dict[str, typing.Any]:
        """Add a booking, and return it."""
        self.runs[key] += 1
        booking = {'booking': len(self.bookings) + 1, 'slot': slot, 'key': key}
        self.bookings.append(booking)
        return booking

    def tally(self) -> dict[str, typing.Any]:
        """Return how often each key ran."""
        return {'runs': dict(self.runs), 'bookings': len(self.bookings)}


class _BookHandler(common.Handler):
    def initialize(self, service: BookingService) -> None:
        self.service = service

    async def post(self) -> None:
        faults = self.service.faults
        if faults.down:
            self.reply({'error': 'down'}, 503)
            return
        body = self.json()
        if not isinstance(body, dict) or 'slot' not in body:
            self.reply({'error': 'slot: required field'}, 400)
            return
        await asyncio.sleep(faults.delay_s)
        key = self.request.headers.get('Idempotency-Key', '')
        booking = self.service.book(key, body['slot'])
        if self.service.rand.random() < faults.drop_answer_share:
            self.request.connection.detach().close()  # type: ignore[union-attr]
            self._finished = True
            return
        self.set_header('X-Booking', str(booking['booking']))
        self.reply(booking, 201)


class _SlotsHandler(common.Handler):
    def initialize(self, service: BookingService) -> None:
        self.service = service

    async def get(self) -> None:
        await asyncio.sleep(self.service.faults.delay_s)
        self.reply({'bookings': self.service.bookings[-20:]})


class _EchoHandler(common.Handler):
    def handle(self) -> None:
        pairs = sorted(self.request.headers.get_all())
        self.reply(
            {
                'method': self.request.method,
                'query': self.request.query,
                'headers': pairs,
                'body': self.request.body.decode(errors='replace'),
            }
        )

    get = post = put = delete = patch = handle  # type: ignore[assignment]


def routes(service: BookingService) -> list[typing.Any]:
    """Return the routes of the stand-in."""
    kwargs = {'service': service}
    return [
        (r'/book', _BookHandler, kwargs),
        (r'/slots', _SlotsHandler, kwargs),
        (r'/echo', _EchoHandler),
        (r'/standin/runs', common.JsonRead, {'read': service.tally}),
        *common.fault_routes(service.faults),
    ]


def main() -> None:
    """Run the stand-in."""
    args = common.arguments('plain service')
    common.run(lambda: routes(BookingService()), args.listen)


if __name__ == '__main__':
    main()
