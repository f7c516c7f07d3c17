"""Distribution of weights: caches, fetches and reconcilers, with fakes around them."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import json
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.membership import wire
from primrosesaddle.net import call
from primrosesaddle.platform import origin as origin_client
from primrosesaddle.staging import (
    fetching,
    pieces,
    piecesources,
    reconciler,
    weightcache,
)

PIECES = 8
LAYERS = 4
MODEL = 'm1'
MAX_COPIES = 4  # that may be read from the origin for one version


def _make_piece(version, index):
    return f'{version.label}:{index}'.encode() * 100


def _make_digests(version):
    found = [
        hashlib.sha256(_make_piece(version, index)).hexdigest()
        for index in range(PIECES)
    ]
    return pieces.Digests(version, tuple(found), LAYERS)


def _all_layers(number):
    return layers.Span(0, LAYERS, number)


def _spoil_all(digests):
    return dataclasses.replace(digests, pieces=('0' * 64,) * PIECES)


class FakeOrigin:
    """An origin that can send corrupt pieces and digests, or be unreachable.

    `corrupt` holds (version, index) of pieces that are sent corrupt once, and
    `corrupt_digests` is how many times digests are sent corrupt, by `spoil`.
    """

    def __init__(self):
        self.reads = []
        self.corrupt = set()
        self.corrupt_digests = 0
        self.spoil = _spoil_all
        self.digest_reads = 0
        self.unreachable = False
        self.delay_s = 0.0

    async def read_digests(self, version):
        self._check()
        self.digest_reads += 1
        if self.corrupt_digests:
            self.corrupt_digests -= 1
            return self.spoil(_make_digests(version))
        return _make_digests(version)

    async def read_piece(self, version, index):
        await asyncio.sleep(self.delay_s)
        self._check()
        self.reads.append((version.number, index))
        if (version.number, index) in self.corrupt:
            self.corrupt.discard((version.number, index))
            return b'spoilt'
        return _make_piece(version, index)

    def _check(self):
        if self.unreachable:
            raise call.CallFailed('unreachable')


class FakeEngine:
    """An engine that can be unreachable, restart, or store staged pieces corrupt.

    `corrupt_writes` holds the indexes of pieces that are stored corrupt once. `orders`
    lists the version of each load and whether its staged pieces were intact, `spans`
    the first and end layer of each.
    """

    address = '127.0.0.1:1'

    def __init__(self, loaded=0):
        self.models = {MODEL: _all_layers(loaded)} if loaded else {}
        self.staged = {}
        self.corrupt_writes = set()
        self.orders = []
        self.spans = []
        self.start_time_ms = 1
        self.unreachable = False
        self.cold_s = 0.0
        self.health_checks = 0

    async def read_cold_s(self):
        self.health_checks += 1
        return self.cold_s

    async def read_state(self):
        if self.unreachable:
            raise call.CallFailed('unreachable')
        return reconciler.EngineState(
            dict(self.models), False, 0, 0, 1.0, self.start_time_ms
        )

    async def read_piece(self, model, index):
        return self.staged.get(index)

    async def write_piece(self, model, index, body):
        self.staged[index] = b'rotten' if index in self.corrupt_writes else body
        self.corrupt_writes.discard(index)

    async def load(self, model, span):
        version = pieces.Version(model, span.version)
        indexes = pieces.find_indexes(_make_digests(version), span)
        staged = [self.staged.get(index) for index in indexes]
        expected = [_make_piece(version, index) for index in indexes]
        self.orders.append((span.version, staged == expected))
        self.spans.append((span.first, span.end))
        self.models = {MODEL: span._replace(end=min(span.end, LAYERS))}
        return True

    def restart(self):
        self.start_time_ms += 1
        self.models = {}
        self.staged = {}


class FakeRequester:
    """A peer that records whether its requests were answered with data."""

    def __init__(self):
        self.answers = []

    def send(self, body, rid=0, *, reply=False):
        self.answers.append(body.found)


def _make_cache(origin, others=()):
    sources = weightcache.Sources(
        lambda: [piecesources.Peer('entry-1', 'region-1', None), *others],
        lambda: origin,
        lambda: 'region-1',
    )
    return weightcache.WeightCache('entry-1', 'region-1', sources, random.Random(1))


@pytest.fixture
def with_reconciler():
    """Return a function that runs a check with the reconciler of an engine.

    The check gets the reconciler and the list of the reports that it sends.
    """

    def run(
        check,
        engine,
        origin=None,
        bound_s=1.0,
        receiver_count=1,
        clock=None,
        cache=None,
    ):
        async def main():
            reports = []
            engine_reconciler = reconciler.EngineReconciler(
                engine,
                cache or _make_cache(origin),
                bound_s,
                reports.append,
                lambda: receiver_count,
                clock or asyncio.get_running_loop().time,
            )
            task = asyncio.create_task(engine_reconciler.run())
            try:
                await asyncio.wait_for(check(engine_reconciler, reports), 20)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _goal(number, age_s=0.0, place=0.0, part=0, **changes):
    message = wire.Goal(
        MODEL, number, age_s, 'origin', 'region-1', place, LAYERS, part, **changes
    )
    clock = asyncio.get_running_loop().time
    return reconciler.make_goal(pieces.Version(MODEL, number), message, clock)


async def _wait_until(check):
    while not check():
        await asyncio.sleep(0.01)


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def test_engine_without_weights_loads_the_wanted_version(with_reconciler):
    """An engine that holds nothing gets all layers, and entries get a report of it."""
    engine = FakeEngine()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.orders)
        _assert_equal(engine.orders, [(1, True)])
        await _wait_until(
            lambda: reports and reports[-1].models == {MODEL: _all_layers(1)}
        )

    with_reconciler(check, engine, FakeOrigin())


def test_corrupt_staged_piece_is_staged_again(with_reconciler):
    """Nothing is ordered while a staged piece differs from the published one."""
    engine = FakeEngine()
    engine.corrupt_writes = {2, 5}

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.orders)
        _assert_equal(engine.orders, [(1, True)])

    with_reconciler(check, engine, FakeOrigin())


def test_corrupt_pieces_and_digests_are_read_again(with_reconciler):
    """Corrupt data of the origin never reaches the engine."""
    engine = FakeEngine()
    origin = FakeOrigin()
    origin.corrupt = {(1, 0), (1, 3)}
    origin.corrupt_digests = 1

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.orders)
        _assert_equal(engine.orders, [(1, True)])

    with_reconciler(check, engine, origin)


def test_restarted_engine_is_loaded_from_the_agents_memory(with_reconciler):
    """A restarted engine gets its weights although the origin is unreachable."""
    engine = FakeEngine()
    origin = FakeOrigin()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.orders)
        await _wait_until(
            lambda: reports and reports[-1].models == {MODEL: _all_layers(1)}
        )
        origin.unreachable = True
        engine.restart()
        await _wait_until(lambda: len(engine.orders) == 2)
        _assert_equal(engine.orders[1], (1, True))

    with_reconciler(check, engine, origin)


def test_no_superseded_version_is_fetched_for_a_restarted_engine(
    with_reconciler,
):
    """A version that was superseded and dropped does not take up the link again."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        await _wait_until(lambda: engine.orders)
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(
            lambda: reports and reports[-1].models == {MODEL: _all_layers(3)}
        )
        read = len(origin.reads)
        engine.restart()
        await _wait_until(lambda: engine.models)
        await asyncio.sleep(0.3)
        _assert_equal((engine.orders[-1], len(origin.reads)), ((3, True), read))

    with_reconciler(check, engine, origin, bound_s=0.8)


