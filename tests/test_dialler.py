"""Outgoing connections: how long one without an answer is waited for."""

import asyncio
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.membership import dialler, dispatching, link, peers, wire

DEAD_S = 4.0


class Silent:
    """A connection that never answers."""

    def __init__(self):
        self.channel = link.Channel(lambda frames: None, int)

    async def serve(self):
        await asyncio.sleep(3600)

    async def watch(self):
        await asyncio.sleep(3600)

    def close(self):
        self.channel.close()


@pytest.fixture
def opened(monkeypatch):
    """Return the connections that are opened; none of them answers."""
    found = []

    def dial(*args):
        found.append(Silent())
        return found[-1]

    monkeypatch.setattr(link, 'dial', dial)
    return found


def _make():
    card = wire.Card('e1', 'entry', 'i1', '10.0.0.1:1', 'r1', 'd1')
    return dialler.Dialler(
        dispatching.MessageDispatcher().make_hooks(),
        None,
        lambda: wire.Hello(card, leaving=False),
        random.Random(1),
    )


def test_address_that_is_silent_is_dialled_again_soon(opened):
    """A machine that starts a little later is met well within a second."""

    async def main():
        made = _make()
        wanted = [peers.Candidate('10.0.0.2:1')]
        now = 0.0
        while now < 1.0:
            made.dial_due(wanted, lambda name: False, now)
            made.close_silent(lambda channel: 0.0, DEAD_S, now)
            now += 0.05
        made.close()
        assertions.assert_that(len(opened), matchers.GreaterThan(1))

    asyncio.run(main())


def test_address_that_stays_silent_is_dialled_ever_more_rarely(opened):
    """A link on which an answer takes seconds still gets one through."""

    async def main():
        made = _make()
        wanted = [peers.Candidate('10.0.0.2:1')]
        longest = since = now = 0.0
        while now < 30.0:
            count = len(opened)
            made.dial_due(wanted, lambda name: False, now)
            if len(opened) > count:
                since = now
            longest = max(longest, now - since)
            made.close_silent(lambda channel: 0.0, DEAD_S, now)
            now += 0.05
        made.close()
        assertions.assert_that(longest, matchers.GreaterThan(DEAD_S - 0.5))

    asyncio.run(main())
