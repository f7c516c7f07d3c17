"""Entries and servers in simulated time: a part of some prompts crashes servers."""

import dataclasses
import functools
import heapq
import itertools
import random

from primrosesaddle.calls import crashes

__all__ = ('Cut', 'FIRST', 'Outcome', 'POISON', 'Simulation', 'Shape')

FIRST = 'first'  # the part that all calls share
POISON = 'poison'
CONTACT_S = 3.0  # an entry is in touch if it was not cut off for this long
SILENT_S = 4.0  # until a server that ended is back
MAX_ATTEMPTS = 3
EXCHANGE_S = 1.0  # each entry tells one other all that it knows this often


@dataclasses.dataclass(frozen=True)
class Cut:
    """Entries that get no messages and send none for a while; messages are lost."""

    entries: frozenset[int]
    begins_s: float
    lasts_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """A fleet, its calls and its disruptions.

    `power_losses` are times at which half of the servers end, `restarts` times at which
    an entry starts anew without its history. With `own_end_s`, each server also ends by
    itself about that long after it started. Poisoned calls come from `poison_from_s`
    on, to entries whose number is below `poisoned_entries`. The last part of a prompt
    is its own; `with_last_part` tells whether it is looked at, too.
    """

    entries: int = 4
    servers: int = 14
    duration_s: float = 30.0
    poisoned_per_s: float = 10.0
    sound_per_s: float = 100.0
    poison_from_s: float = 10.0
    poisoned_entries: int | None = None
    max_delay_s: float = 0.1
    cuts: tuple[Cut, ...] = ()
    power_losses: tuple[float, ...] = ()
    restarts: tuple[tuple[float, int], ...] = ()
    with_last_part: bool = True
    own_end_s: float = 0.0
    sessions: int = 20


@dataclasses.dataclass
class Outcome:
    """What reached servers and what was refused. Times are in simulated seconds."""

    reached: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    crashed_at: list[float] = dataclasses.field(default_factory=list)
    sound_blocked: int = 0
    sound_answered: int = 0
    sound_not_repeated: int = 0
    poisoned_blocked: int = 0
    withheld: int = 0
    blocked_at: list[float] = dataclasses.field(default_factory=list)

    def count_late(self, in_touch_only: bool = True) -> int:
        """Count poisoned calls that reached servers 3 s after the fifth crash."""
        if len(self.crashed_at) < 5:
            return 0
        bound = self.crashed_at[4] + CONTACT_S
        return sum(
            at > bound and (in_touch or not in_touch_only)
            for at, in_touch in self.reached
        )


@dataclasses.dataclass(eq=False)
class _Call:
    parts: tuple[str, ...]
    entry: int
    attempts: int = 0
    is_over: bool = False

    @property
    def is_poisoned(self) -> bool:
        return POISON in self.parts


