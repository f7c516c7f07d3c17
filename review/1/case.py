"""Case: one digit of the manifest turns bad on its way from the origin."""

from standins import runner, site

NEW_VERSION = 2
BEFORE_S = 3.0
AFTER_S = 14.0  # the new version is required 8 s after it was named
TRUE_FIELD, SPOILT_FIELD = b'"layers":16,', b'"layers":17,'


class Spoiler:
    """Changes one digit in the first manifest of the new version, and in no other."""

    def __init__(self) -> None:
        """Create a spoiler that has not spoilt anything."""
        self.is_done = False

    def spoil(self, version: int, body: bytes) -> bytes:
        """Return the bytes of a manifest as they leave the origin."""
        if version != NEW_VERSION or self.is_done:
            return body
        self.is_done = True
        return body.replace(TRUE_FIELD, SPOILT_FIELD)


async def play(deployment: site.Site, is_troubled: bool) -> int:
    """Name a new version under calls, and return whether the rule held."""
    await deployment.start()
    if is_troubled:
        deployment.origin.garble = Spoiler().spoil
    before = await deployment.call_for(BEFORE_S)
    if site.count_served(before) < len(before):
        return runner.NOT_RUN
    deployment.name_version(NEW_VERSION)
    await deployment.call_for(AFTER_S)
    begun = [number for each in deployment.engines for number in each.versions_begun]
    faulty = sum(each.faulty_streams for each in deployment.engines)
    deployment.log(
        'verdict', runs=len(begun), on_new=begun.count(NEW_VERSION), faulty=faulty
    )
    if NEW_VERSION not in begun:
        return runner.NOT_RUN
    return runner.BROKEN if faulty else runner.HELD


if __name__ == '__main__':
    runner.main(__file__, play)
