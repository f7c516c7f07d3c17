"""The configuration of routes, services and workspaces, indexed for calls."""

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Mapping, Sequence

__all__ = (
    'LATE_RANK',
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
LATE_RANK = RANK_COUNT  # of retries that are too late, behind calls of all ranks
_ROUTE_RANKS = 3  # ranks of routes that are distinguished within a workspace's rank


class RouteKind(enum.Enum):
    """How the calls of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    `targets` lists services with their weights. Rank 0 is the most urgent.
    `objective_s` is the objective for the time to the first byte. `resumable` is
    whether a stream that broke off can be continued at another server. `homes` lists
    the regions in which its calls may be served and stored, None for all.
    """

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
    homes: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """The speed and size of a service's engines, and of their weights.

    A step takes `step_s` and `step_per_request_s` for each request that runs, and
    every `steps_per_event` steps a stream has an event. `usual_prompt_tokens` and
    `usual_answer_tokens` describe the usual request. A copy of the weights consists
    of `piece_count` pieces of `piece_bytes`; an engine loads it in `load_s`. Requests
    hold `memory_tokens` at most, 0 if that is not stated.
    """

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
    memory_tokens: int = 0

    @property
    def event_s(self) -> float:
        """Return the seconds between events of a stream on a full engine."""
        step_s = self.step_s + self.step_per_request_s * self.slots
        return step_s * self.steps_per_event

    @property
    def usual_answer_s(self) -> float:
        """Return the seconds that a full engine takes to write the usual answer."""
        step_s = self.step_s + self.step_per_request_s * self.slots
        return self.usual_answer_tokens * step_s

    @property
    def usual_read_s(self) -> float:
        """Return the seconds that an engine takes to read the usual prompt."""
        return self.usual_prompt_tokens / self.read_tokens_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The origin of weights: its address, data centre and connection limit."""

    address: str
    data_centre: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service: a group of equivalent backend servers, or the origin of weights.

    A server that has just started is cold for `cold_start_s`, and bears
    `cold_calls_per_s` calls a second meanwhile; 0 where a service states none.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin: Origin | None = None
    cold_start_s: float = 0.0
    cold_calls_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """The owner of bearer keys; its rank takes precedence over a route's.

    `homes` lists the regions in which its calls may be served and stored, None for all.
    """

    name: str
    rank: int | None = None
    homes: frozenset[str] | None = None


def compute_rank(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of a call, ordered by the workspace's rank, then the route's.

    The route's rank counts for both when the workspace has none.
    """
    route_rank = min(_ROUTE_RANKS - 1, max(0, route.rank))
    if workspace is None or workspace.rank is None:
        workspace_rank = route.rank
    else:
        workspace_rank = workspace.rank
    return min(RANK_COUNT - 1, max(0, workspace_rank) * _ROUTE_RANKS + route_rank)


def compute_homes(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions that both a route and its caller's workspace allow.

    Returns None for all regions.
    """
    stated = [
        owner.homes
        for owner in (route, workspace)
        if owner is not None and owner.homes is not None
    ]
    return frozenset.intersection(*stated) if stated else None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a caller's request; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration, indexed by host, path prefix and key."""

    version: int
    services: Mapping[str, Service]
    limits: Limits
    has_workspaces: bool
    _routes: Mapping[tuple[str, str], Route]
    _workspaces: Mapping[bytes, Workspace]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path, or None."""
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that owns a bearer key, or None."""
        return self._workspaces.get(_digest(key))

    def find_workspace_by_name(self, name: str) -> Workspace | None:
        """Return the workspace of a name that owns a key, or None."""
        return self._workspaces_by_name.get(name)

    def get_host_homes(self, host: str) -> frozenset[str] | None:
        """Return the regions that all routes of a host with homes allow.

        Returns None for all regions. Workspaces are unknown before a call is made.
        """
        return self._host_homes.get(host)

    @functools.cached_property
    def _workspaces_by_name(self) -> Mapping[str, Workspace]:
        return {workspace.name: workspace for workspace in self._workspaces.values()}

    @functools.cached_property
    def _host_homes(self) -> Mapping[str, frozenset[str]]:
        found: dict[str, frozenset[str]] = {}
        for route in self._routes.values():
            if route.homes is not None:
                known = found.get(route.host, route.homes)
                found[route.host] = known & route.homes
        return found

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
    """Return an indexed version of the configuration.

    `workspaces` lists workspaces with their bearer keys; None when callers need no
    key. Keys are stored as digests, so that a lookup takes the same time for all.
    """
    keys = {
        _digest(key): workspace
        for workspace, owned in workspaces or ()
        for key in owned
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
