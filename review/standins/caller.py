"""A caller: one request on a new connection, and its answer."""

import asyncio
import dataclasses
import itertools

from standins import http

HOST = 'jepu9.example'
KEY = 'jnbanfqasnmgkcuyj8pj'
DEADLINE_MS = 6093
SLICES = 10  # in which a body is sent
_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """An answer; `is_whole` tells whether its framing says that it is complete.

    The status is 0 when the connection ended without an answer.
    """

    call_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def call(
    address: str,
    path: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b'{}',
    send_s: float = 0.0,
) -> Answer:
    """Make a call, and read its answer to the end, or to where it breaks off.

    The body takes `send_s` seconds to be sent.
    """
    call_id = f'{next(_NUMBERS):016x}'
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Attempt-Id: {call_id}',
        f'X-Deadline-Ms: {DEADLINE_MS}',
        f'Authorization: Bearer {KEY}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    nothing = Answer(call_id, 0, {}, b'', is_whole=False)
    try:
        reader, writer = await asyncio.open_connection(*http.split(address))
    except OSError:
        return nothing
    try:
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        await _send_body(writer, body, send_s)
        return await asyncio.wait_for(_read_answer(call_id, reader), DEADLINE_MS / 1000)
    except http.FAILED:
        return nothing
    finally:
        writer.close()


async def _send_body(writer: asyncio.StreamWriter, body: bytes, send_s: float) -> None:
    slices = SLICES if send_s else 1
    size = -(-len(body) // slices)
    for begin in range(0, len(body), size):
        writer.write(body[begin : begin + size])
        await writer.drain()
        await asyncio.sleep(send_s / slices)


async def _read_answer(call_id: str, reader: asyncio.StreamReader) -> Answer:
    line, headers = await http.read_head(reader)
    answer = Answer(call_id, int(line.split()[1]), headers, b'', is_whole=False)
    length = headers.get('content-length')
    try:
        if length is None:
            await _read_chunks(reader, answer)
        else:
            answer.body = await reader.readexactly(int(length))
    except http.CLOSED:
        return answer
    answer.is_whole = True
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    size = -1
    while size:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        part = await reader.readexactly(size + 2)
        answer.body += part[:-2]
