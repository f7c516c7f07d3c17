"""Backend servers as they are published: one record for each start of a server."""

import dataclasses
from collections.abc import Mapping

__all__ = ('BackendServer', 'WantedVersion')


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server; `models` maps what it holds whole to its version."""

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    models: Mapping[str, int]
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """The version of a model's weights that the operator has named last."""

    model: str
    version: int
