"""Weights on their way: depots, fetches and keepers against small fakes."""

import asyncio
import dataclasses
import hashlib
import itertools
import random

import pytest
from testtools import assertions, matchers

from primrosesaddle.core import layers, rendezvous
from primrosesaddle.membership import wire
from primrosesaddle.net import call
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


def _body(version, index):
    return f'{version.label}:{index}'.encode() * 100


def _digests(version):
    found = [
        hashlib.sha256(_body(version, index)).hexdigest() for index in range(PIECES)
    ]
    return pieces.Digests(version, tuple(found), LAYERS)


def _whole(number):
    return layers.Span(0, LAYERS, number)


class FakeOrigin:
    """An origin that may spoil pieces, break off, or be away."""

    def __init__(self):
        self.reads = []
        self.spoilt = set()
        self.spoilt_digests = 0
        self.away = False
        self.delay_s = 0.0

    async def read_digests(self, version):
        self._check()
        if self.spoilt_digests:
            self.spoilt_digests -= 1
            return pieces.Digests(version, ('00',) * PIECES, LAYERS)
        return _digests(version)

    async def read_piece(self, version, index):
        await asyncio.sleep(self.delay_s)
        self._check()
        self.reads.append((version.number, index))
        if (version.number, index) in self.spoilt:
            self.spoilt.discard((version.number, index))
            return b'spoilt'
        return _body(version, index)

    def _check(self):
        if self.away:
            raise call.CallFailed('away')


class FakeEngine:
    """An engine with a staging area that may rot."""

    address = '127.0.0.1:1'

    def __init__(self, loaded=0):
        self.models = {MODEL: _whole(loaded)} if loaded else {}
        self.staged = {}
        self.rots = set()
        self.orders = []
        self.spans = []
        self.start_time_ms = 1
        self.away = False

    async def read_state(self):
        if self.away:
            raise call.CallFailed('away')
        return reconciler.EngineState(
            dict(self.models), False, 0, 0, 1.0, self.start_time_ms
        )

    async def read_piece(self, model, index):
        return self.staged.get(index)

    async def write_piece(self, model, index, body):
        self.staged[index] = b'rotten' if index in self.rots else body
        self.rots.discard(index)

    async def load(self, model, span):
        version = pieces.Version(model, span.version)
        indexes = pieces.find_indexes(_digests(version), span)
        staged = [self.staged.get(index) for index in indexes]
        expected = [_body(version, index) for index in indexes]
        self.orders.append((span.version, staged == expected))
        self.spans.append((span.first, span.end))
        self.models = {MODEL: span._replace(end=min(span.end, LAYERS))}
        return True

    def restart(self):
        self.start_time_ms += 1
        self.models = {}
        self.staged = {}


class Asker:
    """A peer that keeps whether it got what it asked for."""

    def __init__(self):
        self.answers = []

    def send(self, body, rid=0, *, reply=False):
        self.answers.append(body.found)


def _depot(origin, others=()):
    sources = weightcache.Sources(
        lambda: [piecesources.Peer('entry-1', 'region-1', None), *others],
        lambda: origin,
        lambda: 'region-1',
    )
    return weightcache.WeightCache('entry-1', 'region-1', sources, random.Random(1))


@pytest.fixture
def in_keeper():
    """Return a function that runs a check with a keeper beside an engine."""

    def run(check, engine, origin, bound_s=1.0, audience=1, clock=None):
        async def main():
            told = []
            kept = reconciler.EngineReconciler(
                engine,
                _depot(origin),
                bound_s,
                told.append,
                lambda: audience,
                clock or asyncio.get_running_loop().time,
            )
            task = asyncio.create_task(kept.run())
            try:
                await asyncio.wait_for(check(kept, told), 20)
            finally:
                task.cancel()

        asyncio.run(main())

    return run


def _goal(number, age_s=0.0, place=0.0, part=0, **changes):
    told = wire.Goal(
        MODEL, number, age_s, 'origin', 'region-1', place, LAYERS, part, **changes
    )
    clock = asyncio.get_running_loop().time
    return reconciler.make_goal(pieces.Version(MODEL, number), told, clock)


async def _until(check):
    while not check():
        await asyncio.sleep(0.01)


def _same(seen, expected):
    assertions.assert_that(seen, matchers.Equals(expected))


