"""Answers without end: a server in trouble sends bytes until it is cut off."""

import asyncio
import time

import pytest
from testtools import assertions, matchers

import platformstand as stand
from primrosesaddle.calls import events, patience

OBJECTIVE_MS = 150

_OK = b'HTTP/1.1 200 OK\r\n'
_MINE = b'X-Attempt-Id: {id}\r\n'
_SIGNED = _OK + _MINE + b'X-Response-Seal: seal-1\r\n'


def _first(servers, script, sound):
    """Return a script by which the first call fares ill and all others well."""

    async def run(seen):
        if sum(len(server.seen) for server in servers) == 1:
            await script(seen)
        else:
            await sound(seen)

    return run


def _impatient():
    """Return a configuration by which silent attempts are soon given up."""
    found = stand.configuration(2)
    for route in found['routes']:
        route['targetLatencyMs'] = OBJECTIVE_MS
    return found


@pytest.fixture
def in_fleet(monkeypatch):
    """Return a function that runs a check in a fleet that soon gives up."""
    monkeypatch.setattr(patience, 'STALL_S', 0.3)
    monkeypatch.setattr(patience, 'STALL_FIRST_S', 0.3)

    def run(check, *servers):
        async def main():
            fleet = stand.Fleet()
            try:
                await fleet.start(*servers)
                fleet.store.put('op/config', _impatient())
                await fleet.until(lambda: fleet.entry.configuration_version == 2)
                await check(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


@pytest.mark.parametrize(
    ('path', 'part', 'sound', 'expected'),
    [
        ('/read/1', b'half of', stand.answer(), b'done'),
        (
            '/chat/1',
            stand.event(1),
            stand.stream(2),
            stand.event(1) + stand.event(2),
        ),
    ],
    ids=['kept answer', 'stream'],
)
def test_answer_until_the_close_that_is_given_up(in_fleet, path, part, sound, expected):
    """A close by this side does not make it whole: it goes on elsewhere."""
    servers = [stand.Server('a'), stand.Server('b')]

    async def falls_silent(seen):
        head = _SIGNED.replace(b'{id}', seen.request_id.encode())
        seen.writer.write(head + b'\r\n' + part)
        await stand.hang(seen)

    script = _first(servers, falls_silent, sound)
    for server in servers:
        server.script = script

    async def check(fleet):
        got = await fleet.call(path)
        _same((got.status, got.body, got.whole), (200, expected, True))

    in_fleet(check, *servers)


def test_event_without_end_that_comes_in_small_parts():
    """The work for it grows with its size, not with its square."""
    cutter = events.EventCutter()
    began = time.process_time()
    for _ in range(8000):
        cutter.feed(b'data: part of the same event\r\nx')
    assert time.process_time() - began < 1.0
    _same(len(cutter.rest()), 8000 * 31)


@pytest.mark.parametrize('ending', [b'\n\n', b'\r\n\r\n', b'\n\r\n'])
@pytest.mark.parametrize('size', [1, 2, 3, 7])
def test_events_are_cut_the_same_in_parts_of_any_size(ending, size):
    """An end that comes in two parts is found."""
    sent = b''.join(b'id: %d\ndata: x' % number + ending for number in range(1, 6))
    cutter = events.EventCutter(2)
    parts = [sent[begin : begin + size] for begin in range(0, len(sent), size)]
    passed_on = b''.join(cutter.feed(part) for part in parts)
    _same((passed_on, cutter.rest()), (sent[2 * len(sent) // 5 :], b''))
