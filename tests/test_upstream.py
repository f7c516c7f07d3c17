"""Exchanges with servers: framing, reuse of connections, and bounds."""

import asyncio

import pytest
from testtools import assertions, matchers

from demo import ports
from primrosesaddle.net import upstream


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


class Received:
    """What an exchange passed on: the status, and the parts of the body."""

    def __init__(self):
        self.status = 0
        self.parts = []

    def on_head(self, head):
        self.status = head.status

    def on_body(self, chunk):
        self.parts.append(chunk)

    @property
    def body(self):
        return b''.join(self.parts)


@pytest.fixture
def with_server():
    """Return a function that runs a check against a server.

    The server sends each group of parts in answer to one request, each part by itself,
    and closes when they are used up.
    """

    def run(check, *answers):
        async def main():
            address = ports.free_address()
            host, _, port = address.rpartition(':')
            server = await asyncio.start_server(
                lambda reader, writer: _serve(answers, reader, writer), host, int(port)
            )
            conn = await upstream.dial(address)
            await check(conn)
            conn.close()
            server.close()
            await asyncio.sleep(0.05)

        asyncio.run(main())

    return run


async def _serve(answers, reader, writer):
    try:
        for parts in answers:
            await reader.readuntil(b'\r\n\r\n')
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass  # the client has closed the connection
    finally:
        writer.close()


async def _ask(conn, method='GET', is_own=lambda headers: True):
    """Make a request, and return what was received, the ending and the exchange."""
    received = Received()
    exchange = upstream.Exchange(conn, received.on_head, received.on_body, is_own)
    exchange.send_request(method, '/x', [('Host', 'h')], b'')
    async with asyncio.timeout(5):
        ending = await exchange.read_answer()
    return received, ending, exchange


HEAD = b'HTTP/1.1 200 OK\r\n'
ONE = HEAD + b'Content-Length: 3\r\n\r\none'
TWO = HEAD + b'Content-Length: 3\r\n\r\ntwo'


