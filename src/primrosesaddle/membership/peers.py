"""State of known peers, and the selection of peers to connect to."""

import dataclasses
from collections.abc import Iterable

from primrosesaddle.core import rendezvous
from primrosesaddle.membership import link, wire

__all__ = (
    'Candidate',
    'Peer',
    'choose_links',
    'find_fastest_rtt_s',
    'heartbeat_interval_s',
    'is_outdated',
)

HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_S = 1.6  # a peer that is silent for longer gets no new work
DEAD_S = 3.0  # a peer that is silent for longer is removed
HEARTBEAT_BYTES = 200
CONTROL_BYTES_PER_S = 4096  # budget for heartbeats to all peers
# Links that an agent opens to other agents: of the same served name in the same region,
# of the same name in each other region, and of each other name and region.
NEIGHBOURS = 12
REMOTE_NEIGHBOURS = 4
OTHER_NAME_NEIGHBOURS = 1
AGENTS_PER_NAME = 24  # links that an entry opens to agents of each served name
ENTRIES_PER_ENTRY = 32
ENTRIES_PER_AGENT = 20


@dataclasses.dataclass
class Peer:
    """The state of one peer; times are in seconds of the monotonic clock.

    `channel` is the one on which messages to the peer are sent; there may be others.
    `state_labels` and `load` are those of its last heartbeat; `versions` maps the names
    that it serves to the digests of their live versions. `rtt_s` is the last round
    trip, 0 if there was none.
    """

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
        """Tell whether the peer was heard from in the last `suspect_s` seconds."""
        return not self.channel.closed and now - self.last_heard_at < suspect_s


@dataclasses.dataclass
class Candidate:
    """An address to connect to, from the settings, the instance list or a roster.

    The other fields are empty if only the address is known.
    """

    address: str
    role: str = ''
    name: str = ''
    serves: str = ''
    region: str = ''
    data_centre: str = ''


def is_outdated(current: link.Channel, heard: link.Channel, suspect_s: float) -> bool:
    """Tell whether messages to a peer go another way than the one heard from now.

    That is so if the current channel is closed, or has been silent for `suspect_s`
    longer than the one on which the peer was just heard from.
    """
    if current is heard:
        return False
    return current.closed or heard.last_heard_at - current.last_heard_at > suspect_s


def heartbeat_interval_s(peer_count: int) -> float:
    """Return the interval at which heartbeats to all peers stay within the budget."""
    return max(HEARTBEAT_INTERVAL_S, peer_count * HEARTBEAT_BYTES / CONTROL_BYTES_PER_S)


def find_fastest_rtt_s(known: Iterable[Peer], data_centre: str) -> float:
    """Return the round trip in seconds to the fastest peer of a data centre.

    Returns 0 if none is known.
    """
    rtts_s = (
        peer.rtt_s
        for peer in known
        if peer.rtt_s and peer.card.data_centre == data_centre
    )
    return min(rtts_s, default=0.0)


def choose_links(card: wire.Card, candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates to which the process of a card opens connections.

    An entry connects to a limited number of agents for each served name and of
    entries; an agent connects to a limited number of entries and of other agents.
    """
    others = [
        candidate for candidate in candidates if candidate.address != card.address
    ]
    chosen = [candidate for candidate in others if not candidate.role]
    entries = [candidate for candidate in others if candidate.role == 'entry']
    agents = [candidate for candidate in others if candidate.role == 'agent']
    if card.role == 'entry':
        chosen += _subset(card.name, entries, ENTRIES_PER_ENTRY)
        names = {candidate.serves for candidate in agents}
        for name in sorted(names):
            serving = [candidate for candidate in agents if candidate.serves == name]
            chosen += _subset(card.name, serving, AGENTS_PER_NAME)
        return chosen
    chosen += _subset(card.name, entries, ENTRIES_PER_AGENT)
    groups: dict[tuple[str, str], list[Candidate]] = {}
    for candidate in agents:
        groups.setdefault((candidate.serves, candidate.region), []).append(candidate)
    for (serves, region), group in groups.items():
        is_near = serves == card.serves and region == card.region
        count = NEIGHBOURS if is_near else REMOTE_NEIGHBOURS
        chosen += _subset(
            card.name, group, count if serves == card.serves else OTHER_NAME_NEIGHBOURS
        )
    return chosen


def _subset(key: str, candidates: list[Candidate], count: int) -> list[Candidate]:
    """Return up to `count` candidates, selected by the rendezvous hash of a key."""
    by_address = {candidate.address: candidate for candidate in candidates}
    return [by_address[name] for name in rendezvous.order(key, by_address)[:count]]


def parse_versions(state_labels: tuple[str, ...]) -> dict[str, str]:
    """Return the digests of the live versions by served name.

    Labels of live versions have the form `name=digest`. Labels that begin with `!` are
    of versions that failed.
    """
    pairs = (
        label.partition('=') for label in state_labels if not label.startswith('!')
    )
    return {target: digest for target, _, digest in pairs}
