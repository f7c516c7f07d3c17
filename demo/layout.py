"""The processes of the demonstration fleet, and its first catalogue."""

import dataclasses
import hashlib
import typing

__all__ = ('Node', 'catalogue', 'nodes')

REGIONS = (('norte', 'quito-a'), ('austro', 'cuenca-a'), ('costa', 'guayaquil-a'))
STORE_REGION = 'norte'
MODEL = 'assistant'
PLANNER = 'planner'
ADAPTER = 'chemistry'
SERVICE = 'bookings'
VERSION_BYTES = 2_000_000
ADAPTER_BYTES = 200_000
CHUNK_BYTES = 64 * 1024
TOKENS = {
    'lab-quito': 'token-lab-quito',
    'lab-cuenca': 'token-lab-cuenca',
    'lab-guayaquil': 'token-lab-guayaquil',
    'weddings': 'token-weddings',
}
HOMES = ('book-1', 'book-2', 'book-3')


@dataclasses.dataclass(frozen=True)
class Node:
    """A process of the system: an entry, or an agent with its backend server."""

    name: str
    role: str
    region: str
    data_centre: str
    serves: str = ''
    kind: str = ''


def nodes(entries: int = 4, engines: int = 6, planners: int = 2) -> list[Node]:
    """Return the nodes of a fleet, assigned to the regions in turn."""
    fleet_nodes = []
    for index in range(entries):
        fleet_nodes.append(Node(f'entry-{index + 1}', 'entry', *_region_at(index)))
    for index in range(engines):
        fleet_nodes.append(
            Node(f'asst-{index + 1}', 'agent', *_region_at(index), MODEL, 'engine'),
        )
    for index in range(planners):
        fleet_nodes.append(
            Node(f'plan-{index + 1}', 'agent', *_region_at(index), PLANNER, 'engine'),
        )
    for index, name in enumerate(HOMES):
        fleet_nodes.append(Node(name, 'agent', *_region_at(index), SERVICE, 'plain'))
    return fleet_nodes


def catalogue(manifests: dict[str, str], version: str) -> dict[str, typing.Any]:
    """Return the first catalogue, without a revision.

    `manifests` maps versions to manifest digests, `version` is the one of MODEL.
    """
    owned = {'owner': 'platform', 'class': 'shared'}
    entries: list[dict[str, typing.Any]] = [
        {'kind': 'version', 'name': name, **owned, 'manifest': digest}
        for name, digest in manifests.items()
    ]
    entries.append({'kind': 'model', 'name': MODEL, **owned, 'version': version})
    entries.append(
        {
            'kind': 'model',
            'name': PLANNER,
            **owned,
            'version': 'planner-v1',
            'limits': {'switching_share': 0.5},
            'engine': {'checks_fencing': False},
        }
    )
    entries.append(
        {
            'kind': 'adapter',
            'name': ADAPTER,
            **owned,
            'base': MODEL,
            'version': 'chemistry-v1',
        }
    )
    entries.append(
        {
            'kind': 'service',
            'name': SERVICE,
            **owned,
            'servers': list(HOMES),
        }
    )
    for name, rank in (
        ('confirmation', 'urgent'),
        ('plan', 'standard'),
        ('reminder', 'low'),
    ):
        entries.append({'kind': 'work', 'name': name, **owned, 'rank': rank})
    for name, token in TOKENS.items():
        entries.append(
            {
                'kind': 'workspace',
                'name': name,
                'owner': name,
                'class': 'lab',
                'token_sha256': hashlib.sha256(token.encode()).hexdigest(),
                'may_use': [MODEL, PLANNER, ADAPTER, SERVICE],
                'work': 'plan',
                'limits': {'requests_per_s': 200, 'tokens_per_s': 100_000},
            }
        )
    return {'entries': entries}


def _region_at(index: int) -> tuple[str, str]:
    """Return the region and data centre of the node at an index."""
    return REGIONS[index % len(REGIONS)]
