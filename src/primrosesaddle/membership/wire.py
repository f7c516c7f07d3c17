"""Typed messages between the processes, and their msgpack codec."""

import msgspec

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import layers

__all__ = ('Envelope', 'decode', 'encode')


class Card(msgspec.Struct, array_like=True, frozen=True):
    """Who a process is; an agent's card names its server and what that serves."""

    name: str
    role: str
    incarnation: str
    address: str
    region: str
    data_centre: str
    serves: str = ''
    server_kind: str = ''
    callers: str = ''
    link_bytes_per_s: float = 0
    server: str = ''


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of one agent; `queued_cost` is in tokens."""

    running: int = 0
    queued: int = 0
    concurrency: int = 1
    queued_cost: float = 0


class Hello(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """First message on a connection, in both directions."""

    card: Card
    leaving: bool


class Heartbeat(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Periodic sign of life; `nonce` is echoed in the answer."""

    nonce: int
    leaving: bool
    load: Load
    state_labels: tuple[str, ...]
    echo: bool = False
    departed: tuple[tuple[str, float], ...] = ()


class Call(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """One call to the server beside an agent."""

    call_id: str
    incarnation: str
    workspace: str
    rank: int
    weight: float
    target: str
    version: str
    remaining_ms: int
    cost: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    traceparent: str
    revision: int
    stream: bool = False
    key: str = ''
    resume_tokens: int = 0


class AnswerHead(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Start of an answer."""

    status: int
    version: str
    revision: int
    headers: tuple[tuple[str, str], ...]


class AnswerPart(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """A piece of an answer; `tokens` counts the tokens in it."""

    body: bytes
    tokens: int


class AnswerEnd(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """End mark of a whole answer."""

    size: int
    tokens: int


class Refused(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """A call that has no whole answer."""

    verdict: str
    reason: str
    status: int
    retry_after_s: float


class Credit(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """Permission to send more parts of an answer."""

    parts: int


class Cancel(msgspec.Struct, tag=9, array_like=True, frozen=True):
    """Request to stop a call; the answer tells whether it had started."""


class PullCatalogue(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """Request for the catalogue as a delta on the digest that one holds."""

    digest: str


class CatalogueDelta(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """A delta of the catalogue."""

    delta: catalogue.Delta


class ChunkRequest(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """Request for one chunk, or for the manifest itself when `index` is -1.

    `begin` and `end` ask for a part of it in bytes; an end of 0 is its end. With
    `held` it is answered at once from what is held, and nothing is read for it.
    """

    manifest: str
    index: int
    begin: int = 0
    end: int = 0
    held_only: bool = False


class Chunk(msgspec.Struct, tag=13, array_like=True, frozen=True):
    """A chunk's bytes; `found` is false when the sender lacks or withholds it.

    `backlog_s` tells how far ahead the sender's link is taken.
    """

    found: bool
    body: bytes
    backlog_s: float = 0


class HeldChunks(msgspec.Struct, tag=14, array_like=True, frozen=True):
    """The chunks that the sender holds of a manifest, as a bitmap."""

    manifest: str
    bitmap: bytes
    backlog_s: float = 0


class WorkspaceDemand(msgspec.Struct, tag=15, array_like=True, frozen=True):
    """Demand seen by one entry by workspace, in requests and tokens a second."""

    demand: dict[str, tuple[float, float]]


class PriorKeysRequest(msgspec.Struct, tag=16, array_like=True, frozen=True):
    """Request for the keys of a service that were forwarded to earlier homes.

    `homes` is the digest of the list of homes that the sender goes by.
    """

    service: str
    owners_digest: str


class ForwardedKeys(msgspec.Struct, tag=17, array_like=True, frozen=True):
    """Keys that were forwarded to another home than the one that asks."""

    keys: tuple[str, ...]


class WasForwardedRequest(msgspec.Struct, tag=18, array_like=True, frozen=True):
    """Question whether a key was ever forwarded to any home."""

    service: str
    key: str


class YesNo(msgspec.Struct, tag=19, array_like=True, frozen=True):
    """Answer to a question of yes or no."""

    yes: bool


class NotIntroduced(msgspec.Struct, tag=20, array_like=True, frozen=True):
    """Answer to a message on a connection that has not been introduced."""


class KnownProcess(msgspec.Struct, array_like=True, frozen=True):
    """A process that the sender has heard from lately."""

    name: str
    role: str
    address: str
    region: str
    data_centre: str
    serves: str = ''


class Roster(msgspec.Struct, tag=21, array_like=True, frozen=True):
    """Processes to connect to; it adds to what the receiver knows."""

    known: tuple[KnownProcess, ...]


class PullItems(msgspec.Struct, tag=22, array_like=True, frozen=True):
    """Request for the published items past a revision."""

    after: int


class Items(msgspec.Struct, tag=23, array_like=True, frozen=True):
    """Published items past a revision and up to another, packed.

    `whole` tells that items which are missing here are gone. `lapsing_s` names removed
    items that may come back, as the store was away, and for how long they are kept.
    """

    packed: bytes
    after: int
    revision: int
    is_snapshot: bool
    version_ages_s: dict[str, float]
    expiring_s: dict[str, float] = {}


class ServerState(msgspec.Struct, tag=24, array_like=True, frozen=True):
    """What an agent sees of the server beside it, at an address.

    `ready_in_s` is when an empty server is expected to hold layers, 0 if not known.
    """

    address: str
    start_time_ms: int
    reachable: bool
    active: int = 0
    queued: int = 0
    models: dict[str, layers.Span] = {}
    switching: bool = False
    pace: float = 1.0
    ready_in_s: float = 0


class Goal(msgspec.Struct, tag=25, array_like=True, frozen=True):
    """The version that servers of a model shall hold, named `age_s` ago.

    `place` is the receiver's, from 0 to 1, in the order in which servers switch;
    `part` is the part of the layers that it loads first, of those that there are.
    `age_known` is false for an age that the sender assumes.
    """

    model: str
    version: int
    age_s: float
    origin: str
    origin_region: str
    switch_position: float = 0.0
    layer_count: int = 0
    first_part_index: int = 0
    age_known: bool = False


class VersionAges(msgspec.Struct, tag=26, array_like=True, frozen=True):
    """How long ago versions of weights were named, in seconds, by their marks."""

    ages_s: dict[str, float]


Body = (
    Hello
    | Heartbeat
    | Call
    | AnswerHead
    | AnswerPart
    | AnswerEnd
    | Refused
    | Credit
    | Cancel
    | PullCatalogue
    | CatalogueDelta
    | ChunkRequest
    | Chunk
    | HeldChunks
    | WorkspaceDemand
    | PriorKeysRequest
    | ForwardedKeys
    | WasForwardedRequest
    | YesNo
    | NotIntroduced
    | Roster
    | PullItems
    | Items
    | ServerState
    | Goal
    | VersionAges
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One message: the sender's revision, and the request that it belongs to.

    `reply` tells that `rid` was given out by the receiver of this message.
    """

    revision: int
    rid: int
    reply: bool
    body: Body


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(envelope)


def decode(frame: bytes) -> Envelope:
    """Return the message in a frame.

    Raises `msgspec.MsgspecError` when the frame is none of ours.
    """
    return _DECODER.decode(frame)
