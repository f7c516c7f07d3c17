"""A TCP proxy on loopback that can reset the connections through it."""

import asyncio
import socket
import struct

from standins import http

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
READ_BYTES = 65536


class Proxy:
    """Passes bytes on to an address."""

    def __init__(self, target: str) -> None:
        """Create a proxy on a free address."""
        self.address = http.free_address()
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accept connections."""
        host, port = http.split(self.address)
        await asyncio.start_server(self._connect, host, port)

    def reset(self) -> int:
        """Reset every connection, and return how many there were."""
        writers = [each for each in self._writers if not each.transport.is_closing()]
        self._writers.clear()
        for writer in writers:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return len(writers) // 2

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            ahead = await asyncio.open_connection(*http.split(self._target))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, ahead[1]))
        await asyncio.gather(_pump(reader, ahead[1]), _pump(ahead[0], writer))
        self._writers.difference_update((writer, ahead[1]))


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass on what is read until one side closes, then close the other."""
    try:
        while received := await reader.read(READ_BYTES):
            writer.write(received)
            await writer.drain()
    except OSError:
        writer.transport.abort()
    finally:
        writer.close()