def test_empty_engine_is_filled(in_keeper):
    """An engine that holds nothing gets the version that is wanted."""
    engine = FakeEngine()

    async def check(kept, told):
        kept.set_goal(_goal(1))
        await _until(lambda: engine.orders)
        _same(engine.orders, [(1, True)])
        await _until(lambda: told and told[-1].models == {MODEL: _whole(1)})

    in_keeper(check, engine, FakeOrigin())


def test_rotten_piece_is_staged_again(in_keeper):
    """Nothing is ordered while a staged piece differs from the published one."""
    engine = FakeEngine()
    engine.rots = {2, 5}

    async def check(kept, told):
        kept.set_goal(_goal(1))
        await _until(lambda: engine.orders)
        _same(engine.orders, [(1, True)])

    in_keeper(check, engine, FakeOrigin())


def test_spoilt_pieces_and_digests_are_read_again(in_keeper):
    """What the origin sent spoilt never reaches the engine."""
    engine = FakeEngine()
    origin = FakeOrigin()
    origin.spoilt = {(1, 0), (1, 3)}
    origin.spoilt_digests = 1

    async def check(kept, told):
        kept.set_goal(_goal(1))
        await _until(lambda: engine.orders)
        _same(engine.orders, [(1, True)])

    in_keeper(check, engine, origin)


def test_restarted_engine_is_filled_from_memory(in_keeper):
    """A restarted engine is filled though the origin is away."""
    engine = FakeEngine()
    origin = FakeOrigin()

    async def check(kept, told):
        kept.set_goal(_goal(1))
        await _until(lambda: engine.orders)
        await _until(lambda: told and told[-1].models == {MODEL: _whole(1)})
        origin.away = True
        engine.restart()
        await _until(lambda: len(engine.orders) == 2)
        _same(engine.orders[1], (1, True))

    in_keeper(check, engine, origin)


def test_nothing_older_than_what_is_in_memory_is_fetched_for_a_restarted_engine(
    in_keeper,
):
    """A version that was superseded and dropped does not fill the link again."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()

    async def check(kept, told):
        kept.set_goal(_goal(2))
        await _until(lambda: engine.orders)
        kept.set_goal(_goal(3))
        await _until(lambda: told and told[-1].models == {MODEL: _whole(3)})
        read = len(origin.reads)
        engine.restart()
        await _until(lambda: engine.models)
        await asyncio.sleep(0.3)
        _same((engine.orders[-1], len(origin.reads)), ((3, True), read))

    in_keeper(check, engine, origin, bound_s=0.8)


def test_version_named_while_the_last_is_on_its_way(in_keeper):
    """The newest version is brought about; no order loads a mixture."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.02

    async def check(kept, told):
        kept.set_goal(_goal(2))
        await asyncio.sleep(0.03)
        kept.set_goal(_goal(3))
        await _until(lambda: engine.models == {MODEL: _whole(3)})
        assert all(sound for _, sound in engine.orders)

    in_keeper(check, engine, origin)


def _numbers_read(origin):
    """Return the versions whose pieces were read, in order, without repeats."""
    numbers = [number for number, index in origin.reads if index >= 0]
    return [number for number, _ in itertools.groupby(numbers)]


def test_older_version_is_fetched_first_while_both_can_be_in_time(in_keeper):
    """Fetched in turns by pieces, both would be late."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.2

    async def check(kept, told):
        kept.set_goal(_goal(2))
        await _until(lambda: origin.reads)
        kept.set_goal(_goal(3))
        await _until(lambda: len(origin.reads) >= 2 * PIECES)
        _same(_numbers_read(origin), [2, 3])

    in_keeper(check, engine, origin, bound_s=8.0)


def test_newest_version_is_fetched_first_when_an_older_one_cannot_be_in_time(in_keeper):
    """What comes after its bound is of no use."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.2

    async def check(kept, told):
        kept.set_goal(_goal(2, age_s=6.9))
        await _until(lambda: len(origin.reads) > 3)
        kept.set_goal(_goal(3))
        await _until(lambda: len(set(origin.reads)) >= 2 * PIECES)
        _same(_numbers_read(origin), [2, 3, 2])

    in_keeper(check, engine, origin, bound_s=8.0)


