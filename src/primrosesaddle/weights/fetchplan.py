"""Who fetches which chunk from where: decisions of the spread of one version.

Every chunk has one first fetcher in each region, by rendezvous. In the store's
region it reads the store. Of the other regions one, which differs from chunk to
chunk, takes it from the store's region, and the rest take it from that one, so
that no pair of regions carries a chunk twice.
"""

import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence

from primrosesaddle.core import rendezvous
from primrosesaddle.weights import holders as holder_table

__all__ = ('Receivers', 'Plan', 'Upstream', 'make_plan', 'pick_next_chunk')

LEASE_S = 8.0
LEASE_CHUNKS = 6
IN_FLIGHT_PER_HOLDER = 2
SUCCESSORS = 4
FETCHERS_PER_REGION = 32
WEIGHT_CAP = 2.0
RARITY_SAMPLE = 12
MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Upstream:
    """Where a first fetcher takes a chunk: the store, or holders in a region."""

    from_store: bool
    region: str = ''


@dataclasses.dataclass(frozen=True)
class Plan:
    """The fetchers of every chunk in this region, first and successors."""

    region: str
    upstreams: tuple[Upstream, ...]
    fetchers: tuple[tuple[str, ...], ...]
    upstream_fetchers: Mapping[str, tuple[str, ...]]
    senders: Mapping[str, tuple[str, ...]]

    def positions_of(self, name: str) -> dict[int, int]:
        """Return a process's place among the fetchers of each of its chunks."""
        return {
            index: names.index(name)
            for index, names in enumerate(self.fetchers)
            if name in names
        }

    def outgoing_share(self, region: str, name: str) -> float:
        """Return a process's part of what leaves this region for another.

        It is in proportion to the chunks that it is the first to send there, so
        that all senders of a region end together.
        """
        senders = self.senders.get(region, ())
        return max(1, senders.count(name)) / max(1, len(senders))


@dataclasses.dataclass(frozen=True)
class Receivers:
    """The agents that want a version, by region, with their weights."""

    weights: Mapping[str, Mapping[str, float]]
    store_region: str


def relay_region(index: int, regions: Sequence[str], store_region: str) -> str:
    """Return the region that takes a chunk straight from the store's region."""
    remote = sorted(region for region in regions if region != store_region)
    return remote[index % len(remote)] if remote else store_region


def select_upstream(
    index: int,
    region: str,
    regions: Sequence[str],
    store_region: str,
) -> Upstream:
    """Return where the first fetcher of a chunk in a region takes it."""
    if region == store_region or store_region not in regions:
        return Upstream(from_store=True)
    direct = relay_region(index, regions, store_region)
    if region == direct:
        return Upstream(from_store=False, region=store_region)
    return Upstream(from_store=False, region=direct)


def make_plan(digest: str, chunks: int, region: str, peering: Receivers) -> Plan:
    """Plan the fetches of a version in a region, and return the plan."""
    weights = {
        name: _candidates(digest, found)
        for name, found in peering.weights.items()
        if found
    }
    regions = list(weights)
    upstreams = tuple(
        select_upstream(index, region, regions, peering.store_region)
        for index in range(chunks)
    )
    fetchers = tuple(
        _fetchers(digest, index, weights.get(region, {})) for index in range(chunks)
    )
    remote_first = {
        other: tuple(
            (_fetchers(digest, index, weights[other]) or ('',))[0]
            for index in range(chunks)
        )
        for other in {upstream.region for upstream in upstreams if upstream.region}
    }
    senders = {
        other: _senders(region, other, fetchers, regions, peering.store_region)
        for other in regions
        if other != region
    }
    return Plan(region, upstreams, fetchers, remote_first, senders)


def _candidates(digest: str, weights: Mapping[str, float]) -> dict[str, float]:
    """Return the agents of a region that fetch for it, a bounded number."""
    chosen = rendezvous.order(digest, weights)[:FETCHERS_PER_REGION]
    return {name: weights[name] for name in chosen}


def _senders(
    region: str,
    other: str,
    fetchers: Sequence[Sequence[str]],
    regions: Sequence[str],
    store_region: str,
) -> tuple[str, ...]:
    return tuple(
        names[0]
        for index, names in enumerate(fetchers)
        if names
        and select_upstream(index, other, regions, store_region).region == region
    )


def _fetchers(
    digest: str,
    index: int,
    weights: Mapping[str, float],
) -> tuple[str, ...]:
    ordered = rendezvous.weighted_order(f'{digest}:{index}', weights)
    return tuple(ordered[:SUCCESSORS])


def lease_s(chunk_bytes: int, bytes_per_s: float) -> float:
    """Return how long a fetcher may show nothing new before its successor acts."""
    return max(LEASE_S, LEASE_CHUNKS * chunk_bytes / bytes_per_s)


def may_fetch(quiet_s: Sequence[float], lease: float) -> bool:
    """Tell whether a fetcher's lease on a chunk has begun.

    `quiet_s` holds, for each fetcher before this one, the seconds since it last
    showed something new. The first fetcher begins at once, a successor when
    every lease before its own has run out.
    """
    return all(quiet >= lease for quiet in quiet_s)


def capped_weights(rates: Mapping[str, float]) -> dict[str, float]:
    """Return weights in proportion to link rates, none above twice the median."""
    ordered = sorted(rates.values())
    if not ordered:
        return {}
    cap = WEIGHT_CAP * ordered[len(ordered) // 2]
    return {name: min(rate, cap) for name, rate in rates.items()}


def pick_next_chunk(
    missing: Sequence[int],
    holders: Mapping[str, int],
    expected_wait: Callable[[str], float],
    rand: random.Random,
) -> tuple[int, str] | None:
    """Pick a rare chunk that some holder has time for, and the holder.

    `holders` maps names to the bits of what they hold, `expected_wait` gives the
    seconds until a holder would send. A few of the missing chunks are compared,
    drawn at random so that neighbours do not all want the same.
    """
    waits = {name: expected_wait(name) for name in holders}
    free = [name for name in holders if waits[name] < MAX_WAIT_S]
    union = holder_table.unite(holders[name] for name in free)
    wanted = [index for index in missing if union >> index & 1]
    if not wanted:
        return None
    sample = rand.sample(wanted, min(RARITY_SAMPLE, len(wanted)))
    index = min(sample, key=lambda found: _count_holders(holders, found))
    names = [name for name in free if holders[name] >> index & 1]
    return index, min(names, key=lambda name: (waits[name], rand.random()))


def _count_holders(holders: Mapping[str, int], index: int) -> int:
    return sum(bits >> index & 1 for bits in holders.values())
