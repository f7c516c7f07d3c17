"""Measure the slopes behind docs/CAPACITY.md, and rewrite its table of slopes."""

import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence

from demo import layout, ports
from demo.standins import common, conf

from bench import configspread, path, report
from primrosesaddle.configuration import catalogue
from primrosesaddle.core import positions, rendezvous
from primrosesaddle.gateway import fairqueue, limits, router
from primrosesaddle.membership import link, membertable, peers, wire
from primrosesaddle.telemetry import journal
from primrosesaddle.weights import fetchplan

__all__ = ('main',)

PAGE = pathlib.Path('docs/CAPACITY.md')
BEGIN = '<!-- slopes: begin -->'
END = '<!-- slopes: end -->'
IDLE_S = 4.0
REPEATS = 200


@dataclasses.dataclass(frozen=True)
class Slope:
    """Figures at several sizes, and the line through them."""

    what: str
    unit: str
    sizes: tuple[int, ...]
    figures: tuple[float, ...]

    @property
    def line(self) -> tuple[float, float]:
        """Return what one more of the size costs, and the cost at none."""
        fit = statistics.linear_regression(self.sizes, self.figures)
        return fit.slope, fit.intercept

    def row(self) -> str:
        """Return the row of the table."""
        each, base = self.line
        shown = ', '.join(
            f'{size}: {figure:.3g}'
            for size, figure in zip(self.sizes, self.figures, strict=True)
        )
        return f'| {self.what} | {self.unit} | {shown} | {each:.3g} | {base:.3g} |'


