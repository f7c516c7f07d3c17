"""Typed messages between the processes, and their msgpack codec."""

import msgspec

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import layers, positions

__all__ = ('Envelope', 'decode', 'encode')


class Card(msgspec.Struct, array_like=True, frozen=True):
    """Identity and addresses of a process.

    `incarnation` is new at each start. An agent's card also has the address of its
    backend server, the server's kind and the name that it serves.
    """

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
    """First message on a connection, in both directions; introduces the sender."""

    card: Card
    leaving: bool


class Heartbeat(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Periodic message with the sender's state.

    An answer has `echo` set and the `nonce` of the heartbeat that it answers.
    `departed` holds incarnations that have left, each with the seconds since then.
    """

    nonce: int
    leaving: bool
    load: Load
    state_labels: tuple[str, ...]
    echo: bool = False
    departed: tuple[tuple[str, float], ...] = ()


class Call(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """One call to the backend server of an agent."""

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
    """A part of an answer's body; `tokens` counts the tokens in it."""

    body: bytes
    tokens: int


class AnswerEnd(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """End of a complete answer; `size` is its length in bytes."""

    size: int
    tokens: int


class Refused(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """Refusal of a call, or end of an answer that is not complete."""

    verdict: str
    reason: str
    status: int
    retry_after_s: float


class Credit(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """Permission to send a number of further parts of an answer."""

    parts: int


class Cancel(msgspec.Struct, tag=9, array_like=True, frozen=True):
    """Request to stop a call; the answer tells whether the call had started."""


class PullCatalogue(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """Request for the catalogue, as a delta to the one of a digest."""

    digest: str


class CatalogueDelta(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """A delta of the catalogue."""

    delta: catalogue.Delta


class ChunkRequest(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """Request for one chunk, or for the manifest itself when `index` is -1.

    `begin` and `end` limit it to a range of bytes; an end of 0 means up to its end.
    With `held_only` the answer comes at once from what is held, without further reads.
    `doubted` is the fingerprint of a manifest that the sender takes for corrupt.
    """

    manifest: str
    index: int
    begin: int = 0
    end: int = 0
    held_only: bool = False
    doubted: str = ''


class Chunk(msgspec.Struct, tag=13, array_like=True, frozen=True):
    """A chunk's bytes; `found` is false if the sender lacks or withholds it.

    `backlog_s` is the time for which the sender's link is already booked.
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
    """Demand at one entry by workspace, in requests and tokens per second."""

    demand: dict[str, tuple[float, float]]


class PriorKeysRequest(msgspec.Struct, tag=16, array_like=True, frozen=True):
    """Request for the keys of a service that were forwarded to earlier key owners.

    `owners_digest` is the digest of the sender's list of key owners.
    """

    service: str
    owners_digest: str


class ForwardedKeys(msgspec.Struct, tag=17, array_like=True, frozen=True):
    """Keys that were forwarded to another owner than the one that asks."""

    keys: tuple[str, ...]


class WasForwardedRequest(msgspec.Struct, tag=18, array_like=True, frozen=True):
    """Question whether a key was ever forwarded to any owner."""

    service: str
    key: str


class YesNo(msgspec.Struct, tag=19, array_like=True, frozen=True):
    """Answer to a yes-or-no question."""

    yes: bool


class NotIntroduced(msgspec.Struct, tag=20, array_like=True, frozen=True):
    """Answer to a message on a connection without a `Hello` before."""


class KnownProcess(msgspec.Struct, array_like=True, frozen=True):
    """A process that is alive for the sender."""

    name: str
    role: str
    address: str
    region: str
    data_centre: str
    serves: str = ''


class Roster(msgspec.Struct, tag=21, array_like=True, frozen=True):
    """Processes that the receiver may connect to, besides those that it knows."""

    known: tuple[KnownProcess, ...]


class PullItems(msgspec.Struct, tag=22, array_like=True, frozen=True):
    """Request for the published items after a revision of an era."""

    after: int
    era: int = 0

    @property
    def position(self) -> positions.Position:
        """Return the position after which items are requested."""
        return positions.Position(self.era, self.after)


class Items(msgspec.Struct, tag=23, array_like=True, frozen=True):
    """Published items after one revision and up to another, packed by the feed.

    Both revisions are of `era`.

    With `is_snapshot`, items that are missing here have been removed. `version_ages_s`
    maps version labels to seconds since their announcement. `expiring_s` maps keys of
    removed items to the seconds for which they are still kept, because they may be
    published again after an outage of the store. `kept` are records that hold in place
    of items, packed by the feed.
    """

    packed: bytes
    after: int
    revision: int
    is_snapshot: bool
    version_ages_s: dict[str, float]
    expiring_s: dict[str, float] = {}
    era: int = 0
    kept: bytes = b''

    @property
    def position(self) -> positions.Position:
        """Return the position up to which items are included."""
        return positions.Position(self.era, self.revision)


class ServerState(msgspec.Struct, tag=24, array_like=True, frozen=True):
    """State of an agent's backend server, which listens at an address.

    `ready_in_s` is the time until an empty server is expected to hold layers, 0 if not
    known. `leaving` is whether the server says that it is leaving, `cold_remaining_s`
    for how many more seconds it says that it is cold, `memory_share` which part of its
    memory requests hold, `is_machine_shared` whether it has stated to an entry how slow
    its machine is.
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
    leaving: bool = False
    cold_remaining_s: float = 0
    memory_share: float = 0
    is_machine_shared: bool = False


class Goal(msgspec.Struct, tag=25, array_like=True, frozen=True):
    """The version that servers of a model are to hold, announced `age_s` ago.

    `switch_position` is the receiver's position, from 0 to 1, in the order in which
    servers switch. `first_part_index` is the part of the layers that it loads first.
    `age_known` is false if the sender assumes the age. `piece_count` is the number of
    pieces of the weights, 0 if not known. `asks_cold` is whether the receiver is to ask
    its server whether it is cold, as the store does not tell the sender.
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
    piece_count: int = 0
    asks_cold: bool = False


class VersionAges(msgspec.Struct, tag=26, array_like=True, frozen=True):
    """Seconds since versions of weights were announced, by version label."""

    ages_s: dict[str, float]


class LeavingServers(msgspec.Struct, tag=27, array_like=True, frozen=True):
    """Servers that say that they are leaving, by id and start in Unix milliseconds."""

    incarnations: tuple[tuple[str, int], ...]


class ServerCrash(msgspec.Struct, array_like=True, frozen=True):
    """A server that ended, by id and start, and parts of prompts that it had begun.

    `had_worked` is whether it had worked on other calls since that start.
    """

    server_id: str
    start_time_ms: int
    parts: tuple[str, ...]
    age_s: float
    had_worked: bool = False


class BlockedPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of prompts that is not sent, and the newest crash under it.

    `lapses` counts the crashes after the block had lapsed. `trial_age_s` is set while a
    call that is to show whether it still crashes servers has no outcome. `tied` holds
    the parts that were in the same crashes.
    """

    part: str
    crash_count: int
    server_id: str
    start_time_ms: int
    age_s: float
    lapses: int
    trial_age_s: float | None = None
    tied: tuple[str, ...] = ()


class CrashFacts(msgspec.Struct, tag=28, array_like=True, frozen=True):
    """What the sender knows of crashes of servers and of parts that are blocked.

    `cleared_s` maps parts to the seconds since a call with them was answered.
    """

    crashes: tuple[ServerCrash, ...] = ()
    cleared_s: dict[str, float] = {}
    blocks: tuple[BlockedPart, ...] = ()


class LoadQuestion(msgspec.Struct, tag=40, array_like=True, frozen=True):
    """Question of an entry to an agent for the load of its server at this moment."""


class LoadAnswer(msgspec.Struct, tag=41, array_like=True, frozen=True):
    """Load of an agent's server, whose prompts of `unread_tokens` are not read yet.

    `pace` is over 1 while work takes longer than by the server's profile. `is_known` is
    false while the agent does not reach the server.
    """

    is_known: bool
    calls: int = 0
    unread_tokens: int = 0
    pace: float = 1.0


class CallNotice(msgspec.Struct, tag=42, array_like=True, frozen=True):
    """How far a call of the sender has come at the server of an agent.

    `stage` is `sent`, `read` once the server has read the prompt, or `ended`.
    """

    call_id: str
    stage: str
    prompt_tokens: int = 0


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
    | LeavingServers
    | CrashFacts
    | LoadQuestion
    | LoadAnswer
    | CallNotice
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One message with the sender's position and the id of its request, 0 for none.

    `reply` tells that `rid` was assigned by the receiver of this message.
    """

    revision: int
    rid: int
    reply: bool
    body: Body
    era: int = 0

    @property
    def position(self) -> positions.Position:
        """Return the sender's position."""
        return positions.Position(self.era, self.revision)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(envelope)


def decode(frame: bytes) -> Envelope:
    """Return the message in a frame.

    Raises `msgspec.MsgspecError` if the frame is malformed.
    """
    return _DECODER.decode(frame)
