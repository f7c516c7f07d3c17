"""Memory of request bodies: who may hold how much, and who is dropped when it is short.

For the load of callers that send many large bodies at once, or send most of a body and
then stop. Without I/O; the clock is an argument.
"""

import collections
import math
from collections.abc import Callable

__all__ = ('BodyBudget', 'Holding')

# A body of up to this size may also use the reserve, so that ordinary callers are
# served beside large bodies; prompts and bookings have a few KiB.
SMALL_BODY_BYTES = 64 * 1024
RESERVE_SHARE = 0.125  # of the budget, for small bodies alone
# A body that received less than `PROGRESS_BYTES` for this long may be dropped when
# memory is short. Longer than a lost packet takes to be sent again, 0.2 s and more.
STALLED_S = 0.5
PROGRESS_BYTES = 4096  # a body that comes in single bytes makes no progress


class BodyBudget:
    """Bytes that the bodies of all requests may use together.

    `held_bytes` counts those in use.
    """

    def __init__(self, size_bytes: float, clock: Callable[[], float]) -> None:
        """Create a budget; `clock` returns seconds."""
        self.size_bytes = size_bytes
        self.held_bytes = 0
        self.clock = clock
        # Bodies that are not complete, the one without progress for longest first.
        self._incomplete: collections.OrderedDict[Holding, None]
        self._incomplete = collections.OrderedDict()

    @property
    def incomplete_count(self) -> int:
        """The number of bodies that are being received."""
        return len(self._incomplete)

    def make_holding(
        self, on_dropped: Callable[[], None], on_expired: Callable[[], None]
    ) -> 'Holding':
        """Return the share of a body that begins to arrive; it holds nothing yet.

        `on_dropped` is called when the body has lost its memory to others, and
        `on_expired` when it has passed its deadline, which may be set anew then.
        """
        made = Holding(self, on_dropped, on_expired)
        self._incomplete[made] = None
        return made

    def reserve(self, holding: 'Holding', size_bytes: int) -> bool:
        """Reserve as many bytes more, and return whether there was room.

        Bodies without progress are dropped for it, those without for longest first.
        """
        reserve = 0.0
        if holding.held_bytes + size_bytes > SMALL_BODY_BYTES:
            reserve = self.size_bytes * RESERVE_SHARE
        while self.held_bytes + size_bytes > self.size_bytes - reserve:
            if not self.drop_stalled(holding):
                return False
        self.held_bytes += size_bytes
        return True

    def drop_stalled(self, spared: 'Holding | None' = None) -> bool:
        """Drop the body without progress for longest, and return whether there is one.

        `spared` is not dropped.
        """
        for holding in self._incomplete:
            if self.clock() - holding.progress_at < STALLED_S:
                return False
            if holding is not spared:
                holding.drop()
                return True
        return False

    def expire(self) -> None:
        """Tell the owners of incomplete bodies whose deadline has passed."""
        now = self.clock()
        for holding in list(self._incomplete):
            if holding.deadline_at <= now:
                holding.on_expired()

    def record_progress(self, holding: 'Holding') -> None:
        """Put a body behind all others that may be dropped."""
        self._incomplete.move_to_end(holding)

    def remove(self, holding: 'Holding') -> None:
        """Stop regarding a body as incomplete."""
        self._incomplete.pop(holding, None)


class Holding:
    """The memory of one body.

    `progress_at` is when enough of it was received last, and `deadline_at` when its
    owner is told that it is late, both in seconds of the budget's clock.
    """

    def __init__(
        self,
        budget: BodyBudget,
        on_dropped: Callable[[], None],
        on_expired: Callable[[], None],
    ) -> None:
        """Create an empty holding."""
        self.held_bytes = 0
        self.progress_at = budget.clock()
        self.deadline_at = math.inf
        self.on_expired = on_expired
        self._budget = budget
        self._on_dropped = on_dropped
        self._received_bytes = 0
        self._progress_bytes = 0
        self._is_incomplete = True

    def extend_to(self, size_bytes: int) -> bool:
        """Hold at least this many bytes; return whether there is room for them."""
        missing_bytes = size_bytes - self.held_bytes
        if missing_bytes <= 0:
            return True
        has_room = self._budget.reserve(self, missing_bytes)
        if has_room:
            self.held_bytes += missing_bytes
        return has_room

    def receive(self, size_bytes: int) -> bool:
        """Count received bytes, and return whether there is room for them."""
        self._received_bytes += size_bytes
        if self._received_bytes - self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = self._received_bytes
            self.progress_at = self._budget.clock()
            self._budget.record_progress(self)
        return self.extend_to(self._received_bytes)

    def complete(self) -> None:
        """Record that the body was received whole: it is not dropped any more."""
        self._is_incomplete = False
        self._budget.remove(self)

    def release(self) -> None:
        """Return all bytes to the budget; a released body is not dropped."""
        self.complete()
        self._budget.held_bytes -= self.held_bytes
        self.held_bytes = 0

    def drop(self) -> None:
        """Release an incomplete body, and tell its owner."""
        if self._is_incomplete:
            self.release()
            self._on_dropped()
