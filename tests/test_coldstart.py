"""Servers that are cold: what all entries together send them."""

import asyncio
import collections
import heapq
import json
import random

import pytest
from testtools import assertions, matchers
from tornado import httputil

import platformstand as stand
from primrosesaddle.core import layers
from primrosesaddle.fleet import fleetview, servers
from primrosesaddle.membership import wire as membership_wire
from primrosesaddle.platform import records, wire
from primrosesaddle.restrictions import coldshares, coldstart, knownentries

BORN_PER_S = 17.0
BOUND = BORN_PER_S * 1.5 + 5
COLD_S = 3.0
CONTACT_S = 4.0
STEP_S = 0.02
MAX_DELAY_S = 0.05
ZONES = ('dc-1', 'dc-2', 'dc-3')
SERVERS = tuple(
    coldshares.Target((f'i-{number}', 1), 'engines', ZONES[number % 3])
    for number in range(3)
)
SIZES = [4, 16, 33, 330]


def _assert(actual, matcher):
    assertions.assert_that(actual, matcher)


class Entries:
    """Entries with endless demand, and when their calls arrive at servers."""

    def __init__(self, clock, count):
        self.clock = clock
        self.rand = random.Random(count)
        self.shares = {}
        self.known = {}
        self.arrivals = collections.defaultdict(list)
        for number in range(count):
            self.add(f'e-{number}')
        self.meet(list(self.known))

    def add(self, name):
        place = ZONES[len(self.known) % 3]
        known = knownentries.KnownEntries(name, place, self.clock)
        shares = coldshares.ColdShares(
            name, known, CONTACT_S, lambda incarnation: True, self.clock
        )
        shares.limits = {'engines': coldstart.compute_limits(BORN_PER_S, 1.5, 5)}
        shares.servers.update([(target.incarnation, COLD_S, 0) for target in SERVERS])
        self.known[name] = known
        self.shares[name] = shares

    def meet(self, names):
        """Let entries hear each other."""
        for known in (self.known[name] for name in names):
            for name in names:
                known.record_heard(name, self.known[name].places[name])

    def chill(self, cold_s=COLD_S):
        """Tell all entries that the servers are cold."""
        for shares in self.shares.values():
            for target in SERVERS:
                shares.servers.record_remaining(target.incarnation, cold_s)

    def run(self, for_s):
        """Send as much as is allowed for a time."""
        order = list(self.shares)
        until = self.clock.now + for_s
        while self.clock.now < until:
            self.rand.shuffle(order)
            for name in order:
                self.shares[name].sweep()
                self._send_all(name)
            self.clock.now += STEP_S

    def _send_all(self, name):
        for target in SERVERS:
            while not self.shares[name].explain(target):
                call_id = str(self.rand.random())
                self.shares[name].grant(target, call_id)
                self.shares[name].record_sent(target, call_id)
                delay_s = self.rand.uniform(0, MAX_DELAY_S)
                self.arrivals[target].append(self.clock.now + delay_s)

    def count_most(self):
        """Return the most calls that a server got in any second."""
        return max(map(_count_most, self.arrivals.values()))

    def count_fewest_per_s(self, for_s):
        """Return the calls a second of the server that got the fewest."""
        return min(len(self.arrivals[target]) for target in SERVERS) / for_s


def _count_most(arrivals):
    window = []
    most = 0
    for at in sorted(arrivals):
        while window and at - window[0] > 1:
            heapq.heappop(window)
        heapq.heappush(window, at)
        most = max(most, len(window))
    return most


@pytest.fixture(params=SIZES)
def entries(clock, request):
    """Return entries that know each other and are settled."""
    made = Entries(clock, request.param)
    clock.now += CONTACT_S
    return made


def test_cold_servers_get_what_they_bear(entries):
    """Entries that see an empty server would all send to it at once.

    The sum in any second stays under the bound, and half of it at least is used.
    """
    entries.chill()
    entries.run(COLD_S)
    _assert(entries.count_most(), matchers.LessThan(BOUND))
    _assert(entries.count_fewest_per_s(COLD_S), matchers.GreaterThan(BORN_PER_S / 2))


@pytest.mark.parametrize('cut_off_s', [1.0, 100.0])
@pytest.mark.parametrize('share', [0.1, 0.4, 0.5])
def test_entries_that_do_not_hear_each_other_keep_the_sum(entries, share, cut_off_s):
    """A fleet that is split must not send twice what a fleet in touch sends."""
    names = list(entries.known)
    apart = max(1, int(len(names) * share))
    for _ in range(int(cut_off_s)):
        entries.clock.now += 1
        entries.meet(names[:apart])
        entries.meet(names[apart:])
        for shares in entries.shares.values():
            shares.sweep()
    entries.chill()
    entries.run(COLD_S)
    _assert(entries.count_most(), matchers.LessThan(BOUND))
    _assert(entries.count_fewest_per_s(COLD_S), matchers.GreaterThan(BORN_PER_S / 2))


