"""Run one process of the fleet on the users' platform."""

import asyncio
import dataclasses
import os
import sys

from primrosesaddle.calls import intake
from primrosesaddle.core import errors
from primrosesaddle.fleet import node
from primrosesaddle.platform import (
    engine,
    http_applications,
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
class _Applications:
    """The platform's forms of the listeners."""

    def make_call_application(
        self, door: intake.RequestIntake
    ) -> http_applications.CallApplication:
        """Return the application that takes callers' requests."""
        return http_applications.CallApplication(door)

    def make_readiness_application(
        self, is_ready: http_applications.IsReady
    ) -> http_applications.JsonApplication:
        """Return the application that answers the platform's check."""
        return http_applications.JsonApplication(
            http_applications.make_readiness_handler(is_ready)
        )

    def make_directory_application(
        self, addresses: http_applications.ListAddresses, ttl_s: float
    ) -> http_applications.JsonApplication:
        """Return the application that tells callers which entries to use."""
        return http_applications.JsonApplication(
            http_applications.make_directory_handler(addresses, ttl_s)
        )


def make_adapter(cfg: node.Node) -> adapter.Adapter:
    """Return what the platform offers to a process."""
    return adapter.Adapter(
        records.decode_record,
        store.StoreClient(cfg.store),
        _Applications(),
        wire,
        engine.EngineClient,
        origin.OriginClient,
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
        asyncio.run(run.run_process(make_process, path, settings.read_settings))
    except errors.FaultGroup as exc:
        journal.error('settings.refused', faults=errors.describe(exc))
        sys.exit(EXIT_USAGE)


if __name__ == '__main__':
    main()
