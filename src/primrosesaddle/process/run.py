"""The life of one process: start, wait for a signal, stop."""

import asyncio
import itertools
import logging
import signal
import sys
import typing
from collections.abc import Callable

from primrosesaddle.fleet import node
from primrosesaddle.process import reload
from primrosesaddle.telemetry import journal

__all__ = ('Process', 'run_process')


class Process(typing.Protocol):
    """An entry or agent process."""

    async def start(self) -> None:
        """Start every service."""

    async def stop(self) -> None:
        """Stop gracefully: finish what is in progress, then stop every service."""

    def hurry(self) -> None:
        """End a stop early: give what is in progress its final answer now."""

    def apply_settings(self, cfg: node.Node) -> None:
        """Apply changed settings."""


async def run_process(
    make_process: Callable[[node.Node], Process],
    path: str,
    read_settings: Callable[[str], node.Node],
) -> None:
    """Run the process that a settings file describes until a signal ends it.

    `read_settings` parses the file at `path`, `make_process` builds the process from
    the result. SIGTERM and SIGINT stop the process gracefully, a second one of them
    ends the stop early and a third one exits at once; SIGHUP reloads the settings.
    Raises `errors.FaultGroup` when the settings are refused at the start.
    """
    cfg = read_settings(path)
    loop = asyncio.get_running_loop()
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    stop_event = asyncio.Event()
    earlier_signals = itertools.count()

    def on_stop_signal() -> None:
        count = next(earlier_signals)
        if count == 0:
            stop_event.set()
        elif count == 1:
            journal.warning('process.hurried', name=cfg.name)
            process.hurry()
        else:
            sys.exit(1)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_stop_signal)
    process = make_process(cfg)
    reloader = reload.SettingsReloader(path, read_settings, process.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await process.start()
    journal.info('process.started', name=cfg.name, role=cfg.role)
    reload_task = asyncio.create_task(reloader.run())
    await stop_event.wait()
    reload_task.cancel()
    journal.info('process.leaving', name=cfg.name)
    await process.stop()
    journal.info('process.stopped', name=cfg.name)
