"""Loopback addresses that nothing else uses, also beside other runs."""

import itertools
import os
import socket

__all__ = ('HOST', 'free_address', 'free_ports', 'split')

# Each run has a loopback address of its own, by its process id.
_PID_BYTES = os.getpid().to_bytes(4, 'big')
HOST = f'127.{1 + _PID_BYTES[2] % 250}.{_PID_BYTES[3]}.1'
# Below the ports that the kernel gives to outgoing connections.
_PORTS = itertools.count(12000)


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens; none is returned twice."""
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        if _is_free(port):
            found.append(port)
    return found


def free_address() -> str:
    """Return an IP:PORT address at which nothing listens."""
    return f'{HOST}:{free_ports(1)[0]}'


def split(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
