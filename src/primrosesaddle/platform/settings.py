"""The settings file that the platform gives to each process."""

import pathlib
import typing

import msgspec

from primrosesaddle.core import errors
from primrosesaddle.fleet import node

__all__ = ('read_settings',)

_MS = 1000.0
_BITS = 8
_MEGA = 1_000_000
_SIDE_CLASS = 'side'

_Address = typing.Annotated[str, msgspec.Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$')]


class _Listen(msgspec.Struct):
    # Callers' requests.
    front: str | None = None
    # The platform's own check once a second.
    ready: str | None = None
    # Other processes of this system.
    control: str | None = None
    # Callers that ask which entries to use.
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
    # From the acknowledgement of a version until nothing may begin on an older one.
    version_ms: float = 8000
    # The most of a directory answer's time to live that callers honour.
    ttl_max_s: float = 5
    # From a start or a healed path until a process is held to the bounds.
    contact_ms: float = msgspec.field(name='contactMs', default=3000)


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
    # The model server beside an agent.
    app: str | None = None
    service: str | None = None


def read_settings(path: str) -> node.Node:
    """Read and check the settings file, which holds all fields as JSON.

    Raises `errors.FaultGroup` when it cannot be read or a field is refused.
    """
    try:
        text = pathlib.Path(path).read_bytes()
        found = msgspec.json.decode(text, type=_Settings)
    except (OSError, msgspec.MsgspecError) as exc:
        fault = errors.Fault(path, '(file)', str(exc), 'the settings of a process')
        raise errors.FaultGroup('settings refused', [fault]) from None
    return _node(found)


def _node(found: _Settings) -> node.Node:
    ports = found.port_range or [0, 0]
    is_agent = found.machine_class == _SIDE_CLASS
    inner = f'{found.ip}:{ports[0]}'
    return node.Node(
        name=found.node_name,
        role='agent' if is_agent else 'entry',
        address=found.ip,
        data_centre=found.zone,
        region=found.region,
        regions=found.zones,
        listen=node.Listen(
            callers=found.listen.front,
            ready=found.listen.ready,
            directory=found.listen.directory,
            peers=found.listen.control or inner,
            metrics=f'{found.ip}:{ports[-1]}',
        ),
        seeds=tuple(found.seeds),
        store=found.provider.address,
        server=found.app,
        service=found.service or '',
        link_bytes_per_s=found.limits.link_mbps * _MEGA / _BITS,
        bounds=_bounds(found.bounds),
    )


def _bounds(found: _Bounds) -> node.Bounds:
    return node.Bounds(
        drain_s=found.drain_ms / _MS,
        grace_s=found.grace_s,
        configuration_s=found.config_apply_ms / _MS,
        retry_ratio=found.retry_budget_ratio,
        retry_window_s=found.budget_window_s,
        retry_extra=found.budget_extra,
        version_s=found.version_ms / _MS,
        directory_ttl_s=found.ttl_max_s,
        contact_s=found.contact_ms / _MS,
    )