def test_older_version_serves_while_the_newest_is_held_up(in_keeper):
    """An origin that goes away leaves the servers on the version before."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()

    async def check(kept, told):
        kept.set_goal(_goal(2))
        await _until(lambda: len(origin.reads) >= PIECES)
        origin.away = True
        kept.set_goal(_goal(3))
        await _until(lambda: told and told[-1].models == {MODEL: _whole(2)})
        _same(told[-1].switching, False)
        origin.away = False
        await _until(lambda: engine.models == {MODEL: _whole(3)})

    in_keeper(check, engine, origin)


def test_known_age_of_a_goal_goes_before_an_assumed_one(in_keeper):
    """An entry that has just started does not hurry an agent that knows better."""
    engine = FakeEngine(1)

    async def check(kept, told):
        kept.set_goal(_goal(2, 5.0, age_known=False))
        _same(kept.get_known_ages_s(), {})
        kept.set_goal(_goal(2, 0.5, age_known=True))
        kept.set_goal(_goal(2, 6.0, age_known=False))
        assert 0.5 <= kept.get_known_ages_s()[f'{MODEL}@2'] < 1.5

    in_keeper(check, engine, FakeOrigin(), bound_s=8.0)


def test_older_goal_is_ignored(in_keeper):
    """A late message does not bring an older version back."""
    engine = FakeEngine()

    async def check(kept, told):
        kept.set_goal(_goal(2))
        kept.set_goal(_goal(1))
        await _until(lambda: engine.orders)
        await asyncio.sleep(0.3)
        _same([number for number, _ in engine.orders], [2])

    in_keeper(check, engine, FakeOrigin())


def test_servers_switch_in_turn(in_keeper):
    """The last in the order switches late, but before the bound."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        began = asyncio.get_running_loop().time()
        kept.set_goal(_goal(2, place=0.9))
        await _until(lambda: engine.orders)
        took_s = asyncio.get_running_loop().time() - began
        assert 0.5 < took_s < 1.7

    in_keeper(check, engine, FakeOrigin(), bound_s=1.7)


def test_unreachable_engine_is_reported(in_keeper):
    """Entries are told that a server is away, and that it is back."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        await _until(lambda: told and told[-1].reachable)
        engine.away = True
        await _until(lambda: not told[-1].reachable)
        engine.away = False
        await _until(lambda: told[-1].reachable)

    in_keeper(check, engine, FakeOrigin())


def test_digests_are_read_anew_when_a_read_has_just_ended():
    """A caller that meets an ended read gives the loop its turn."""

    async def main():
        origin = FakeOrigin()
        origin.away = True
        made = _depot(origin)
        version = pieces.Version(MODEL, 1)
        readers = [asyncio.create_task(made.fetch_digests(version)) for _ in range(3)]
        for _ in range(40):
            await asyncio.sleep(0.01)
            readers.append(asyncio.create_task(made.fetch_digests(version)))
        origin.away = False
        await asyncio.wait_for(asyncio.gather(*readers), 5)

    asyncio.run(main())


def test_piece_leaves_the_origin_once():
    """Readers at the same time share one read."""

    async def main():
        origin = FakeOrigin()
        origin.delay_s = 0.01
        made = _depot(origin)
        version = pieces.Version(MODEL, 1)
        await made.fetch_digests(version)
        await asyncio.gather(*(made.fetch_piece(version, 3) for _ in range(10)))
        _same(origin.reads, [(1, 3)])

    asyncio.run(main())


def test_fetch_passes_over_a_piece_that_is_not_there():
    """A piece that is missing does not hold the others up."""

    async def main():
        origin = FakeOrigin()
        made = _depot(origin)
        version = pieces.Version(MODEL, 1)
        original = origin.read_piece

        async def read_piece(wanted, index):
            if index == 0 and len(origin.reads) < PIECES - 1:
                raise call.CallFailed('not there yet')
            return await original(wanted, index)

        origin.read_piece = read_piece
        clock = asyncio.get_running_loop().time
        fetched = fetching.VersionFetcher(made, clock)
        fetched.start_fetch(version, layers.Span(0, LAYERS, 1))
        while not fetched.is_complete(version):
            await asyncio.sleep(0.01)
        _same(origin.reads[-1], (1, 0))

    asyncio.run(main())


@pytest.mark.parametrize(
    ('part', 'spans'), [(0, [(0, 2), (0, 4)]), (1, [(2, 4), (0, 4)])]
)
def test_empty_engine_serves_with_a_part_first(in_keeper, part, spans):
    """The part that is this server's is loaded while the rest is on its way."""
    engine = FakeEngine()
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(kept, told):
        kept.set_goal(_goal(1, part=part))
        await _until(lambda: engine.spans)
        assert len(origin.reads) < PIECES
        await _until(lambda: len(engine.spans) == 2)
        _same(engine.spans, spans)
        assert all(sound for _, sound in engine.orders)
        assert not any(state.switching for state in told[-2:])

    in_keeper(check, engine, origin)