def test_entries_that_join_and_are_not_known_yet_keep_the_sum(entries):
    """Entries that join know the others before these know them, and add their part."""
    names = list(entries.known)
    joining = [f'new-{number}' for number in range(max(1, len(names) // 3))]
    for name in joining:
        entries.add(name)
        for other in names:
            place = entries.known[other].places[other]
            entries.known[name].record_heard(other, place)
    entries.chill(CONTACT_S + COLD_S)
    entries.run(CONTACT_S + COLD_S)
    _assert(entries.count_most(), matchers.LessThan(BOUND))


def test_calls_sent_before_a_server_became_cold_count(entries):
    """A server that becomes cold again has had calls in the same second."""
    target = SERVERS[0]
    for shares in entries.shares.values():
        for number in range(shares.count_own(target, shares.limits['engines'])):
            shares.record_sent(target, f'before-{number}')
    entries.chill()
    entries.run(1.0)
    _assert(entries.arrivals[target], matchers.Equals([]))


def test_no_step_after_the_cold_time(entries):
    """All entries that hold calls would send them as a server stops being cold."""
    entries.chill()
    entries.run(COLD_S + 0.9)
    _assert(entries.count_most(), matchers.LessThan(2.5 * BORN_PER_S))
    entries.clock.now += 2 * COLD_S
    shares = entries.shares['e-0']
    _refresh(entries.clock, shares)
    _assert(shares.explain(SERVERS[0]), matchers.Equals(''))


def test_after_a_pause_servers_may_have_become_cold(entries):
    """A process that was frozen goes on with what it knew of the servers before."""
    shares = entries.shares['e-0']
    target = SERVERS[0]
    _refresh(entries.clock, shares)
    _assert(shares.explain(target), matchers.Equals(''))
    entries.clock.now += 5.0
    for number in range(shares.count_own(target, shares.limits['engines'])):
        shares.record_sent(target, str(number))
    _assert(shares.explain(target), matchers.StartsWith('cold'))
    shares.sweep()
    _assert(shares.explain(target), matchers.StartsWith('cold'))
    _refresh(entries.clock, shares)
    _assert(shares.explain(target), matchers.Equals(''))


def _refresh(clock, shares):
    """Let time pass in which a process reads what has changed."""
    for _ in range(2):
        shares.sweep()
        clock.now += coldshares.REFRESH_S


def test_granted_calls_count_until_they_are_sent(clock):
    """Connections that all open at once would send calls granted over a long time."""
    log = coldstart.SendLog()
    for number in range(4):
        log.grant(str(number), clock.now)
        clock.now += 2.0
    _assert(log.compute_wait_s(4, 1.1, clock.now), matchers.GreaterThan(0))
    log.release('0')
    _assert(log.compute_wait_s(4, 1.1, clock.now), matchers.Equals(0))


def test_an_entry_that_has_heard_no_other_sends_nothing(clock):
    """An entry that starts while it is cut off does not know who shares a server."""
    alone = knownentries.KnownEntries('e-0', 'dc-1', clock)
    informed = {'i-0': True}
    shares = coldshares.ColdShares(
        'e-0', alone, CONTACT_S, lambda incarnation: informed[incarnation[0]], clock
    )
    shares.limits = {'engines': coldstart.compute_limits(BORN_PER_S, 1.5, 5)}
    shares.servers.update([(SERVERS[0].incarnation, COLD_S, COLD_S)])
    clock.now += CONTACT_S / 2
    _assert(shares.explain(SERVERS[0]), matchers.StartsWith('cold'))
    clock.now += 2 * CONTACT_S
    _refresh(clock, shares)
    _assert(shares.explain(SERVERS[0]), matchers.Equals(''))
    informed['i-0'] = False
    _assert(shares.count_own(SERVERS[0], shares.limits['engines']), matchers.Equals(1))


@pytest.mark.parametrize('rate', [0.4, 1.0, 2.9, 17.0, 400.0])
@pytest.mark.parametrize(('overage', 'slack'), [(1.0, 0.0), (1.5, 5.0)])
def test_limits_stay_under_the_bound_of_one_second(rate, overage, slack):
    """Rates under one call a second, and bounds without a margin, must hold too."""
    limits = coldstart.compute_limits(rate, overage, slack)
    _assert(limits.calls, matchers.GreaterThan(0))
    per_s = limits.calls / limits.period_s
    _assert(per_s, matchers.LessThan(rate * overage + slack))


def test_more_known_entries_never_raise_a_share():
    """The sum is kept by entries whose views differ, if each knows too many."""
    known = {}
    shares = []
    for number in range(60):
        known[f'e-{number}'] = ZONES[number % 3]
        ranks = coldstart.rank_positions('i-0', 'dc-1', 'e-0', known)
        shares.append(coldstart.count_dealt(ranks, 17))
    _assert(shares, matchers.Equals(sorted(shares, reverse=True)))


def test_servers_that_appear_later_are_taken_for_cold(clock):
    """A server may be published before it says that it is cold."""
    known = coldstart.ColdServers(clock)
    known.update([(('old', 1), COLD_S, 0.0)])
    known.update([(('old', 1), COLD_S, 0.0), (('new', 1), COLD_S, 0.0)])
    _assert(known.get_factor(('old', 1)), matchers.Is(None))
    _assert(known.get_factor(('new', 1)), matchers.Equals(1.0))
    clock.now += 2 * COLD_S
    _assert(known.get_factor(('new', 1)), matchers.Is(None))
    known.update([(('new', 1), COLD_S, 1.0)])
    _assert(known.get_factor(('new', 1)), matchers.Equals(1.0))
    # Equal in all but its start, as after a crash.
    known.update([(('new', 2), COLD_S, 0.0)])
    _assert(known.get_factor(('new', 2)), matchers.Equals(1.0))


def test_a_server_that_is_cold_again_is_a_change_of_the_view(clock):
    """The cold time does not count when records are compared, as it always changes."""
    cold_s = [0.0]

    def decode(key, body):
        span = layers.Span(0, 16, 1)
        return servers.BackendServer(
            'i-0', 'engines', 'dc-1', 'a:1', 4, False, {'m1': span}, 1, cold_s[0]
        )

    view = fleetview.View(decode, clock, 0.0)
    changes = []
    view.listeners.append(lambda: changes.append(view.servers['i-0'].cold_remaining_s))
    for revision, remaining_s in enumerate([0.0, 0.0, 3.0], start=1):
        cold_s[0] = remaining_s
        item = fleetview.Item('servers/i-0', b'', revision)
        view.apply_changes(fleetview.Changes([item], revision), fleetview.STORE)
    _assert(changes, matchers.Equals([0.0, 3.0]))


def test_a_record_states_the_cold_time():
    """Milliseconds of a record are seconds in the view."""
    body = json.dumps(stand.Server('a').record(coldRemainingMs=1500)).encode()
    record = records.decode_record('servers/i-a', body)
    _assert(record.cold_remaining_s, matchers.Equals(1.5))


def _configure(cold_calls_per_s):
    """Return a configuration whose service states a cold start."""
    found = stand.configuration(2)
    found['services'][0].update(coldStartS=COLD_S, coldPerS=cold_calls_per_s)
    return found


def _arriving(seen_at):
    """Return a script that answers, and keeps when calls arrived."""

    async def run(seen):
        seen_at.append(asyncio.get_running_loop().time())
        await stand.answer()(seen)

    return run


def test_an_entry_keeps_calls_from_a_cold_server(in_fleet):
    """A server that comes back gets all calls that wait, and crashes under them.

    Calls wait within their objective, and those that cannot are told when there is
    room.
    """
    seen_at = []
    server = stand.Server('a', _arriving(seen_at))
    bears = 4

    async def check(fleet):
        fleet.store.put('op/config', _configure(bears))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        fleet.store.put('servers/i-a', server.record(coldRemainingMs=3000))
        backend = fleet.entry.backends.get_by_id('i-a')
        await fleet.until(lambda: backend.record.cold_remaining_s)
        got = await asyncio.gather(*(fleet.call('/read/1') for _ in range(12)))
        _assert(_count_most(seen_at), matchers.LessThan(bears + 1))
        served = [answer for answer in got if answer.status == 200]
        refused = [answer for answer in got if answer.status != 200]
        _assert(len(served), matchers.GreaterThan(1))
        _assert({answer.status for answer in refused}, matchers.Equals({503}))
        for answer in refused:
            wait_s = float(answer.headers['retry-after'])
            _assert(wait_s, matchers.GreaterThan(0.0))
            _assert(wait_s, matchers.LessThan(1.4))  # a third of the time limit

    in_fleet(check, server)


@pytest.mark.parametrize(
    ('stated', 'seconds'), [('1500', 1.5), ('-5', 0.0), ('nan', 0.0), ('soon', 0.0)]
)
def test_health_answers_state_the_cold_time(stated, seconds):
    """A header that cannot be read must not end the process, nor stop all calls."""
    headers = httputil.HTTPHeaders({'X-Cold-Ms': stated})
    _assert(wire.read_cold_s(headers), matchers.Equals(seconds))


def test_an_agent_tells_that_its_server_is_cold(in_fleet):
    """The store may not tell it in time, or not at all."""
    server = stand.Server('a')

    async def check(fleet):
        fleet.store.put('op/config', _configure(4))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        state = membership_wire.ServerState(server.address, 0, True, cold_remaining_s=3)
        fleet.entry.cold_starts.update_from_agent(state)
        _assert(fleet.entry.cold_starts.count_cold(), matchers.Equals(1))

    in_fleet(check, server)


def test_a_cold_time_is_counted_once(in_fleet):
    """Each change of the view must not let the last stated time begin anew."""
    server = stand.Server('a')

    async def check(fleet):
        fleet.store.put('op/config', _configure(4))
        await fleet.until(lambda: fleet.entry.configuration_version == 2)
        fleet.store.put('servers/i-a', server.record(coldRemainingMs=600))
        await fleet.until(fleet.entry.cold_starts.count_cold)
        for version in range(3, 9):
            fleet.store.put('op/config', {**_configure(4), 'version': version})
            await asyncio.sleep(0.2)
        await fleet.until(lambda: fleet.entry.configuration_version == version)
        _assert(fleet.entry.cold_starts.count_cold(), matchers.Equals(0))

    in_fleet(check, server)
