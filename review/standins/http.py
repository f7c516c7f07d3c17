"""HTTP/1.1 of the stand-ins: reads requests, and writes answers."""

import asyncio
import dataclasses
import json
import os
import socket
import typing
import urllib.parse
from collections.abc import Awaitable, Callable

BASE = '/primrosesaddle'
CLOSED = (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError)
FAILED = (*CLOSED, OSError, TimeoutError)
# Below the ports of outgoing connections, and others for each script that runs.
BLOCK_SIZE = 60
_FIRST_PORT = 20000 + os.getpid() % 200 * BLOCK_SIZE
_PORTS = iter(range(_FIRST_PORT, _FIRST_PORT + BLOCK_SIZE))


@dataclasses.dataclass
class Request:
    """A request, and the connection on which it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query as a dictionary."""
        return dict(urllib.parse.parse_qsl(self.target.partition('?')[2]))

    def send(
        self, status: int, body: bytes = b'', headers: typing.Any = (), reason: str = ''
    ) -> None:
        """Send an answer with a length."""
        lines = [f'HTTP/1.1 {status} {reason or "Status"}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def send_json(self, document: object, status: int = 200) -> None:
        """Send a document as JSON."""
        self.send(
            status,
            json.dumps(document, separators=(',', ':')).encode(),
            [('Content-Type', 'application/json')],
        )


Handle = Callable[[Request], Awaitable[None]]


def free_address(host: str = '127.0.0.1') -> str:
    """Return a loopback address with a port that is free, and not returned before."""
    for port in _PORTS:
        with socket.socket() as probe:
            if probe.connect_ex((host, port)):
                return f'{host}:{port}'
    raise OSError('no port is free')


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers, with their names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1').split('\r\n')
    pairs = (line.partition(':') for line in head[1:] if line)
    return head[0], {name.lower(): text.strip() for name, _, text in pairs}


async def serve(handle: Handle, address: str) -> asyncio.Server:
    """Serve each request on an address with a function, one after the other."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_requests(handle, reader, writer)
        except CLOSED:
            writer.transport.abort()
        finally:
            writer.close()

    host, port = split(address)
    return await asyncio.start_server(on_connection, host, port)


async def _serve_requests(
    handle: Handle, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        line, headers = await read_head(reader)
        method, target, _ = line.split(' ')
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        await handle(Request(method, target, headers, body, writer))
        await writer.drain()
