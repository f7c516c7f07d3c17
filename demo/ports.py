"""Loopback addresses that no other run of tests, benches or demonstrations uses.

A free port that the kernel names may be given to a connection, or to another run,
before the process that is to listen on it has started. Ports are therefore taken from
blocks below the kernel's range for connections; a lock on a file claims a block for a
process.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile
import typing
from collections.abc import Iterator

__all__ = ('free_address',)

FIRST_PORT = 20000
BLOCK_SIZE = 400  # a whole run of the tests takes some 3,000 ports
BLOCK_COUNT = 30  # the last block ends before port 32,768

_locks: list[typing.IO[bytes]] = []  # kept open, as closing a file ends its lock


def free_address() -> str:
    """Return an address on loopback that is free, and that this process has claimed.

    Addresses of earlier calls come again once all blocks are used up.
    """
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        return f'127.0.0.1:{port}'


def _claim_block() -> range:
    """Claim a block of ports for as long as this process runs.

    Raises `RuntimeError` when other processes hold all of them.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / f'primrosesaddle-ports-{os.getuid()}'
    folder.mkdir(exist_ok=True)
    for number in random.sample(range(BLOCK_COUNT), BLOCK_COUNT):
        lock = (folder / str(number)).open('ab')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        first = FIRST_PORT + number * BLOCK_SIZE
        return range(first, first + BLOCK_SIZE)
    raise RuntimeError(f'all {BLOCK_COUNT} blocks of ports in {folder} are claimed')


def _list_ports() -> Iterator[int]:
    """Yield the ports of one claimed block again and again."""
    block = _claim_block()
    while True:
        yield from block


_ports = _list_ports()
