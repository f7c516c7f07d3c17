"""At most once: keys through death, pause, partition and replacement."""

import asyncio
import collections

import pytest
from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import assertions, matchers

import support
from primrosesaddle.core import verdict
from primrosesaddle.gateway import atmostonce

RETENTION_S = 900


def home_of(fleet, key):
    entry = fleet.nodes['entry-1'].find('config').current.get('service', 'bookings')
    return atmostonce.key_owner_of(f'lab-quito/bookings/{key}', entry.servers)


def key_at(fleet, home, nth=0):
    found = (key for key in map(str, range(1000)) if home_of(fleet, key) == home)
    for _ in range(nth):
        next(found)
    return next(found)


def test_a_repeat_gets_the_kept_answer_through_any_entry(in_cluster):
    async def body(fleet):
        first = await fleet.book('entry-1', 'k')
        again = await fleet.book('entry-2', 'k')
        assertions.assert_that(again.body, matchers.Equals(first.body))
        assertions.assert_that(fleet.booking.runs['k'], matchers.Equals(1))
        other = await fleet.book('entry-2', 'k', body=b'{"slot": 9}')
        assertions.assert_that(other.code, matchers.Equals(422))

    in_cluster(body, agents=0)


def test_repeats_at_the_same_time_run_once(in_cluster):
    async def body(fleet):
        fleet.booking.faults.put({'delay_s': 0.2})
        jobs = [fleet.book(f'entry-{1 + index % 2}', 'k') for index in range(8)]
        answers = await asyncio.gather(*jobs)
        assertions.assert_that(
            {answer.code for answer in answers}, matchers.Equals({201})
        )
        assertions.assert_that(fleet.booking.runs['k'], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_an_answer_lost_behind_the_home_is_may_have_run_for_good(in_cluster):
    async def body(fleet):
        fleet.booking.faults.put({'drop_answer_share': 1.0})
        first = await fleet.book('entry-1', 'k')
        fleet.booking.faults.put({})
        again = await fleet.book('entry-2', 'k')
        for answer in (first, again):
            assertions.assert_that(
                support.verdict_of(answer), matchers.Equals('may_have_run')
            )
        assertions.assert_that(fleet.booking.runs['k'], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_a_replaced_home_does_not_run_what_went_to_the_one_before(in_cluster):
    async def body(fleet):
        key = key_at(fleet, 'book-1')
        await fleet.book('entry-1', key)
        await fleet.kill('book-1')
        gone = await fleet.book('entry-2', key)
        assertions.assert_that({502, 503}, matchers.Contains(gone.code))
        assertions.assert_that(
            support.verdict_of(gone), matchers.Equals('may_have_run')
        )
        await fleet.add('book-1', 'agent', 'bookings')
        await fleet.ready()
        fresh = key_at(fleet, 'book-1', nth=1)
        await support.eventually_async(
            lambda: fleet.book('entry-1', fresh), lambda answer: answer.code == 201
        )
        old = await fleet.book('entry-2', key)
        assertions.assert_that(support.verdict_of(old), matchers.Equals('may_have_run'))
        assertions.assert_that(fleet.booking.runs[key], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_an_unknown_key_of_a_dead_home_is_not_run_when_all_entries_deny(in_cluster):
    async def body(fleet):
        key = key_at(fleet, 'book-1')
        await fleet.kill('book-1')
        await support.eventually(
            lambda: 'book-1' not in fleet.nodes['entry-1'].find('members').peers
        )
        answer = await fleet.book('entry-1', key)
        assertions.assert_that(support.verdict_of(answer), matchers.Equals('not_run'))
        assertions.assert_that(fleet.booking.runs, matchers.Equals({}))

    in_cluster(body, agents=0)


def test_a_home_replaced_after_an_entry_died_runs_tickets_only(in_cluster):
    async def body(fleet):
        key = key_at(fleet, 'book-1')
        await fleet.book('entry-2', key)
        await fleet.kill('entry-2')
        await support.eventually(
            lambda: fleet.nodes['entry-1'].find('members').departed_at
        )
        await fleet.kill('book-1')
        node = await fleet.add('book-1', 'agent', 'bookings')
        await fleet.ready()
        await support.eventually(lambda: node.find('members').departed_at)
        refused = await fleet.book('entry-1', key)
        assertions.assert_that(
            support.verdict_of(refused), matchers.Equals('may_have_run')
        )
        assertions.assert_that(fleet.booking.runs[key], matchers.Equals(1))
        card = node.find('members').card
        ticket = str(atmostonce.Ticket('book-1', card.incarnation, 'n1'))
        answer = await fleet.book('entry-1', ticket)
        assertions.assert_that(answer.code, matchers.Equals(201))

    in_cluster(body, agents=0)


def test_a_caller_without_a_key_is_run_once_or_refused(in_cluster):
    async def body(fleet):
        path = 'v1/services/bookings/book'
        answer = await fleet.call('entry-1', path, b'{"slot": 4}')
        assertions.assert_that(answer.code, matchers.Equals(201))
        assertions.assert_that(sum(fleet.booking.runs.values()), matchers.Equals(1))

    in_cluster(body, agents=0)


def test_a_partition_between_entry_and_home_ends_in_doubt_and_one_run(in_cluster):
    async def body(fleet):
        key = key_at(fleet, 'book-1')
        fleet.booking.faults.put({'delay_s': 0.5})
        call = asyncio.create_task(
            fleet.book('entry-1', key, headers={'Request-Deadline-Ms': '1500'})
        )
        await asyncio.sleep(0.2)
        fleet.cut('entry-1', 'book-1')
        first = await call
        assertions.assert_that(
            support.verdict_of(first), matchers.Equals('may_have_run')
        )
        again = await fleet.book('entry-2', key)
        assertions.assert_that(again.code, matchers.Equals(201))
        assertions.assert_that(fleet.booking.runs[key], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_a_ticket_of_a_replaced_home_is_never_run():
    ledger = atmostonce.KeyLedger('2', RETENTION_S)
    key = 'w/s/{0}'.format(atmostonce.Ticket('book-1', '1', 'n'))
    with pytest.raises(verdict.Refusal) as caught:
        ledger.claim_key(key, 'f', 0, settled=True)
    assertions.assert_that(
        caught.value.verdict, matchers.Is(verdict.Verdict.MAY_HAVE_RUN)
    )


def test_answers_beyond_the_bound_are_known_to_have_run(monkeypatch):
    monkeypatch.setattr(atmostonce, 'MAX_KEPT_BYTES', 100)

    async def body():
        ledger = atmostonce.KeyLedger('1', RETENTION_S)
        for key in ('w/s/a', 'w/s/b'):
            ledger.claim_key(key, 'f', 0, settled=True)
            ledger.store_answer(key, atmostonce.ServiceAnswer(200, (), b'x' * 80))
        kept = ledger.claim_key('w/s/b', 'f', 1, settled=True)
        assertions.assert_that((await kept).status, matchers.Equals(200))
        with pytest.raises(verdict.Refusal) as caught:
            await ledger.claim_key('w/s/a', 'f', 1, settled=True)
        assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.RAN))

    asyncio.run(body())


class Homes(stateful.RuleBasedStateMachine):
    """Entries, homes and their replacements; the oracle counts runs by key.

    A forward may be delivered late, after its home woke or was replaced. Nothing
    may run twice, and what was called not run may not have run.
    """

    keys = st.sampled_from([f'w/s/{name}' for name in 'abcdefgh'])
    entry_names = st.sampled_from(['e1', 'e2', 'e3'])
    home_names = ('h1', 'h2')

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.runs = collections.Counter()
        self.denied = set()
        self.serial = 0
        self.homes = {}
        self.departed = set()
        self.entries = {name: self._entry(name) for name in ('e1', 'e2', 'e3')}
        self.flying = []
        for name in self.home_names:
            self._replace(name)

    def _entry(self, name):
        self.serial += 1
        return {
            'id': f'{name}-{self.serial}',
            'book': atmostonce.ForwardLog(RETENTION_S),
            'newest': {},
        }

    def _replace(self, name):
        self.serial += 1
        incarnation = f'{self.serial:06d}'
        ledger = atmostonce.KeyLedger(incarnation, RETENTION_S)
        ledger.set_owners('homes')
        self.homes[name] = {
            'name': name,
            'incarnation': incarnation,
            'ledger': ledger,
            'gone': set(self.departed),
        }

    def _sees(self, entry, home):
        newest = entry['newest'].get(home['name'], '')
        entry['newest'][home['name']] = max(newest, home['incarnation'])
        return entry['newest'][home['name']] == home['incarnation']

    @stateful.rule(entry=entry_names, key=keys)
    def forward(self, entry, key):
        """An entry sends a key to the home that it knows; it may arrive late."""
        one = self.entries[entry]
        name = atmostonce.key_owner_of(key, self.home_names)
        home = self.homes[name]
        if not self._sees(one, home):
            return
        try:
            one['book'].record_forward(key, name, home['incarnation'], 0)
        except verdict.Refusal as exc:
            assert exc.verdict is verdict.Verdict.MAY_HAVE_RUN
            return
        self.flying.append((one, home, key))

    @stateful.rule(data=st.data())
    def deliver(self, data):
        """A forward reaches the incarnation that it was sent to, woken or not."""
        if not self.flying:
            return
        place = data.draw(st.integers(0, len(self.flying) - 1))
        entry, home, key = self.flying.pop(place)
        living = {one['id'] for one in self.entries.values()}
        settled = home['ledger'].is_history_complete(
            living, home['gone'] | self.departed
        )
        self.loop.run_until_complete(self._run(entry, home, key, settled))

    async def _run(self, entry, home, key, settled):
        ledger = home['ledger']
        try:
            fut = ledger.claim_key(key, 'f', 0, settled=settled)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                entry['book'].undo_forward(key)
                self.denied.add(key)
            return
        if fut is None:
            self.runs[key] += 1
            ledger.store_answer(key, atmostonce.ServiceAnswer(200, (), b''))

    @stateful.rule(data=st.data())
    def lose(self, data):
        """A forward is lost on the way."""
        if self.flying:
            self.flying.pop(data.draw(st.integers(0, len(self.flying) - 1)))

    @stateful.rule(entry=entry_names, name=st.sampled_from(home_names))
    def clear(self, entry, name):
        """An entry tells a home what it forwarded to others, if it knows it."""
        one = self.entries[entry]
        home = self.homes[name]
        if self._sees(one, home):
            keys = one['book'].keys_sent_elsewhere('/s/', name, home['incarnation'])
            home['ledger'].add_forwarded_keys(one['id'], 'homes', keys)

    @stateful.rule(name=st.sampled_from(home_names))
    def replace_home(self, name):
        """A home is replaced; the one before may still wake and deliver."""
        self._replace(name)

    @stateful.rule(entry=entry_names)
    def replace_entry(self, entry):
        """An entry dies and is replaced; its book is gone."""
        self.departed.add(self.entries[entry]['id'])
        self.entries[entry] = self._entry(entry)

    @stateful.invariant()
    def nothing_ran_twice(self):
        """No key ran more than once."""
        assert all(count == 1 for count in self.runs.values()), self.runs

    def teardown(self):
        self.loop.close()


TestHomes = Homes.TestCase
TestHomes.settings = hsettings(max_examples=150, stateful_step_count=40, deadline=None)