@pytest.mark.parametrize(
    'parts',
    [
        [ONE],
        [ONE[index : index + 1] for index in range(len(ONE))],
        [HEAD + b'Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n2\r\nne\r\n0\r\n\r\n'],
        [b'HTTP/1.1 100 Continue\r\n\r\n', ONE],
        [b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' + ONE],
    ],
    ids=['whole', 'byte by byte', 'chunks', 'continue', 'early hints'],
)
def test_complete_answer_leaves_the_connection_reusable(with_server, parts):
    """Informational answers come before the one that counts."""

    async def check(conn):
        received, ending, _ = await _ask(conn)
        _assert_equal(
            (received.status, received.body, ending.name), (200, b'one', 'COMPLETE')
        )
        _assert_equal(conn.is_reusable, True)
        received, ending, _ = await _ask(conn)
        _assert_equal((received.body, ending.name), (b'two', 'COMPLETE'))

    with_server(check, parts, [TWO], [])


@pytest.mark.parametrize(
    ('method', 'status'),
    [('HEAD', b'200 OK'), ('GET', b'204 None'), ('GET', b'304 Same')],
)
def test_answer_without_a_body_ends_with_its_head(with_server, method, status):
    """Its length, if there is one, is that of another answer."""
    answer = b'HTTP/1.1 ' + status + b'\r\n'
    if method == 'HEAD':
        answer += b'Content-Length: 700\r\n'

    async def check(conn):
        received, ending, _ = await _ask(conn, method)
        _assert_equal((received.body, ending.name), (b'', 'COMPLETE'))

    with_server(check, [answer + b'\r\n'], [])


@pytest.mark.parametrize(
    'parts',
    [[ONE + TWO], [ONE + b'garbage'], [ONE, TWO], [ONE, b'\x00']],
    ids=['answer', 'garbage', 'later answer', 'later garbage'],
)
def test_data_behind_an_answer_ends_the_connection(with_server, parts):
    """It belongs to no request, so that the next one goes over another connection."""

    async def check(conn):
        received, ending, _ = await _ask(conn)
        _assert_equal((received.body, ending.name), (b'one', 'COMPLETE'))
        await asyncio.sleep(0.05)
        _assert_equal(conn.is_reusable, False)

    with_server(check, parts, [])


@pytest.mark.parametrize(
    ('answer', 'failure'),
    [
        (b'not http\r\n\r\n', 'malformed'),
        (
            HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
            'malformed',
        ),
        (HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\n', 'malformed'),
        (HEAD + b'Content-Length: -1\r\n\r\n', 'malformed'),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\nxyz\r\n', 'malformed'),
        (HEAD + b'A: ' + b'a' * 2 * upstream.MAX_HEAD_BYTES, 'head is larger'),
        (HEAD + b'Content-Length: 9\r\n\r\nfour', 'closed by the server'),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n', 'closed by the'),
        (b'', 'closed by the server'),
    ],
)
def test_answer_that_is_not_complete_is_broken(with_server, answer, failure):
    """The connection is closed, and the reason is told."""

    async def check(conn):
        _, ending, exchange = await _ask(conn)
        _assert_equal(ending.name, 'BROKEN')
        assertions.assert_that(exchange.failure, matchers.StartsWith(failure))
        _assert_equal(conn.is_reusable, False)

    with_server(check, [answer])


IN_LENGTH = b'Content-Length: 3%s\r\n\r\none'
IN_CHUNKS = b'Transfer-Encoding: chunked%s\r\n\r\n3\r\none\r\n0\r\n\r\n'


@pytest.mark.parametrize(
    ('framed', 'space'),
    [(IN_LENGTH, b' '), (IN_LENGTH, b'\t'), (IN_LENGTH, b' \t  '), (IN_CHUNKS, b'  ')],
)
def test_white_space_behind_the_value_of_a_header_is_no_part_of_it(
    with_server, framed, space
):
    """Guards against sound answers that are lost, and calls that are made again."""
    _check_white_space(with_server, framed, space)


def test_tab_behind_the_name_of_chunks_is_no_part_of_it(with_server):
    """Guards against the same where the parser reads the value by itself."""
    _check_white_space(with_server, IN_CHUNKS, b'\t')


def _check_white_space(with_server, framed, space):
    heads = []
    answer = HEAD + b'X-A: one two%s\r\nX-B:%s\r\n' % (space, space) + framed % space

    async def check(conn):
        received = Received()
        exchange = upstream.Exchange(
            conn, heads.append, received.on_body, lambda headers: True
        )
        exchange.send_request('GET', '/x', [('Host', 'h')], b'')
        async with asyncio.timeout(5):
            ending = await exchange.read_answer()
        _assert_equal((ending.name, received.body), ('COMPLETE', b'one'))
        headers = heads[0].headers
        _assert_equal((headers['X-A'], headers['X-B']), ('one two', ''))
        _assert_equal(conn.is_reusable, True)

    with_server(check, [answer], [])


def test_answer_that_ends_with_the_connection_is_complete(with_server):
    """It has no length, and the server closes the connection in order."""

    async def check(conn):
        received, ending, _ = await _ask(conn)
        _assert_equal((received.body, ending.name), (b'rest', 'COMPLETE'))
        _assert_equal(conn.is_reusable, False)

    with_server(check, [HEAD + b'\r\nre', b'st'])


def test_answers_to_earlier_requests_are_skipped_up_to_a_number(with_server):
    """A server that sends nothing else would be read for ever."""
    stray = HEAD + b'Id: other\r\nContent-Length: 3\r\n\r\nold'

    async def check(conn):
        received, ending, exchange = await _ask(
            conn, is_own=lambda headers: 'Id' not in headers
        )
        _assert_equal((received.body, ending.name), (b'', 'BROKEN'))
        _assert_equal(exchange.failure, 'received only answers to other calls')

    with_server(check, [stray * (upstream.MAX_STRAY_ANSWERS + 1), ONE])


def test_body_is_received_only_as_fast_as_it_is_passed_on(with_server):
    """A caller that reads slowly must not make the entry hold a whole answer."""
    size = 16 * 2**20
    answer = HEAD + f'Content-Length: {size}\r\n\r\n'.encode() + b'x' * size

    async def check(conn):
        may_go_on = asyncio.Event()
        sizes = []

        async def on_body(chunk):
            sizes.append(len(chunk))
            await may_go_on.wait()

        exchange = upstream.Exchange(conn, lambda head: None, on_body, lambda _: True)
        exchange.send_request('GET', '/x', [('Host', 'h')], b'')
        reading = asyncio.create_task(exchange.read_answer())
        await asyncio.sleep(0.3)
        assertions.assert_that(sum(sizes), matchers.LessThan(2**20))
        may_go_on.set()
        async with asyncio.timeout(5):
            _assert_equal((await reading).name, 'COMPLETE')
        _assert_equal(sum(sizes), size)

    with_server(check, [answer], [])


def test_rejected_answer_does_not_become_complete_by_a_close(with_server):
    """Both may happen in one turn of the loop, before the exchange is evaluated."""

    async def check(conn):
        def on_body(chunk):
            raise upstream.InvalidAnswer('too large')

        exchange = upstream.Exchange(conn, lambda head: None, on_body, lambda _: True)
        exchange.send_request('GET', '/x', [('Host', 'h')], b'')
        exchange.receive(HEAD + b'\r\npart')
        exchange.end_with_connection(None)
        ending = await exchange.read_answer()
        _assert_equal((ending.name, exchange.failure), ('BROKEN', 'too large'))

    with_server(check, [])


def test_body_of_an_answer_to_head_ends_the_connection(with_server):
    """A faulty server sends one, which must not come before the next answer."""

    async def check(conn):
        _, ending, _ = await _ask(conn, 'HEAD')
        _assert_equal((ending.name, conn.is_reusable), ('COMPLETE', False))

    with_server(check, [ONE], [])


@pytest.mark.parametrize('address', ['127.0.0.1:70000', '127.0.0.1:1'])
def test_address_without_a_server_is_unreachable(address):
    """An entry goes on with another server then."""

    async def main():
        with pytest.raises(upstream.Unreachable):
            await upstream.dial(address)

    asyncio.run(main())