def test_version_announced_while_an_older_one_is_being_fetched(with_reconciler):
    """The newest version is loaded in the end; no order loads a mixture of both."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.02

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        await asyncio.sleep(0.03)
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(lambda: engine.models == {MODEL: _all_layers(3)})
        assert all(intact for _, intact in engine.orders)

    with_reconciler(check, engine, origin)


def _numbers_read(origin):
    """Return the versions whose pieces were read, in order, without repeats."""
    numbers = [number for number, index in origin.reads if index >= 0]
    return [number for number, _ in itertools.groupby(numbers)]


def test_older_version_is_fetched_first_while_both_can_be_in_time(with_reconciler):
    """If pieces of both were fetched alternately, both would be late."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.2

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        await _wait_until(lambda: origin.reads)
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(lambda: len(origin.reads) >= 2 * PIECES)
        _assert_equal(_numbers_read(origin), [2, 3])

    with_reconciler(check, engine, origin, bound_s=8.0)


def test_newest_version_is_fetched_first_when_an_older_one_cannot_be_in_time(
    with_reconciler,
):
    """A version that arrives after its bound is of no use."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.2

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2, age_s=6.9))
        await _wait_until(lambda: len(origin.reads) > 3)
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(lambda: len(set(origin.reads)) >= 2 * PIECES)
        _assert_equal(_numbers_read(origin), [2, 3, 2])

    with_reconciler(check, engine, origin, bound_s=8.0)


def test_older_version_is_loaded_while_the_newest_is_delayed(with_reconciler):
    """When the origin becomes unreachable, engines load the last complete version."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        await _wait_until(lambda: len(origin.reads) >= PIECES)
        origin.unreachable = True
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(
            lambda: reports and reports[-1].models == {MODEL: _all_layers(2)}
        )
        _assert_equal(reports[-1].switching, False)
        origin.unreachable = False
        await _wait_until(lambda: engine.models == {MODEL: _all_layers(3)})

    with_reconciler(check, engine, origin)


