"""Registry of the services of a process, which it starts and stops in order."""

import asyncio
import dataclasses
import typing
from collections.abc import Awaitable, Callable, Coroutine

from primrosesaddle.telemetry import journal

__all__ = ('Kernel', 'Service')

RESTART_DELAY_S = 0.2  # before a failed task is started again

_Hook = Callable[[], Awaitable[None]]
_Work = Callable[[], Coroutine[typing.Any, typing.Any, None]]


async def _do_nothing() -> None:
    """Do nothing: the default start and stop hook."""


@dataclasses.dataclass
class Service:
    """A named service: the object offered to other services, and life-cycle hooks."""

    name: str
    api: typing.Any
    start: _Hook = _do_nothing
    stop: _Hook = _do_nothing


class Kernel:
    """Registry of the services and background tasks of one process."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._deferred: list[tuple[_Work, str]] = []

    def provide(self, service: Service) -> None:
        """Register a service.

        Raises `ValueError` when the name is taken.
        """
        if service.name in self._services:
            raise ValueError(f'service {service.name!r} is provided twice')
        self._services[service.name] = service

    def find(self, name: str) -> typing.Any:
        """Return the object that the named service offers.

        Raises `LookupError` when no service has that name.
        """
        try:
            return self._services[name].api
        except KeyError:
            raise LookupError(f'no service {name!r}') from None

    def has(self, name: str) -> bool:
        """Tell whether a service of that name is provided."""
        return name in self._services

    def spawn(self, work: Coroutine[typing.Any, typing.Any, None], name: str) -> None:
        """Run a background task; an exception in it is logged, not propagated."""
        task = asyncio.create_task(_run_logged(work, name), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep_running(self, make_work: _Work, name: str) -> None:
        """Run a background task that is not meant to end, and restart one that fails.

        Without it the process would go on with a part of it missing.
        """
        self.spawn(_run_again(make_work, name), name)

    def spawn_later(self, make_work: _Work, name: str) -> None:
        """Run a background task once all services have started."""
        self._deferred.append((make_work, name))

    async def start(self) -> None:
        """Start the services in the order in which they were provided."""
        for service in list(self._services.values()):
            await service.start()
            self._started.append(service)
        for make_work, name in self._deferred:
            self.spawn(make_work(), name)

    async def stop(self) -> None:
        """Stop the started services in reverse order, then cancel the tasks.

        Raises `ExceptionGroup` with the exceptions of all services that failed to stop.
        """
        failures: list[Exception] = []
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception as exc:
                failures.append(exc)
        await self.cancel_tasks()
        if failures:
            raise ExceptionGroup('services failed to stop', failures)

    async def cancel_tasks(self) -> None:
        """Cancel the background tasks, and wait for them to end."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _run_again(make_work: _Work, name: str) -> None:
    """Run a task; after an exception, log it and start the task again."""
    while True:
        try:
            await make_work()
            return
        except Exception as exc:
            journal.error('task.failed', task=name, error=repr(exc))
        await asyncio.sleep(RESTART_DELAY_S)


async def _run_logged(
    work: Coroutine[typing.Any, typing.Any, None],
    name: str,
) -> None:
    """Await a coroutine; log an exception instead of raising it."""
    try:
        await work
    except Exception as exc:
        journal.error('task.failed', task=name, error=repr(exc))
