"""The book of an agent: which calls entries have sent to its server, without delay.

The load that this is for: a server whose own report is some hundred milliseconds old,
while entries send it a call each hundred milliseconds. By the report alone, all entries
would choose the same server.
"""

import dataclasses
from collections.abc import Callable

__all__ = ('Book', 'Load')

REPORT_DELAY_S = 0.2  # a server's report is as of this long ago
# Calls are forgotten after this long, as entries that are lost do not tell when theirs
# end. Usual time limits of calls are shorter.
MAX_CALL_S = 10.0
ENDED_RETENTION_S = 0.5  # calls that ended are kept to compare them with the report
# Weight of the newest comparison. The reports are 0.1 to 0.2 s apart, and calls take
# about a second.
UNBOOKED_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The calls at a server, and the tokens of their prompts that are not read yet."""

    calls: int
    unread_tokens: int


@dataclasses.dataclass(slots=True)
class _Booked:
    """A call that an entry sent at a time; `unread_tokens` is 0 once they are read."""

    sent_at: float
    unread_tokens: int
    ended_at: float = 0.0


class Book:
    """The calls at one server by entry and id, as entries tell of them.

    Calls of entries that tell nothing are estimated from what the server reports.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty book."""
        self._clock = clock
        self._calls: dict[tuple[str, str], _Booked] = {}
        self._unbooked = 0.0

    def add_call(self, entry: str, call_id: str, prompt_tokens: int) -> None:
        """Book a call that an entry sends."""
        self._calls[entry, call_id] = _Booked(self._clock(), prompt_tokens)

    def mark_read(self, entry: str, call_id: str) -> None:
        """Record that the server has read the prompt of a call."""
        booked = self._calls.get((entry, call_id))
        if booked is not None:
            booked.unread_tokens = 0

    def end_call(self, entry: str, call_id: str) -> None:
        """Record that a call has ended or was never sent."""
        booked = self._calls.get((entry, call_id))
        if booked is not None:
            booked.unread_tokens = 0
            booked.ended_at = booked.ended_at or self._clock()

    def compare(self, reported_calls: int) -> None:
        """Compare the book with the number of calls that the server reports."""
        now = self._clock()
        self._calls = {
            key: booked
            for key, booked in self._calls.items()
            if now - booked.sent_at < MAX_CALL_S
            and not 0 < booked.ended_at < now - ENDED_RETENTION_S
        }
        report_at = now - REPORT_DELAY_S
        booked_then = sum(
            booked.sent_at <= report_at
            and (not booked.ended_at or booked.ended_at > report_at)
            for booked in self._calls.values()
        )
        difference = max(0, reported_calls - booked_then)
        self._unbooked += UNBOOKED_WEIGHT * (difference - self._unbooked)

    def estimate_load(self) -> Load:
        """Return the load of the server now."""
        running = [booked for booked in self._calls.values() if not booked.ended_at]
        return Load(
            len(running) + round(self._unbooked),
            sum(booked.unread_tokens for booked in running),
        )
