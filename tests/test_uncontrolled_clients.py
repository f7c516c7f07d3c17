"""Callers that keep no rules: no process ends, and ordinary callers get answers.

A process kept the whole body of every request before anything decided whether the
request is allowed, up to 16 MB each and as many as came, in several copies. Callers
that send large bodies, or stop just short of the end, put it over its machine's memory.
Nor was there a bound on connections: those that send nothing, or half a head, took all
descriptors. Each test starts a real process with low limits before a small crowd. None
depends on the machine's speed.
"""

import asyncio
import pathlib
import sys
from collections.abc import Awaitable, Callable

import pytest
from testtools import matchers
from testtools.assertions import assert_that

import clientstand
import platformstand

CHUNKED = 'Transfer-Encoding: chunked'
NEARLY_WHOLE = clientstand.MAX_BODY_BYTES - 64
FAR_OVER = 7 * clientstand.MAX_BODY_BYTES
LARGE_CHUNK = 250_000
Play = Callable[[clientstand.Site], Awaitable[object]]


def make_chunks(size: int, chunk: int, *, is_ended: bool = False) -> bytes:
    """Return a body in chunks of a size in bytes, with or without its end."""
    whole, rest = divmod(size, chunk)
    parts = [f'{chunk:x}\r\n'.encode() + bytes(chunk) + b'\r\n'] * whole
    if rest:
        parts.append(f'{rest:x}\r\n'.encode() + bytes(rest) + b'\r\n')
    return b''.join(parts) + (b'0\r\n\r\n' if is_ended else b'')


def check_bounds(process: clientstand.Process) -> None:
    """Check that a process lives, within the memory and descriptors of its machine."""
    process.sample()
    figures = (
        f'peak {process.peak_bytes / 2**20:.1f} MiB, of these unread in the kernel at'
        f' most {process.peak_kernel_bytes / 2**20:.1f}, {process.peak_fds} descriptors'
    )
    sys.stdout.write(f'{figures}\n')
    assert process.is_alive, process.log.read_text()[-2000:]
    allowed = matchers.LessThan(clientstand.MEMORY_MB * 2**20)
    assert_that(process.peak_bytes, allowed, figures)
    assert_that(process.peak_fds, matchers.LessThan(clientstand.MAX_FDS), figures)


def run_crowd(folder: pathlib.Path, play: Play) -> None:
    """Let a crowd play at an entry, and check what must hold at and after it."""

    async def run() -> None:
        async with clientstand.run_site(folder) as site:
            await play(site)
            status = await site.call()
            check_bounds(site.process)
            assert_that(status, matchers.Equals(200), 'beside the crowd')
            site.disperse()
            whole = await site.call(bytes(clientstand.MAX_BODY_BYTES))
            check_bounds(site.process)
            assert_that(whole, matchers.Equals(200), 'a body of the allowed size')

    asyncio.run(run())


@pytest.mark.parametrize(
    ('size', 'chunk'), [(NEARLY_WHOLE, LARGE_CHUNK), (NEARLY_WHOLE, 100), (4000, 1)]
)
def test_bodies_that_stop_short_of_their_end(
    tmp_path: pathlib.Path, size: int, chunk: int
) -> None:
    async def play(site: clientstand.Site) -> None:
        sent = site.make_head(CHUNKED) + make_chunks(size, chunk)
        await site.gather_crowd('front', sent, parts=20)

    run_crowd(tmp_path, play)


def test_announced_bodies_that_stop_short_of_their_end(tmp_path: pathlib.Path) -> None:
    async def play(site: clientstand.Site) -> None:
        head = site.make_head(f'Content-Length: {clientstand.MAX_BODY_BYTES}')
        await site.gather_crowd('front', head + bytes(NEARLY_WHOLE), parts=20)

    run_crowd(tmp_path, play)


def test_whole_bodies_at_once(tmp_path: pathlib.Path) -> None:
    async def play(site: clientstand.Site) -> None:
        whole = make_chunks(NEARLY_WHOLE, LARGE_CHUNK, is_ended=True)
        await site.gather_crowd('front', site.make_head(CHUNKED) + whole, parts=20)

    run_crowd(tmp_path, play)


