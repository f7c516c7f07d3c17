"""A server in a process of its own, whose answers end with their connection.

Arguments: its address and its id. It writes what it runs to standard output.
"""

import asyncio
import contextlib
import sys

import http1

__all__ = ('BODY_BYTES', 'EVENTS')

EVENTS = 20
EVENT_PAUSE_S = 0.1
BODY_BYTES = 800  # as the sheets state it
HALF_PAUSE_S = 0.4  # a sound server may fall silent for a second or so


class UnframedServer:
    """Streams events, or sends a body in two halves; neither has a length."""

    def __init__(self, address: str, name: str) -> None:
        """Create a server that is not running."""
        self._address = address
        self._name = name

    async def run(self) -> None:
        """Serve until the process is killed."""
        host, _, port = self._address.rpartition(':')
        server = await asyncio.start_server(self._serve, host, int(port))
        await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*http1.BROKEN_OFF), contextlib.closing(writer):
            await self._answer(await http1.read_request(reader), writer)

    async def _answer(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers.get('x-expect-instance') != self._name:
            lines = ['HTTP/1.1 421 Misdirected', 'Content-Length: 0']
            writer.write(http1.format_head(lines))
            return
        sys.stdout.write(f'{self._name} runs {request.call_id}\n')
        sys.stdout.flush()
        is_stream = request.target.startswith('/chat/')
        lines = [
            'HTTP/1.1 200 OK',
            f'Content-Type: text/{"event-stream" if is_stream else "plain"}',
            f'X-Attempt-Id: {request.call_id}',
            f'X-Response-Seal: seal.{self._name}',
            'Connection: close',
        ]
        writer.write(http1.format_head(lines))
        if is_stream:
            await _send_events(writer, request.headers.get('last-event-id', '0'))
        else:
            await _send_halves(writer)
        sys.stdout.write(f'{self._name} answered {request.call_id}\n')
        sys.stdout.flush()


async def _send_events(writer: asyncio.StreamWriter, last_id: str) -> None:
    for number in range(int(last_id) + 1, EVENTS + 1):
        writer.write(f'id: {number}\ndata: word-{number}\n\n'.encode())
        await writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)


async def _send_halves(writer: asyncio.StreamWriter) -> None:
    half = bytes(BODY_BYTES // 2)
    writer.write(half)
    await writer.drain()
    await asyncio.sleep(HALF_PAUSE_S)
    writer.write(half)
    await writer.drain()


if __name__ == '__main__':
    asyncio.run(UnframedServer(sys.argv[1], sys.argv[2]).run())
