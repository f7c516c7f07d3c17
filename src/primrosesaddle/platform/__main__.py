"""Run one process of the fleet on the users' platform."""

import asyncio
import dataclasses
import os
import sys

from primrosesaddle.calls import doorway
from primrosesaddle.core import errors
from primrosesaddle.fleet import node
from primrosesaddle.platform import (
    engine,
    front,
    origin,
    records,
    settings,
    store,
    wire,
)
from primrosesaddle.process import adapter, agent, entry, run
from primrosesaddle.telemetry import journal

__all__ = ('main', 'make_adapter')

SETTINGS_VARIABLE = 'PRIMROSESADDLE_NODE_FILE'
EXIT_USAGE = 2


@dataclasses.dataclass(frozen=True)
class _Fronts:
    """The platform's forms of the listeners."""

    def calls(self, door: doorway.Doorway) -> front.Front:
        """Return the application that takes callers' requests."""
        return front.Front(door)

    def ready(self, is_ready: front.Check) -> front.Small:
        """Return the application that answers the platform's check."""
        return front.Small(front.ready_handler(is_ready))

    def directory(self, addresses: front.Addresses, ttl_s: float) -> front.Small:
        """Return the application that tells callers which entries to use."""
        return front.Small(front.directory_handler(addresses, ttl_s))


def make_adapter(cfg: node.Node) -> adapter.Adapter:
    """Return what the platform offers to a process."""
    return adapter.Adapter(
        records.decode,
        store.Store(cfg.store),
        _Fronts(),
        wire,
        engine.Engine,
        origin.Origin,
    )


def make_process(cfg: node.Node) -> run.Process:
    """Build the process that the settings describe, and return it."""
    made = make_adapter(cfg)
    if cfg.role == 'agent':
        return agent.make_agent(cfg, made)
    return entry.make_entry(cfg, made)


def main() -> None:
    """Run the process that the settings file describes."""
    journal.configure_bounded('INFO', sys.stdout.fileno())
    path = os.environ[SETTINGS_VARIABLE]
    try:
        asyncio.run(run.run(make_process, path, settings.read))
    except errors.FaultGroup as exc:
        journal.error('settings.refused', faults=errors.describe(exc))
        sys.exit(EXIT_USAGE)


if __name__ == '__main__':
    main()
