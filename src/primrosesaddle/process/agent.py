"""The agent: keeps the weights of the engine beside it."""

import asyncio

from primrosesaddle import kernel, metrics
from primrosesaddle.fleet import node
from primrosesaddle.process import adapter, listen

__all__ = ('Agent', 'make_agent')


class Agent:
    """One agent: its services, and how it leaves."""

    def __init__(self, cfg: node.Node, made: adapter.Adapter) -> None:
        """Build the services of an agent."""
        self.cfg = cfg
        self.kernel = kernel.Kernel()
        self._clock = asyncio.get_running_loop().time
        self._adapter = made
        self._metrics = metrics.make_metrics()

    async def start(self) -> None:
        """Start every service."""
        listen.serve_metrics(self._metrics, self.cfg)

    async def stop(self) -> None:
        """Stop every service."""
        await self.kernel.stop()


def make_agent(cfg: node.Node, made: adapter.Adapter) -> Agent:
    """Build an agent, and return it."""
    return Agent(cfg, made)
