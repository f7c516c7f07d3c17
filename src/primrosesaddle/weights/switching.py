"""Decide when a server may switch to a new version, a share of servers at a time."""

import dataclasses
from collections.abc import Sequence

from primrosesaddle.core import rendezvous

__all__ = ('SwitchState', 'may_switch')

PREDECESSOR_TIMEOUT_S = 20.0
FAILED_PREFIX = '!'


@dataclasses.dataclass(frozen=True)
class SwitchState:
    """One server in a rollout; `waited_s` counts from when it could switch."""

    name: str
    live: bool
    failed: bool = False
    waited_s: float = 0.0


def wave_size(servers: int, share: float) -> int:
    """Return how many servers may switch at once."""
    return max(1, int(servers * share))


def is_rollout_stopped(states: Sequence[SwitchState]) -> bool:
    """Return whether the version failed on any server, which stops the rollout."""
    return any(state.failed for state in states)


def may_switch(
    name: str, version: str, states: Sequence[SwitchState], share: float
) -> bool:
    """Return whether a server may switch to a version now.

    Servers switch in rendezvous order. A server waits while a whole wave or more of
    its predecessors have not switched yet; a predecessor past PREDECESSOR_TIMEOUT_S
    is not counted. No server starts once the version has failed on any of them.
    """
    if is_rollout_stopped(states):
        return False
    by_name = {state.name: state for state in states}
    pending_before = 0
    for server in rendezvous.order(version, by_name):
        if server == name:
            break
        state = by_name[server]
        if not state.live and state.waited_s < PREDECESSOR_TIMEOUT_S:
            pending_before += 1
    return pending_before < wave_size(len(states), share)


def format_live_label(target: str, digest: str) -> str:
    """Return the heartbeat label of a version that is live under a name."""
    return f'{target}={digest}'


def format_failed_label(target: str, digest: str) -> str:
    """Return the heartbeat label of a version that failed to load under a name."""
    return f'{FAILED_PREFIX}{target}={digest}'
