"""Case: one digit of one digest turns bad on its way from the origin."""

from standins import runner, site, weights

NEW_VERSION = 2
BAD_INDEX = 40
BEFORE_S = 2.0
AFTER_S = 60.0  # the new version is required 8 s after it was named
MAX_UNSERVED_SHARE = 0.6


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
        true = weights.digest(weights.MODEL, version, BAD_INDEX).encode()
        digit = b'1' if true.startswith(b'0') else b'0'
        return body.replace(true, digit + true[1:])


async def play(deployment: site.Site, is_troubled: bool) -> int:
    """Name a new version under calls, and return whether these are served."""
    await deployment.start()
    if is_troubled:
        deployment.origin.garble = Spoiler().spoil
    answers = await deployment.call_for(BEFORE_S)
    if site.count_served(answers) < len(answers):
        return runner.NOT_RUN
    deployment.name_version(NEW_VERSION)
    answers += await deployment.call_for(AFTER_S)
    served = site.count_served(answers)
    deployment.log(
        'verdict',
        calls=len(answers),
        served=served,
        manifests=dict(deployment.origin.manifests_sent),
        pieces=deployment.origin.pieces_sent,
    )
    unserved_share = 1 - served / len(answers)
    return runner.BROKEN if unserved_share > MAX_UNSERVED_SHARE else runner.HELD


if __name__ == '__main__':
    runner.main(__file__, play)
