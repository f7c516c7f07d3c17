"""Runs a case, and ends what it has started."""

import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable

import fleet as fleets

__all__ = ('main', 'report')

TIME_LIMIT_S = 110.0
EXIT_NOT_RUN = 2

Case = Callable[[fleets.Fleet, bool], Awaitable[bool]]


def report(fleet: fleets.Fleet, what: str) -> None:
    """Write a line to the record and to standard output."""
    fleet.record.write(what)
    sys.stdout.write(f'{what}\n')


def main(case: Case) -> None:
    """Run a case, whose folder is the first argument.

    Exits with 1 if the rule was broken, 0 if it held, and 2 if the case did not run.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    fleet = fleets.Fleet(pathlib.Path(sys.argv[1]))
    status = EXIT_NOT_RUN
    try:
        status = int(asyncio.run(_run(case, fleet, has_trouble)))
    except (fleets.CannotRun, TimeoutError, OSError) as exc:
        report(fleet, f'not run: {exc!r}')
    finally:
        fleet.close()
    sys.exit(status)


async def _run(case: Case, fleet: fleets.Fleet, has_trouble: bool) -> bool:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(fleet, has_trouble)
