"""A small HTTP/1.1 server and the messages that it reads."""

import asyncio
import dataclasses
import json
import time
import typing
import urllib.parse
from collections.abc import Awaitable, Callable

import addresses

__all__ = ('Request', 'HttpServer', 'send', 'send_json')

_BROKEN = (asyncio.IncompleteReadError, ConnectionError, TimeoutError)


@dataclasses.dataclass
class Request:
    """A request as a server read it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    came_at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the arguments of the query."""
        text = self.target.partition('?')[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    @property
    def attempt_id(self) -> str:
        """Return the id of the attempt."""
        return self.headers.get('x-attempt-id', '')


Handle = Callable[[Request], Awaitable[None]]


class HttpServer:
    """Serves requests with a function; each connection is a task."""

    def __init__(self, handle: Handle, address: str = '') -> None:
        """Create a server, which listens once it is started."""
        self.address = address or addresses.free_address()
        self._handle = handle
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = addresses.split(self.address)
        self._listener = await asyncio.start_server(
            self._serve, host, port, backlog=512
        )

    def stop(self) -> None:
        """Stop to listen, and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._handle(await _read_request(reader, writer))
        except _BROKEN:
            writer.close()
        finally:
            self._writers.discard(writer)
            writer.close()


async def send(
    request: Request, status: int, body: bytes, headers: dict[str, str] | None = None
) -> None:
    """Send an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {text}' for name, text in (headers or {}).items())
    head = '\r\n'.join(lines).encode()
    request.writer.write(b''.join((head, b'\r\n\r\n', body)))
    await request.writer.drain()


async def send_json(
    request: Request,
    body: typing.Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> None:
    """Send an answer with a body in JSON."""
    found = {'Content-Type': 'application/json', **(headers or {})}
    await send(request, status, json.dumps(body).encode(), found)


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    head = await reader.readuntil(b'\r\n\r\n')
    line, *rest = head.decode('latin1').rstrip('\r\n').split('\r\n')
    method, target, _ = line.split(' ', 2)
    pairs = (text.partition(':') for text in rest)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return Request(method, target, headers, body, writer)
