"""Homes: the regions in which a call may be served, and the entries for its callers.

A route and a workspace may each state regions; where both do, both bind. The load that
this answers: a region whose servers are full or gone, while others have room. Calls at
home there must not reach the others, and wait for nothing that cannot come.
"""

import typing
from collections.abc import Callable, Mapping, Sequence

from primrosesaddle.calls import backends, request, routes

__all__ = ('EntryAddress', 'make_rule', 'select_entries', 'update_homes')

GetConfiguration = Callable[[], routes.Configuration | None]
GetRegions = Callable[[], Mapping[str, str]]


class EntryAddress(typing.NamedTuple):
    """Where callers reach an entry, and the region that it is in."""

    address: str
    region: str


def make_rule(
    get_configuration: GetConfiguration, get_regions: GetRegions
) -> Callable[[request.Call, backends.Backend], str]:
    """Return a rule of placement that keeps calls from servers outside their homes.

    `get_regions` returns the regions by data centre. A server in a data centre without
    a known region is at home nowhere.
    """

    def explain_foreign(call: request.Call, backend: backends.Backend) -> str:
        update_homes(call, get_configuration())
        if call.homes is None:
            return ''
        region = get_regions().get(backend.record.data_centre, '')
        return '' if region in call.homes else f'not_at_home={region or "unknown"}'

    return explain_foreign


def update_homes(call: request.Call, conf: routes.Configuration | None) -> None:
    """Bring the homes of a call up to date with the configuration in force.

    A call that waits follows a list that changes meanwhile. It keeps its homes if its
    route or workspace is no longer there. Configurations are compared by identity: an
    operator who has lost one may give its version to another.
    """
    if conf is None or conf is call.homes_source:
        return
    call.homes_source = conf
    route = conf.find_route(call.route.host, call.target.partition('?')[0])
    workspace = conf.find_workspace_by_name(call.workspace)
    if route is None or (call.workspace and workspace is None):
        return
    call.homes = routes.compute_homes(route, workspace)


def select_entries(
    known: Sequence[EntryAddress], homes: frozenset[str] | None, caller_region: str
) -> list[EntryAddress]:
    """Return the entries that callers of a host with homes are led to.

    Those are in a home, or in the caller's own region, where its requests are anyway.
    Returns an empty list if there is none.
    """
    if homes is None:
        return list(known)
    regions = homes | {caller_region}
    return [entry for entry in known if entry.region in regions]
