"""Statuses of HTTP answers, of which parsers accept any three digits."""

__all__ = ('is_valid',)

MIN_STATUS = 100
MAX_STATUS = 599


def is_valid(status: int) -> bool:
    """Return whether a number is a status of HTTP, so that an answer may have it."""
    return MIN_STATUS <= status <= MAX_STATUS
