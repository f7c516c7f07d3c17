"""Engines and calls for them, as an entry's tables hold them."""

import dataclasses

from primrosesaddle.calls import backends, request, routes
from primrosesaddle.core import layers
from primrosesaddle.fleet import servers

LAYERS = 4
MODEL = 'm1'
PROFILE = routes.EngineProfile(4, 0.01, 0, 1, 1e6, 100, 20, (MODEL,), LAYERS, 8, 1, 0)
SERVICE = routes.Service('engines', 64, PROFILE)
ROUTE = routes.Route(
    'r',
    'h',
    '/',
    routes.RouteKind.STREAM,
    5,
    1,
    2,
    0,
    (('engines', 1.0),),
    resumable=True,
)
HURRIED = dataclasses.replace(ROUTE, objective_s=0.001)
FIRST, SECOND = (0, 2, 2), (2, 4, 2)


def no_time(service):
    """Return None, as an entry that knows no agent of a service."""


def call(**changes):
    """Return a call for a generation."""
    fields = {
        'call_id': 'c1',
        'method': 'POST',
        'target': '/',
        'headers': (),
        'body': b'',
        'route': ROUTE,
        'workspace': '',
        'rank': 0,
        'arrived_at': 0.0,
        'deadline_at': 5.0,
        'configuration': 1,
        'model': MODEL,
    }
    return request.Call(**{**fields, **changes})


def fill(table, **held):
    """Add servers, by name, in a data centre and with some layers."""
    records = [
        servers.BackendServer(name, 'engines', f'{name}:1', where, 4, False, {})
        for name, (where, _) in held.items()
    ]
    table.update_records(records)
    for name, (_, span) in held.items():
        found = {MODEL: layers.Span(*span)}
        table.update_report(f'{name}:1', backends.Report(0.0, 0, 0, found, False))