def time_us(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one run of some work in microseconds."""
    began = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - began) / repeats * 1e6


def over(
    what: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Slope:
    """Measure at each size, and return the slope."""
    figures = tuple(measure(size) for size in sizes)
    return Slope(what, unit, tuple(sizes), figures)


def _card(index: int) -> wire.Card:
    return wire.Card(
        f'agent-{index}',
        'agent',
        f'{index:013x}-abcdefgh',
        f'10.0.0.1:{index}',
        'region-1',
        'data-centre-1',
        layout.MODEL,
        'engine',
        '',
        125_000_000,
    )


def _peer_memory(count: int) -> float:
    hooks = link.Hooks(
        lambda channel, rid, body: None,
        lambda channel, position: None,
        lambda: positions.START,
    )
    members = membertable.MemberTable(_card(0), hooks, None, random.Random(1))
    members.on_linked.clear()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for index in range(1, count + 1):
        channel = link.Channel(lambda frames: None, int)
        channel.card = _card(index)
        members.peers[channel.card.name] = peers.Peer(
            channel.card, channel, 0.0, state_labels=('assistant=' + 'a' * 64,)
        )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / 1000


def _document(count: int) -> bytes:
    entries = [
        {'kind': 'work', 'name': f'w{index}', 'owner': 'o', 'class': 'c', 'rank': 'low'}
        for index in range(count)
    ]
    return json.dumps({'revision': 1, 'entries': entries}).encode()


def _parse_us(count: int) -> float:
    text = _document(count)
    return time_us(lambda: catalogue.parse(text, 'capacity'), 5)


def _delta_us(count: int) -> float:
    old = catalogue.parse(_document(count), 'capacity')
    extra = catalogue.Work(name='extra', owner='o', class_='c', rank='low')
    new = catalogue.build(2, [*old.entries.values(), extra])
    delta = catalogue.make_delta(old, new)
    return time_us(lambda: catalogue.apply_delta(old, delta), 5)


def _queue_us(count: int) -> float:
    queue = fairqueue.FairQueue(fairqueue.QueueLimits(count * 2, 1.0))
    serial = iter(range(10_000_000))

    def add() -> None:
        number = next(serial)
        queue.enqueue(
            fairqueue.QueuedCall(
                str(number), f'w{number % 50}', catalogue.Rank.STANDARD, 10.0, 1e9
            ),
            0.0,
        )

    for _ in range(count):
        add()

    def cycle() -> None:
        add()
        queue.pop_next()

    return time_us(cycle)


def _choose_us(count: int) -> float:
    servers = [
        router.Server(f's{index}', index % 5, 0, 16, 0, 100.0) for index in range(count)
    ]
    rand = random.Random(1)
    return time_us(lambda: router.choose_server(servers, 'prefix', rand))


def _limiter_us(count: int) -> float:
    limiter = limits.WorkspaceLimiter('e0', lambda workspace: (100.0, 1e5))
    names = [f'e{index}' for index in range(9)]
    limiter.set_members(names)
    for index in range(count):
        limiter.admit(f'w{index}', 10, 0.0)
    told = limits.DemandReport({f'w{index}': (1.0, 0.1) for index in range(count)})
    for name in names[1:]:
        limiter.update_from_report(name, told, 0.5)

    def step() -> None:
        for index in range(count):
            limiter.is_flooded(f'w{index}', 1.0)
        limiter.update_shares(1.0)

    return time_us(step, 20)


def _plan_us(count: int) -> float:
    weights = {
        region: {f'{region}{index}': 1.0 for index in range(32)} for region in 'abc'
    }
    peering = fetchplan.Receivers(weights, 'a')
    return time_us(lambda: fetchplan.make_plan('d', count, 'b', peering), 2)


def _order_us(count: int) -> float:
    names = [f'n{index}' for index in range(count)]
    return time_us(lambda: rendezvous.order('key', names), 50)


async def _idle_ms(count: int) -> float:
    """Return the processor time of one node in milliseconds a second."""
    service = conf.ConfigurationService()
    address = ports.free_address()
    server = common.serve(conf.routes(service), address)
    service.publish(configspread.document(0))
    made = configspread.Fleet(count, f'http://{address}/v1/catalogue')
    made.start()
    await made.hold(1)
    await asyncio.sleep(2)
    began = time.process_time()
    await asyncio.sleep(IDLE_S)
    used = time.process_time() - began
    links = statistics.mean(len(node.members.peers) for node in made.nodes)
    await made.stop()
    server.stop()
    sys.stdout.write(f'capacity nodes={count} links={links:.1f}\n')
    return used / IDLE_S / count * 1000


def heartbeat_bytes() -> int:
    """Return the size of a heartbeat with two live versions in bytes."""
    marks = ('assistant=' + 'a' * 64, 'chemistry=' + 'b' * 64)
    beat = wire.Heartbeat(1000, False, wire.Load(4, 10, 16, 900.0), marks)
    return len(wire.encode(wire.Envelope(1000, 0, False, beat)))


def measure() -> list[Slope]:
    """Measure every slope."""
    sizes = (8, 24, 48)
    idle = tuple(asyncio.run(_idle_ms(count)) for count in sizes)
    return [
        Slope('node at rest, by fleet', 'ms of cpu a second', sizes, idle),
        over('peer table', 'kB', (100, 300, 1000), _peer_memory),
        over('catalogue, whole parse, by entries', 'us', (100, 1000, 4000), _parse_us),
        over('catalogue, one delta, by entries', 'us', (100, 1000, 4000), _delta_us),
        over('queue, offer and take, by length', 'us', (32, 128, 512), _queue_us),
        over('router, one choice, by servers', 'us', (8, 24, 96), _choose_us),
        over('limiter, one step, by workspaces', 'us', (10, 100, 1000), _limiter_us),
        over('plan of a version, by chunks', 'us', (64, 256, 1024), _plan_us),
        over('rendezvous order, by names', 'us', (32, 128, 512), _order_us),
    ]


def _call_rows() -> list[str]:
    figures = asyncio.run(path.measure())
    report.write_all('path', figures)
    return [f'- {one.name} = {one.value:.4g} {one.note}'.rstrip() for one in figures]


def table(slopes: list[Slope], rows: list[str]) -> str:
    """Return the part of the page between its marks."""
    lines = [
        BEGIN,
        '',
        '| what | unit | measured, size: figure | each more | at none |',
        '| --- | --- | --- | --- | --- |',
        *(slope.row() for slope in slopes),
        '',
        f'- heartbeat with two live versions = {heartbeat_bytes()} bytes',
        *rows,
        '',
        END,
    ]
    return '\n'.join(lines)


def main() -> None:
    """Measure, and rewrite the table of the page."""
    journal.configure('ERROR')
    made = table(measure(), _call_rows())
    sys.stdout.write(f'{made}\n')
    if PAGE.exists():
        text = PAGE.read_text(encoding='utf-8')
        before, _, rest = text.partition(BEGIN)
        after = rest.partition(END)[2]
        PAGE.write_text(f'{before}{made}{after}', encoding='utf-8')


if __name__ == '__main__':
    main()
