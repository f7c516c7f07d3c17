"""The run of one process: started, told to leave by a signal, stopped."""

import asyncio
import logging
import signal
import typing

from primrosesaddle import journal

__all__ = ('Process', 'run')


class Process(typing.Protocol):
    """A process that can be started and can leave."""

    async def start(self) -> None:
        """Start every service."""

    async def stop(self) -> None:
        """Leave gracefully."""


async def run(
    make: typing.Callable[[], Process],
    name: str,
    reload: typing.Callable[[], None],
) -> None:
    """Run a process until a signal ends it; a second signal ends it at once."""
    loop = asyncio.get_running_loop()
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    process = make()
    await process.start()
    journal.info('process.started', name=name)
    await stop.wait()
    journal.info('process.leaving', name=name)
    await process.stop()
    journal.info('process.stopped', name=name)


def _on_stop(stop: asyncio.Event) -> None:
    if stop.is_set():
        raise SystemExit(1)
    stop.set()
