"""Targets: which service of a route takes a call."""

import random

from primrosesaddle.calls import backends, refusals, routes

__all__ = ('select_service',)


def select_service(
    route: routes.Route,
    conf: routes.Configuration | None,
    table: backends.Backends,
    rand: random.Random,
) -> routes.Service:
    """Draw a service by the route's weights, among those that have servers.

    Raises `verdict.Refusal` when none has.
    """
    known = {} if conf is None else conf.services
    found = [
        (known[name], weight)
        for name, weight in route.targets
        if name in known and weight > 0
    ]
    served = [pair for pair in found if table.list_servers(pair[0].name)]
    if not served:
        raise refusals.refuse_unserved_route(route)
    if len(served) == 1:
        return served[0][0]
    weights = [weight for _, weight in served]
    return rand.choices([pair[0] for pair in served], weights)[0]
