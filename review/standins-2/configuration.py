"""The configuration of a small deployment, and what callers send to it."""

__all__ = (
    'caller_headers',
    'make_configuration',
    'make_route',
    'make_service',
)

HOST = 'shop.example'
KEY = 'key-of-tenant-1'
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def make_route(
    prefix: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
    """Return a route of the host, with some fields changed."""
    return {
        'name': f'r{prefix}',
        'host': HOST,
        'prefix': prefix,
        'routeType': kind,
        'timeoutMs': 2500,
        'targetLatencyMs': 200,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **changes,
    }


def make_service(name: str) -> dict[str, object]:
    """Return a service without an engine."""
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConnections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def make_configuration(
    routes: list[dict[str, object]], *services: str
) -> dict[str, object]:
    """Return the first configuration, with one tenant."""
    return {
        'version': 1,
        'routes': routes,
        'services': [make_service(name) for name in services],
        'limits': LIMITS,
        'tenants': [{'name': 'tenant-1', 'apiKeys': [KEY], 'priority': 1}],
    }


def caller_headers(call_id: str, time_limit_ms: int, *further: str) -> list[str]:
    """Return the header lines of a caller's request."""
    return [
        f'Host: {HOST}',
        f'X-Attempt-Id: {call_id}',
        f'X-Deadline-Ms: {time_limit_ms}',
        f'Authorization: Bearer {KEY}',
        *further,
    ]