def test_known_age_of_a_goal_is_preferred_to_an_assumed_one(with_reconciler):
    """The assumed age of an entry that has just started does not hasten a switch."""
    engine = FakeEngine(1)

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2, 5.0, age_known=False))
        _assert_equal(engine_reconciler.get_known_ages_s(), {})
        engine_reconciler.set_goal(_goal(2, 0.5, age_known=True))
        engine_reconciler.set_goal(_goal(2, 6.0, age_known=False))
        assert 0.5 <= engine_reconciler.get_known_ages_s()[f'{MODEL}@2'] < 1.5

    with_reconciler(check, engine, FakeOrigin(), bound_s=8.0)


def test_older_goal_is_ignored(with_reconciler):
    """A late message does not cause an older version to be loaded."""
    engine = FakeEngine()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.orders)
        await asyncio.sleep(0.3)
        _assert_equal([number for number, _ in engine.orders], [2])

    with_reconciler(check, engine, FakeOrigin())


def test_servers_switch_one_after_the_other(with_reconciler):
    """A server late in the order switches late, but before the bound."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        began = asyncio.get_running_loop().time()
        engine_reconciler.set_goal(_goal(2, place=0.9))
        await _wait_until(lambda: engine.orders)
        took_s = asyncio.get_running_loop().time() - began
        assert 0.5 < took_s < 1.7

    with_reconciler(check, engine, FakeOrigin(), bound_s=1.7)


def test_unreachable_engine_is_reported(with_reconciler):
    """Entries get reports that an engine is unreachable, and that it is back."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        await _wait_until(lambda: reports and reports[-1].reachable)
        engine.unreachable = True
        await _wait_until(lambda: not reports[-1].reachable)
        engine.unreachable = False
        await _wait_until(lambda: reports[-1].reachable)

    with_reconciler(check, engine, FakeOrigin())


def test_digests_are_read_again_after_a_read_that_has_just_ended():
    """A reader that finds a finished read does not block the event loop."""

    async def main():
        origin = FakeOrigin()
        origin.unreachable = True
        cache = _make_cache(origin)
        version = pieces.Version(MODEL, 1)
        readers = [asyncio.create_task(cache.fetch_digests(version)) for _ in range(3)]
        for _ in range(40):
            await asyncio.sleep(0.01)
            readers.append(asyncio.create_task(cache.fetch_digests(version)))
        origin.unreachable = False
        await asyncio.wait_for(asyncio.gather(*readers), 5)

    asyncio.run(main())


def test_piece_is_read_from_the_origin_once():
    """Simultaneous readers share one read."""

    async def main():
        origin = FakeOrigin()
        origin.delay_s = 0.01
        cache = _make_cache(origin)
        version = pieces.Version(MODEL, 1)
        await cache.fetch_digests(version)
        await asyncio.gather(*(cache.fetch_piece(version, 3) for _ in range(10)))
        _assert_equal(origin.reads, [(1, 3)])

    asyncio.run(main())


def test_fetch_skips_an_unavailable_piece():
    """A piece that is not available does not delay the others."""

    async def main():
        origin = FakeOrigin()
        cache = _make_cache(origin)
        version = pieces.Version(MODEL, 1)
        original = origin.read_piece

        async def read_piece(wanted, index):
            if index == 0 and len(origin.reads) < PIECES - 1:
                raise call.CallFailed('not there yet')
            return await original(wanted, index)

        origin.read_piece = read_piece
        clock = asyncio.get_running_loop().time
        fetched = fetching.VersionFetcher(cache, clock)
        fetched.start_fetch(version, layers.Span(0, LAYERS, 1))
        while not fetched.is_complete(version):
            await asyncio.sleep(0.01)
        _assert_equal(origin.reads[-1], (1, 0))

    asyncio.run(main())


@pytest.mark.parametrize(
    ('part', 'spans'), [(0, [(0, 2), (0, 4)]), (1, [(2, 4), (0, 4)])]
)
def test_engine_without_weights_loads_a_part_first(with_reconciler, part, spans):
    """The server's own part is loaded while the rest is still being fetched."""
    engine = FakeEngine()
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1, part=part))
        await _wait_until(lambda: engine.spans)
        assert len(origin.reads) < PIECES
        await _wait_until(lambda: len(engine.spans) == 2)
        _assert_equal(engine.spans, spans)
        assert all(intact for _, intact in engine.orders)
        assert not any(state.switching for state in reports[-2:])

    with_reconciler(check, engine, origin)


