"""Items of the platform's store, decoded into the product's types."""

import typing

import msgspec

from primrosesaddle.calls import routes
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers
from primrosesaddle.platform import names

__all__ = ('decode_record',)

_MS = 1000.0

_Count = typing.Annotated[int, msgspec.Meta(ge=0)]
_Address = typing.Annotated[str, msgspec.Meta(pattern=r'^\d+\.\d+\.\d+\.\d+:\d+$')]
_Text = typing.Annotated[str, msgspec.Meta(min_length=1)]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    max_attempts: int
    # How long an answer may take to count in full, not a measured latency.
    target_latency_ms: float
    priority: int = 0
    name: str = ''
    service: str = ''
    traffic_split: list[_Split] = msgspec.field(default_factory=list)
    public: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0


class _Usual(msgspec.Struct):
    prompt: float = 0
    answer: float = 0


class _ModelSpeed(msgspec.Struct, rename='camel'):
    name: str
    # Seconds in which an engine loads staged weights.
    warm_s: float = 0


class _Engine(msgspec.Struct):
    slots: int
    step_ms: float
    read_per_s: float
    per_seq_ms: float = 0
    stride: int = 1
    usual: _Usual = msgspec.field(default_factory=_Usual)
    models: list[_ModelSpeed] = msgspec.field(default_factory=list)
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = msgspec.field(name='chunkBytes', default=0)


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    # The address from which weights are read; such a service has no servers.
    origin: str = ''
    zone: str = ''


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Version(msgspec.Struct):
    model: _Text
    version: typing.Annotated[int, msgspec.Meta(ge=1)]


class HeldLayers(msgspec.Struct, rename={'first': 'from', 'end': 'to'}):
    first: int = 0
    end: int = 0
    version: int = 0


class HeldVersion(msgspec.Struct):
    name: str
    version: int


class _Server(msgspec.Struct, rename='camel'):
    service: _Text
    address: _Address
    zone: _Text
    # The version of the server's software, not of its weights.
    version: str
    slots: _Count
    state: typing.Literal['ready', 'draining']
    cold_remaining_ms: float
    sequence: _Count
    models: list[HeldVersion] = msgspec.field(default_factory=list)
    # The one run of layers that the server holds of its model.
    layers: HeldLayers | None = None
    born: _Count = 0


Record = routes.Configuration | servers.BackendServer | servers.WantedVersion

_CONFIG = msgspec.json.Decoder(_Config)
_VERSION = msgspec.json.Decoder(_Version)
_SERVER = msgspec.json.Decoder(_Server)
_KINDS = {
    names.ROUTE_IDEMPOTENT: routes.RouteKind.IDEMPOTENT,
    names.ROUTE_NON_IDEMPOTENT: routes.RouteKind.NON_IDEMPOTENT,
    names.ROUTE_STREAM: routes.RouteKind.STREAM,
}


def decode_record(key: str, body: bytes) -> Record | None:
    """Return the record in an item, or None when the key names none of ours.

    Raises `msgspec.MsgspecError` or `ValueError` when the item cannot be read.
    """
    try:
        return _decode(key, body)
    except RecursionError:
        raise ValueError('the item is nested too deeply') from None


def _decode(key: str, body: bytes) -> Record | None:
    if key == names.CONFIG_KEY:
        return _configuration(_CONFIG.decode(body))
    if key.startswith(names.VERSION_PREFIX):
        found = _VERSION.decode(body)
        return servers.WantedVersion(found.model, found.version)
    if key.startswith(names.SERVER_PREFIX):
        return _server(key[len(names.SERVER_PREFIX) :], _SERVER.decode(body))
    return None


def make_spans(
    models: list[HeldVersion], told: HeldLayers | None
) -> dict[str, layers.Span]:
    """Return the layers that a server holds, by model.

    A server that does not tell its layers holds all of them.
    """
    if told is None:
        return {model.name: layers.all_layers(0, model.version) for model in models}
    held = layers.Span(told.first, told.end, told.version)
    return {model.name: held for model in models if held.first < held.end}


def _server(server_id: str, found: _Server) -> servers.BackendServer:
    if not server_id:
        raise ValueError('a server item has no id in its key')
    return servers.BackendServer(
        server_id,
        found.service,
        found.address,
        found.zone,
        found.slots,
        found.state == names.STATE_DRAINING,
        make_spans(found.models, found.layers),
        found.born,
    )


def _configuration(found: _Config) -> routes.Configuration:
    workspaces = None
    if found.tenants is not None:
        workspaces = [
            (routes.Workspace(tenant.name, tenant.priority), tenant.api_keys)
            for tenant in found.tenants
        ]
    return routes.make_configuration(
        found.version,
        [_route(route) for route in found.routes],
        [_service(service) for service in found.services],
        _limits(found.limits),
        workspaces,
    )


def _route(found: _Route) -> routes.Route:
    targets = tuple((split.service, split.weight) for split in found.traffic_split)
    return routes.Route(
        found.name,
        found.host.lower(),
        found.prefix,
        _KINDS.get(found.route_type, routes.RouteKind.NON_IDEMPOTENT),
        found.timeout_ms / _MS,
        found.target_latency_ms / _MS,
        max(1, found.max_attempts),
        found.priority,
        targets or ((found.service, 1.0),),
        found.public,
        found.stream_resume,
        found.gap_target_ms / _MS,
    )


def _service(found: _Service) -> routes.Service:
    origin = None
    if found.origin:
        origin = routes.Origin(found.origin, found.zone, found.max_connections)
    engine = found.engine
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
        )
    return routes.Service(found.name, found.max_connections, profile, origin)


def _limits(found: _Limits) -> routes.Limits:
    return routes.Limits(
        found.max_header_bytes,
        found.max_body_bytes,
        found.header_timeout_ms / _MS,
        found.idle_timeout_ms / _MS,
    )
