"""When a server may switch to a new version: at most a share of a kind at once."""

import dataclasses
from collections.abc import Sequence

from primrosesaddle.core import rendezvous

__all__ = ('SwitchState', 'may_switch')

PREDECESSOR_LIMIT_S = 20.0
FAILED_PREFIX = '!'


@dataclasses.dataclass(frozen=True)
class SwitchState:
    """The state of one server in a rollout; `waited_s` since it could switch."""

    name: str
    live: bool
    failed: bool = False
    waited_s: float = 0.0


def wave_size(servers: int, share: float) -> int:
    """Return how many servers may switch at once."""
    return max(1, int(servers * share))


def is_rollout_stopped(turns: Sequence[SwitchState]) -> bool:
    """Tell whether a rollout has stopped because the version failed somewhere."""
    return any(turn.failed for turn in turns)


def may_switch(
    name: str, version: str, turns: Sequence[SwitchState], share: float
) -> bool:
    """Tell whether a server may switch now.

    Servers switch in rendezvous order. One waits until fewer than a wave of
    those ahead of it are still to switch, a predecessor that has had its time
    limit not counted. Nobody begins once the version has failed somewhere.
    """
    if is_rollout_stopped(turns):
        return False
    by_name = {turn.name: turn for turn in turns}
    ahead = 0
    for other in rendezvous.order(version, by_name):
        if other == name:
            break
        turn = by_name[other]
        if not turn.live and turn.waited_s < PREDECESSOR_LIMIT_S:
            ahead += 1
    return ahead < wave_size(len(turns), share)


def format_live_label(target: str, digest: str) -> str:
    """Return the heartbeat's mark of a live version."""
    return f'{target}={digest}'


def format_failed_label(target: str, digest: str) -> str:
    """Return the heartbeat's mark of a version that failed on a server."""
    return f'{FAILED_PREFIX}{target}={digest}'
