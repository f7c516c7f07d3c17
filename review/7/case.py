"""Case 7: a part of prompts crashes the one model server that a route may use."""

import asyncio
import random

import configuration
import fleet as fleets
import http1
import plainserver
import runner

CRASHING = 'c0ffee01'
SHARED = 'aaaa0001'
BACK_S = 3.0  # the server is back after some seconds
SOUND_PER_S = 8.0
CRASHING_EVERY_S = 0.7
BEFORE_S = 8.0  # sound requests alone
LENGTH_S = 60.0
TIME_LIMIT_MS = 6000
EVENTS = 12
CONTACT_S = 3.0
COUNTED_CRASHES = 5
MAX_LATE_ARRIVALS = 3  # BUDGET: more than three break the rule
MIN_REQUESTS = 20  # LOST: so many before and after are needed
MIN_SHARE = 0.5  # LOST: less than half as often


class ModelServer(plainserver.Server):
    """Streams answers; crashes as it begins to write on a prompt with a part."""

    crashed_at: list[float] = []  # of all servers
    _returns: list[asyncio.Task[None]] = []

    async def work(self, request, writer, run) -> None:
        """Run a request, or crash and start again under the same id."""
        await asyncio.sleep(0.08)
        if CRASHING in request.headers.get('x-prefix-hash', ''):
            run.outcome = 'crashed the server'
            self.crashed_at.append(self.record.now())
            self._returns.append(asyncio.create_task(self._return()))
            raise ConnectionError
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'X-Attempt-Id: {run.call_id}',
            f'X-Response-Seal: seal.{self.name}.{self.boot}',
        ]
        writer.write(http1.format_head(lines))
        last_id = int(request.headers.get('last-event-id', '0'))
        for number in range(last_id + 1, EVENTS + 1):
            event = f'id: {number}\ndata: word-{number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')
        run.outcome = 'answered'

    async def _return(self) -> None:
        self.crash()
        await asyncio.sleep(BACK_S)
        await self.start()


class Callers:
    """Callers of one workspace, whose prompts begin with the same part."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        """Call the entries of a fleet at random."""
        self.sound: dict[str, float] = {}  # when requests were sent, by their ids
        self.crashing: dict[str, float] = {}
        self._fleet = fleet
        self._rand = random.Random(7)

    async def ask_sound(self) -> None:
        """Send a request of one of twenty sessions."""
        await self._ask(f'bb{self._rand.randrange(20):06x}', self.sound)

    async def ask_crashing(self) -> None:
        """Send a request with the part that crashes servers."""
        await self._ask(CRASHING, self.crashing)

    async def _ask(self, part: str, sent: dict[str, float]) -> None:
        record, call_id = self._fleet.record, self._fleet.new_id()
        entry = self._rand.choice(self._fleet.entries)
        own = f'{self._rand.getrandbits(48):012x}'
        sent[call_id] = record.now()
        record.write(f'caller sends {call_id}, part {part}, to {entry.name}')
        headers = configuration.caller_headers(
            call_id,
            TIME_LIMIT_MS,
            'X-Model: m1',
            'X-Token-Count: 120,80',
            f'X-Prefix-Hash: {SHARED}:40,{part}:40,{own}:40',
        )
        try:
            async with asyncio.timeout(1 + TIME_LIMIT_MS / 1000):
                answer = await http1.call(entry.callers, 'POST /chat/ask', headers)
        except http1.BROKEN_OFF as exc:
            record.write(f'caller gets {call_id} broken off: {type(exc).__name__}')
        else:
            record.write(f'caller gets {answer.status} for {call_id}')


async def run(fleet: fleets.Fleet, has_trouble: bool) -> bool:
    """Send sound requests, and later also some with the crashing part."""
    fleet.zones.update({'dc-3': 'region-3'})
    await fleet.store.start()
    route = configuration.make_route(
        '/chat/',
        'streaming',
        'llm',
        timeoutMs=TIME_LIMIT_MS,
        targetLatencyMs=400,
        gapTargetMs=300,
        streamResume=True,
        sessionAffinity=True,
        allowedRegions=['region-1'],
    )
    fleet.store.put('op/config', configuration.make_configuration([route], 'llm'))
    servers = []
    for zone in fleet.zones:
        servers.append(fleet.make_server(ModelServer, f'i-{zone}', 'llm'))
        servers[-1].zone = zone
        await servers[-1].start()
    await fleet.start_entries(*fleet.zones)
    callers = Callers(fleet)
    began_at = fleet.record.now()
    await send_all(fleet, callers, has_trouble)
    return judge(fleet, callers, servers, began_at)


async def send_all(fleet: fleets.Fleet, callers: Callers, has_trouble: bool) -> None:
    """Send all requests, and wait for their ends."""
    began_at = fleet.record.now()
    next_crashing_at = began_at + BEFORE_S
    tasks = []
    while fleet.record.now() < began_at + LENGTH_S:
        tasks.append(asyncio.create_task(callers.ask_sound()))
        if has_trouble and fleet.record.now() >= next_crashing_at:
            next_crashing_at += CRASHING_EVERY_S
            tasks.append(asyncio.create_task(callers.ask_crashing()))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*tasks)


def judge(
    fleet: fleets.Fleet,
    callers: Callers,
    servers: list[plainserver.Server],
    began_at: float,
) -> bool:
    """Return whether BUDGET or LOST was broken."""
    crashes = sorted(ModelServer.crashed_at)
    fleet.record.write(f'crashes at {[round(at, 1) for at in crashes]}')
    begun = {each.call_id for server in servers for each in server.runs}

    def count_sound(since: float, until: float) -> tuple[int, int]:
        ids = [name for name, at in callers.sound.items() if since <= at < until]
        return len(ids), len(begun.intersection(ids))

    before = count_sound(began_at, began_at + BEFORE_S)
    runner.report(fleet, f'sound requests before: {before[0]}, begun: {before[1]}')
    if len(crashes) < COUNTED_CRASHES:
        runner.report(fleet, f'held: {len(crashes)} crashes')
        return False
    fifth_at = crashes[COUNTED_CRASHES - 1]
    late = [
        call_id
        for server in servers
        for at, call_id in server.arrivals
        if call_id in callers.crashing and at > fifth_at + CONTACT_S
    ]
    runner.report(fleet, f'BUDGET: {len(late)} requests with the part: {late}')
    after = count_sound(fifth_at + 2 * CONTACT_S, began_at + LENGTH_S)
    runner.report(fleet, f'LOST: sound requests: {after[0]}, begun: {after[1]}')
    is_over_budget = len(late) > MAX_LATE_ARRIVALS
    return is_over_budget or is_lost(before, after)


def is_lost(before: tuple[int, int], after: tuple[int, int]) -> bool:
    """Return whether sound requests begin less than half as often as before.

    Both are the number of requests, and how many of them have begun.
    """
    if min(before[0], after[0]) < MIN_REQUESTS:
        return False
    share_before = before[1] / before[0]
    return after[1] / after[0] < MIN_SHARE * share_before


if __name__ == '__main__':
    runner.main(run)
