"""Reader of the settings file that the platform writes for each process."""

import pathlib
import typing

import msgspec

from primrosesaddle.core import errors
from primrosesaddle.fleet import node

__all__ = ('read_settings',)

_MS = 1000.0
_BITS_PER_BYTE = 8
_MEGA = 1_000_000
_AGENT_MACHINE_CLASS = 'side'

_Address = typing.Annotated[str, msgspec.Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$')]


class _Listen(msgspec.Struct):
    # Requests of callers.
    front: str | None = None
    # The platform's readiness check, once a second.
    ready: str | None = None
    # Messages of other processes of this system.
    control: str | None = None
    # Requests of callers for the addresses of entries.
    directory: str | None = None


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: float = 0
    max_fds: int = 0
    link_mbps: float = 0


class _Bounds(msgspec.Struct):
    drain_ms: float = msgspec.field(name='drainMs', default=2000)
    grace_s: float = msgspec.field(name='graceS', default=8)
    config_apply_ms: float = msgspec.field(name='configApplyMs', default=2000)
    retry_budget_ratio: float = msgspec.field(name='retryBudgetRatio', default=0.2)
    budget_window_s: float = msgspec.field(name='budgetWindowS', default=10)
    budget_extra: float = msgspec.field(name='budgetExtra', default=0)
    # From the acknowledgement of a version until no call may begin on an older one.
    version_ms: float = 8000
    # The longest time to live of a directory answer that callers honour.
    ttl_max_s: float = 5
    # From a start or a restored path until the bounds apply to a process.
    contact_ms: float = msgspec.field(name='contactMs', default=3000)
    evacuate_ms: float = msgspec.field(name='evacuateMs', default=5000)
    cold_overage: float = msgspec.field(name='coldOverage', default=1)
    cold_slack: float = msgspec.field(name='coldSlack', default=0)


class _Provider(msgspec.Struct):
    address: _Address


class _Settings(msgspec.Struct, rename='camel'):
    node_name: str
    machine_class: str
    ip: str
    zone: str
    region: str
    provider: _Provider
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    listen: _Listen = msgspec.field(default_factory=_Listen)
    port_range: list[int] = msgspec.field(default_factory=list)
    seeds: list[str] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Address of the engine beside an agent.
    app: str | None = None
    service: str | None = None


def read_settings(path: str) -> node.Node:
    """Read and check the settings file, which is one JSON object.

    Raises `errors.FaultGroup` when it cannot be read or a field is refused.
    """
    try:
        text = pathlib.Path(path).read_bytes()
        decoded = msgspec.json.decode(text, type=_Settings)
    except (OSError, msgspec.MsgspecError) as exc:
        fault = errors.Fault(path, '(file)', str(exc), 'the settings of a process')
        raise errors.FaultGroup('settings refused', [fault]) from None
    return _make_node(decoded)


def _make_node(decoded: _Settings) -> node.Node:
    ports = decoded.port_range or [0, 0]
    is_agent = decoded.machine_class == _AGENT_MACHINE_CLASS
    default_peers = f'{decoded.ip}:{ports[0]}'
    return node.Node(
        name=decoded.node_name,
        role='agent' if is_agent else 'entry',
        address=decoded.ip,
        data_centre=decoded.zone,
        region=decoded.region,
        regions=decoded.zones,
        listen=node.Listen(
            callers=decoded.listen.front,
            ready=decoded.listen.ready,
            directory=decoded.listen.directory,
            peers=decoded.listen.control or default_peers,
            metrics=f'{decoded.ip}:{ports[-1]}',
        ),
        seeds=tuple(decoded.seeds),
        store=decoded.provider.address,
        server=decoded.app,
        service=decoded.service or '',
        link_bytes_per_s=decoded.limits.link_mbps * _MEGA / _BITS_PER_BYTE,
        bounds=_make_bounds(decoded.bounds),
        memory_bytes=decoded.limits.memory_mb * _MEGA,
        descriptors=decoded.limits.max_fds,
    )


def _make_bounds(decoded: _Bounds) -> node.Bounds:
    return node.Bounds(
        drain_s=decoded.drain_ms / _MS,
        grace_s=decoded.grace_s,
        configuration_s=decoded.config_apply_ms / _MS,
        retry_ratio=decoded.retry_budget_ratio,
        retry_window_s=decoded.budget_window_s,
        retry_extra=decoded.budget_extra,
        version_s=decoded.version_ms / _MS,
        directory_ttl_s=decoded.ttl_max_s,
        contact_s=decoded.contact_ms / _MS,
        evacuate_s=decoded.evacuate_ms / _MS,
        cold_overage=decoded.cold_overage,
        cold_slack=decoded.cold_slack,
    )
