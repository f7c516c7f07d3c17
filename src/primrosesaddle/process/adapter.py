"""What a platform's adapter offers to the processes."""

import dataclasses
import typing
from collections.abc import Callable

from tornado import httputil

from primrosesaddle.calls import attempts, doorway
from primrosesaddle.fleet import reader, view
from primrosesaddle.staging import depot, keeper

__all__ = ('Adapter', 'Front')

Addresses = Callable[[str, str], list[str]]


class Front(typing.Protocol):
    """The applications that a process serves over HTTP."""

    def calls(self, door: doorway.Doorway) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that takes callers' requests."""

    def ready(
        self, is_ready: Callable[[], bool]
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that answers the platform's check."""

    def directory(
        self, addresses: Addresses, ttl_s: float
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that tells callers which entries to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """How a process meets its platform."""

    decode: view.Decode
    source: reader.Source
    front: Front
    wire: attempts.Wire
    engine: Callable[[str], keeper.Engine]
    origin: Callable[[str], depot.Origin]
