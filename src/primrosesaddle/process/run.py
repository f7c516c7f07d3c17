"""The run of one process: started, told to leave by a signal, stopped."""

import asyncio
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
    """A process that can be started and can leave."""

    async def start(self) -> None:
        """Start every service."""

    async def stop(self) -> None:
        """Leave gracefully."""

    def apply_settings(self, cfg: node.Node) -> None:
        """Take changed settings."""


async def run_process(
    make: Callable[[node.Node], Process],
    path: str,
    read: Callable[[str], node.Node],
) -> None:
    """Run the process that a settings file describes until a signal ends it.

    A second signal ends it at once. Raises `errors.FaultGroup` when the settings
    are refused at the start.
    """
    cfg = read(path)
    loop = asyncio.get_running_loop()
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop, stop)
    process = make(cfg)
    reloader = reload.SettingsReloader(path, read, process.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await process.start()
    journal.info('process.started', name=cfg.name, role=cfg.role)
    watching = asyncio.create_task(reloader.run())
    await stop.wait()
    watching.cancel()
    journal.info('process.leaving', name=cfg.name)
    await process.stop()
    journal.info('process.stopped', name=cfg.name)


def _on_stop(stop: asyncio.Event) -> None:
    if stop.is_set():
        sys.exit(1)
    stop.set()
