"""Targets: selects the service of a route that takes a call."""

import random
from collections.abc import Callable

from primrosesaddle.calls import backends, refusals, routes

__all__ = ('select_service',)


def select_service(
    route: routes.Route,
    conf: routes.Configuration | None,
    known_backends: backends.Backends,
    rand: random.Random,
    may_serve: Callable[[backends.Backend], bool],
) -> routes.Service:
    """Draw a service at random by the route's weights.

    Only services that have servers are considered, and of these only those with one
    that `may_serve` the call, if there is any. Raises `verdict.Refusal` when no service
    has servers.
    """
    services = {} if conf is None else conf.services
    candidates = [
        (services[name], weight)
        for name, weight in route.targets
        if name in services and weight > 0
    ]
    served = [pair for pair in candidates if known_backends.list_servers(pair[0].name)]
    if not served:
        raise refusals.refuse_unserved_route(route)
    allowed = [
        pair
        for pair in served
        if any(map(may_serve, known_backends.list_servers(pair[0].name)))
    ]
    served = allowed or served
    if len(served) == 1:
        return served[0][0]
    weights = [weight for _, weight in served]
    return rand.choices([pair[0] for pair in served], weights)[0]
