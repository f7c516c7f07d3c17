"""Interface between the processes and the platform that they run on."""

import abc
import dataclasses
import typing
from collections.abc import Callable

from tornado import httputil

from primrosesaddle.calls import attempts, intake
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview, reader
from primrosesaddle.net import bodies, connections
from primrosesaddle.staging import reconciler, weightcache

__all__ = ('Adapter', 'Applications', 'CallApplication')

ListAddresses = Callable[[str, str, str], list[str]]


class CallApplication(httputil.HTTPServerConnectionDelegate, abc.ABC):
    """The HTTP application that passes callers' requests to an intake.

    While `is_short_of_connections`, connections are closed after their answers.
    """

    is_short_of_connections: Callable[[], bool]

    @abc.abstractmethod
    def close_idle_connections(self) -> None:
        """Close the connections on which no request has begun to arrive."""

    @abc.abstractmethod
    def refuse_incomplete_requests(self, refusal: verdict.Refusal) -> None:
        """Refuse the requests that have begun to arrive and are not complete."""

    @abc.abstractmethod
    def close_stalled(self) -> connections.Closable | None:
        """Give up the oldest request that is refused, or whose body makes no progress.

        Returns its connection, which the caller of this closes, None if there is none.
        """

    @abc.abstractmethod
    def close_expired(self) -> None:
        """Refuse the requests whose bodies come too late, and close refused ones."""

    @abc.abstractmethod
    def count_unanswered(self) -> int:
        """Return the number of requests whose answer has not been sent whole.

        Those whose head has not been received do not count.
        """


class Applications(typing.Protocol):
    """Builds the HTTP applications that a process serves."""

    def make_call_application(
        self, request_intake: intake.RequestIntake, budget: bodies.BodyBudget
    ) -> CallApplication:
        """Return the application that passes callers' requests to an intake.

        `budget` is for the bodies of the requests.
        """

    def make_readiness_application(
        self, is_ready: Callable[[], bool]
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that answers the platform's readiness check."""

    def make_directory_application(
        self, list_addresses: ListAddresses, ttl_s: float
    ) -> httputil.HTTPServerConnectionDelegate:
        """Return the application that lists the entries' addresses for callers.

        `list_addresses` takes the host that is asked for, and the caller's region and
        data centre. Callers may use an answer for `ttl_s` seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """The platform's implementations of what a process needs.

    `make_engine` and `make_origin` take an IP:PORT address and return a client.
    """

    decode_record: fleetview.Decode
    source: reader.Source
    applications: Applications
    wire: attempts.WireFormat
    make_engine: Callable[[str], reconciler.Engine]
    make_origin: Callable[[str], weightcache.Origin]