class Simulation:
    """Runs a fleet of crash histories over simulated time."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Create the fleet."""
        self.shape = shape
        self.outcome = Outcome()
        self.now = 0.0
        self._rand = random.Random(seed)
        self._events = []
        self._serial = itertools.count()
        self._histories = [self._start_entry(each) for each in range(shape.entries)]
        self._starts = [0] * shape.servers
        self._up_from = [0.0] * shape.servers
        self._running = [set() for _ in range(shape.servers)]

    def run(self) -> Outcome:
        """Run until the end, and return what happened."""
        shape = self.shape
        self._repeat(1.0 / shape.sound_per_s, self._begin_sound, 0.0)
        self._repeat(
            1.0 / shape.poisoned_per_s, self._begin_poisoned, shape.poison_from_s
        )
        for number in range(shape.entries):
            self._repeat(EXCHANGE_S, functools.partial(self._exchange, number), 0.0)
        for number in range(shape.servers):
            self._plan_own_end(number)
        for at in shape.power_losses:
            self._at(at, self._lose_power)
        for at, number in shape.restarts:
            self._at(at, functools.partial(self._restart, number))
        for cut in shape.cuts:
            self._at(
                cut.begins_s + cut.lasts_s, functools.partial(self._reconnect, cut)
            )
        while self._events and self._events[0][0] <= shape.duration_s:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def _start_entry(self, number):
        return crashes.CrashHistory(
            lambda: self.now, lambda part: number == len(part) % self.shape.entries
        )

    def _at(self, at, act):
        heapq.heappush(self._events, (at, next(self._serial), act))

    def _after(self, delay_s, act):
        self._at(self.now + delay_s, act)

    def _repeat(self, mean_s, act, begins_s):
        def step():
            act()
            self._after(self._rand.expovariate(1.0 / mean_s), step)

        self._at(begins_s + self._rand.random() * mean_s, step)

    def _begin_sound(self):
        shared = f'shared-{self._rand.randrange(self.shape.sessions)}'
        parts = (FIRST, shared, f'own-{next(self._serial)}')
        self._begin(_Call(parts, self._rand.randrange(self.shape.entries)))

    def _begin_poisoned(self):
        shared = f'shared-{self._rand.randrange(self.shape.sessions)}'
        parts = (FIRST, shared, POISON, f'own-{next(self._serial)}')
        poisoned_entries = self.shape.poisoned_entries or self.shape.entries
        self._begin(_Call(parts, self._rand.randrange(poisoned_entries)))

    def _begin(self, call):
        if not self.shape.with_last_part:
            call.parts = call.parts[:-1]
        if self._histories[call.entry].find_block(call.parts) is None:
            self._send(call)
        elif call.is_poisoned:
            self.outcome.poisoned_blocked += 1
        else:
            self.outcome.sound_blocked += 1
            self.outcome.blocked_at.append(self.now)

    def _send(self, call):
        call.attempts += 1
        up = [each for each, at in enumerate(self._up_from) if at <= self.now]
        if not up:
            return
        server = self._rand.choice(up)
        start = self._starts[server]
        if self._histories[call.entry].awaits_work(call.parts, (f'i-{server}', start)):
            self.outcome.withheld += 1
            return
        self._running[server].add(call)
        if call.is_poisoned:
            self.outcome.reached.append((self.now, self._is_in_touch(call.entry)))
            self._after(
                self._rand.uniform(0.05, 0.3), lambda: self._crash(server, start)
            )
        else:
            self._after(
                self._rand.uniform(0.1, 0.8), lambda: self._answer(server, start, call)
            )

    def _answer(self, server, start, call):
        if start != self._starts[server] or call not in self._running[server]:
            return
        self._running[server].discard(call)
        self.outcome.sound_answered += 1
        history = self._histories[call.entry]
        incarnation = (f'i-{server}', start)
        if history.record_working(incarnation):
            self._tell(call.entry, history.export_crash(incarnation))
        told = history.record_sound(call.parts)
        if told:
            clearances = tuple(crashes.Clearance(part, 0.0) for part in told)
            self._tell(call.entry, crashes.Facts(clearances=clearances))

    def _crash(self, server, start):
        if start == self._starts[server]:
            self.outcome.crashed_at.append(self.now)
            self._end_server(server)

    def _plan_own_end(self, server):
        if not self.shape.own_end_s:
            return
        start = self._starts[server]
        delay_s = self._rand.expovariate(1.0 / self.shape.own_end_s)

        def end():
            if start == self._starts[server]:
                self._end_server(server)

        self._at(self._up_from[server] + delay_s, end)

    def _lose_power(self):
        for server in range(0, self.shape.servers, 2):
            self._after(
                self._rand.uniform(0.0, 0.1),
                functools.partial(self._end_server, server),
            )

    def _end_server(self, server):
        incarnation = (f'i-{server}', self._starts[server])
        self._starts[server] += 1
        self._up_from[server] = self.now + SILENT_S
        self._plan_own_end(server)
        broken_off = sorted(self._running[server], key=lambda call: call.parts)
        self._running[server] = set()
        for entry in {call.entry for call in broken_off}:
            parts = {
                part
                for call in broken_off
                if call.entry == entry
                for part in call.parts
            }
            if self._histories[entry].record_crash(incarnation, parts):
                facts = self._histories[entry].export_crash(incarnation)
                self._tell(entry, facts)
        for call in broken_off:
            self._repeat_call(call)

    def _repeat_call(self, call):
        history = self._histories[call.entry]
        if history.is_suspect(call.parts) or call.attempts >= MAX_ATTEMPTS:
            self.outcome.sound_not_repeated += not call.is_poisoned
        elif history.find_block(call.parts) is None:
            self._send(call)
        else:
            self.outcome.sound_blocked += not call.is_poisoned

    def _tell(self, sender, facts):
        for receiver in range(self.shape.entries):
            if receiver != sender:
                self._deliver(sender, receiver, facts)

    def _deliver(self, sender, receiver, facts):
        if self._is_cut(sender) or self._is_cut(receiver):
            return
        self._after(
            self._rand.uniform(0.0, self.shape.max_delay_s),
            lambda: self._receive(sender, receiver, facts),
        )

    def _receive(self, sender, receiver, facts):
        if not self._is_cut(receiver):
            self._histories[receiver].merge(facts, f'entry-{sender}')

    def _exchange(self, sender):
        receiver = self._rand.randrange(self.shape.entries)
        if receiver != sender:
            self._deliver(sender, receiver, self._histories[sender].export())

    def _reconnect(self, cut):
        for number in sorted(cut.entries):
            self._tell(number, self._histories[number].export())
            other = (number + 1) % self.shape.entries
            self._deliver(other, number, self._histories[other].export())

    def _restart(self, number):
        self._histories[number] = self._start_entry(number)
        other = (number + 1) % self.shape.entries
        self._deliver(other, number, self._histories[other].export())

    def _is_cut(self, entry):
        return any(
            entry in cut.entries
            and cut.begins_s <= self.now < cut.begins_s + cut.lasts_s
            for cut in self.shape.cuts
        )

    def _is_in_touch(self, entry):
        return not any(
            entry == number and at <= self.now < at + CONTACT_S
            for at, number in self.shape.restarts
        ) and not any(
            entry in cut.entries
            and cut.begins_s <= self.now < cut.begins_s + cut.lasts_s + CONTACT_S
            for cut in self.shape.cuts
        )
