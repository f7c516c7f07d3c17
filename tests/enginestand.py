"""Helpers that create engines, calls and reports as an entry knows them."""

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
ROUTE_WITH_SHORT_OBJECTIVE = dataclasses.replace(ROUTE, objective_s=0.001)
FIRST_HALF, SECOND_HALF = (0, 2, 2), (2, 4, 2)


def no_fill_estimate(service):
    """Return None, as for a service without a known agent."""


def make_call(**changes):
    """Return a call to the engines, with some fields changed."""
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


def add_servers(known_backends, **held):
    """Replace the servers by some that have just reported.

    `held` maps the name of a server to its data centre and the layers that it holds,
    as (first, end, version).
    """
    records = [
        servers.BackendServer(name, 'engines', f'{name}:1', data_centre, 4, False, {})
        for name, (data_centre, _) in held.items()
    ]
    known_backends.update_records(records)
    for name, (_, span) in held.items():
        models = {MODEL: layers.Span(*span)}
        known_backends.update_report(
            f'{name}:1', backends.Report(0.0, 0, 0, models, False)
        )
