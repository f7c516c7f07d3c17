"""Case: new weights of one model are named after four versions of another one."""

import asyncio

from standins import runner, site, weights

BUSY_VERSIONS = (2, 3, 4, 5)
QUIET_VERSION = 2
VERSION_WAIT_S = 6.0
BEFORE_S = 2.0
BOUND_S = 8.0  # after which a new version is required
AFTER_S = 25.0
QUARTER = 0.25


async def play(deployment: site.Site, is_troubled: bool) -> int:
    """Name the versions under calls, and return whether both models are served."""
    await deployment.start()
    busy = []
    for version in BUSY_VERSIONS if is_troubled else BUSY_VERSIONS[:1]:
        deployment.name_version(version)
        busy += await deployment.call_for(VERSION_WAIT_S)
    quiet = await deployment.call_for(BEFORE_S, weights.OTHER_MODEL)
    if site.count_served(busy + quiet) < len(busy + quiet):
        return runner.NOT_RUN
    deployment.name_version(QUIET_VERSION, weights.OTHER_MODEL)
    busy += await deployment.call_for(BOUND_S)
    found = await asyncio.gather(
        deployment.call_for(AFTER_S),
        deployment.call_for(AFTER_S, weights.OTHER_MODEL),
    )
    busy += found[0]
    quiet += found[1]
    share = site.count_served(quiet) / len(quiet)
    share_of_all = site.count_served(busy + quiet) / len(busy + quiet)
    deployment.log(
        'verdict',
        share=round(share, 3),
        share_of_all=round(share_of_all, 3),
        manifests=dict(deployment.origin.manifests_sent),
    )
    return runner.BROKEN if share < QUARTER * share_of_all else runner.HELD


if __name__ == '__main__':
    runner.main(__file__, play, has_other_model=True)
