"""Configuration of one process: identity, addresses and time limits."""

import dataclasses
from collections.abc import Mapping

__all__ = ('Bounds', 'Listen', 'Node')


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits in seconds and retry budgets, as set by the deployment.

    Within `evacuate_s` of an operator's request nothing more is sent to the servers of
    a data centre. A cold server bears its calls a second times `cold_overage`, and
    `cold_slack` calls more.
    """

    drain_s: float
    grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    version_s: float
    directory_ttl_s: float
    contact_s: float
    evacuate_s: float = 5.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """IP:PORT addresses of the listeners; an agent has none for callers."""

    callers: str | None
    ready: str | None
    directory: str | None
    peers: str
    metrics: str


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """Identity and settings of one process; `regions` maps data centres to regions.

    `memory_bytes` and `descriptors` are the limits of its machine, 0 if not stated.
    """

    name: str
    role: str
    address: str
    data_centre: str
    region: str
    regions: Mapping[str, str]
    listen: Listen
    seeds: tuple[str, ...]
    store: str
    server: str | None
    service: str
    link_bytes_per_s: float
    bounds: Bounds
    memory_bytes: float = 0.0
    descriptors: int = 0
