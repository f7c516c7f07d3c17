"""Decoding of the items in the platform's store into the product's types."""

import ipaddress
import typing

import msgspec

from primrosesaddle.calls import routes
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.platform import jsonbody, names

__all__ = ('decode_record',)

_MS = 1000.0

# Integers above this lose digits in JSON, and do not fit messages between processes.
_MAX_INTEGER = 2**53
_MAX_SLOTS = 1_000_000
_MAX_TEXT = 256  # characters; the platform's own names and addresses are far shorter
_MAX_PORT = 65535

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
_Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_TEXT)]


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    max_attempts: int
    # Objective for the time of an answer that counts in full, not a measured latency.
    target_latency_ms: float
    priority: int = 0
    name: str = ''
    service: str = ''
    traffic_split: list[_TrafficShare] = msgspec.field(default_factory=list)
    public: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0
    allowed_regions: list[str] | None = None


class _UsualTokens(msgspec.Struct):
    prompt: float = 0
    answer: float = 0


class _ModelSpeed(msgspec.Struct, rename='camel'):
    name: str
    # Time in seconds that an engine takes to load staged weights.
    warm_s: float = 0


class _Engine(msgspec.Struct):
    slots: int
    step_ms: float
    read_per_s: float
    per_seq_ms: float = 0
    stride: int = 1
    usual: _UsualTokens = msgspec.field(default_factory=_UsualTokens)
    models: list[_ModelSpeed] = msgspec.field(default_factory=list)
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = msgspec.field(name='chunkBytes', default=0)
    # Tokens that fit in the memory beside the weights.
    kv_capacity: int = msgspec.field(name='kvCapacity', default=0)


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    # Address that weights are read from; a service with an origin has no servers.
    origin: str = ''
    zone: str = ''
    # Seconds for which a server is cold after its start, and the requests a second that
    # it bears meanwhile.
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Version(msgspec.Struct):
    model: _Text
    version: typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INTEGER)]


class HeldLayers(msgspec.Struct, rename={'first': 'from', 'end': 'to'}):
    first: Count = 0
    end: Count = 0
    version: Count = 0


class HeldVersion(msgspec.Struct):
    name: str
    version: Count


class _Server(msgspec.Struct, rename='camel'):
    service: _Text
    address: _Text
    zone: _Text
    # Version of the server's software, not of its weights.
    version: typing.Annotated[str, msgspec.Meta(max_length=_MAX_TEXT)]
    slots: _Slots
    state: typing.Literal['ready', 'draining']
    cold_remaining_ms: float
    sequence: Count
    models: list[HeldVersion] = msgspec.field(default_factory=list)
    # The consecutive layers that the server holds of its model.
    layers: HeldLayers | None = None
    born: Count = 0


Record = (
    routes.Configuration
    | servers.BackendServer
    | servers.Evacuation
    | servers.WantedVersion
)

_CONFIG = msgspec.json.Decoder(_Config)
_VERSION = msgspec.json.Decoder(_Version)
_SERVER = msgspec.json.Decoder(_Server)
_ROUTE_KINDS = {
    names.ROUTE_IDEMPOTENT: routes.RouteKind.IDEMPOTENT,
    names.ROUTE_NON_IDEMPOTENT: routes.RouteKind.NON_IDEMPOTENT,
    names.ROUTE_STREAM: routes.RouteKind.STREAM,
}


def decode_record(key: str, body: bytes) -> Record | None:
    """Return the record in an item, or None when the key is of no known kind.

    Raises `msgspec.MsgspecError` or `ValueError` when the item is malformed.
    """
    if key == names.CONFIG_KEY:
        return _make_configuration(jsonbody.decode_body(body, _CONFIG))
    if key.startswith(names.VERSION_PREFIX):
        item = jsonbody.decode_body(body, _VERSION)
        return servers.WantedVersion(item.model, item.version)
    if key.startswith(names.EVACUATION_PREFIX):
        data_centre = key[len(names.EVACUATION_PREFIX) :]
        return servers.Evacuation(data_centre) if data_centre else None
    if key.startswith(names.SERVER_PREFIX):
        server_id = key[len(names.SERVER_PREFIX) :]
        return _make_server(server_id, jsonbody.decode_body(body, _SERVER))
    return None