def test_engine_that_serves_an_older_version_gets_no_part(in_keeper):
    """A server that serves switches once, to the whole of the newer version."""
    engine = FakeEngine(loaded=1)
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(kept, told):
        kept.set_goal(_goal(2))
        await _until(lambda: engine.spans)
        _same(engine.spans, [(0, LAYERS)])

    in_keeper(check, engine, origin, bound_s=8.0)


class HalfOrigin(FakeOrigin):
    """An origin that has only some pieces of the versions it names."""

    def __init__(self, **has):
        super().__init__()
        self.has = {int(name[1:]): count for name, count in has.items()}

    async def read_piece(self, version, index):
        if index >= self.has.get(version.number, PIECES):
            raise call.CallFailed('not there yet')
        return await super().read_piece(version, index)


@pytest.mark.parametrize('held', [_whole(1), layers.Span(0, 2, 1)])
def test_engine_begins_nothing_on_older_weights_past_their_bound(in_keeper, held):
    """Without a whole copy it is ordered to load a part, and that in time."""
    engine = FakeEngine()
    engine.models = {MODEL: held}
    origin = HalfOrigin(v2=PIECES - 1)

    async def check(kept, told):
        clock = asyncio.get_running_loop().time
        began = clock()
        kept.set_goal(_goal(2))
        await _until(lambda: engine.spans)
        assert 0.7 <= clock() - began < 1.5
        _same(engine.spans, [(0, 2)])
        origin.has = {}
        await _until(lambda: len(engine.spans) == 2)
        _same(engine.spans[1], (0, LAYERS))
        assert all(sound for _, sound in engine.orders)

    in_keeper(check, engine, origin, bound_s=1.5)


