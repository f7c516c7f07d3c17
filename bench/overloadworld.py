"""Entries that share the engines of a service, in virtual time and without a network.

Every entry has its own admission, placement and figures of the engines, which reach it
late: by reports of agents, and by the load in answers.
"""

import asyncio
import collections
import dataclasses
import heapq
import random

from primrosesaddle.calls import admission, backends, placement, request, routes
from primrosesaddle.core import layers, verdict
from primrosesaddle.fleet import servers
from primrosesaddle.overload import control

__all__ = ('Kind', 'Load', 'World')

MODEL = 'm1'
SLOTS = 12
MAX_QUEUED = 24
REPORT_LAG_S = 0.2
REPORT_INTERVAL_S = 0.35
HOP_S = 0.004  # from an entry to an engine
PROFILE = routes.EngineProfile(
    SLOTS, 0.00887, 0.000039, 5, 19100.0, 952, 98, (MODEL,), 8, 8, 1, 0
)
SERVICE = routes.Service('engines', 500, PROFILE)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of calls: its share of all, rank, times in seconds and sizes in tokens.

    `rank` is the route's, `workspace_rank` its callers', None where they state none.
    """

    name: str
    share: float
    rank: int
    objective_s: float
    prompt_tokens: int
    answer_tokens: int
    workspace_rank: int | None = None

    def make_workspace(self, name):
        """Return a workspace of these callers."""
        return routes.Workspace(name, self.workspace_rank)

    def make_route(self):
        """Return the route of these calls."""
        return routes.Route(
            self.name,
            'h',
            '/',
            routes.RouteKind.STREAM,
            6.0,
            self.objective_s,
            2,
            self.rank,
            (('engines', 1.0),),
            resumable=True,
        )


@dataclasses.dataclass
class Load:
    """Calls of a kind that came in a window: how many ended in which way."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    late_retries: int = 0
    refused: int = 0
    waits_s: list = dataclasses.field(default_factory=list)

    @property
    def share_in_time(self):
        """Return the share of calls that were in time."""
        return self.in_time / max(1, self.asked)

    @property
    def share_served(self):
        """Return the share of calls that were served, in time or late."""
        return (self.in_time + self.late) / max(1, self.asked)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is left to do."""

    def __init__(self):
        self._virtual_now = 0.0
        super().__init__()
        select = self._selector.select

        def skip_time(timeout=None):
            if timeout and timeout > 0:
                self._virtual_now += timeout
            return select(0)

        self._selector.select = skip_time

    def time(self):
        return self._virtual_now


class _Engine:
    """Serves calls in passes: reads prompts, then writes an event of each answer."""

    def __init__(self, name, pace):
        self.name = name
        self.pace = pace
        self.queue = []
        self.writing = {}
        self.changed = asyncio.Event()
        self.busy_s = 0.0
        self.written_calls = 0
        self._sequence = 0

    @property
    def total(self):
        return len(self.queue) + len(self.writing)

    def offer(self, call, on_event):
        """Take a call, and return whether there was room."""
        if len(self.queue) >= MAX_QUEUED:
            return False
        self._sequence += 1
        heapq.heappush(self.queue, (call.rank, self._sequence, call, on_event))
        self.changed.set()
        return True

    async def run(self):
        while True:
            if not self.total:
                self.changed.clear()
                await self.changed.wait()
            read_tokens = 0
            while self.queue and len(self.writing) < SLOTS:
                _, _, call, on_event = heapq.heappop(self.queue)
                read_tokens += call.cost.prompt_tokens
                self.writing[call.call_id] = [call.cost.answer_tokens, on_event]
            step_s = PROFILE.step_s + PROFILE.step_per_request_s * len(self.writing)
            pass_s = read_tokens / PROFILE.read_tokens_per_s
            pass_s += step_s * PROFILE.steps_per_event
            self.busy_s += pass_s * self.pace
            await asyncio.sleep(pass_s * self.pace)
            for call_id, state in list(self.writing.items()):
                state[0] -= PROFILE.steps_per_event
                if state[0] <= 0:
                    self.writing.pop(call_id)
                    self.written_calls += 1
                state[1](is_last=state[0] <= 0)


class World:
    """Entries, engines and callers; `run` plays a load and counts what callers get."""

    def __init__(self, make_entry, entries=16, engines=20, seed=1, slow_share=0.0):
        """Create a world of entries that `make_entry(placement arguments)` returns."""
        self._rand = random.Random(seed)
        self._counts = entries, engines
        self._make_entry = make_entry
        self._slow_share = slow_share
        self.windows = collections.defaultdict(Load)
        self.used = []
        self.turned_away = 0

    def run(self, kinds, rates, window_s=2.0, extra_rates=None):
        """Play rates, as (seconds, calls per second); `extra_rates` is by kind."""
        loop = _VirtualLoop()
        try:
            loop.run_until_complete(self._play(kinds, rates, window_s, extra_rates))
        finally:
            loop.close()

    def sum_windows(self, kind, first_s, end_s, window_s=2.0):
        """Return the sum of the windows of a kind, '' for all, in a span of time."""
        total = Load()
        for (name, index), load in self.windows.items():
            if kind in ('', name) and first_s <= index * window_s < end_s:
                total.asked += load.asked
                total.in_time += load.in_time
                total.late += load.late
                total.late_retries += load.late_retries
                total.waits_s += load.waits_s
                total.refused += load.refused
        return total

    async def _play(self, kinds, rates, window_s, extra_rates):
        self._clock = asyncio.get_running_loop().time
        self._window_s = window_s
        entry_count, engine_count = self._counts
        self.engines = [
            _Engine(f's{index}', 4.0 if index < self._slow_share * engine_count else 1)
            for index in range(engine_count)
        ]
        self._entries = [self._start_entry() for _ in range(entry_count)]
        tasks = [asyncio.create_task(engine.run()) for engine in self.engines]
        tasks += [asyncio.create_task(one[0].run()) for one in self._entries]
        tasks += [
            asyncio.create_task(self._report(engine, one[1]))
            for engine in self.engines
            for one in self._entries
        ]
        tasks.append(asyncio.create_task(self._sample()))
        made = [(kind, kind.make_route()) for kind in kinds]
        calls = []
        until = 0.0
        for index, (seconds, rate) in enumerate(rates):
            until += seconds
            extra = (extra_rates or {}).get(index, {})
            weights = [kind.share * extra.get(kind.name, 1.0) for kind, _ in made]
            while self._clock() < until:
                await asyncio.sleep(self._rand.expovariate(rate * sum(weights)))
                kind, route = self._rand.choices(made, weights)[0]
                calls.append(asyncio.create_task(self._call(kind, route)))
        await asyncio.sleep(7)
        for task in (*tasks, *calls):
            task.cancel()

    def _start_entry(self):
        known = backends.Backends(self._clock)
        records = [
            servers.BackendServer(
                engine.name,
                'engines',
                f'{engine.name}:1',
                'd1',
                SLOTS,
                False,
                {MODEL: layers.Span(0, 8, 1)},
            )
            for engine in self.engines
        ]
        known.update_records(records)
        queue = self._make_entry(
            known, random.Random(self._rand.random()), self._clock, self._counts[0]
        )
        return queue, known

    async def _report(self, engine, known):
        await asyncio.sleep(self._rand.random() * REPORT_INTERVAL_S)
        loop = asyncio.get_running_loop()
        while True:
            active, queued = len(engine.writing), len(engine.queue)
            loop.call_later(REPORT_LAG_S, self._deliver, engine, known, active, queued)
            await asyncio.sleep(REPORT_INTERVAL_S * self._rand.uniform(0.9, 1.1))

    def _deliver(self, engine, known, active, queued):
        held = {MODEL: layers.Span(0, 8, 1)}
        known.update_report(
            f'{engine.name}:1',
            backends.Report(self._clock(), active, queued, held, False, engine.pace),
        )

    async def _sample(self):
        while True:
            await asyncio.sleep(0.1)
            self.used.append(
                (
                    self._clock(),
                    sum(len(engine.writing) for engine in self.engines),
                    sum(len(engine.queue) for engine in self.engines),
                )
            )

    async def _call(self, kind, route):
        first_at = self._clock()
        load = self.windows[kind.name, int(first_at / self._window_s)]
        load.asked += 1
        size = self._rand.lognormvariate(-0.12, 0.5)
        cost = request.TokenCost(
            max(50, int(kind.prompt_tokens * size)), kind.answer_tokens
        )
        retry_after_s = 0.0
        rank = routes.compute_rank(route, kind.make_workspace(kind.name))
        for attempt in range(2):
            await asyncio.sleep(retry_after_s)
            spent_s = self._clock() - first_at
            call = request.Call(
                call_id=f'{first_at:.9f}-{attempt}',
                method='POST',
                target='/',
                headers=(),
                body=b'',
                route=route,
                workspace=f'w{self._rand.randrange(24)}',
                rank=rank,
                arrived_at=self._clock(),
                deadline_at=first_at + 6.0,
                configuration=1,
                model=MODEL,
                cost=cost,
                spent_s=spent_s if spent_s > 0.9 else 0.0,
            )
            try:
                await self._serve(call)
            except verdict.Refusal as exc:
                remaining_s = call.deadline_at - self._clock()
                retry_after_s = min(exc.retry_after_s or 0.5, remaining_s / 3)
                continue
            taken_s = self._clock() - first_at
            load.waits_s.append((call.queued_s, taken_s, attempt, kind.objective_s))
            if taken_s <= kind.objective_s:
                load.in_time += 1
            else:
                load.late += 1
                load.late_retries += bool(attempt)
            return
        load.refused += 1

    async def _serve(self, call):
        """Serve a call up to its first event; the rest goes on in the background."""
        queue, _ = self._rand.choice(self._entries)
        for _ in range(3):
            choice = await queue.acquire_slot(call, SERVICE)
            granted_at = self._clock()
            engine = self.engines[int(choice.backend.server_id[1:])]
            await asyncio.sleep(HOP_S)
            started = asyncio.get_running_loop().create_future()

            def on_event(is_last, choice=choice, started=started, engine=engine):
                if not started.done():
                    choice.backend.mark_prompt_read(call)
                    choice.backend.update_load(engine.total, self._clock())
                    queue.record_start('engines', self._clock() - granted_at)
                    started.set_result(None)
                if is_last:
                    queue.release(call, choice)

            if engine.offer(call, on_event):
                await started
                return
            self.turned_away += 1
            call.tried.append(choice.backend.server_id)
            queue.release(call, choice)
        raise verdict.not_run('refused_by', 503, 0.5)


def make_plain_entry(known, rand, clock, count):
    """Return an admission that decides by its own queue and figures alone."""
    placer = placement.Placer(known, 'd1', {}, rand, clock, lambda service: None)
    return admission.Admission(placer, lambda model: 0, clock)


def make_sharing_entry(known, rand, clock, count):
    """Return an admission that shares the room with `count` entries."""
    room = control.Control(known, lambda: count, rand, clock, lambda model: 0)
    placer = placement.Placer(
        known,
        'd1',
        {},
        rand,
        clock,
        lambda service: None,
        placement.Constraints(own_limit=room.limit_own_calls),
    )
    return admission.Admission(placer, lambda model: 0, clock, room)
