"""Capacity of a process: what it may hold of the memory and sockets of its machine."""

import dataclasses

from primrosesaddle.calls import attempts

__all__ = ('Capacity', 'plan_capacity')

_MIB = 1024 * 1024
UNKNOWN_MEMORY_BYTES = 430 * _MIB  # where the settings state none; a usual machine
UNKNOWN_DESCRIPTORS = 1024  # the usual limit of a process
# Code, published records, peers and weights on their way, and what the allocator keeps:
# 60 MiB were seen at an entry in a small deployment, more with hundreds of peers.
BASE_SHARE = 0.25
MIN_BASE_BYTES = 64 * _MIB
# Shares of what is left. The rest is for the kernel's buffers and for fragmentation.
ANSWER_SHARE = 0.25
BODY_SHARE = 0.33
CONNECTION_SHARE = 0.16
# A connection with its objects and the buffer of a head or of what follows a request.
CONNECTION_BYTES = 32 * 1024
FILE_DESCRIPTORS = 200  # of the limit, which sockets cannot use
CALLER_SOCKET_SHARE = 0.5  # the rest is for servers and other processes
# Of each other listener, which one platform or one caller asks once a second.
OTHER_SOCKET_SHARE = 0.06
MIN_CONNECTIONS = 4
MAX_OTHER_CONNECTIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Bytes of buffered answers and of bodies, and connections of listeners."""

    answer_bytes: int
    body_bytes: int
    caller_connections: int
    other_connections: int


def plan_capacity(memory_bytes: float, descriptors: int) -> Capacity:
    """Divide the memory and the descriptors of a machine; 0 stands for unknown."""
    memory = memory_bytes or UNKNOWN_MEMORY_BYTES
    sockets = (descriptors or UNKNOWN_DESCRIPTORS) - FILE_DESCRIPTORS
    spare = max(0.0, memory - max(MIN_BASE_BYTES, memory * BASE_SHARE))
    callers = min(
        sockets * CALLER_SOCKET_SHARE, spare * CONNECTION_SHARE / CONNECTION_BYTES
    )
    others = min(MAX_OTHER_CONNECTIONS, sockets * OTHER_SOCKET_SHARE)
    return Capacity(
        min(attempts.MAX_TOTAL_BUFFERED_BYTES, int(spare * ANSWER_SHARE)),
        int(spare * BODY_SHARE),
        max(MIN_CONNECTIONS, int(callers)),
        max(MIN_CONNECTIONS, int(others)),
    )
