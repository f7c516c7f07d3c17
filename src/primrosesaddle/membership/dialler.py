"""Outgoing connections: opened, watched, closed and retried with back-off."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterable

from primrosesaddle.core import backoff
from primrosesaddle.membership import link, peers, wire

__all__ = ('Dialler',)

DIAL_FIRST_S = 0.1
DIAL_CEILING_S = 1.0
# A machine without power drops what is sent, and TCP tries again after a second.
# A new connection tries sooner; it waits twice as long each time, for slow links.
ANSWER_FIRST_S = 0.3
MOST_DOUBLINGS = 10  # beyond any time in which a peer counts as dead
CONCURRENT_DIALS = 8


@dataclasses.dataclass
class _Attempt:
    """One connection that this process opened, and its retries."""

    conn: link.DealerLink | None = None
    tasks: 'tuple[asyncio.Task[None], ...]' = ()
    since: float = 0
    attempts: int = 0
    retry_at: float = 0

    @property
    def pending(self) -> bool:
        """Tell whether the other side has not introduced itself yet."""
        return self.conn is not None and self.conn.channel.card is None


class Dialler:
    """The connections that a process opens itself, a bounded number at once."""

    def __init__(
        self,
        hooks: link.Hooks,
        keys: link.CurveKeys | None,
        hello: Callable[[], wire.Hello],
        rand: random.Random,
    ) -> None:
        """Create a dialler that introduces the process by `hello`."""
        self._hooks = hooks
        self._keys = keys
        self._hello = hello
        self._rand = rand
        self._attempts: dict[str, _Attempt] = {}

    def has_opened(self, channel: link.Channel) -> bool:
        """Tell whether this process opened the connection of a channel."""
        return any(
            attempt.conn is not None and attempt.conn.channel is channel
            for attempt in self._attempts.values()
        )

    @property
    def channels(self) -> list[link.Channel]:
        """Return the channels whose other side has introduced itself."""
        return [
            attempt.conn.channel
            for attempt in self._attempts.values()
            if attempt.conn is not None and not attempt.pending
        ]

    def dial_due(
        self,
        wanted: Iterable[peers.Candidate],
        is_linked: Callable[[str], bool],
        now: float,
    ) -> None:
        """Open the wanted connections that are due."""
        listed = {cand.address: cand.name for cand in wanted}
        busy = sum(attempt.pending for attempt in self._attempts.values())
        for address, name in listed.items():
            attempt = self._attempts.setdefault(address, _Attempt())
            waits = attempt.conn is not None or now < attempt.retry_at
            if waits or is_linked(name) or busy >= CONCURRENT_DIALS:
                continue
            busy += 1
            self._open(address, attempt, now)
        for address in list(self._attempts):
            if address not in listed and self._attempts[address].conn is None:
                self._attempts.pop(address)

    def close_silent(
        self,
        heard: Callable[[link.Channel], float],
        dead_s: float,
        now: float,
    ) -> None:
        """Close the connections that fell silent, to be opened again later."""
        for attempt in self._attempts.values():
            if attempt.conn is None:
                continue
            last = max(heard(attempt.conn.channel), attempt.since)
            patience_s = _patience_s(attempt, dead_s)
            if attempt.conn.channel.closed or now - last > patience_s:
                self._hang_up(attempt)
                attempt.retry_at = now + backoff.delay_s(
                    attempt.attempts,
                    DIAL_FIRST_S,
                    DIAL_CEILING_S,
                    self._rand,
                )
                attempt.attempts += 1
            elif not attempt.pending:
                attempt.attempts = 0

    def close(self) -> None:
        """Close every connection."""
        for attempt in self._attempts.values():
            self._hang_up(attempt)

    def _open(self, address: str, attempt: _Attempt, now: float) -> None:
        attempt.conn = link.dial(address, self._hooks, self._hello(), self._keys)
        attempt.tasks = (
            asyncio.create_task(attempt.conn.serve()),
            asyncio.create_task(attempt.conn.watch()),
        )
        attempt.since = now

    def _hang_up(self, attempt: _Attempt) -> None:
        for task in attempt.tasks:
            task.cancel()
        if attempt.conn is not None:
            attempt.conn.close()
        attempt.conn = None
        attempt.tasks = ()


def _patience_s(attempt: _Attempt, dead_s: float) -> float:
    """Return how long a connection may be silent."""
    if not attempt.pending:
        return dead_s
    doublings = min(attempt.attempts, MOST_DOUBLINGS)
    return min(dead_s, ANSWER_FIRST_S * 2**doublings)
