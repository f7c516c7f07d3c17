"""Evacuations: data centres to whose servers an operator wants nothing to be sent.

The load that this answers: half of the room is gone at one moment, while calls for it
wait or are about to be sent. What runs there ends in peace; the rest goes elsewhere, or
is refused at once.
"""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping

from primrosesaddle.calls import backends, request
from primrosesaddle.fleet import servers

__all__ = ('Status', 'describe_status', 'make_rule')


def make_rule(
    evacuations: Mapping[str, servers.Evacuation],
) -> Callable[[request.Call, backends.Backend], str]:
    """Return a rule of placement that keeps calls from evacuated data centres.

    `evacuations` is read at each use: an evacuation is in force as long as it is there.
    """

    def explain_evacuated(call: request.Call, backend: backends.Backend) -> str:
        data_centre = backend.record.data_centre
        for evacuation in evacuations.values():
            if evacuation.data_centre == data_centre:
                return f'evacuated={data_centre}'
        return ''

    return explain_evacuated


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the evacuations in force mean for this process, for its log.

    `unknown` are names that the settings do not have, `servers` the number of servers
    that get nothing. `slots_left` are the slots of all others.
    """

    data_centres: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()
    servers: int = 0
    slots_left: int = 0


def describe_status(
    found: Iterable[servers.Evacuation],
    published: Iterable[servers.BackendServer],
    known_data_centres: Collection[str],
) -> Status:
    """Return the status by the evacuations, servers and data centres that are known."""
    names = {evacuation.data_centre for evacuation in found}
    listed = list(published)
    left = [record for record in listed if record.data_centre not in names]
    return Status(
        tuple(sorted(names)),
        tuple(sorted(names.difference(known_data_centres))),
        len(listed) - len(left),
        sum(record.slots for record in left),
    )
