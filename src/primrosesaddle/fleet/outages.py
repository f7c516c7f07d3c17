"""Outages of the store: what one entry saw, and what answers to others show."""

import collections
import typing
from collections.abc import Callable

__all__ = ('Outage', 'StoreAnswers')

MAX_ANSWERS = 128
MIN_INTERVAL_S = 0.1  # between answers that are kept
# The times of an outage reach a peer with the delay of the message.
MESSAGE_DELAY_S = 0.5


class Outage(typing.NamedTuple):
    """A time without the store, in seconds before now.

    `failing_s` is the time since the first call failed, `asked_s` the time since the
    last call that failed was made. An outage of the store for all lasted from the one
    to the other, and possibly longer.
    """

    failing_s: float
    asked_s: float


class StoreAnswers:
    """When the store answered this process, and when it last failed to."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty record."""
        self._clock = clock
        self._answers: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_ANSWERS
        )
        self._failed_at: float | None = None

    def record_answer(self, age_s: float) -> None:
        """Record an answer of the store, whose content was current `age_s` ago."""
        now = self._clock()
        if not self._answers or now - self._answers[-1][1] >= MIN_INTERVAL_S:
            self._answers.append((now - age_s, now))

    def record_failure(self) -> None:
        """Record that a call to the store failed."""
        self._failed_at = self._clock()

    def disproves(self, outage: Outage) -> bool:
        """Tell whether the store answered this process during a peer's outage.

        A process whose own calls failed then can't tell.
        """
        now = self._clock()
        began_at = now - outage.failing_s
        if self._failed_at is not None and self._failed_at >= began_at:
            return False
        ended_at = now - outage.asked_s - MESSAGE_DELAY_S
        return any(
            known_at > began_at + MESSAGE_DELAY_S and answered_at < ended_at
            for known_at, answered_at in self._answers
        )