def make_spans(
    models: list[HeldVersion], reported: HeldLayers | None
) -> dict[str, layers.Span]:
    """Return the span of layers that a server holds, by model.

    A server that does not report its layers holds all of them.
    """
    if reported is None:
        return {model.name: layers.all_layers(0, model.version) for model in models}
    span = layers.Span(reported.first, reported.end, reported.version)
    return {model.name: span for model in models if span.first < span.end}


def _make_server(server_id: str, item: _Server) -> servers.BackendServer:
    if not server_id:
        raise ValueError('the key of a server item has no id after the prefix')
    _check_address(item.address)
    return servers.BackendServer(
        server_id,
        item.service,
        item.address,
        item.zone,
        item.slots,
        item.state == names.STATE_DRAINING,
        make_spans(item.models, item.layers),
        item.born,
        max(0.0, item.cold_remaining_ms) / _MS,
    )


def _check_address(address: str) -> None:
    """Raise `ValueError` unless an address is of the form IP:PORT, both in range."""
    host, _, port = address.rpartition(':')
    ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f'port {port!r} is not between 1 and {_MAX_PORT}')


def _make_configuration(item: _Config) -> routes.Configuration:
    workspaces = None
    if item.tenants is not None:
        workspaces = [
            (
                routes.Workspace(
                    tenant.name, tenant.priority, _make_homes(tenant.allowed_regions)
                ),
                tenant.api_keys,
            )
            for tenant in item.tenants
        ]
    return routes.make_configuration(
        item.version,
        [_make_route(route) for route in item.routes],
        [_make_service(service) for service in item.services],
        _make_limits(item.limits),
        workspaces,
    )


def _make_route(item: _Route) -> routes.Route:
    targets = tuple((split.service, split.weight) for split in item.traffic_split)
    return routes.Route(
        item.name,
        item.host.lower(),
        item.prefix,
        _ROUTE_KINDS.get(item.route_type, routes.RouteKind.NON_IDEMPOTENT),
        item.timeout_ms / _MS,
        item.target_latency_ms / _MS,
        max(1, item.max_attempts),
        item.priority,
        targets or ((item.service, 1.0),),
        item.public,
        item.stream_resume,
        item.gap_target_ms / _MS,
        _make_homes(item.allowed_regions),
    )


def _make_homes(regions: list[str] | None) -> frozenset[str] | None:
    """Return the regions of a list, None for all if it is empty or missing."""
    return frozenset(regions) if regions else None


def _make_service(item: _Service) -> routes.Service:
    origin = None
    if item.origin:
        origin = routes.Origin(item.origin, item.zone, item.max_connections)
    engine = item.engine
    profile = None
    if engine is not None:
        profile = routes.EngineProfile(
            engine.slots,
            engine.step_ms / _MS,
            engine.per_seq_ms / _MS,
            max(1, engine.stride),
            max(1.0, engine.read_per_s),
            int(engine.usual.prompt),
            int(engine.usual.answer),
            tuple(model.name for model in engine.models),
            engine.layers,
            engine.chunks,
            engine.chunk_bytes,
            max((model.warm_s for model in engine.models), default=0),
            engine.kv_capacity,
        )
    return routes.Service(
        item.name,
        item.max_connections,
        profile,
        origin,
        item.cold_start_s,
        item.cold_per_s,
    )


def _make_limits(item: _Limits) -> routes.Limits:
    return routes.Limits(
        item.max_header_bytes,
        item.max_body_bytes,
        item.header_timeout_ms / _MS,
        item.idle_timeout_ms / _MS,
    )
