"""The daemon: runs an entry or an agent until a signal stops it."""

import asyncio
import dataclasses
import logging
import signal
import sys
import typing

import cappa

from primrosesaddle import roles, settings
from primrosesaddle.core import errors, httpio
from primrosesaddle.telemetry import journal

__all__ = ('Daemon', 'main')

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


@cappa.command(name='primrosesaddled', help='Run an entry or an agent.')
@dataclasses.dataclass
class Daemon:
    """The arguments of the daemon's command line."""

    settings: typing.Annotated[
        str,
        cappa.Arg(long='--settings', help='The INI file of this process.'),
    ]
    check: typing.Annotated[
        bool,
        cappa.Arg(long='--check', help='Check the settings, and exit.'),
    ] = False


async def run(cfg: settings.Settings) -> int:
    """Run a process until a signal stops it, and return the exit status.

    SIGTERM and SIGINT drain the process; a second one of them ends it at once.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    stop_at_once = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            stop_at_once.set()
        stop.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    process = roles.make_process(cfg)
    await process.start()
    journal.info('process.started', name=cfg.process.name, role=cfg.process.role)
    await stop.wait()
    journal.info('process.draining', name=cfg.process.name)
    stop_task = asyncio.create_task(process.stop())
    stop_at_once_task = asyncio.create_task(stop_at_once.wait())
    await asyncio.wait(
        {stop_task, stop_at_once_task}, return_when=asyncio.FIRST_COMPLETED
    )
    httpio.reset()
    if not stop_task.done():
        journal.warning('process.ended_at_once', name=cfg.process.name)
        return EXIT_FAILED
    stop_task.result()
    journal.info('process.stopped', name=cfg.process.name)
    return EXIT_OK


def main() -> None:
    """Run the daemon from the command line."""
    args = cappa.parse(Daemon)
    try:
        cfg = settings.read_settings(args.settings)
    except errors.FaultGroup as exc:
        sys.stderr.write(f'{errors.describe(exc)}\n')
        sys.exit(EXIT_USAGE)
    if args.check:
        sys.stdout.write(f'{args.settings}: fine\n')
        sys.exit(EXIT_OK)
    journal.configure(cfg.process.log_level)
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    sys.exit(asyncio.run(run(cfg)))
