"""Idempotency keys run at most once, through crashes, partitions, replacements."""

import asyncio
import collections
import types

import pytest
from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import assertions, matchers

import support
from primrosesaddle.core import verdict
from primrosesaddle.gateway import atmostonce, keyowner
from primrosesaddle.membership import peers, wire

RETENTION_S = 900


def owner_of(fleet, key):
    entry = fleet.nodes['entry-1'].find('config').current.get('service', 'bookings')
    return atmostonce.key_owner_of(f'lab-quito/bookings/{key}', entry.servers)


def key_owned_by(fleet, owner, nth=0):
    owned_keys = (key for key in map(str, range(1000)) if owner_of(fleet, key) == owner)
    for _ in range(nth):
        next(owned_keys)
    return next(owned_keys)


def test_a_repeated_key_gets_the_stored_answer_through_any_entry(in_cluster):
    """A retry through another entry must not run the booking again."""

    async def body(fleet):
        first = await fleet.book('entry-1', 'k')
        again = await fleet.book('entry-2', 'k')
        assertions.assert_that(again.body, matchers.Equals(first.body))
        assertions.assert_that(fleet.booking.runs['k'], matchers.Equals(1))
        other = await fleet.book('entry-2', 'k', body=b'{"slot": 9}')
        assertions.assert_that(other.code, matchers.Equals(422))

    in_cluster(body, agents=0)