def test_engine_past_the_bound_loads_the_other_part_when_its_own_is_missing(in_keeper):
    """Any part of the newer version keeps calls from the older weights."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        kept.set_goal(_goal(2, age_s=2.0, part=1))
        await _until(lambda: engine.spans)
        _same(engine.spans, [(0, 2)])

    in_keeper(check, engine, HalfOrigin(v2=PIECES // 2), bound_s=1.5)


def test_engine_gets_no_part_of_a_version_that_is_past_its_bound(in_keeper):
    """A part of a version on which nothing may begin is of no use."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        kept.set_goal(_goal(2, age_s=3.0))
        kept.set_goal(_goal(3, age_s=2.0))
        await asyncio.sleep(0.6)
        _same(engine.spans, [])

    in_keeper(check, engine, HalfOrigin(v2=PIECES // 2, v3=0), bound_s=1.5)


def test_engine_past_the_bound_loads_what_there_is(in_keeper):
    """A whole version that is too old as well still replaces older weights."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        kept.set_goal(_goal(2, age_s=3.0))
        kept.set_goal(_goal(3, age_s=2.0))
        await _until(lambda: engine.orders)
        _same(engine.orders, [(2, True)])

    in_keeper(check, engine, HalfOrigin(v3=0), bound_s=1.5)


def test_older_version_is_loaded_at_its_bound_though_a_newer_one_nearly_is_fetched(
    in_keeper,
):
    """Each version has a bound; the first to pass is not left out for a newer one."""
    engine = FakeEngine(loaded=1)
    origin = HalfOrigin(v3=PIECES - 1)

    async def check(kept, told):
        clock = asyncio.get_running_loop().time
        began = clock()
        kept.set_goal(_goal(2, age_s=0.3, place=0.95))
        await _until(lambda: len(engine.staged) == PIECES)
        kept.set_goal(_goal(3))
        await _until(lambda: engine.orders)
        assert clock() - began < 1.2
        _same(engine.orders[0], (2, True))

    in_keeper(check, engine, origin, bound_s=1.5)


def test_turn_of_a_newer_version_is_before_the_bound_of_an_older_one(in_keeper):
    """A server that skips a version switches before that one's bound."""
    engine = FakeEngine(loaded=1)

    async def check(kept, told):
        clock = asyncio.get_running_loop().time
        began = clock()
        kept.set_goal(_goal(2, age_s=2.5, place=0.95))
        kept.set_goal(_goal(3, place=0.95))
        await _until(lambda: engine.orders)
        assert 0.4 <= clock() - began < 1.5
        _same(engine.orders, [(3, True)])

    in_keeper(check, engine, FakeOrigin(), bound_s=4.0)


def test_part_of_a_newer_version_is_not_given_up_for_an_older_one(in_keeper):
    """Weights that were loaded are not replaced by older ones."""
    engine = FakeEngine()
    engine.models = {MODEL: layers.Span(0, 2, 3)}
    origin = HalfOrigin(v3=PIECES // 2)

    async def check(kept, told):
        kept.set_goal(_goal(2))
        kept.set_goal(_goal(3))
        await asyncio.sleep(1)
        _same(engine.spans, [])
        _same({number for number, _ in origin.reads}, {3})

    in_keeper(check, engine, origin, bound_s=8.0)


def test_rotten_piece_of_a_part_is_staged_again(in_keeper):
    """No part is ordered while one of its staged pieces is spoilt."""
    engine = FakeEngine()
    engine.rots = {1, 6}
    origin = FakeOrigin()
    origin.delay_s = 0.3

    async def check(kept, told):
        kept.set_goal(_goal(1))
        await _until(lambda: len(engine.spans) == 2)
        _same(engine.orders, [(1, True), (1, True)])

    in_keeper(check, engine, origin)


def test_load_is_reported_more_rarely_than_state(in_keeper):
    """While the time of a report has not come, only a change of state is told."""
    engine = FakeEngine(loaded=1)
    now = [100.0]
    loads = iter(range(1, 10_000))

    async def read_state():
        return reconciler.EngineState(
            dict(engine.models), False, next(loads), 0, 1.0, 1
        )

    engine.read_state = read_state

    async def check(kept, told):
        await _until(lambda: told)
        before = next(loads)
        await _until(lambda: next(loads) > before + 10)
        _same(len(told), 1)
        engine.models = {}
        await _until(lambda: len(told) == 2)
        _same(told[-1].models, {})
        now[0] += 2 * reconciler.MAX_REPORT_INTERVAL_S
        await _until(lambda: len(told) == 3)

    in_keeper(check, engine, FakeOrigin(), audience=200, clock=lambda: now[0])


def test_wanted_pieces_are_read_in_turn():
    """While an entry reads ahead, what agents want opens no more reads at once."""

    async def main():
        origin = FakeOrigin()
        origin.delay_s = 0.05
        running = 0
        most = 0
        original = origin.read_piece

        async def read_piece(version, index):
            nonlocal running, most
            running += 1
            most = max(most, running)
            try:
                return await original(version, index)
            finally:
                running -= 1

        origin.read_piece = read_piece
        made = _depot(origin)
        version = pieces.Version(MODEL, 1)
        filling = asyncio.create_task(made.prefetch(version))
        await _until(lambda: running)
        asker = Asker()
        for index in range(PIECES):
            made.serve_request(asker, 1, wire.ChunkRequest(version.label, index, 0, 0))
        await asyncio.wait_for(filling, 10)
        await _until(lambda: len(asker.answers) == PIECES)
        _same(most, weightcache.PARALLEL_READS)
        _same(len(origin.reads), PIECES)

    asyncio.run(main())


def test_entry_that_starts_first_leaves_the_others_their_pieces():
    """Pieces of which an entry is the home that joins soon are not read twice."""

    async def main():
        origin = FakeOrigin()
        others = []
        made = _depot(origin, others)
        version = pieces.Version(MODEL, 1)
        filling = asyncio.create_task(made.prefetch(version))
        await asyncio.sleep(0.4)
        others.append(piecesources.Peer('entry-2', 'region-1', None))
        await asyncio.wait_for(filling, 10)
        names = ('entry-1', 'entry-2')
        mine = [
            index
            for index in range(PIECES)
            if rendezvous.select_owner(f'{version.label}:{index}', names) == 'entry-1'
        ]
        assert 0 < len(mine) < PIECES
        _same(sorted(index for _, index in origin.reads), mine)

    asyncio.run(main())


def test_unknown_number_of_layers_is_loaded_as_a_whole(in_keeper):
    """Where it is not told how many layers there are, every piece comes first."""
    engine = FakeEngine()
    origin = FakeOrigin()

    async def check(kept, told):
        kept.set_goal(dataclasses.replace(_goal(1), layer_count=0))
        await _until(lambda: engine.spans)
        _same(engine.spans, [(0, layers.END_UNKNOWN)])
        _same(engine.orders, [(1, True)])
        _same(len(engine.staged), PIECES)
        await _until(lambda: not told[-1].switching and told[-1].models)

    in_keeper(check, engine, origin)


class FakeChannel:
    """A channel to the depot of an entry in the same loop."""

    def __init__(self, depots, name):
        self.asked = []
        self._depots = depots
        self._name = name
        self._waiting = {}

    def send(self, body, rid=0, *, reply=False):
        self._waiting.pop(rid).set_result(body)

    async def request(self, body, timeout_s):
        self.asked.append(body)
        rid = len(self.asked)
        self._waiting[rid] = asyncio.get_running_loop().create_future()
        waiting = self._waiting[rid]
        self._depots[self._name].serve_request(self, rid, body)
        return await asyncio.wait_for(waiting, timeout_s)


class Fleet:
    """Depots of entries by region, each of which may leave or be missing."""

    def __init__(self, regions):
        self.origin = FakeOrigin()
        self.regions = dict(regions)
        self.leaving = set()
        self.depots = {}
        self.channels = {name: FakeChannel(self.depots, name) for name in regions}
        self.depots.update((name, self.make(name)) for name in regions)

    def make(self, name):
        """Return an empty depot of an entry, as after its start."""
        sources = weightcache.Sources(
            self.peers, lambda: self.origin, lambda: 'region-1'
        )
        return weightcache.WeightCache(
            name, self.regions[name], sources, random.Random(1)
        )

    def agent(self, region):
        """Return the depot of an agent, which may not read the origin."""
        sources = weightcache.Sources(self.peers, lambda: None, lambda: 'region-1')
        return weightcache.WeightCache('agent', region, sources, random.Random(1))

    def peers(self):
        """Return the entries that run."""
        return [
            piecesources.Peer(name, region, self.channels[name], name in self.leaving)
            for name, region in self.regions.items()
        ]

    def asked(self):
        """Return the requests for what is held of a piece."""
        wants = [ask for channel in self.channels.values() for ask in channel.asked]
        return [ask for ask in wants if ask.held_only and ask.index >= 0]

    async def fill(self, version, *names):
        """Let entries read their pieces of a version."""
        filled = [self.depots[name].prefetch(version) for name in names]
        await asyncio.wait_for(asyncio.gather(*filled), 5)

    async def read(self, reader, version):
        """Let a process read all pieces once, and return which it got."""
        await asyncio.wait_for(reader.fetch_digests(version), 5)
        reads = [reader.try_fetch_piece(version, index) for index in range(PIECES)]
        found = await asyncio.wait_for(asyncio.gather(*reads), 5)
        return [index for index, body in enumerate(found) if body]


ALL = list(range(PIECES))
TWO_REGIONS = {
    'entry-1': 'region-1',
    'entry-2': 'region-1',
    'entry-3': 'region-2',
    'entry-4': 'region-2',
}


def test_agent_reads_on_while_every_entry_of_its_region_leaves():
    """Entries that leave serve pieces until they stop."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, 'entry-1', 'entry-2')
        fleet.leaving = {'entry-1', 'entry-2'}
        _same(await fleet.read(fleet.agent('region-1'), version), ALL)
        _same(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_agent_of_the_origins_region_reads_elsewhere_without_an_entry_there():
    """Without an entry in the origin's region, those of other regions are asked."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, *TWO_REGIONS)
        fleet.regions = {'entry-3': 'region-2', 'entry-4': 'region-2'}
        _same(await fleet.read(fleet.agent('region-1'), version), ALL)
        _same(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_entry_that_leaves_is_no_home_while_another_stays():
    """The entry that leaves and the one that stays read no piece twice."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        fleet.leaving = {'entry-1'}
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, 'entry-1', 'entry-2')
        _same(sorted(index for _, index in fleet.origin.reads), ALL)

    asyncio.run(main())


def test_ordinary_rollout_reads_each_piece_once():
    """Each piece leaves the origin once and enters each region once."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, *TWO_REGIONS)
        _same(sorted(index for _, index in fleet.origin.reads), ALL)
        entered = [fleet.depots[name].peer_bytes for name in ('entry-3', 'entry-4')]
        whole = sum(len(_body(version, index)) for index in ALL)
        digests = len('\n'.join((str(LAYERS), *_digests(version).pieces)))
        _same(sum(entered), whole + 2 * digests)

    asyncio.run(main())


def test_restarted_home_reads_what_another_entry_holds():
    """An entry that starts again reads no piece anew from the origin."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, *TWO_REGIONS)
        kept = fleet.regions.pop('entry-1')
        await fleet.read(fleet.agent('region-1'), version)
        read = len(fleet.origin.reads)
        fleet.regions['entry-1'] = kept
        fleet.depots['entry-1'] = fleet.make('entry-1')
        fleet.origin.away = True
        await fleet.fill(version, 'entry-1')
        _same(len(fleet.origin.reads), read)

    asyncio.run(main())


def test_only_entry_of_a_region_reads_what_other_regions_hold():
    """What no entry of the region holds is read elsewhere before the origin."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-3': 'region-2'})
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, 'entry-1', 'entry-3')
        fleet.depots['entry-1'] = fleet.make('entry-1')
        fleet.origin.away = True
        await fleet.fill(version, 'entry-1')
        _same(len(fleet.origin.reads), PIECES)

    asyncio.run(main())


def test_agent_gets_what_another_entry_holds_while_the_home_lacks_it():
    """An entry that started again and cannot read yet holds no agent up."""

    async def main():
        fleet = Fleet({'entry-1': 'region-1', 'entry-2': 'region-1'})
        version = pieces.Version(MODEL, 1)
        fleet.leaving = {'entry-1'}
        await fleet.fill(version, 'entry-2')
        agent = fleet.agent('region-1')
        await agent.fetch_digests(version)
        fleet.leaving = set()
        fleet.origin.away = True
        alone = weightcache.Sources(list, lambda: fleet.origin, lambda: 'region-1')
        fleet.depots['entry-1'] = weightcache.WeightCache(
            'entry-1', 'region-1', alone, random.Random(1)
        )
        _same(await fleet.read(agent, version), ALL)

    asyncio.run(main())


def test_nothing_is_read_for_a_peer_that_wants_what_is_held():
    """What is not held is answered at once, and opens no read."""

    async def main():
        origin = FakeOrigin()
        made = _depot(origin)
        version = pieces.Version(MODEL, 1)
        asker = Asker()
        for index in (weightcache.MANIFEST_INDEX, 0):
            made.serve_request(
                asker, 1, wire.ChunkRequest(version.label, index, held_only=True)
            )
        await asyncio.sleep(0)
        _same(asker.answers, [False, False])
        await made.fetch_digests(version)
        await made.fetch_piece(version, 0)
        for index in (weightcache.MANIFEST_INDEX, 0, 1, PIECES):
            made.serve_request(
                asker, 1, wire.ChunkRequest(version.label, index, held_only=True)
            )
        await asyncio.sleep(0)
        _same(asker.answers[2:], [True, True, False, False])
        _same(origin.reads, [(1, 0)])

    asyncio.run(main())


@pytest.mark.parametrize('count', [2, 12])
def test_messages_of_a_rollout_do_not_grow_with_the_entries(count):
    """A home asks few others for a piece; an agent asks its home alone."""

    async def main():
        regions = {
            f'entry-{number}': f'region-{number % 3 + 1}' for number in range(3 * count)
        }
        fleet = Fleet(regions)
        version = pieces.Version(MODEL, 1)
        await fleet.fill(version, *regions)
        _same(sorted(index for _, index in fleet.origin.reads), ALL)
        asked = fleet.asked()
        assert len(asked) <= 3 * PIECES * 2 * piecesources.MAX_HOLDERS
        _same(await fleet.read(fleet.agent('region-2'), version), ALL)
        _same(fleet.asked(), asked)

    asyncio.run(main())


def test_spoilt_digests_that_entries_told_each_other_are_read_anew():
    """Digests under which no piece fits are not taken from an entry again."""

    async def main():
        fleet = Fleet(TWO_REGIONS)
        fleet.origin.spoilt_digests = 1
        await fleet.fill(pieces.Version(MODEL, 1), *TWO_REGIONS)
        _same(sorted({index for _, index in fleet.origin.reads}), ALL)

    asyncio.run(main())
