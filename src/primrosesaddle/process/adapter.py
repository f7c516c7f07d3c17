"""What a platform's adapter offers to the processes."""

import dataclasses
import typing
from collections.abc import Callable

from tornado import httputil

from primrosesaddle.calls import attempts, intake
from primrosesaddle.fleet import fleetview, reader
from primrosesaddle.staging import reconciler, weightcache

__all__ = ('Adapter', 'Applications')

ListAddresses = Callable[[str, str], list[str]]


class Applications(typing.Protocol):
    """The applications that a process serves over HTTP."""

    def make_call_application(
        self, door: intake.RequestIntake
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that takes callers' requests."""

    def make_readiness_application(
        self, is_ready: Callable[[], bool]
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that answers the platform's check."""

    def make_directory_application(
        self, addresses: ListAddresses, ttl_s: float
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that tells callers which entries to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """How a process meets its platform."""

    decode_record: fleetview.Decode
    source: reader.Source
    applications: Applications
    wire: attempts.WireFormat
    engine: Callable[[str], reconciler.Engine]
    origin: Callable[[str], weightcache.Origin]
