"""Published records of backend servers and of wanted model versions."""

import dataclasses
from collections.abc import Mapping

from primrosesaddle.core import layers

__all__ = ('BackendServer', 'Evacuation', 'WantedVersion')


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One start of a backend server.

    `models` maps a model to the layers that the server holds of it. `start_time_ms` is
    when the server started, 0 if not published. `cold_remaining_s` is for how many more
    seconds the server was cold when it published this.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    models: Mapping[str, layers.Span]
    start_time_ms: int = 0
    cold_remaining_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """The version of a model's weights that the operator announced last."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request to send nothing to the servers of a data centre."""

    data_centre: str
