"""Outgoing connections: opening, supervision, and retries with back-off."""

import dataclasses
import random
from collections.abc import Callable, Iterable

from primrosesaddle.core import backoff
from primrosesaddle.membership import link, peers, wire

__all__ = ('Dialler',)

RETRY_FIRST_S = 0.1
RETRY_CEILING_S = 1.0
# Time to wait for the first answer on a new connection. A machine without power drops
# packets, and TCP retransmits only after a second; a new connection retries sooner. The
# time doubles with each attempt, so that slow links get an answer through.
FIRST_ANSWER_TIMEOUT_S = 0.3
MAX_DOUBLINGS = (
    10  # by then the timeout is longer than the time after which peers are dead
)
MAX_CONCURRENT_DIALS = 8


@dataclasses.dataclass
class _Outgoing:
    """One address that this process connects to: its connection and retries."""

    conn: link.DealerLink | None = None
    opened_at: float = 0
    attempts: int = 0
    retry_at: float = 0

    @property
    def is_pending(self) -> bool:
        """Tell whether the peer has not sent its first message yet."""
        return self.conn is not None and self.conn.channel.card is None


class Dialler:
    """Opens and supervises the outgoing connections of a process.

    At most `MAX_CONCURRENT_DIALS` connections wait for their first answer at a time.
    """

    def __init__(
        self,
        hooks: link.Hooks,
        keys: link.CurveKeys | None,
        make_hello: Callable[[], wire.Hello],
        rand: random.Random,
    ) -> None:
        """Create a dialler; `make_hello` returns the first message on a connection."""
        self._hooks = hooks
        self._keys = keys
        self._make_hello = make_hello
        self._rand = rand
        self._outgoing: dict[str, _Outgoing] = {}

    def has_opened(self, channel: link.Channel) -> bool:
        """Tell whether this process opened the connection of a channel."""
        return any(
            outgoing.conn is not None and outgoing.conn.channel is channel
            for outgoing in self._outgoing.values()
        )

    @property
    def channels(self) -> list[link.Channel]:
        """Return the channels of the connections on which the peer has answered."""
        return [
            outgoing.conn.channel
            for outgoing in self._outgoing.values()
            if outgoing.conn is not None and not outgoing.is_pending
        ]

    def dial_due(
        self,
        wanted: Iterable[peers.Candidate],
        is_linked: Callable[[str], bool],
        now: float,
    ) -> None:
        """Open the connections to wanted addresses for which an attempt is due.

        `is_linked` tells whether there is a working link to a process of a name. `now`
        is in seconds of the clock that the caller always uses.
        """
        names = {candidate.address: candidate.name for candidate in wanted}
        pending_count = sum(outgoing.is_pending for outgoing in self._outgoing.values())
        for address, name in names.items():
            outgoing = self._outgoing.setdefault(address, _Outgoing())
            is_not_due = outgoing.conn is not None or now < outgoing.retry_at
            if is_not_due or is_linked(name) or pending_count >= MAX_CONCURRENT_DIALS:
                continue
            pending_count += 1
            self._open(address, outgoing, now)
        for address in list(self._outgoing):
            if address not in names and self._outgoing[address].conn is None:
                self._outgoing.pop(address)

    def close_silent(self, dead_s: float, now: float) -> None:
        """Close connections that have been silent for too long, and schedule a retry.

        `dead_s` is the longest silence of a connection in use.
        """
        for outgoing in self._outgoing.values():
            if outgoing.conn is None:
                continue
            channel = outgoing.conn.channel
            last_active_at = max(channel.last_heard_at, outgoing.opened_at)
            timeout_s = _silence_timeout_s(outgoing, dead_s)
            if channel.closed or now - last_active_at > timeout_s:
                self._close_connection(outgoing)
                outgoing.retry_at = now + backoff.delay_s(
                    outgoing.attempts,
                    RETRY_FIRST_S,
                    RETRY_CEILING_S,
                    self._rand,
                )
                outgoing.attempts += 1
            elif not outgoing.is_pending:
                outgoing.attempts = 0

    def close(self) -> None:
        """Close every connection."""
        for outgoing in self._outgoing.values():
            self._close_connection(outgoing)

    def _open(self, address: str, outgoing: _Outgoing, now: float) -> None:
        outgoing.conn = link.dial(address, self._hooks, self._make_hello(), self._keys)
        outgoing.opened_at = now

    def _close_connection(self, outgoing: _Outgoing) -> None:
        if outgoing.conn is not None:
            outgoing.conn.close()
        outgoing.conn = None


def _silence_timeout_s(outgoing: _Outgoing, dead_s: float) -> float:
    """Return for how many seconds a connection may be silent."""
    if not outgoing.is_pending:
        return dead_s
    doublings = min(outgoing.attempts, MAX_DOUBLINGS)
    return min(dead_s, FIRST_ANSWER_TIMEOUT_S * 2**doublings)
