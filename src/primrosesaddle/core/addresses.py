"""Addresses of the form IP:PORT."""

__all__ = ('split_address',)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an IP:PORT string."""
    host, _, port = address.rpartition(':')
    return host, int(port)
