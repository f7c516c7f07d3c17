"""Callers: requests as the platform's pages describe them, and their answers."""

import asyncio
import dataclasses
import itertools
import time
import typing

import addresses

__all__ = ('Answer', 'Caller', 'HOST_NAME')

HOST_NAME = 'shop.example'
_BROKEN = (asyncio.IncompleteReadError, OSError, ValueError)


@dataclasses.dataclass
class Answer:
    """What a caller got; the status is 0 if there was no complete answer."""

    attempt_id: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    note: str = ''


class Caller:
    """Sends requests, each on a new connection."""

    def __init__(self, name: str) -> None:
        """Create a caller; its name begins the ids of its attempts."""
        self._name = name
        self._numbers = itertools.count(1)

    async def call(
        self,
        address: str,
        path: str,
        key: str,
        deadline_ms: int = 4000,
        **options: typing.Any,
    ) -> Answer:
        """Make a call, and return its answer.

        Options are `headers`, `method`, and `connect`, which opens the connection.
        """
        found = Answer(f'{self._name}{next(self._numbers):08x}', time.monotonic())
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._exchange(found, address, path, key, deadline_ms, options)
        except TimeoutError:
            found.note = 'no answer'
        except _BROKEN as exc:
            found.note = type(exc).__name__
        return found

    async def _exchange(
        self,
        found: Answer,
        address: str,
        path: str,
        key: str,
        deadline_ms: int,
        options: dict[str, typing.Any],
    ) -> None:
        connect = options.get('connect', asyncio.open_connection)
        reader, writer = await connect(*addresses.split(address))
        method = options.get('method', 'GET')
        body = b'{}' if method == 'POST' else b''
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Attempt-Id: {found.attempt_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {key}',
            f'Content-Length: {len(body)}',
        ]
        more = options.get('headers', {})
        lines.extend(f'{name}: {text}' for name, text in more.items())
        try:
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await read_answer(reader, found)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader, found: Answer) -> None:
    """Read an answer to its end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    line, *rest = head.rstrip('\r\n').split('\r\n')
    pairs = (text.partition(':') for text in rest)
    found.headers = {name.lower(): text.strip() for name, _, text in pairs}
    length = found.headers.get('content-length')
    if length is None:
        found.body = await _read_chunks(reader)
    else:
        found.body = await reader.readexactly(int(length))
    found.status = int(line.split()[1])


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])
