"""Plan which agent fetches which chunk of a version, and from where.

In each region, rendezvous hashing selects a first fetcher for every chunk. In the
store's region the first fetcher reads the chunk from the store. One other region,
the relay region, which differs from chunk to chunk, fetches it from the store's
region; all remaining regions fetch it from the relay region. No link between two
regions carries a chunk twice.
"""

import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence

from primrosesaddle.core import rendezvous
from primrosesaddle.weights import holders as holder_table

__all__ = ('Receivers', 'Plan', 'Upstream', 'make_plan', 'pick_next_chunk')

MIN_LEASE_S = 8.0
LEASE_CHUNKS = 6
IN_FLIGHT_PER_HOLDER = 2
FETCHERS_PER_CHUNK = 4
FETCHERS_PER_REGION = 32
MAX_WEIGHT_TO_MEDIAN = 2.0
RARITY_SAMPLE_CHUNKS = 12
MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Upstream:
    """The source of a chunk for a first fetcher: the store, or holders in a region."""

    from_store: bool
    region: str = ''


@dataclasses.dataclass(frozen=True)
class Plan:
    """The fetches of one version in a region; sequences are indexed by chunk.

    `fetchers` lists the fetchers of each chunk in this region, the first fetcher
    and then its successors. `upstream_fetchers` names, by upstream region, the
    first fetcher of each chunk there. `senders` names, by destination region, the
    agent here that is the first to send each chunk that goes there.
    """

    region: str
    upstreams: tuple[Upstream, ...]
    fetchers: tuple[tuple[str, ...], ...]
    upstream_fetchers: Mapping[str, tuple[str, ...]]
    senders: Mapping[str, tuple[str, ...]]

    def positions_of(self, name: str) -> dict[int, int]:
        """Return an agent's position among the fetchers of each of its chunks."""
        return {
            index: names.index(name)
            for index, names in enumerate(self.fetchers)
            if name in names
        }

    def outgoing_share(self, region: str, name: str) -> float:
        """Return an agent's share of the link from this region to another.

        The share is proportional to the number of chunks that the agent is the
        first to send there, so that all senders of a region finish together.
        """
        senders = self.senders.get(region, ())
        return max(1, senders.count(name)) / max(1, len(senders))


@dataclasses.dataclass(frozen=True)
class Receivers:
    """The agents that want a version: their rendezvous weights by region and name."""

    weights: Mapping[str, Mapping[str, float]]
    store_region: str


def relay_region(index: int, regions: Sequence[str], store_region: str) -> str:
    """Return the region that fetches a chunk directly from the store's region."""
    remote = sorted(region for region in regions if region != store_region)
    return remote[index % len(remote)] if remote else store_region


def select_upstream(
    index: int,
    region: str,
    regions: Sequence[str],
    store_region: str,
) -> Upstream:
    """Return the source from which a region's first fetcher of a chunk reads it."""
    if region == store_region or store_region not in regions:
        return Upstream(from_store=True)
    direct = relay_region(index, regions, store_region)
    if region == direct:
        return Upstream(from_store=False, region=store_region)
    return Upstream(from_store=False, region=direct)


def make_plan(digest: str, chunks: int, region: str, receivers: Receivers) -> Plan:
    """Return the plan for fetching a version of some number of chunks in a region."""
    weights = {
        region_name: _select_fetching_agents(digest, agent_weights)
        for region_name, agent_weights in receivers.weights.items()
        if agent_weights
    }
    regions = list(weights)
    upstreams = tuple(
        select_upstream(index, region, regions, receivers.store_region)
        for index in range(chunks)
    )
    fetchers = tuple(
        _rank_fetchers(digest, index, weights.get(region, {}))
        for index in range(chunks)
    )
    upstream_fetchers = {
        other_region: tuple(
            (_rank_fetchers(digest, index, weights[other_region]) or ('',))[0]
            for index in range(chunks)
        )
        for other_region in {
            upstream.region for upstream in upstreams if upstream.region
        }
    }
    senders = {
        other_region: _list_senders(
            region, other_region, fetchers, regions, receivers.store_region
        )
        for other_region in regions
        if other_region != region
    }
    return Plan(region, upstreams, fetchers, upstream_fetchers, senders)


def _select_fetching_agents(
    digest: str, weights: Mapping[str, float]
) -> dict[str, float]:
    """Select the agents that fetch for their region, at most FETCHERS_PER_REGION."""
    chosen = rendezvous.order(digest, weights)[:FETCHERS_PER_REGION]
    return {name: weights[name] for name in chosen}


def _list_senders(
    region: str,
    destination: str,
    fetchers: Sequence[Sequence[str]],
    regions: Sequence[str],
    store_region: str,
) -> tuple[str, ...]:
    """Return the first fetchers here of the chunks that a region takes from here."""
    return tuple(
        names[0]
        for index, names in enumerate(fetchers)
        if names
        and select_upstream(index, destination, regions, store_region).region == region
    )


def _rank_fetchers(
    digest: str,
    index: int,
    weights: Mapping[str, float],
) -> tuple[str, ...]:
    """Return the fetchers of a chunk in a region, the first fetcher first."""
    ordered = rendezvous.weighted_order(f'{digest}:{index}', weights)
    return tuple(ordered[:FETCHERS_PER_CHUNK])


def lease_s(chunk_bytes: int, bytes_per_s: float) -> float:
    """Return the seconds without progress after which a fetcher's successor starts."""
    return max(MIN_LEASE_S, LEASE_CHUNKS * chunk_bytes / bytes_per_s)


def may_fetch(idle_s: Sequence[float], lease_duration_s: float) -> bool:
    """Return whether a fetcher may fetch a chunk now.

    `idle_s` holds, for each fetcher before this one, the seconds since it last
    reported a new chunk. The first fetcher starts at once, a successor when the
    leases of all fetchers before it have expired.
    """
    return all(idle >= lease_duration_s for idle in idle_s)


def capped_weights(rates: Mapping[str, float]) -> dict[str, float]:
    """Return rendezvous weights equal to link rates, capped at twice the median."""
    ordered = sorted(rates.values())
    if not ordered:
        return {}
    cap = MAX_WEIGHT_TO_MEDIAN * ordered[len(ordered) // 2]
    return {name: min(rate, cap) for name, rate in rates.items()}


def pick_next_chunk(
    missing: Sequence[int],
    holders: Mapping[str, int],
    expected_wait_s: Callable[[str], float],
    rand: random.Random,
) -> tuple[int, str] | None:
    """Select a rare missing chunk and a holder of it; return both, or None.

    `holders` maps names to bit sets of chunk indexes. `expected_wait_s` returns the
    seconds until a holder would send a chunk. Only a random sample of the missing
    chunks is compared, so that neighbours do not all request the same chunk.
    """
    waits_s = {name: expected_wait_s(name) for name in holders}
    free = [name for name in holders if waits_s[name] < MAX_WAIT_S]
    available = holder_table.unite(holders[name] for name in free)
    obtainable = [index for index in missing if available >> index & 1]
    if not obtainable:
        return None
    sample = rand.sample(obtainable, min(RARITY_SAMPLE_CHUNKS, len(obtainable)))
    index = min(sample, key=lambda candidate: _count_holders(holders, candidate))
    names = [name for name in free if holders[name] >> index & 1]
    return index, min(names, key=lambda name: (waits_s[name], rand.random()))


def _count_holders(holders: Mapping[str, int], index: int) -> int:
    return sum(bits >> index & 1 for bits in holders.values())
