"""Backend servers as they are published: one record for each start of a server."""

import dataclasses
from collections.abc import Mapping

from primrosesaddle.core import layers

__all__ = ('BackendServer', 'WantedVersion')


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server; `models` maps a model to the layers that it holds."""

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    models: Mapping[str, layers.Span]
    start_time_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """The version of a model's weights that the operator has named last."""

    model: str
    version: int
