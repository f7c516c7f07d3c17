"""Balance: calls go to servers by their load at this moment, not as it was reported."""

import asyncio
import dataclasses
import functools
import heapq
import random
import types

import pytest
from testtools import assertions, matchers
from tornado import httputil

import enginestand
from primrosesaddle.balance import asking, book, figures, prediction
from primrosesaddle.calls import backends, placement
from primrosesaddle.membership import wire as messages
from primrosesaddle.net import upstream
from primrosesaddle.platform import wire
from primrosesaddle.process import loadquestions
from primrosesaddle.telemetry import metrics

SERVERS, ENTRIES = 20, 33
CALLS_PER_S, CALL_S = 120, 0.9  # 5.4 calls run at a server on average
SLOW_SERVERS, SLOW_PACE = 3, 2.5
ENGINE = dataclasses.replace(enginestand.PROFILE, slots=12)
NOTICE_S = 0.005  # one way, between entries and agents
REPORT_S = 0.35


def _assert_equal(actual, expected):
    assertions.assert_that(actual, matchers.Equals(expected))


def _at_most(actual, bound):
    assertions.assert_that(actual, matchers.Not(matchers.GreaterThan(bound)))


@pytest.fixture
def clock():
    """Return a list with the current time, which tests change."""
    return [100.0]


