"""Configuration of one process: identity, addresses and time limits."""

import dataclasses
from collections.abc import Mapping

__all__ = ('Bounds', 'Listen', 'Node')


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits in seconds and retry budgets, as set by the deployment."""

    drain_s: float
    grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    version_s: float
    directory_ttl_s: float
    contact_s: float


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
    """Identity and settings of one process; `regions` maps data centres to regions."""

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
