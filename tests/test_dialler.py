"""Outgoing connections: timeouts and retries of addresses that do not answer."""

import asyncio
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.membership import dialler, dispatching, link, peers, wire

DEAD_S = 4.0


class SilentLink:
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
    links = []

    def dial(*args):
        links.append(SilentLink())
        return links[-1]

    monkeypatch.setattr(link, 'dial', dial)
    return links


def _make_dialler():
    card = wire.Card('e1', 'entry', 'i1', '10.0.0.1:1', 'r1', 'd1')
    return dialler.Dialler(
        dispatching.MessageDispatcher().make_hooks(),
        None,
        lambda: wire.Hello(card, leaving=False),
        random.Random(1),
    )


def test_silent_address_is_dialled_again_soon(opened):
    """A machine that starts a little later must be connected within a second."""

    async def main():
        outgoing = _make_dialler()
        wanted = [peers.Candidate('10.0.0.2:1')]
        now = 0.0
        while now < 1.0:
            outgoing.dial_due(wanted, lambda name: False, now)
            outgoing.close_silent(DEAD_S, now)
            now += 0.05
        outgoing.close()
        assertions.assert_that(len(opened), matchers.GreaterThan(1))

    asyncio.run(main())


def test_silent_address_is_dialled_less_and_less_often(opened):
    """On a slow link an answer takes seconds, and must still arrive in time."""

    async def main():
        outgoing = _make_dialler()
        wanted = [peers.Candidate('10.0.0.2:1')]
        longest_s = opened_at = now = 0.0
        while now < 30.0:
            count = len(opened)
            outgoing.dial_due(wanted, lambda name: False, now)
            if len(opened) > count:
                opened_at = now
            longest_s = max(longest_s, now - opened_at)
            outgoing.close_silent(DEAD_S, now)
            now += 0.05
        outgoing.close()
        assertions.assert_that(longest_s, matchers.GreaterThan(DEAD_S - 0.5))

    asyncio.run(main())
