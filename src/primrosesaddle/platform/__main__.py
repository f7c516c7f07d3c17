"""Run one entry or agent process on the platform."""

import asyncio
import dataclasses
import os
import sys

from primrosesaddle.calls import intake
from primrosesaddle.core import errors
from primrosesaddle.fleet import node
from primrosesaddle.net import bodies
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
EXIT_SETTINGS_REFUSED = 2


@dataclasses.dataclass(frozen=True)
class _Applications:
    """Builds the HTTP applications in the platform's formats."""

    def make_call_application(
        self, request_intake: intake.RequestIntake, budget: bodies.BodyBudget
    ) -> http_applications.CallApplication:
        """Return the application that passes callers' requests to an intake."""
        return http_applications.CallApplication(request_intake, budget)

    def make_readiness_application(
        self, is_ready: http_applications.IsReady
    ) -> http_applications.JsonApplication:
        """Return the application that answers the platform's readiness check."""
        return http_applications.JsonApplication(
            http_applications.make_readiness_handler(is_ready)
        )

    def make_directory_application(
        self, list_addresses: http_applications.ListAddresses, ttl_s: float
    ) -> http_applications.JsonApplication:
        """Return the application that lists the entries' addresses for callers."""
        return http_applications.JsonApplication(
            http_applications.make_directory_handler(list_addresses, ttl_s)
        )


def make_adapter(cfg: node.Node) -> adapter.Adapter:
    """Return the platform's implementations of what a process needs."""
    return adapter.Adapter(
        records.decode_record,
        store.StoreClient(cfg.store),
        _Applications(),
        wire,
        engine.EngineClient,
        origin.OriginClient,
    )


def make_process(cfg: node.Node) -> run.Process:
    """Return the process that the settings describe: an agent or an entry."""
    platform = make_adapter(cfg)
    if cfg.role == 'agent':
        return agent.make_agent(cfg, platform)
    return entry.make_entry(cfg, platform)


def main() -> None:
    """Run the process that the file named in SETTINGS_VARIABLE describes."""
    journal.configure_bounded('INFO', sys.stdout.fileno())
    path = os.environ[SETTINGS_VARIABLE]
    try:
        asyncio.run(run.run_process(make_process, path, settings.read_settings))
    except errors.FaultGroup as exc:
        journal.error('settings.refused', faults=errors.describe(exc))
        sys.exit(EXIT_SETTINGS_REFUSED)


if __name__ == '__main__':
    main()
