"""Run the demonstration: a rollout, a change and two kills, while calls are made."""

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
    """The results of the demonstration."""

    origin_copies: float = 0
    rollout_s: float = 0
    spread_s: float = 0
    problems: list[str] = dataclasses.field(default_factory=list)


def _print_line(text: str) -> None:
    sys.stdout.write(f'demo {text}\n')
    sys.stdout.flush()


async def _sent_bytes(running: fleet.Fleet) -> int:
    """Return the bytes of weights that the store and the origin have sent."""
    tallies = [
        await running.read(name, '/standin/bytes') for name in ('store', 'origin')
    ]
    return sum(tally['bytes'] for tally in tallies)


async def _roll_out(running: fleet.Fleet, version: str, report: Report) -> None:
    """Put a version in force, and wait until every engine has loaded it."""
    before = await _sent_bytes(running)
    began = time.monotonic()
    await running.publish_version(layout.MODEL, version)
    wanted = running.manifests[version]
    engines = [name for name in running.urls if name.startswith('engine-asst')]
    while time.monotonic() - began < ROLLOUT_TIMEOUT_S:
        states = [await running.read(name, '/standin/state') for name in engines]
        live = sum(state['loaded'].get(layout.MODEL) == wanted for state in states)
        _print_line(f'rollout version={version} live={live}/{len(engines)}')
        if live == len(engines):
            break
        await asyncio.sleep(0.5)
    else:
        report.problems.append('the rollout did not end')
    report.rollout_s = time.monotonic() - began
    sent = await _sent_bytes(running) - before
    report.origin_copies = sent / layout.VERSION_BYTES


async def _change_limits(running: fleet.Fleet, report: Report) -> None:
    """Change the limits of all workspaces, and wait until all processes adopt it."""
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
                httpio.fetch_json(f'{process.http}/admin/v1/status')
                for process in running.system()
            )
        )
        if all(state['config']['revision'] >= revision for state in states):
            break
        await asyncio.sleep(0.05)
    else:
        report.problems.append('the change is not in force everywhere')
    report.spread_s = time.monotonic() - began
    _print_line(f'change revision={revision} everywhere_s={report.spread_s:.2f}')


async def _run_events(running: fleet.Fleet, report: Report) -> None:
    """Run the rollout, the change and the kills, one after the other."""
    await asyncio.sleep(WARM_S)
    await _roll_out(running, 'assistant-v2', report)
    await _change_limits(running, report)
    for name in KILLED:
        running.kill(name)
        _print_line(f'killed {name}')
        await asyncio.sleep(0.5)
    await asyncio.sleep(AFTER_KILL_S)


async def _make_calls(callers: list[client.Caller], events: asyncio.Task[None]) -> None:
    """Make calls until the events are over, and print their number."""
    while not events.done():
        until = time.monotonic() + 0.5
        await asyncio.gather(*(caller.run(until) for caller in callers))
        total = sum(caller.book.answered for caller in callers)
        _print_line(f'calls answered={total}')


async def _stop_and_print_verdict(
    running: fleet.Fleet,
    callers: list[client.Caller],
    report: Report,
) -> int:
    """Stop the fleet, print the verdict, and return the exit status."""
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
    _print_line(f'stopped all={len(statuses)} refusals={reasons or "none"}')
    for problem in report.problems:
        _print_line(f'problem {problem}')
    answered = sum(book.answered for book in books)
    requests = sum(book.requests for book in books)
    refused = sum(book.refused for book in books)
    is_consistent = answered + refused + sum(book.lost for book in books) == requests
    broken = (
        report.problems
        or duplicated
        or lost
        or mixed
        or not is_consistent
        or not answered
    )
    _print_line(
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
        _print_line(running.ready_line())
        first = [process.callers for process in running.system('entry')]
        callers = [
            client.Caller(name, first, seed)
            for name in layout.TOKENS
            for seed in range(CALLERS_PER_WORKSPACE)
        ]
        events = asyncio.create_task(_run_events(running, report))
        await _make_calls(callers, events)
        await events
        return await _stop_and_print_verdict(running, callers, report)
    finally:
        await running.stop()


def main() -> None:
    """Run the demonstration from the command line."""
    sys.exit(asyncio.run(show()))


if __name__ == '__main__':
    main()
