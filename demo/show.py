"""The demonstration: a fleet under calls, a rollout, a change, two kills, a stop."""

import asyncio
import dataclasses
import sys
import time

from demo import client, fleet, layout
from primrosesaddle.core import httpio

__all__ = ('main',)

CALLERS_PER_WORKSPACE = 3
WARM_S = 2.0
AFTER_KILL_S = 8.0
ROLLOUT_TIMEOUT_S = 60.0
SPREAD_TIMEOUT_S = 16.0
KILLED = ('entry-2', 'asst-3')


@dataclasses.dataclass
class Report:
    """What the demonstration measured; times are in seconds."""

    origin_copies: float = 0
    rollout_s: float = 0
    spread_s: float = 0
    problems: list[str] = dataclasses.field(default_factory=list)


def _say(text: str) -> None:
    sys.stdout.write(f'demo {text}\n')
    sys.stdout.flush()


async def _sent_bytes(running: fleet.Fleet) -> int:
    tallies = [
        await running.read(name, '/standin/bytes') for name in ('store', 'origin')
    ]
    return sum(tally['bytes'] for tally in tallies)


async def _roll_out(running: fleet.Fleet, version: str, report: Report) -> None:
    before = await _sent_bytes(running)
    began = time.monotonic()
    await running.publish_version(layout.MODEL, version)
    wanted = running.manifests[version]
    engines = [name for name in running.urls if name.startswith('engine-asst')]
    while time.monotonic() - began < ROLLOUT_TIMEOUT_S:
        states = [await running.read(name, '/standin/state') for name in engines]
        live = sum(state['loaded'].get(layout.MODEL) == wanted for state in states)
        _say(f'rollout version={version} live={live}/{len(engines)}')
        if live == len(engines):
            break
        await asyncio.sleep(0.5)
    else:
        report.problems.append('the rollout did not end')
    report.rollout_s = time.monotonic() - began
    sent = await _sent_bytes(running) - before
    report.origin_copies = sent / layout.VERSION_BYTES


async def _change_limits(running: fleet.Fleet, report: Report) -> None:
    entries = [
        {**entry, 'limits': {**entry['limits'], 'in_flight': 32}}
        if entry['kind'] == 'workspace'
        else entry
        for entry in running.document['entries']
    ]
    began = time.monotonic()
    revision = await running.publish({'entries': entries})
    while time.monotonic() - began < SPREAD_TIMEOUT_S:
        states = await asyncio.gather(
            *(
                httpio.fetch_json(f'{one.http}/admin/v1/status')
                for one in running.system()
            )
        )
        if all(state['config']['revision'] >= revision for state in states):
            break
        await asyncio.sleep(0.05)
    else:
        report.problems.append('the change is not in force everywhere')
    report.spread_s = time.monotonic() - began
    _say(f'change revision={revision} everywhere_s={report.spread_s:.2f}')


async def _act(running: fleet.Fleet, report: Report) -> None:
    await asyncio.sleep(WARM_S)
    await _roll_out(running, 'assistant-v2', report)
    await _change_limits(running, report)
    for name in KILLED:
        running.kill(name)
        _say(f'killed {name}')
        await asyncio.sleep(0.5)
    await asyncio.sleep(AFTER_KILL_S)


async def _load(callers: list[client.Caller], acting: asyncio.Task[None]) -> None:
    while not acting.done():
        soon = time.monotonic() + 0.5
        await asyncio.gather(*(caller.run(soon) for caller in callers))
        total = sum(caller.book.answered for caller in callers)
        _say(f'calls answered={total}')


async def _judge(
    running: fleet.Fleet,
    callers: list[client.Caller],
    report: Report,
) -> int:
    tally = await running.read('booking', '/standin/runs')
    runs = tally['runs']
    duplicated = sum(count > 1 for count in runs.values())
    books = [caller.book for caller in callers]
    lost = sum(book.lost for book in books)
    lost += sum(key not in runs for book in books for key in book.booked)
    untrue = sum(key in runs for book in books for key in book.denied)
    mixed = sum(book.mixed for book in books)
    if untrue:
        report.problems.append(f'{untrue} bookings ran though said not to have run')
    for book in books:
        report.problems.extend(book.notes[:3])
    statuses = await running.stop()
    for name, status in statuses.items():
        if status:
            report.problems.append(f'{name} stopped with status {status}')
    reasons = {
        reason: sum(book.reasons[reason] for book in books)
        for book in books
        for reason in book.reasons
    }
    _say(f'stopped all={len(statuses)} refusals={reasons or "none"}')
    for problem in report.problems:
        _say(f'problem {problem}')
    answered = sum(book.answered for book in books)
    requests = sum(book.requests for book in books)
    refused = sum(book.refused for book in books)
    whole = answered + refused + sum(book.lost for book in books) == requests
    broken = report.problems or duplicated or lost or mixed or not whole or not answered
    _say(
        f'verdict={"fail" if broken else "pass"} requests={requests} '
        f'answered={answered} refused={refused} mixed={mixed} '
        f'duplicated={duplicated} lost={lost} '
        f'origin_copies={report.origin_copies:.2f} rollout_s={report.rollout_s:.1f}',
    )
    return 1 if broken else 0


async def show() -> int:
    """Run the demonstration, and return the exit status."""
    running = fleet.Fleet()
    report = Report()
    try:
        await running.start()
        _say(running.ready_line())
        first = [one.callers for one in running.system('entry')]
        callers = [
            client.Caller(name, first, seed)
            for name in layout.TOKENS
            for seed in range(CALLERS_PER_WORKSPACE)
        ]
        acting = asyncio.create_task(_act(running, report))
        await _load(callers, acting)
        await acting
        return await _judge(running, callers, report)
    finally:
        await running.stop()


def main() -> None:
    """Run the demonstration from the command line."""
    sys.exit(asyncio.run(show()))


if __name__ == '__main__':
    main()