def test_repeats_at_the_same_time_run_once(in_cluster):
    """Retries that arrive while the first one runs must wait for its answer."""

    async def body(fleet):
        fleet.booking.faults.put({'delay_s': 0.2})
        calls = [fleet.book(f'entry-{1 + index % 2}', 'k') for index in range(8)]
        answers = await asyncio.gather(*calls)
        assertions.assert_that(
            {answer.code for answer in answers}, matchers.Equals({201})
        )
        assertions.assert_that(fleet.booking.runs['k'], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_a_key_whose_answer_was_lost_stays_may_have_run(in_cluster):
    """A call whose answer the server lost must never be reported as not run."""

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


def test_a_replaced_owner_does_not_run_keys_of_the_one_before(in_cluster):
    """The new incarnation lacks the ledger of the old one."""

    async def body(fleet):
        key = key_owned_by(fleet, 'book-1')
        await fleet.book('entry-1', key)
        await fleet.kill('book-1')
        gone = await fleet.book('entry-2', key)
        assertions.assert_that({502, 503}, matchers.Contains(gone.code))
        assertions.assert_that(
            support.verdict_of(gone), matchers.Equals('may_have_run')
        )
        await fleet.add('book-1', 'agent', 'bookings')
        await fleet.ready()
        fresh = key_owned_by(fleet, 'book-1', nth=1)
        await support.eventually_async(
            lambda: fleet.book('entry-1', fresh), lambda answer: answer.code == 201
        )
        old = await fleet.book('entry-2', key)
        assertions.assert_that(support.verdict_of(old), matchers.Equals('may_have_run'))
        assertions.assert_that(fleet.booking.runs[key], matchers.Equals(1))

    in_cluster(body, agents=0)


def test_an_unknown_key_of_a_dead_owner_is_not_run_if_all_entries_deny(in_cluster):
    """A key that no entry forwarded did not run, and its caller may know that."""

    async def body(fleet):
        key = key_owned_by(fleet, 'book-1')
        await fleet.kill('book-1')
        await support.eventually(
            lambda: 'book-1' not in fleet.nodes['entry-1'].find('members').peers
        )
        answer = await fleet.book('entry-1', key)
        assertions.assert_that(support.verdict_of(answer), matchers.Equals('not_run'))
        assertions.assert_that(fleet.booking.runs, matchers.Equals({}))

    in_cluster(body, agents=0)


def test_an_owner_replaced_after_an_entry_died_runs_tickets_only(in_cluster):
    """The dead entry may have forwarded any key, but no ticket of the new owner."""

    async def body(fleet):
        key = key_owned_by(fleet, 'book-1')
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
    """Without a key, the entry makes a ticket for the call."""

    async def body(fleet):
        path = 'v1/services/bookings/book'
        answer = await fleet.call('entry-1', path, b'{"slot": 4}')
        assertions.assert_that(answer.code, matchers.Equals(201))
        assertions.assert_that(sum(fleet.booking.runs.values()), matchers.Equals(1))

    in_cluster(body, agents=0)


def test_a_partition_between_entry_and_owner_leaves_one_run(in_cluster):
    """The cut-off entry reports doubt; a retry elsewhere gets the answer."""

    async def body(fleet):
        key = key_owned_by(fleet, 'book-1')
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


def test_a_ticket_of_a_replaced_owner_is_never_run():
    """The incarnation of a ticket that is gone may have run it."""
    ledger = atmostonce.KeyLedger('2', RETENTION_S)
    key = 'w/s/{0}'.format(atmostonce.Ticket('book-1', '1', 'n'))
    with pytest.raises(verdict.Refusal) as caught:
        ledger.claim_key(key, 'f', 0, history_complete=True)
    assertions.assert_that(
        caught.value.verdict, matchers.Is(verdict.Verdict.MAY_HAVE_RUN)
    )


def test_keys_of_dropped_answers_are_known_to_have_run(monkeypatch):
    """Dropping a stored body must not let its key run again."""
    monkeypatch.setattr(atmostonce, 'MAX_KEPT_BYTES', 100)

    async def body():
        ledger = atmostonce.KeyLedger('1', RETENTION_S)
        for key in ('w/s/a', 'w/s/b'):
            ledger.claim_key(key, 'f', 0, history_complete=True)
            ledger.store_answer(key, atmostonce.ServiceAnswer(200, (), b'x' * 80))
        kept = ledger.claim_key('w/s/b', 'f', 1, history_complete=True)
        assertions.assert_that((await kept).status, matchers.Equals(200))
        with pytest.raises(verdict.Refusal) as caught:
            await ledger.claim_key('w/s/a', 'f', 1, history_complete=True)
        assertions.assert_that(caught.value.verdict, matchers.Is(verdict.Verdict.RAN))

    asyncio.run(body())


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Entries, key owners and their replacements; `runs` counts the runs by key.

    A forward may be delivered late, after its owner was paused or replaced. No key may
    run twice.
    """

    keys = st.sampled_from([f'w/s/{name}' for name in 'abcdefgh'])
    entry_names = st.sampled_from(['e1', 'e2', 'e3'])
    owner_names = ('h1', 'h2')

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.runs = collections.Counter()
        self.reported_not_run = set()
        self.serial = 0
        self.owners = {}
        self.departed = set()
        self.entries = {name: self._make_entry(name) for name in ('e1', 'e2', 'e3')}
        self.undelivered = []
        for name in self.owner_names:
            self._replace_owner(name)

    def _make_entry(self, name):
        self.serial += 1
        return {
            'id': f'{name}-{self.serial}',
            'log': atmostonce.ForwardLog(RETENTION_S),
            'newest': {},
        }

    def _replace_owner(self, name):
        self.serial += 1
        incarnation = f'{self.serial:06d}'
        ledger = atmostonce.KeyLedger(incarnation, RETENTION_S)
        ledger.set_owners('owners')
        self.owners[name] = {
            'name': name,
            'incarnation': incarnation,
            'ledger': ledger,
            'departed_entries': set(self.departed),
        }

    def _knows(self, entry, owner):
        newest = entry['newest'].get(owner['name'], '')
        entry['newest'][owner['name']] = max(newest, owner['incarnation'])
        return entry['newest'][owner['name']] == owner['incarnation']

    @stateful.rule(entry=entry_names, key=keys)
    def forward(self, entry, key):
        """An entry sends a key to the owner that it knows; it may arrive late."""
        sender = self.entries[entry]
        name = atmostonce.key_owner_of(key, self.owner_names)
        owner = self.owners[name]
        if not self._knows(sender, owner):
            return
        try:
            sender['log'].record_forward(key, name, owner['incarnation'], 0)
        except verdict.Refusal as exc:
            assert exc.verdict is verdict.Verdict.MAY_HAVE_RUN
            return
        self.undelivered.append((sender, owner, key))

    @stateful.rule(data=st.data())
    def deliver(self, data):
        """A forward reaches the incarnation that it was sent to, replaced or not."""
        if not self.undelivered:
            return
        index = data.draw(st.integers(0, len(self.undelivered) - 1))
        entry, owner, key = self.undelivered.pop(index)
        living = {member['id'] for member in self.entries.values()}
        history_complete = owner['ledger'].is_history_complete(
            living, owner['departed_entries'] | self.departed
        )
        self.loop.run_until_complete(self._run(entry, owner, key, history_complete))

    async def _run(self, entry, owner, key, history_complete):
        ledger = owner['ledger']
        try:
            fut = ledger.claim_key(key, 'f', 0, history_complete=history_complete)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                entry['log'].undo_forward(key)
                self.reported_not_run.add(key)
            return
        if fut is None:
            self.runs[key] += 1
            ledger.store_answer(key, atmostonce.ServiceAnswer(200, (), b''))

    @stateful.rule(data=st.data())
    def lose(self, data):
        """A forward is lost."""
        if self.undelivered:
            self.undelivered.pop(data.draw(st.integers(0, len(self.undelivered) - 1)))

    @stateful.rule(entry=entry_names, name=st.sampled_from(owner_names))
    def report_forwards(self, entry, name):
        """An entry reports to an owner that it knows what it sent to others."""
        sender = self.entries[entry]
        owner = self.owners[name]
        if self._knows(sender, owner):
            keys = sender['log'].keys_sent_elsewhere('/s/', name, owner['incarnation'])
            owner['ledger'].add_forwarded_keys(sender['id'], 'owners', keys)

    @stateful.rule(name=st.sampled_from(owner_names))
    def replace_owner(self, name):
        """An owner is replaced; forwards may still reach the one before."""
        self._replace_owner(name)

    @stateful.rule(entry=entry_names)
    def replace_entry(self, entry):
        """An entry dies and is replaced; its log is lost."""
        self.departed.add(self.entries[entry]['id'])
        self.entries[entry] = self._make_entry(entry)

    @stateful.invariant()
    def no_key_ran_twice(self):
        """No key ran more than once."""
        assert all(count == 1 for count in self.runs.values()), self.runs

    def teardown(self):
        self.loop.close()


TestOwnerMachine = OwnerMachine.TestCase
TestOwnerMachine.settings = hsettings(
    max_examples=150, stateful_step_count=40, deadline=None
)


class QueriedEntry:
    """The channel to an entry that answers queries as told, or never."""

    closed = False

    def __init__(self, *answers):
        self.answers = list(answers)

    async def request(self, body, timeout_s):
        if not self.answers:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        return self.answers.pop(0)


def test_entry_that_lags_is_asked_for_its_keys_again():
    """Just after a start an entry may not know yet who owns the keys of a service.

    Calls wait a second for its report, so that it is asked again at once, and an entry
    that is silent must not hold that up.
    """

    async def main():
        ledger = atmostonce.KeyLedger('1', RETENTION_S)
        channels = {
            'late': QueriedEntry(wire.YesNo(yes=False), wire.ForwardedKeys(())),
            'silent': QueriedEntry(),
        }
        alive = [
            peers.Peer(wire.Card(name, 'entry', name, '', 'r', 'd'), channel, 0.0)
            for name, channel in channels.items()
        ]
        service = types.SimpleNamespace(servers=['book-1'])
        runner = keyowner.PlainServiceRunner(
            '',
            'bookings',
            types.SimpleNamespace(alive_peers=lambda role: alive),
            types.SimpleNamespace(
                current=types.SimpleNamespace(get=lambda kind, name: service)
            ),
            ledger,
        )
        task = asyncio.create_task(runner.query_entries())
        await asyncio.sleep(5 * keyowner.QUERY_INTERVAL_S)
        _assert_reported(ledger, {'late': True, 'silent': False})
        task.cancel()

    asyncio.run(main())


def _assert_reported(ledger, expected):
    reported = {name: ledger.has_reported(name) for name in expected}
    assertions.assert_that(reported, matchers.Equals(expected))


def test_entry_that_knows_other_owners_tells_to_ask_again(in_cluster):
    """It answers at once, as a query without an answer ends only after seconds."""

    async def body(fleet):
        owner = fleet.nodes['book-1'].find('members')
        peer = next(
            peer for peer in owner.alive_peers('entry') if peer.card.name == 'entry-1'
        )
        query = wire.PriorKeysRequest('bookings', 'other owners')
        answer = await peer.channel.request(query, 1.0)
        assertions.assert_that(answer, matchers.Equals(wire.YesNo(yes=False)))

    in_cluster(body, agents=0)
