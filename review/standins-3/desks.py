"""Stand-ins of plain servers, which run each request at once."""

import dataclasses
import itertools
import time
import typing
from collections.abc import Callable

import httpwire

__all__ = ('Desk', 'Run', 'make_configuration', 'make_route', 'make_service')

_BIRTHS = itertools.count(int(time.time() * 1000))


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a server ran."""

    attempt_id: str
    path: str
    server: str
    service: str
    tenant: str
    at: float


class Desk:
    """A server of a plain service.

    `runs` collects what it ran. `make_body` returns the body of an answer.
    """

    def __init__(
        self,
        name: str,
        service: str,
        runs: list[Run],
        make_body: Callable[[httpwire.Request], bytes] | None = None,
        slots: int = 8,
    ) -> None:
        """Create a server, which listens once it is started."""
        self._slots = slots
        self.name = name
        self.service = service
        self.answer_headers: dict[str, str] = {}
        self._runs = runs
        self._make_body = make_body
        self._born = next(_BIRTHS)
        self._sequence = itertools.count(1)
        self._http = httpwire.HttpServer(self._handle)

    def set_born(self, at: float) -> None:
        """State another start, in seconds of Unix time."""
        self._born = int(at * 1000)

    async def start(self) -> None:
        """Listen."""
        await self._http.start()

    def stop(self) -> None:
        """Stop to listen."""
        self._http.stop()

    def make_record(self, state: str = 'ready') -> dict[str, typing.Any]:
        """Return the record that the server publishes."""
        return {
            'service': self.service,
            'address': self._http.address,
            'zone': 'quito-a',
            'version': 'r1',
            'slots': self._slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': next(self._sequence),
            'born': self._born,
        }

    async def _handle(self, request: httpwire.Request) -> None:
        headers = {
            'X-Attempt-Id': request.attempt_id,
            'X-Server-Load': f'1,0,{self._slots}',
            **self.answer_headers,
        }
        if request.path == '/healthz':
            await httpwire.send(request, 200, b'', {'X-Instance-Id': self.name})
            return
        if request.headers.get('x-expect-instance', self.name) != self.name:
            await httpwire.send(request, 421, b'', headers)
            return
        await self.work(request, headers)

    async def work(self, request: httpwire.Request, headers: dict[str, str]) -> None:
        """Run a request, and answer it."""
        self._runs.append(
            Run(
                request.attempt_id,
                request.path,
                self.name,
                self.service,
                request.headers.get('x-tenant', ''),
                time.monotonic(),
            )
        )
        headers['X-Response-Seal'] = f'seal.{request.attempt_id}'
        body = self._make_body(request) if self._make_body else b'done'
        await httpwire.send(request, 200, body, headers)


def make_route(
    prefix: str, service: str, kind: str, **changes: typing.Any
) -> dict[str, typing.Any]:
    """Return a route of the host that callers use."""
    return {
        'name': f'route{prefix}',
        'host': 'shop.example',
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **changes,
    }


def make_service(name: str) -> dict[str, typing.Any]:
    """Return a plain service as the configuration states it."""
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConnections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: list[dict[str, typing.Any]],
    tenants: dict[str, list[str]],
) -> dict[str, typing.Any]:
    """Return a configuration; `tenants` maps names to keys."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': name, 'apiKeys': keys, 'priority': 1}
            for name, keys in tenants.items()
        ],
    }
