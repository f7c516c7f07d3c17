"""Peers: what is known of one, and which ones a process connects to itself."""

import dataclasses
from collections.abc import Iterable

from primrosesaddle.core import rendezvous
from primrosesaddle.membership import link, wire

__all__ = ('Candidate', 'Peer', 'choose_links', 'heartbeat_interval_s')

HEARTBEAT_S = 0.5
SUSPECT_S = 1.6
DEAD_S = 3.0
HEARTBEAT_BYTES = 200
CONTROL_BYTES_PER_S = 4096
NEIGHBOURS = 12
REMOTE_NEIGHBOURS = 4
STRANGERS = 1
AGENTS_PER_NAME = 24
ENTRIES_PER_ENTRY = 32
ENTRIES_PER_AGENT = 20


@dataclasses.dataclass
class Peer:
    """What is known of one peer; times are of the monotonic clock."""

    card: wire.Card
    channel: link.Channel
    last_heard_at: float
    leaving: bool = False
    load: wire.Load = dataclasses.field(default_factory=wire.Load)
    state_labels: tuple[str, ...] = ()
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    rtt_s: float = 0
    first_seen_at: float = 0

    def is_alive(self, now: float, suspect_s: float = SUSPECT_S) -> bool:
        """Tell whether the peer gave a sign of life lately."""
        return not self.channel.closed and now - self.last_heard_at < suspect_s


@dataclasses.dataclass
class Candidate:
    """An address to connect to, from the settings or the instance list."""

    address: str
    role: str = ''
    name: str = ''
    serves: str = ''
    region: str = ''
    data_centre: str = ''


def heartbeat_interval_s(peers: int) -> float:
    """Return the interval that keeps heartbeats to all peers within the budget."""
    return max(HEARTBEAT_S, peers * HEARTBEAT_BYTES / CONTROL_BYTES_PER_S)


def choose_links(card: wire.Card, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates that this process connects to itself.

    An entry connects to a bounded set of agents for each served name and to
    entries; an agent connects to entries and to a bounded set of neighbours.
    """
    known = [cand for cand in candidates if cand.address != card.address]
    chosen = [cand for cand in known if not cand.role]
    entries = [cand for cand in known if cand.role == 'entry']
    agents = [cand for cand in known if cand.role == 'agent']
    if card.role == 'entry':
        chosen += _subset(card.name, entries, ENTRIES_PER_ENTRY)
        names = {cand.serves for cand in agents}
        for name in sorted(names):
            serving = [cand for cand in agents if cand.serves == name]
            chosen += _subset(card.name, serving, AGENTS_PER_NAME)
        return chosen
    chosen += _subset(card.name, entries, ENTRIES_PER_AGENT)
    groups: dict[tuple[str, str], list[Candidate]] = {}
    for cand in agents:
        groups.setdefault((cand.serves, cand.region), []).append(cand)
    for (serves, region), found in groups.items():
        close = serves == card.serves and region == card.region
        count = NEIGHBOURS if close else REMOTE_NEIGHBOURS
        chosen += _subset(
            card.name, found, count if serves == card.serves else STRANGERS
        )
    return chosen


def _subset(key: str, found: list[Candidate], count: int) -> list[Candidate]:
    by_address = {cand.address: cand for cand in found}
    return [by_address[name] for name in rendezvous.order(key, by_address)[:count]]


def parse_versions(marks: tuple[str, ...]) -> dict[str, str]:
    """Return the live versions in a heartbeat's marks, by the name served."""
    pairs = (mark.partition('=') for mark in marks if not mark.startswith('!'))
    return {target: digest for target, _, digest in pairs}