def _play_fleet(clock, choose, length_s=40.0):
    """Return for each call the number of calls and the pace at its server.

    `choose` selects the server by the books, the reports, and whether it is slow.
    """
    rand = random.Random(7)
    read_clock = functools.partial(clock.__getitem__, 0)
    books = [book.Book(read_clock) for _ in range(SERVERS)]
    running, reports, met = [0] * SERVERS, [0] * SERVERS, []
    events = [(100 + rand.expovariate(CALLS_PER_S), 0, 'arrive', 0)]
    for server in range(SERVERS):
        events.append((100 + rand.uniform(0, REPORT_S), 1, 'report', server))
    number = 1
    while events[0][0] < 100 + length_s:
        clock[0], call_id, kind, server = heapq.heappop(events)
        number += 1
        if kind == 'arrive':
            chosen = choose(rand, books, reports)
            pace = SLOW_PACE if chosen < SLOW_SERVERS else 1.0
            met.append((running[chosen], pace))
            running[chosen] += 1
            end_s = rand.expovariate(1 / CALL_S) * pace
            wait_s = rand.expovariate(CALLS_PER_S)
            for after_s, what, where in (
                (NOTICE_S, 'note', chosen),
                (end_s, 'end', chosen),
                (wait_s, 'arrive', 0),
            ):
                same = call_id if what == 'arrive' else number
                heapq.heappush(events, (clock[0] + after_s, same, what, where))
        elif kind == 'note':
            books[server].add_call('e', str(call_id), 900)
        elif kind == 'end':
            running[server] -= 1
            books[server].end_call('e', str(call_id))
        else:
            reports[server] = running[server]
            books[server].compare(running[server])
            again_at = clock[0] + REPORT_S
            heapq.heappush(events, (again_at, call_id, 'report', server))
    return met[len(met) // 4 :]


def _choose_by_answers(rand, books, reports):
    known = [asking.Candidate(str(server), 0.0) for server in range(SERVERS)]
    drawn = [int(each.server_id) for each in asking.draw_nearest(known, rand)]
    return min(
        drawn,
        key=lambda server: prediction.predict_first_byte_s(
            ENGINE,
            SLOW_PACE if server < SLOW_SERVERS else 1.0,
            books[server].estimate_load().calls,
            1000,
        ),
    )


def _choose_by_reports(rand, books, reports):
    return min(range(SERVERS), key=lambda server: (reports[server], rand.random()))


def test_entries_that_ask_do_not_herd(clock):
    """All entries sent to the servers that their reports, 0.2 to 0.5 s old, had idle.

    Twenty calls met at one server while others had none.
    """
    by_reports = _play_fleet(clock, _choose_by_reports)
    clock[0] = 100.0
    by_answers = _play_fleet(clock, _choose_by_answers)
    crowded = max(calls for calls, _ in by_reports)
    assertions.assert_that(crowded, matchers.GreaterThan(20))
    _at_most(max(calls for calls, _ in by_answers), 12)
    slow_share = sum(pace > 1 for _, pace in by_answers) / len(by_answers)
    _at_most(slow_share, 0.6 * SLOW_SERVERS / SERVERS)


def test_call_is_booked_until_it_ends(clock):
    """A server's own report does not have a call yet for some tenths of a second."""
    calls = book.Book(lambda: clock[0])
    calls.add_call('e1', 'c1', 900)
    calls.add_call('e2', 'c1', 500)
    _assert_equal(calls.estimate_load(), book.Load(2, 1400))
    calls.mark_read('e1', 'c1')
    _assert_equal(calls.estimate_load(), book.Load(2, 500))
    calls.end_call('e1', 'c1')
    calls.end_call('e1', 'unknown')
    _assert_equal(calls.estimate_load(), book.Load(1, 500))


def test_calls_of_a_lost_entry_are_forgotten(clock):
    """An entry that is killed never says that its calls have ended."""
    calls = book.Book(lambda: clock[0])
    calls.add_call('lost', 'c1', 900)
    clock[0] += book.MAX_CALL_S
    calls.compare(0)
    _assert_equal(calls.estimate_load(), book.Load(0, 0))


def test_calls_of_entries_without_a_link_are_estimated(clock):
    """Entries that are not linked to an agent send to its server unannounced."""
    calls = book.Book(lambda: clock[0])
    calls.add_call('e1', 'c1', 900)
    for _ in range(30):
        clock[0] += 0.1
        calls.compare(4)
    _assert_equal(calls.estimate_load().calls, 4)


def test_old_slowdown_counts_less():
    """A machine that was slow half a second ago may be as fast as others again."""
    load = figures.Figures().with_slowdown(2.5, 10.0)
    _assert_equal(load.estimate_slowdown(10.2), 2.5)
    _at_most(load.estimate_slowdown(11.5), 1.2)
    _assert_equal(load.with_slowdown(1.0, 9.0).slowdown, 2.5)


def test_slowdown_of_its_machine_does_not_count_for_an_engine(fleet, clock):
    """Engines took as long while they stated 250 as while they stated 100.

    To avoid them crowded others, and made more streams pause.
    """
    known, placer, asker, _ = fleet(a=(1, 0, 1.0), b=(2, 0, 1.0))
    backend = known.get_by_id('a')
    backend.load = backend.load.with_slowdown(2.5, clock[0])
    _assert_equal(_choose(placer, asker, enginestand.make_call()), 'a')


def test_plain_service_is_chosen_by_the_slowdown_of_its_machine(fleet, clock):
    """Its answers take longer while it states one; after a while that says nothing."""
    known, placer, *_ = fleet(a=None, b=None)
    plain = dataclasses.replace(enginestand.SERVICE, engine=None)
    call = enginestand.make_call(model='')
    _state_slowdown(known, clock[0])
    backend = known.get_by_id('a')
    backend.load = backend.load.with_slowdown(2.5, clock[0])
    chosen = {placer.choose_server(call, plain, 0).backend.server_id for _ in range(20)}
    _assert_equal(chosen, {'b'})
    clock[0] += 3
    chosen = {placer.choose_server(call, plain, 0).backend.server_id for _ in range(20)}
    _assert_equal(chosen, {'a', 'b'})


def test_long_pass_on_a_slow_machine_is_no_bargain():
    """A long prompt holds up all streams at a slow server beyond their objective."""
    _assert_equal(prediction.estimate_harm_s(0.1, 10, 0.4, 0.5), 0)
    slow_s = prediction.estimate_harm_s(0.4, 10, 0.4, 0.5)
    assertions.assert_that(slow_s, matchers.GreaterThan(4))
    alone_s = prediction.estimate_harm_s(0.4, 0, 0.4, 0.5)
    assertions.assert_that(slow_s, matchers.GreaterThan(10 * alone_s))
    _assert_equal(prediction.estimate_harm_s(0.5, 10, 0.0, 0.5), 0.5)


def test_nearest_servers_are_asked_first():
    """An answer from another region takes as long as the call may wait."""
    known = [asking.Candidate(f'h{number}', 0.0) for number in range(5)]
    far = [asking.Candidate(f'f{number}', 0.02) for number in range(5)]
    rand = random.Random(1)
    first = asking.draw_nearest([*far, *known], rand)
    _assert_equal({each.distance_s for each in first}, {0.0})
    _assert_equal(len(first), 3)
    second = asking.draw_farther([*far, *known], first, rand)
    _assert_equal(set(first) & set(second), set())
    alone = asking.draw_nearest([*far, known[0]], rand)
    _assert_equal((alone[0], len(alone)), (known[0], 3))


@pytest.mark.parametrize(
    ('text', 'load', 'slowdown'),
    [
        ('3,0,12,250', 3, 2.5),
        ('3, 1 ,12, 100', 4, 1.0),
        ('3,0,12', 3, None),
        ('3,0,12,', 3, None),
        ('3,0,12,fast', 3, None),
        ('3,0,12,0', 3, None),
        ('', None, None),
    ],
)
def test_slowdown_of_a_server_is_decoded(text, load, slowdown):
    """The fourth figure was dropped; calls went to machines at 0.4 of their speed."""
    headers = httputil.HTTPHeaders({'X-Server-Load': text} if text else {})
    head = wire.read_head(upstream.Head(200, 'OK', headers))
    _assert_equal((head.load, head.slowdown), (load, slowdown))


class Agent:
    """The channel to an agent that answers with a load, or not at all."""

    def __init__(self, name, load):
        self.load = load
        self.asked = 0
        self.sent = []
        self.card = messages.Card(name, 'agent', '', '', '', '', server=f'{name}:1')
        self.channel = self

    async def request(self, body, timeout_s):
        self.asked += 1
        if self.load is None:
            raise TimeoutError
        return messages.LoadAnswer(True, *self.load)

    def send(self, body):
        self.sent.append(body)


def _report_again(known, clock):
    for backend in known.list_servers('engines'):
        fresh = dataclasses.replace(backend.report, received_at=clock[0])
        known.update_report(backend.record.address, fresh)


@pytest.fixture
def fleet(clock):
    """Return a function that makes agents, and an entry's asker and placer for them."""

    def make(**loads):
        agents = [Agent(name, load) for name, load in loads.items()]
        known = backends.Backends(lambda: clock[0])
        args = random.Random(1), lambda: clock[0]
        placer = placement.Placer(
            known, 'd1', {'d1': 'r1'}, *args, enginestand.no_fill_estimate
        )
        members = types.SimpleNamespace(
            alive_peers=lambda role, serves: agents,
            card=messages.Card('e', 'entry', '', '', 'r1', 'd1'),
            peers={},
        )
        asker = loadquestions.LoadAsker(
            types.SimpleNamespace(members=members),
            known,
            placer,
            lambda model: 0,
            metrics.make_metrics(),
            *args,
        )
        enginestand.add_servers(known, **{name: ('d1', (0, 4, 2)) for name in loads})
        _report_again(known, clock)
        return known, placer, asker, agents

    return make


def _state_slowdown(known, now):
    backend = known.get_by_id('a')
    backend.load = backend.load.with_slowdown(1.0, now)


def _choose(placer, asker, call):
    asyncio.run(asker.ask(call, enginestand.SERVICE))
    return placer.choose_server(call, enginestand.SERVICE, 0).backend.server_id


def test_server_is_chosen_by_its_answer(fleet, clock):
    """By their reports all three servers are idle."""
    known, placer, asker, _ = fleet(a=(3, 0, 1.0), b=(1, 0, 2.5), c=(1, 0, 1.0))
    _state_slowdown(known, clock[0])
    call = enginestand.make_call(deadline_at=clock[0] + 5)
    _assert_equal(_choose(placer, asker, call), 'c')
    _assert_equal(sorted(call.answers), ['a', 'b', 'c'])


def test_agent_that_does_not_answer_is_left_alone_for_a_while(fleet, clock):
    """Each call would wait for it in vain."""
    known, placer, asker, agents = fleet(a=None, b=(1, 0, 1.0), c=(2, 0, 1.0))
    _state_slowdown(known, clock[0])
    for _ in range(3):
        _assert_equal(_choose(placer, asker, enginestand.make_call()), 'b')
    _assert_equal(agents[0].asked, 1)
    clock[0] += loadquestions.NOT_ASKED_S
    _report_again(known, clock)
    _choose(placer, asker, enginestand.make_call())
    _assert_equal(agents[0].asked, 2)


def test_call_is_placed_when_no_agent_answers(fleet, clock):
    """All agents may be cut off from an entry while their servers are not."""
    known, placer, asker, _ = fleet(a=None, b=None)
    _state_slowdown(known, clock[0])
    call = enginestand.make_call()
    assertions.assert_that(['a', 'b'], matchers.Contains(_choose(placer, asker, call)))


def test_nothing_is_asked_of_servers_that_state_no_slowdown(fleet):
    """Deployments whose servers do not share their machines are served as before."""
    known, placer, asker, agents = fleet(a=(9, 0, 1.0), b=(1, 0, 1.0))
    call = enginestand.make_call()
    _choose(placer, asker, call)
    known.get_by_id('a').add_call(call)
    _assert_equal([(agent.asked, agent.sent) for agent in agents], [(0, []), (0, [])])


def test_entry_that_has_no_answer_yet_hears_that_machines_are_shared(fleet, clock):
    """At the start 33 entries each placed their first call by reports alone."""
    known, placer, asker, agents = fleet(a=(9, 0, 1.0), b=(1, 0, 1.0))
    report = known.get_by_id('a').report
    known.update_report('a:1', dataclasses.replace(report, is_machine_shared=True))
    _assert_equal(_choose(placer, asker, enginestand.make_call()), 'b')


def test_busy_home_is_left_for_calm_servers_only_when_they_answer(fleet, clock):
    """A call left for the server that had the lower report, 20 ms away."""
    known, placer, asker, agents = fleet(
        a=(4, 4e5, 1.0), b=(4, 4e5, 1.0), far=(0, 0, 1)
    )
    _state_slowdown(known, clock[0])
    backend = known.get_by_id('far')
    backend.record = dataclasses.replace(backend.record, data_centre='d2')
    _assert_equal(_choose(placer, asker, enginestand.make_call()), 'far')
    agents[0].load = agents[1].load = (1, 0, 1.0)
    call = enginestand.make_call()
    assertions.assert_that(['a', 'b'], matchers.Contains(_choose(placer, asker, call)))
    _assert_equal('far' in call.answers, False)


def test_agent_is_told_how_far_a_call_has_come(fleet, clock):
    """What an agent is not told of, it knows 0.2 s later."""
    known, _, _, agents = fleet(a=(0, 0, 1.0), b=(0, 0, 1.0))
    _state_slowdown(known, clock[0])
    backend, call = known.get_by_id('a'), enginestand.make_call()
    backend.add_call(call)
    backend.mark_prompt_read(call)
    backend.mark_prompt_read(call)
    backend.remove_call(call)
    stages = [notice.stage for notice in agents[0].sent]
    _assert_equal(stages, ['sent', 'read', 'ended'])
    _assert_equal(agents[1].sent, [])
