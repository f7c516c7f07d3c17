"""Routes, services and workspaces: the configuration that calls are judged by."""

import dataclasses
import enum
import hashlib
from collections.abc import Mapping, Sequence

__all__ = (
    'RANK_COUNT',
    'Configuration',
    'EngineProfile',
    'RouteKind',
    'Origin',
    'Route',
    'Service',
    'Workspace',
    'make_configuration',
)


RANK_COUNT = 10  # 0 is the most urgent
_STEPS = 3  # ranks of routes that are told apart within a workspace's rank


class RouteKind(enum.Enum):
    """What may be repeated of a call."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route; `targets` are services with their weights, rank 0 is most urgent."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    max_attempts: int
    rank: int
    targets: tuple[tuple[str, float], ...]
    public: bool = False
    resumable: bool = False
    pause_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Tell whether a call may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """How fast a service's engines are; times are in seconds."""

    slots: int
    step_s: float
    step_per_request_s: float
    steps_per_event: int
    read_tokens_per_s: float
    usual_prompt_tokens: int
    usual_answer_tokens: int
    models: tuple[str, ...]
    layer_count: int
    piece_count: int
    piece_bytes: int
    load_s: float

    @property
    def event_s(self) -> float:
        """Return the seconds between events of a stream on a full engine."""
        step_s = self.step_s + self.step_per_request_s * self.slots
        return step_s * self.steps_per_event

    @property
    def usual_answer_s(self) -> float:
        """Return the seconds in which a full engine writes the usual answer."""
        step_s = self.step_s + self.step_per_request_s * self.slots
        return self.usual_answer_tokens * step_s

    @property
    def usual_read_s(self) -> float:
        """Return the seconds in which an engine reads the usual prompt."""
        return self.usual_prompt_tokens / self.read_tokens_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The origin of weights: its address and where it stands."""

    address: str
    data_centre: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service: backend servers that are alike, or the origin of weights."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin: Origin | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """The owner of bearer keys; its rank goes before the route's."""

    name: str
    rank: int | None = None


def compute_rank(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of a call: the workspace's first, then the route's."""
    own = min(_STEPS - 1, max(0, route.rank))
    if workspace is None or workspace.rank is None:
        first = route.rank
    else:
        first = workspace.rank
    return min(RANK_COUNT - 1, max(0, first) * _STEPS + own)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller sends; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration, indexed for the path of a call."""

    version: int
    services: Mapping[str, Service]
    limits: Limits
    has_workspaces: bool
    _routes: Mapping[tuple[str, str], Route]
    _workspaces: Mapping[bytes, Workspace]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a bearer key, or None."""
        return self._workspaces.get(_digest(key))

    @property
    def origin(self) -> Origin | None:
        """Return the origin of weights, or None when no service has one."""
        for service in self.services.values():
            if service.origin is not None:
                return service.origin
        return None


def make_configuration(
    version: int,
    routes: Sequence[Route],
    services: Sequence[Service],
    limits: Limits,
    workspaces: Sequence[tuple[Workspace, Sequence[str]]] | None,
) -> Configuration:
    """Index a version of the configuration, and return it.

    `workspaces` come with their keys; None when callers need no key. Keys are
    held as digests, so that looking one up takes the same time for all.
    """
    keys = {
        _digest(key): workspace for workspace, held in workspaces or () for key in held
    }
    return Configuration(
        version,
        {service.name: service for service in services},
        limits,
        workspaces is not None,
        {(route.host, route.prefix): route for route in routes},
        keys,
    )


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()