@pytest.mark.parametrize(
    'framing', [CHUNKED, f'Content-Length: {FAR_OVER}', f'Content-Length: {10**15}']
)
def test_bodies_far_over_the_limit(tmp_path: pathlib.Path, framing: str) -> None:
    async def play(site: clientstand.Site) -> None:
        body = bytes(FAR_OVER - 1)
        if framing == CHUNKED:
            body = make_chunks(FAR_OVER, LARGE_CHUNK)
        await site.gather_crowd('front', site.make_head(framing) + body, parts=50)

    run_crowd(tmp_path, play)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/gone/a', platformstand.KEY, 404),
        ('/read/a', 'unknown', 401),
        ('/read/a', platformstand.KEY, 413),
    ],
)
def test_body_of_a_refused_request_is_not_awaited(
    tmp_path: pathlib.Path, path: str, key: str, status: int
) -> None:
    async def play(site: clientstand.Site) -> None:
        size = FAR_OVER if status == 413 else clientstand.MAX_BODY_BYTES
        head = site.make_head(f'Content-Length: {size}', path, key)
        sent = head + bytes(NEARLY_WHOLE)
        # One in calm: in a crowd any connection may be closed.
        found = await site.gather_crowd('front', sent, parts=20, count=1)
        async with asyncio.timeout(8):
            got = await platformstand.read_answer(found[0][0])
        await site.gather_crowd('front', sent, parts=20)
        assert_that(got.status, matchers.Equals(status))
        assert_that(got.headers.get('connection'), matchers.Equals('close'))

    run_crowd(tmp_path, play)


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'POST /read/a HTTP/1.1\r\nHost: shop.exam',
        b'POST /read/a HTTP/1.1\r\nX-Long: ' + b'x' * 500_000,
        b'\r\n' * 20_000,
    ],
    ids=['idle', 'half-head', 'long-head', 'empty-lines'],
)
def test_connections_without_a_whole_head(tmp_path: pathlib.Path, sent: bytes) -> None:
    async def play(site: clientstand.Site) -> None:
        for _ in range(8):
            await site.gather_crowd('front', sent)

    run_crowd(tmp_path, play)


def test_pipelined_requests(tmp_path: pathlib.Path) -> None:
    async def play(site: clientstand.Site) -> None:
        one = site.make_head('Content-Length: 20000') + bytes(20000)
        await site.gather_crowd('front', one * 300, parts=20)

    run_crowd(tmp_path, play)


@pytest.mark.parametrize('size', [b'-5', b'7fffffffffffffff', b'zz', b'0' * 50_000])
def test_chunk_size_that_lies(tmp_path: pathlib.Path, size: bytes) -> None:
    async def play(site: clientstand.Site) -> None:
        sent = site.make_head(CHUNKED) + size + b'\r\n' + bytes(NEARLY_WHOLE)
        await site.gather_crowd('front', sent, parts=20)

    run_crowd(tmp_path, play)


def test_continue_is_not_sent_for_a_refused_request(tmp_path: pathlib.Path) -> None:
    async def play(site: clientstand.Site) -> None:
        expects = ('Expect: 100-continue',)
        head = site.make_head(f'Content-Length: {FAR_OVER}', extra=expects)
        found = await site.gather_crowd('front', head, count=1)
        async with asyncio.timeout(8):
            line = await found[0][0].readuntil(b'\r\n')
        assert_that(line.split()[1], matchers.Equals(b'413'))
        await site.gather_crowd('front', head)
        head = site.make_head(f'Content-Length: {NEARLY_WHOLE}', extra=expects)
        found = await site.gather_crowd('front', head, count=1)
        async with asyncio.timeout(8):
            line = await found[0][0].readuntil(b'\r\n')
        assert_that(line.split()[1], matchers.Equals(b'100'))
        await site.gather_crowd('front', head)

    run_crowd(tmp_path, play)


@pytest.mark.parametrize('name', ['ready', 'directory', 'metrics'])
def test_other_listeners_of_an_entry(tmp_path: pathlib.Path, name: str) -> None:
    async def play(site: clientstand.Site) -> None:
        await crowd_at(site, name)
        status = await site.get('ready', '/primrosesaddle/ready')
        assert_that(status, matchers.Equals(200))

    run_crowd(tmp_path, play)


def test_metrics_listener_of_an_agent(tmp_path: pathlib.Path) -> None:
    async def run() -> None:
        async with clientstand.run_site(tmp_path, 'side') as site:
            await crowd_at(site, 'metrics')
            status = await site.get('metrics', '/metrics')
            check_bounds(site.process)
            assert_that(status, matchers.Equals(200))

    asyncio.run(run())


async def crowd_at(site: clientstand.Site, name: str) -> None:
    """Send large bodies and then nothing at a listener that takes no bodies."""
    for framing, body in (
        (CHUNKED, make_chunks(FAR_OVER, LARGE_CHUNK)),
        (f'Content-Length: {FAR_OVER}', bytes(FAR_OVER - 1)),
    ):
        sent = site.make_head(framing, '/metrics') + body
        await site.gather_crowd(name, sent, parts=20)
    for _ in range(8):
        await site.gather_crowd(name, b'')
