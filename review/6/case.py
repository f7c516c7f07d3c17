"""Case 6: a server runs a booking, and then answers with a 503 of its own."""

import asyncio
import random

import configuration
import fleet as fleets
import http1
import plainserver
import runner

GREY_SHARE = 0.4  # x of srv_grey: the part of its requests that a grey server fails
GREY_S = 6.0
CALLS_PER_S = 10.0
QUIET_S = 4.0  # before and after
TIME_LIMIT_MS = 2500
PROMISES = frozenset((408, 421, 429, 503))
ATTEMPTS = 2  # a requester repeats once, as the sheets state it


class Desk(plainserver.Server):
    """Makes bookings; while it is grey, fails a part of those that it has made."""

    is_grey = False
    bookings: list[str] = []  # of all servers, in the order in which they were made

    async def work(self, request, writer, run) -> None:
        """Make a booking, and answer with a confirmation or a failure."""
        await asyncio.sleep(self.work_s)
        self.bookings.append(request.body.decode())
        run.outcome = 'answered'
        if self.is_grey and random.random() < GREY_SHARE:
            self.record.write(f'server {self.name} made {run.call_id}, answers 503')
            await self.answer(writer, run.call_id, 503, b'no confirmation in time')
        else:
            await self.answer(writer, run.call_id, 200, b'booked')


class Callers:
    """Callers, who repeat a booking only where an answer allows it."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Call the entries of a fleet."""
        self.statuses: dict[str, int] = {}  # by the ids of attempts
        self._fleet = fleet

    async def book(self, number: int) -> None:
        """Make a booking."""
        wait_s = 0.0
        for attempt in range(ATTEMPTS):
            await asyncio.sleep(wait_s)
            answer = await self._send(number, attempt)
            if answer.status not in PROMISES:
                return
            wait_s = float(answer.headers.get('retry-after', '0.1'))

    async def _send(self, number: int, attempt: int) -> http1.Message:
        fleet = self._fleet
        call_id = fleet.new_id()
        entry = fleet.entries[(number + attempt) % len(fleet.entries)]
        fleet.record.write(f'caller sends {call_id}, booking {number}, to {entry.name}')
        answer = await http1.call(
            entry.callers,
            'POST /book/place',
            configuration.caller_headers(call_id, TIME_LIMIT_MS),
            f'booking {number}'.encode(),
        )
        self.statuses[call_id] = answer.status
        seal = answer.headers.get('x-response-seal', 'none')
        fleet.record.write(f'caller gets {answer.status} for {call_id}, seal {seal}')
        return answer


async def run(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Make bookings, while one of three servers is grey for a time."""
    await fleet.store.start()
    route = configuration.make_route('/book/', 'non_idempotent', 'desk')
    fleet.store.put('op/config', configuration.make_configuration([route], 'desk'))
    desks = [fleet.make_server(Desk, f'i-{number}', 'desk') for number in range(3)]
    for desk in desks:
        await desk.start()
    await fleet.start_entries('dc-1', 'dc-2')
    callers = Callers(fleet)
    began_at = fleet.record.now()
    tasks: list[asyncio.Task[None]] = []
    while fleet.record.now() < began_at + GREY_S + 2 * QUIET_S:
        grey_s = fleet.record.now() - began_at - QUIET_S
        desks[0].is_grey = has_trouble and 0 <= grey_s < GREY_S
        tasks.append(asyncio.create_task(callers.book(len(tasks))))
        await asyncio.sleep(1 / CALLS_PER_S)
    await asyncio.gather(*tasks)
    return judge(fleet, callers, desks)


def judge(fleet: fleets.Fleet, callers: Callers, desks: list[Desk]) -> bool:
    """Return whether a booking that was made was answered as not run."""
    made = {each.call_id for desk in desks for each in desk.runs}
    broken = [
        call_id
        for call_id, status in callers.statuses.items()
        if status in PROMISES and call_id in made
    ]
    twice = {what for what in Desk.bookings if Desk.bookings.count(what) > 1}
    fleet.record.write(f'promised not to run, though run: {broken}')
    fleet.record.write(f'made twice: {sorted(twice)}')
    runner.report(
        fleet,
        f'REFUSED: {len(broken)} of {len(callers.statuses)} requests had run; '
        f'{len(twice)} bookings were made twice',
    )
    return bool(broken)


if __name__ == '__main__':
    runner.main(run)
