"""HTTP/1.1 on streams: what servers, callers and the store of the cases share."""

import asyncio
import contextlib
import dataclasses
import typing
from collections.abc import AsyncIterator, Iterable

__all__ = (
    'Message',
    'call',
    'format_head',
    'is_broken_off',
    'read_body',
    'read_head',
    'read_request',
)

END = b'\r\n\r\n'
BROKEN_OFF = (OSError, asyncio.IncompleteReadError, TimeoutError)


@dataclasses.dataclass
class Message:
    """A request or an answer; the names of the headers are in lower case."""

    line: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.line.split()[1]

    @property
    def call_id(self) -> str:
        """The id of the attempt that this belongs to."""
        return self.headers.get('x-attempt-id', '')


def is_broken_off(exc: BaseException) -> bool:
    """Return whether an exception tells that a connection ended early."""
    return isinstance(exc, BROKEN_OFF)


def format_head(lines: Iterable[str]) -> bytes:
    """Return the bytes of a head."""
    return '\r\n'.join(lines).encode('latin1') + END


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a request or an answer."""
    head = (await reader.readuntil(END)).decode('latin1').split('\r\n')
    headers = {}
    for line in head[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    return Message(head[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request whose body, if any, has a length."""
    message = await read_head(reader)
    length = int(message.headers.get('content-length', '0'))
    message.body = await reader.readexactly(length)
    return message


async def read_body(reader: asyncio.StreamReader, answer: Message) -> None:
    """Read the body of an answer to its end; raises if it is broken off."""
    length = answer.headers.get('content-length')
    if length is not None:
        answer.body = await reader.readexactly(int(length))
    elif 'chunked' in answer.headers.get('transfer-encoding', ''):
        parts = [part async for part in _read_chunks(reader)]
        answer.body = b''.join(parts)


async def call(
    address: str,
    line: str,
    headers: Iterable[str] = (),
    body: bytes = b'',
) -> Message:
    """Make a call on a new connection, and return its whole answer.

    `line` is the method and the target.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(typing.cast(typing.Any, writer)):
        lines = [f'{line} HTTP/1.1', *headers, f'Content-Length: {len(body)}']
        writer.write(format_head(lines) + body)
        answer = await read_head(reader)
        await read_body(reader, answer)
    return answer


async def _read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        yield part[:-2]
