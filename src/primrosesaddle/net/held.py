"""Bounds on the bytes of answers that are kept until they are whole."""

from primrosesaddle.net import upstream

__all__ = ('Share', 'Space')

# Each answer may hold this much, however many there are.
FREE_BYTES = 64 * 1024


class Space:
    """What all answers together may hold beyond what is free to each."""

    def __init__(self, size: int) -> None:
        """Create a space of a size in bytes."""
        self.left = size


class Share:
    """What one answer holds of a space."""

    def __init__(self, space: Space, most: int) -> None:
        """Hold nothing yet; one answer may hold `most` bytes."""
        self._space = space
        self._most = most
        self._taken = 0

    def resize(self, size: int) -> None:
        """Hold so many bytes.

        Raises `upstream.NoAnswer` where that is too much.
        """
        wanted = max(0, size - FREE_BYTES)
        if size > self._most:
            raise upstream.NoAnswer('larger than the bound')
        if wanted - self._taken > self._space.left:
            raise upstream.NoAnswer('no room for what answers hold together')
        self._space.left -= wanted - self._taken
        self._taken = wanted

    def release(self) -> None:
        """Hold nothing."""
        self.resize(0)