def test_engine_that_serves_an_older_version_loads_no_part(with_reconciler):
    """An engine that can serve switches once, to the complete newer version."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        await _wait_until(lambda: engine.spans)
        _assert_equal(engine.spans, [(0, LAYERS)])

    with_reconciler(check, engine, origin, bound_s=8.0)


class PartialOrigin(FakeOrigin):
    """An origin that has only the first pieces of versions.

    The keyword `v2=3` means that three pieces of version 2 are available.
    """

    def __init__(self, **available):
        super().__init__()
        self.available = {int(name[1:]): count for name, count in available.items()}

    async def read_piece(self, version, index):
        if index >= self.available.get(version.number, PIECES):
            raise call.CallFailed('not there yet')
        return await super().read_piece(version, index)


@pytest.mark.parametrize('held', [_all_layers(1), layers.Span(0, 2, 1)])
def test_part_is_loaded_when_the_complete_version_is_late(with_reconciler, held):
    """Before the bound it loads a part, so that no call begins on older weights."""
    engine = FakeEngine()
    engine.models = {MODEL: held}
    origin = PartialOrigin(v2=PIECES - 1)

    async def check(engine_reconciler, reports):
        clock = asyncio.get_running_loop().time
        began = clock()
        engine_reconciler.set_goal(_goal(2))
        await _wait_until(lambda: engine.spans)
        assert 0.7 <= clock() - began < 1.5
        _assert_equal(engine.spans, [(0, 2)])
        origin.available = {}
        await _wait_until(lambda: len(engine.spans) == 2)
        _assert_equal(engine.spans[1], (0, LAYERS))
        assert all(intact for _, intact in engine.orders)

    with_reconciler(check, engine, origin, bound_s=1.5)


def test_other_part_is_loaded_when_the_own_part_is_unavailable(with_reconciler):
    """Past the bound any part of the newer version replaces the older weights."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2, age_s=2.0, part=1))
        await _wait_until(lambda: engine.spans)
        _assert_equal(engine.spans, [(0, 2)])

    with_reconciler(check, engine, PartialOrigin(v2=PIECES // 2), bound_s=1.5)


def test_no_part_of_a_superseded_version_is_loaded(with_reconciler):
    """A part of a version on which no call may begin is of no use."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2, age_s=3.0))
        engine_reconciler.set_goal(_goal(3, age_s=2.0))
        await asyncio.sleep(0.6)
        _assert_equal(engine.spans, [])

    with_reconciler(check, engine, PartialOrigin(v2=PIECES // 2, v3=0), bound_s=1.5)


def test_complete_superseded_version_replaces_an_older_one(with_reconciler):
    """A complete version is loaded even if it is too old as well."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2, age_s=3.0))
        engine_reconciler.set_goal(_goal(3, age_s=2.0))
        await _wait_until(lambda: engine.orders)
        _assert_equal(engine.orders, [(2, True)])

    with_reconciler(check, engine, PartialOrigin(v3=0), bound_s=1.5)


def test_older_version_is_loaded_at_its_bound_while_a_newer_one_is_nearly_fetched(
    with_reconciler,
):
    """Each version has a bound; the earliest is kept even if a newer one is near."""
    engine = FakeEngine(loaded=1)
    origin = PartialOrigin(v3=PIECES - 1)

    async def check(engine_reconciler, reports):
        clock = asyncio.get_running_loop().time
        began = clock()
        engine_reconciler.set_goal(_goal(2, age_s=0.3, place=0.95))
        await _wait_until(lambda: len(engine.staged) == PIECES)
        engine_reconciler.set_goal(_goal(3))
        await _wait_until(lambda: engine.orders)
        assert clock() - began < 1.2
        _assert_equal(engine.orders[0], (2, True))

    with_reconciler(check, engine, origin, bound_s=1.5)


def test_switch_to_a_newer_version_is_before_the_bound_of_an_older_one(with_reconciler):
    """A server that skips a version switches before the bound of that version."""
    engine = FakeEngine(loaded=1)

    async def check(engine_reconciler, reports):
        clock = asyncio.get_running_loop().time
        began = clock()
        engine_reconciler.set_goal(_goal(2, age_s=2.5, place=0.95))
        engine_reconciler.set_goal(_goal(3, place=0.95))
        await _wait_until(lambda: engine.orders)
        assert 0.4 <= clock() - began < 1.5
        _assert_equal(engine.orders, [(3, True)])

    with_reconciler(check, engine, FakeOrigin(), bound_s=4.0)


def test_part_of_a_newer_version_is_not_replaced_by_an_older_one(with_reconciler):
    """Loaded weights are not replaced by older ones."""
    engine = FakeEngine()
    engine.models = {MODEL: layers.Span(0, 2, 3)}
    origin = PartialOrigin(v3=PIECES // 2)

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(2))
        engine_reconciler.set_goal(_goal(3))
        await asyncio.sleep(1)
        _assert_equal(engine.spans, [])
        _assert_equal({number for number, _ in origin.reads}, {3})

    with_reconciler(check, engine, origin, bound_s=8.0)


def test_corrupt_staged_piece_of_a_part_is_staged_again(with_reconciler):
    """No part is loaded while one of its staged pieces is corrupt."""
    engine = FakeEngine()
    engine.corrupt_writes = {1, 6}
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: len(engine.spans) == 2)
        _assert_equal(engine.orders, [(1, True), (1, True)])

    with_reconciler(check, engine, origin)


def test_changes_of_load_are_reported_less_often_than_changes_of_state(with_reconciler):
    """Before the next report is due, only a change of state is reported."""
    engine = FakeEngine(loaded=1)
    now = [100.0]
    loads = iter(range(1, 10_000))

    async def read_state():
        return reconciler.EngineState(
            dict(engine.models), False, next(loads), 0, 1.0, 1
        )

    engine.read_state = read_state

    async def check(engine_reconciler, reports):
        await _wait_until(lambda: reports)
        before = next(loads)
        await _wait_until(lambda: next(loads) > before + 10)
        _assert_equal(len(reports), 1)
        engine.models = {}
        await _wait_until(lambda: len(reports) == 2)
        _assert_equal(reports[-1].models, {})
        now[0] += 2 * reconciler.MAX_REPORT_INTERVAL_S
        await _wait_until(lambda: len(reports) == 3)

    with_reconciler(
        check, engine, FakeOrigin(), receiver_count=200, clock=lambda: now[0]
    )


def test_engine_that_is_cold_is_reported_while_entries_ask(with_reconciler):
    """Without the store, entries would not learn that an engine is cold again.

    Health checks take time of the engine, so that there are none otherwise.
    """
    engine = FakeEngine(loaded=1)
    engine.cold_s = 3.0

    async def check(engine_reconciler, reports):
        await _wait_until(lambda: reports)
        await asyncio.sleep(2 * reconciler.COLD_CHECK_INTERVAL_S)
        _assert_equal((engine.health_checks, reports[-1].cold_remaining_s), (0, 0))
        engine_reconciler.watch_cold()
        await _wait_until(lambda: reports[-1].cold_remaining_s > 2)

    with_reconciler(check, engine, FakeOrigin())


def test_requested_pieces_wait_for_the_prefetch():
    """Requests of agents during a prefetch start no additional parallel reads."""

    async def main():
        origin = FakeOrigin()
        origin.delay_s = 0.05
        running = 0
        max_running = 0
        original = origin.read_piece

        async def read_piece(version, index):
            nonlocal running, max_running
            running += 1
            max_running = max(max_running, running)
            try:
                return await original(version, index)
            finally:
                running -= 1

        origin.read_piece = read_piece
        cache = _make_cache(origin)
        version = pieces.Version(MODEL, 1)
        prefetching = asyncio.create_task(cache.prefetch(version))
        await _wait_until(lambda: running)
        requester = FakeRequester()
        for index in range(PIECES):
            cache.serve_request(
                requester, 1, wire.ChunkRequest(version.label, index, 0, 0)
            )
        await asyncio.wait_for(prefetching, 10)
        await _wait_until(lambda: len(requester.answers) == PIECES)
        _assert_equal(max_running, weightcache.PARALLEL_READS)
        _assert_equal(len(origin.reads), PIECES)

    asyncio.run(main())


def test_entry_that_starts_first_waits_for_other_primaries():
    """The pieces of a primary that joins soon after are not read twice."""

    async def main():
        origin = FakeOrigin()
        others = []
        cache = _make_cache(origin, others)
        version = pieces.Version(MODEL, 1)
        prefetching = asyncio.create_task(cache.prefetch(version))
        await asyncio.sleep(0.4)
        others.append(piecesources.Peer('entry-2', 'region-1', None))
        await asyncio.wait_for(prefetching, 10)
        names = ('entry-1', 'entry-2')
        own_indexes = [
            index
            for index in range(PIECES)
            if rendezvous.select_owner(f'{version.label}:{index}', names) == 'entry-1'
        ]
        assert 0 < len(own_indexes) < PIECES
        _assert_equal(sorted(index for _, index in origin.reads), own_indexes)

    asyncio.run(main())


def test_unknown_number_of_layers_is_loaded_at_once(with_reconciler):
    """When the number of layers is not known, all pieces are loaded at once."""
    engine = FakeEngine()
    origin = FakeOrigin()

    async def check(engine_reconciler, reports):
        engine_reconciler.set_goal(dataclasses.replace(_goal(1), layer_count=0))
        await _wait_until(lambda: engine.spans)
        _assert_equal(engine.spans, [(0, layers.END_UNKNOWN)])
        _assert_equal(engine.orders, [(1, True)])
        _assert_equal(len(engine.staged), PIECES)
        await _wait_until(lambda: not reports[-1].switching and reports[-1].models)

    with_reconciler(check, engine, origin)


class FakeChannel:
    """A channel to the cache of an entry in the same event loop."""

    def __init__(self, caches, name):
        self.requests = []
        self._caches = caches
        self._name = name
        self._waiting = {}

    def send(self, body, rid=0, *, reply=False):
        self._waiting.pop(rid).set_result(body)

    async def request(self, body, timeout_s):
        self.requests.append(body)
        rid = len(self.requests)
        self._waiting[rid] = asyncio.get_running_loop().create_future()
        waiting = self._waiting[rid]
        self._caches[self._name].serve_request(self, rid, body)
        return await asyncio.wait_for(waiting, timeout_s)


class Fleet:
    """Caches of entries; `regions` maps the running entries to their regions.

    Entries in `leaving` are about to stop, but still serve peers.
    """

    def __init__(self, regions):
        self.origin = FakeOrigin()
        self.shape = pieces.Shape(LAYERS, PIECES)
        self.regions = dict(regions)
        self.leaving = set()
        self.caches = {}
        self.channels = {name: FakeChannel(self.caches, name) for name in regions}
        self.caches.update((name, self.make_entry_cache(name)) for name in regions)

    def make_entry_cache(self, name):
        """Return an empty cache of an entry, as after its start."""
        sources = weightcache.Sources(
            self.list_peers,
            lambda: self.origin,
            lambda: 'region-1',
            lambda model: self.shape,
        )
        return weightcache.WeightCache(
            name, self.regions[name], sources, random.Random(1)
        )

    def make_agent_cache(self, region):
        """Return the cache of an agent, which may not read the origin."""
        sources = weightcache.Sources(
            self.list_peers, lambda: None, lambda: 'region-1', lambda model: self.shape
        )
        return weightcache.WeightCache('agent', region, sources, random.Random(1))

    def list_peers(self):
        """Return the running entries."""
        return [
            piecesources.Peer(name, region, self.channels[name], name in self.leaving)
            for name, region in self.regions.items()
        ]

    def list_held_only_requests(self):
        """Return the requests for pieces that only ask for what is held."""
        requests = [
            request
            for channel in self.channels.values()
            for request in channel.requests
        ]
        return [
            request for request in requests if request.held_only and request.index >= 0
        ]

    async def prefetch(self, version, *names):
        """Have entries read their pieces of a version."""
        filled = [self.caches[name].prefetch(version) for name in names]
        await asyncio.wait_for(asyncio.gather(*filled), 5)

    async def read_all(self, reader, version):
        """Try to read each piece once by a cache; return the indexes that it got."""
        await asyncio.wait_for(reader.fetch_digests(version), 5)
        reads = [reader.try_fetch_piece(version, index) for index in range(PIECES)]
        found = await asyncio.wait_for(asyncio.gather(*reads), 5)
        return [index for index, body in enumerate(found) if body]


ALL_PIECES = list(range(PIECES))
TWO_REGIONS = {
    'entry-1': 'region-1',
    'entry-2': 'region-1',
    'entry-3': 'region-2',
    'entry-4': 'region-2',
}


def test_agent_reads_pieces_while_every_entry_of_its_region_is_leaving():
    """Entries that are leaving serve pieces until they stop."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, 'entry-1', 'entry-2')
        fleet.leaving = {'entry-1', 'entry-2'}
        _assert_equal(
            await fleet.read_all(fleet.make_agent_cache('region-1'), version),
            ALL_PIECES,
        )
        _assert_equal(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_agent_in_the_origins_region_reads_elsewhere_without_an_entry_there():
    """Without an entry in the origin's region, agents ask those of other regions."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, *TWO_REGIONS)
        fleet.regions = {'entry-3': 'region-2', 'entry-4': 'region-2'}
        _assert_equal(
            await fleet.read_all(fleet.make_agent_cache('region-1'), version),
            ALL_PIECES,
        )
        _assert_equal(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_leaving_entry_is_no_primary_while_another_stays():
    """The leaving entry and the one that stays read no piece twice."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        fleet.leaving = {'entry-1'}
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, 'entry-1', 'entry-2')
        _assert_equal(sorted(index for _, index in fleet.origin.reads), ALL_PIECES)

    asyncio.run(main())


def test_rollout_reads_each_piece_once():
    """Each piece leaves the origin once and enters each region once."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, *TWO_REGIONS)
        _assert_equal(sorted(index for _, index in fleet.origin.reads), ALL_PIECES)
        entered = [fleet.caches[name].peer_bytes for name in ('entry-3', 'entry-4')]
        total_bytes = sum(len(_make_piece(version, index)) for index in ALL_PIECES)
        digests = len('\n'.join((str(LAYERS), *_make_digests(version).pieces)))
        _assert_equal(sum(entered), total_bytes + 2 * digests)

    asyncio.run(main())


def test_restarted_primary_reads_from_an_entry_that_holds_the_piece():
    """A restarted entry reads no piece from the origin again."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, *TWO_REGIONS)
        region = fleet.regions.pop('entry-1')
        await fleet.read_all(fleet.make_agent_cache('region-1'), version)
        read = len(fleet.origin.reads)
        fleet.regions['entry-1'] = region
        fleet.caches['entry-1'] = fleet.make_entry_cache('entry-1')
        fleet.origin.unreachable = True
        await fleet.prefetch(version, 'entry-1')
        _assert_equal(len(fleet.origin.reads), read)

    asyncio.run(main())


def test_only_entry_of_a_region_reads_from_other_regions_before_the_origin():
    """A piece that no entry of the region holds is read from another region first."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-3': 'region-2'})
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, 'entry-1', 'entry-3')
        fleet.caches['entry-1'] = fleet.make_entry_cache('entry-1')
        fleet.origin.unreachable = True
        await fleet.prefetch(version, 'entry-1')
        _assert_equal(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_agent_reads_from_another_entry_while_the_primary_lacks_the_piece():
    """A restarted primary that cannot read the piece yet does not delay agents."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        version = pieces.Version(MODEL, 1)
        fleet.leaving = {'entry-1'}
        await fleet.prefetch(version, 'entry-2')
        agent = fleet.make_agent_cache('region-1')
        await agent.fetch_digests(version)
        fleet.leaving = set()
        fleet.origin.unreachable = True
        alone = weightcache.Sources(list, lambda: fleet.origin, lambda: 'region-1')
        fleet.caches['entry-1'] = weightcache.WeightCache(
            'entry-1', 'region-1', alone, random.Random(1)
        )
        _assert_equal(await fleet.read_all(agent, version), ALL_PIECES)

    asyncio.run(main())


def test_request_for_held_data_starts_no_read():
    """A request for data that is not held is answered at once, without a read."""

    async def main():
        origin = FakeOrigin()
        cache = _make_cache(origin)
        version = pieces.Version(MODEL, 1)
        requester = FakeRequester()
        for index in (weightcache.MANIFEST_INDEX, 0):
            cache.serve_request(
                requester, 1, wire.ChunkRequest(version.label, index, held_only=True)
            )
        await asyncio.sleep(0)
        _assert_equal(requester.answers, [False, False])
        await cache.fetch_digests(version)
        await cache.fetch_piece(version, 0)
        for index in (weightcache.MANIFEST_INDEX, 0, 1, PIECES):
            cache.serve_request(
                requester, 1, wire.ChunkRequest(version.label, index, held_only=True)
            )
        await asyncio.sleep(0)
        _assert_equal(requester.answers[2:], [True, True, False, False])
        _assert_equal(origin.reads, [(1, 0)])

    asyncio.run(main())


@pytest.mark.parametrize('count', [2, 12])
def test_requests_of_a_rollout_do_not_grow_with_the_number_of_entries(count):
    """A primary asks few others for a piece; an agent asks its primary alone."""

    async def main():
        regions = {
            f'entry-{number}': f'region-{number % 3 + 1}' for number in range(3 * count)
        }
        fleet = Fleet(regions)
        version = pieces.Version(MODEL, 1)
        await fleet.prefetch(version, *regions)
        _assert_equal(sorted(index for _, index in fleet.origin.reads), ALL_PIECES)
        requests = fleet.list_held_only_requests()
        assert len(requests) <= 3 * PIECES * 2 * piecesources.MAX_HOLDERS
        _assert_equal(
            await fleet.read_all(fleet.make_agent_cache('region-2'), version),
            ALL_PIECES,
        )
        _assert_equal(fleet.list_held_only_requests(), requests)

    asyncio.run(main())


def test_corrupt_digests_passed_between_entries_are_read_again():
    """Digests that no piece matches are read from the origin, not from an entry."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        fleet.origin.corrupt_digests = 1
        await fleet.prefetch(pieces.Version(MODEL, 1), *TWO_REGIONS)
        _assert_equal(sorted({index for _, index in fleet.origin.reads}), ALL_PIECES)

    asyncio.run(main())


def _spoil_digit(*indexes):
    """Return a function that changes a digit of the digests of these pieces."""

    def spoil(digests):
        spoilt = list(digests.pieces)
        for index in indexes:
            first = '1' if spoilt[index].startswith('0') else '0'
            spoilt[index] = first + spoilt[index][1:]
        return dataclasses.replace(digests, pieces=tuple(spoilt))

    return spoil


def _spoil_layers(count):
    return lambda digests: dataclasses.replace(digests, layer_count=count)


def _drop_last(digests):
    return dataclasses.replace(digests, pieces=digests.pieces[:-1])


def _repeat_last(digests):
    return dataclasses.replace(digests, pieces=(*digests.pieces, digests.pieces[-1]))


def _cut_digest(digests):
    return dataclasses.replace(
        digests, pieces=(digests.pieces[0][1:], *digests.pieces[1:])
    )


_SPOILS = [
    *(_spoil_layers(count) for count in (0, 1, LAYERS - 1, LAYERS + 1, 2**40)),
    *(_spoil_digit(index) for index in ALL_PIECES),
    _spoil_digit(1, 5, 6),
    _spoil_all,
    _drop_last,
    _repeat_last,
    _cut_digest,
]


@pytest.mark.parametrize(
    ('spoil', 'times'),
    [
        *((spoil, 1) for spoil in _SPOILS),
        *((spoil, 3) for spoil in (_spoil_layers(LAYERS + 1), _spoil_digit(3))),
        *((spoil, 3) for spoil in (_spoil_all, _drop_last)),
    ],
)
def test_spoilt_manifest_neither_mixes_versions_nor_stops_one(
    with_reconciler, spoil, times
):
    """Layers of two versions were loaded, or the version was never complete.

    The manifest is spoilt in the first reads from the origin, whoever makes them.
    """
    fleet = Fleet(TWO_REGIONS)
    fleet.origin.spoil, fleet.origin.corrupt_digests = spoil, times
    engine = FakeEngine()

    async def check(engine_reconciler, reports):
        version = pieces.Version(MODEL, 1)
        prefetches = [
            asyncio.create_task(cache.prefetch(version))
            for cache in fleet.caches.values()
        ]
        engine_reconciler.set_goal(_goal(1))
        await _wait_until(lambda: engine.models == {MODEL: _all_layers(1)})
        await asyncio.gather(*prefetches)
        assert all(is_intact for _, is_intact in engine.orders)
        assert fleet.origin.digest_reads <= times + 4
        assert len(fleet.origin.reads) <= MAX_COPIES * PIECES

    with_reconciler(check, engine, cache=fleet.make_agent_cache('region-2'))


def test_piece_that_stays_corrupt_is_read_less_and_less_often():
    """It was read from the origin some ten times a second, for good."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        fleet.origin.spoil = _spoil_digit(5)
        fleet.origin.corrupt_digests = 1000
        version = pieces.Version(MODEL, 1)
        prefetches = [cache.prefetch(version) for cache in fleet.caches.values()]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*prefetches), 4)
        assert len(fleet.origin.reads) <= PIECES + 8
        assert fleet.origin.digest_reads <= 8

    asyncio.run(main())


def test_digests_that_stay_refused_are_read_less_and_less_often():
    """They are read from the origin, the bytes of which are priced."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1'})
        fleet.origin.spoil, fleet.origin.corrupt_digests = _drop_last, 1000
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                fleet.caches['entry-1'].fetch_digests(pieces.Version(MODEL, 1)), 3
            )
        assert fleet.origin.digest_reads <= 6

    asyncio.run(main())


@pytest.mark.parametrize('quiet_number', [1, 2, 3, 9])
def test_versions_of_one_model_do_not_displace_those_of_another(quiet_number):
    """A second model's version was dropped as it was stored, and read without end."""

    async def main():
        origin = FakeOrigin()
        cache = _make_cache(origin)
        quiet = pieces.Version('quiet', quiet_number)
        busy = [pieces.Version('busy', number) for number in (3, 4, 5, 6)]
        for version in (*busy[:3], quiet, *busy[3:]):
            await asyncio.wait_for(cache.fetch_digests(version), 1)
            await asyncio.wait_for(cache.fetch_piece(version, 0), 1)
        read = len(origin.reads)
        await cache.fetch_piece(quiet, 0)
        await cache.fetch_piece(busy[-1], 0)
        _assert_equal(len(origin.reads), read)

    asyncio.run(main())


def test_version_older_than_those_held_is_read_once():
    """It was dropped as it was stored, and read again without a pause."""

    async def main():
        origin = FakeOrigin()
        cache = _make_cache(origin)
        for number in (3, 4, 5, 2):
            version = pieces.Version(MODEL, number)
            await asyncio.wait_for(cache.fetch_digests(version), 1)
        _assert_equal(origin.digest_reads, 4)

    asyncio.run(main())


@pytest.mark.parametrize('stated', [('m2', 3), (MODEL, 2), (MODEL, 13)])
def test_manifest_of_another_model_or_version_is_refused(monkeypatch, stated):
    """Its digests match the pieces of that one, which would be loaded."""
    digests = _make_digests(pieces.Version(MODEL, 3)).pieces
    manifest = {'model': stated[0], 'version': stated[1], 'layers': LAYERS}
    body = json.dumps({**manifest, 'digests': digests}).encode()

    async def answer(client, method, target, timeout_s):
        return call.Answer(200, {}, body)

    monkeypatch.setattr(call.Client, 'call', answer)
    client = origin_client.OriginClient('127.0.0.1:1')
    with pytest.raises(call.CallFailed):
        asyncio.run(client.read_digests(pieces.Version(MODEL, 3)))
