"""Limits on the memory of answers that are buffered until they are complete."""

from primrosesaddle.net import upstream

__all__ = ('MemoryBudget', 'Reservation')

# Each answer may use this much without a charge to the shared budget.
UNCOUNTED_BYTES = 64 * 1024


class MemoryBudget:
    """Bytes that all answers may use together, beyond `UNCOUNTED_BYTES` for each."""

    def __init__(self, size: int) -> None:
        """Create a budget of a size in bytes."""
        self.remaining_bytes = size


class Reservation:
    """The bytes of a memory budget that one answer uses."""

    def __init__(self, budget: MemoryBudget, max_bytes: int) -> None:
        """Create an empty reservation that may grow to `max_bytes`."""
        self._budget = budget
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    def resize(self, size: int) -> None:
        """Change the reservation to the number of bytes that the answer has now.

        Raises `upstream.InvalidAnswer` if the answer or all answers are too large.
        """
        wanted = max(0, size - UNCOUNTED_BYTES)
        if size > self._max_bytes:
            raise upstream.InvalidAnswer('answer is larger than the limit')
        if wanted - self._reserved_bytes > self._budget.remaining_bytes:
            raise upstream.InvalidAnswer('buffered answers exceed their memory budget')
        self._budget.remaining_bytes -= wanted - self._reserved_bytes
        self._reserved_bytes = wanted

    def release(self) -> None:
        """Return all bytes to the budget."""
        self.resize(0)
