"""Case: connections between machines are reset, then new weights are named."""

import asyncio
import itertools
from collections.abc import Iterable

from standins import fleet, proxy, runner, site

NEW_VERSION = 2
BEFORE_S = 2.0
RESET_GAP_S = 1.0
AFTER_RESETS_S = 5.0  # processes count as in touch again after 3 s
AFTER_VERSION_S = 50.0  # the new version is required 8 s after it was named
MAX_UNSERVED_SHARE = 0.6


async def connect_through_proxies(
    agent: fleet.Process, entries: list[fleet.Process]
) -> list[proxy.Proxy]:
    """Let an agent reach each entry through a proxy of its own."""
    proxies = [proxy.Proxy(made.settings['listen']['control']) for made in entries]
    for each in proxies:
        await each.start()
    agent.settings['seeds'] = [each.address for each in proxies]
    return proxies


async def reset_in_turn(deployment: site.Site, proxies: Iterable[proxy.Proxy]) -> None:
    """Reset the connections one by one: one of the two of one machine each time."""
    for each in proxies:
        deployment.log('reset', connections=each.reset())
        await asyncio.sleep(RESET_GAP_S)


async def play(deployment: site.Site, is_troubled: bool) -> int:
    """Reset the connections and name a version under calls; judge their answers."""
    found = [
        await connect_through_proxies(agent, deployment.entries)
        for agent in deployment.agents
    ]
    await deployment.start()
    answers = await deployment.call_for(BEFORE_S)
    if site.count_served(answers) < len(answers):
        return runner.NOT_RUN
    if is_troubled:
        await reset_in_turn(deployment, itertools.chain(*found))
    answers += await deployment.call_for(AFTER_RESETS_S)
    deployment.name_version(NEW_VERSION)
    answers += await deployment.call_for(AFTER_VERSION_S)
    served = site.count_served(answers)
    deployment.log('verdict', calls=len(answers), served=served)
    unserved_share = 1 - served / len(answers)
    return runner.BROKEN if unserved_share > MAX_UNSERVED_SHARE else runner.HELD


if __name__ == '__main__':
    runner.main(__file__, play)
