"""Message channels between processes, over ZeroMQ ROUTER and DEALER sockets."""

import asyncio
import dataclasses
import itertools
import pathlib
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from primrosesaddle.core import positions
from primrosesaddle.membership import messagesocket, wire
from primrosesaddle.telemetry import journal

__all__ = ('Channel', 'ChannelClosed', 'RouterLink', 'Stream', 'dial', 'bind_router')

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_SESSIONS = 4096
MAX_SOCKETS = 8192
CLOSE_LINGER_MS = 200  # for the last messages of a process, as that it leaves

MessageHandler = Callable[['Channel', int, wire.Body], None]
PositionListener = Callable[['Channel', positions.Position], None]
_SendFrames = Callable[[list[bytes]], object]


class ChannelClosed(Exception):
    """The peer of a channel is gone or was replaced by a new incarnation."""


@dataclasses.dataclass(frozen=True)
class CurveKeys:
    """The fleet's CURVE key pair, Z85-encoded."""

    public: bytes
    secret: bytes


class Stream:
    """The answers to one request, in order."""

    def __init__(self, channel: 'Channel', rid: int) -> None:
        """Create the stream of answers to the request of an id."""
        self._channel = channel
        self._queue: asyncio.Queue[wire.Body | None] = asyncio.Queue()
        self.rid = rid

    def put(self, body: wire.Body | None) -> None:
        """Add an answer; None ends the stream with `ChannelClosed`."""
        self._queue.put_nowait(body)

    def send(self, body: wire.Body) -> None:
        """Send a further message that belongs to the request."""
        self._channel.send(body, self.rid)

    async def next(self) -> wire.Body:
        """Wait for the next answer, and return it.

        Raises `ChannelClosed` if the peer is gone.
        """
        body = await self._queue.get()
        if body is None:
            raise ChannelClosed
        return body

    def close(self) -> None:
        """End the request; later answers to it are dropped."""
        self._channel.drop_request(self.rid)


class Channel:
    """Messages to and from one peer over one connection.

    `card` is that of the peer, None until it has introduced itself with `wire.Hello`.
    `last_heard_at` is when the peer last sent a hello or a heartbeat on it, by the
    clock of the table of peers, 0 before the first.
    """

    def __init__(
        self,
        send_frames: _SendFrames,
        get_position: Callable[[], positions.Position],
    ) -> None:
        """Create a channel.

        `send_frames` sends encoded messages; `get_position` returns the position that
        is sent with every message.
        """
        self._send_frames = send_frames
        self._get_position = get_position
        self._next_request_ids = itertools.count(1)
        self._pending: dict[int, Stream] = {}
        self._outbox: list[bytes] = []
        self.card: wire.Card | None = None
        self.closed = False
        self.last_heard_at = 0.0

    def send(self, body: wire.Body, rid: int = 0, *, reply: bool = False) -> None:
        """Send a message; those of one turn of the event loop are sent together.

        `rid` is the id of the request that it belongs to, 0 for none. With `reply` it
        is an id given by the peer. Messages on a closed channel are dropped.
        """
        if self.closed:
            return
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        at = self._get_position()
        envelope = wire.Envelope(at.revision, rid, reply, body, at.era)
        self._outbox.append(wire.encode(envelope))

    def open_stream(self, body: wire.Body) -> Stream:
        """Send a request, and return the stream of its answers.

        Raises `ChannelClosed` if the peer is gone.
        """
        if self.closed:
            raise ChannelClosed
        rid = next(self._next_request_ids)
        stream = Stream(self, rid)
        self._pending[rid] = stream
        self.send(body, rid)
        return stream

    async def request(self, body: wire.Body, timeout_s: float) -> wire.Body:
        """Send a request that has one answer, and return the answer.

        Raises `ChannelClosed` or `TimeoutError`.
        """
        stream = self.open_stream(body)
        try:
            # Before Python 3.12, `wait_for` may lose a cancellation as an answer comes.
            async with asyncio.timeout(timeout_s):
                return await stream.next()
        finally:
            stream.close()

    def deliver(self, envelope: wire.Envelope, handler: MessageHandler) -> None:
        """Pass a received message to its stream, or to `handler` if it is no reply."""
        if not envelope.reply:
            handler(self, envelope.rid, envelope.body)
            return
        stream = self._pending.get(envelope.rid)
        if stream is not None:
            stream.put(envelope.body)

    def drop_request(self, rid: int) -> None:
        """Stop waiting for answers to a request; later ones are dropped."""
        self._pending.pop(rid, None)

    def fail_pending(self) -> None:
        """End every open request with `ChannelClosed`."""
        pending = list(self._pending.values())
        self._pending.clear()
        for stream in pending:
            stream.put(None)

    def close(self) -> None:
        """Close the channel, and end every open request with `ChannelClosed`."""
        self.closed = True
        self.fail_pending()

    def _flush(self) -> None:
        frames, self._outbox = self._outbox, []
        if frames and not self.closed:
            self._send_frames(frames)


@dataclasses.dataclass
class Hooks:
    """Functions that a link calls.

    `handler` gets each message that is no reply, and `on_position` the position sent
    with every message. `get_position` returns the own position.
    """

    handler: MessageHandler
    on_position: PositionListener
    get_position: Callable[[], positions.Position]


class RouterLink:
    """The ROUTER socket on which peers reach this process."""

    def __init__(self, sock: 'zmq.Socket[bytes]', hooks: Hooks) -> None:
        """Deliver the messages that a bound socket receives."""
        self._hooks = hooks
        self._sessions: dict[bytes, Channel] = {}
        self._messages = messagesocket.MessageSocket(sock, self._receive)

    def drop(self, channel: Channel) -> None:
        """Close the session of a channel, such as of a silent peer."""
        for identity, session in list(self._sessions.items()):
            if session is channel:
                self._sessions.pop(identity)
        channel.close()

    def drop_silent(self, heard_until: float) -> None:
        """Close the sessions that were last heard from before a time.

        Their connections are gone, or the peer has replaced them by others.
        """
        for session in self.sessions:
            if session.last_heard_at < heard_until:
                self.drop(session)

    @property
    def sessions(self) -> list[Channel]:
        """Return the channels of the peers that have introduced themselves."""
        return list(self._sessions.values())

    def close(self) -> None:
        """Close the socket and all sessions."""
        for channel in self.sessions:
            channel.close()
        self._sessions.clear()
        self._messages.close(CLOSE_LINGER_MS)

    def _receive(self, message: list[bytes]) -> None:
        identity, *frames = message
        channel = self._sessions.get(identity)
        for frame in frames:
            channel = self._handle_frame(identity, channel, frame)

    def _handle_frame(
        self,
        identity: bytes,
        channel: Channel | None,
        frame: bytes,
    ) -> Channel | None:
        """Deliver a message, and return the channel of its session, None if none."""
        envelope = _decode(frame)
        if envelope is None:
            return channel
        if channel is None:
            if not isinstance(envelope.body, wire.Hello):
                self._send_not_introduced(identity)
                return None
            channel = self._open_session(identity)
            if channel is None:
                return None
        if isinstance(envelope.body, wire.Hello):
            channel.card = envelope.body.card
        self._hooks.on_position(channel, envelope.position)
        channel.deliver(envelope, self._hooks.handler)
        return channel

    def _open_session(self, identity: bytes) -> Channel | None:
        if len(self._sessions) >= MAX_SESSIONS:
            journal.warning('link.full', sessions=len(self._sessions))
            return None
        channel = Channel(
            lambda frames: self._send(identity, frames), self._hooks.get_position
        )
        self._sessions[identity] = channel
        return channel

    def _send(self, identity: bytes, frames: list[bytes]) -> None:
        """Send to a connection, and close its session if it is gone."""
        if self._messages.send([identity, *frames]):
            return
        channel = self._sessions.pop(identity, None)
        if channel is not None:
            channel.close()
            peer = channel.card.name if channel.card else ''
            journal.info('link.gone', peer=peer, messages=len(frames))

    def _send_not_introduced(self, identity: bytes) -> None:
        at = self._hooks.get_position()
        envelope = wire.Envelope(at.revision, 0, False, wire.NotIntroduced(), at.era)
        self._send(identity, [wire.encode(envelope)])


class DealerLink:
    """A DEALER socket to one peer, with its channel."""

    def __init__(
        self, sock: 'zmq.Socket[bytes]', hooks: Hooks, hello: wire.Hello
    ) -> None:
        """Send `hello` on a connecting socket, and deliver what it receives.

        The channel is closed when the connection breaks.
        """
        self._sock = sock
        self._hooks = hooks
        self._hello = hello
        self._messages = messagesocket.MessageSocket(sock, self._receive)
        self.channel = Channel(self._messages.send, hooks.get_position)
        self._monitor = messagesocket.MessageSocket(
            sock.get_monitor_socket(zmq.EVENT_DISCONNECTED),
            lambda _: self.channel.close(),
        )
        self.channel.send(hello)

    def close(self) -> None:
        """Close the socket at once; unsent messages are dropped."""
        self.channel.close()
        # The monitor's last event waits for a reader, for ever if there is none.
        self._sock.disable_monitor()
        self._monitor.close()
        self._messages.close()

    def _receive(self, message: list[bytes]) -> None:
        for frame in message:
            envelope = _decode(frame)
            if envelope is not None:
                self._handle_envelope(envelope)

    def _handle_envelope(self, envelope: wire.Envelope) -> None:
        if isinstance(envelope.body, wire.NotIntroduced):
            self.channel.fail_pending()
            self.channel.send(self._hello)
            return
        if isinstance(envelope.body, wire.Hello):
            self._set_card(envelope.body.card)
        self._hooks.on_position(self.channel, envelope.position)
        self.channel.deliver(envelope, self._hooks.handler)

    def _set_card(self, card: wire.Card) -> None:
        """Set the peer's card; a new incarnation ends the open requests."""
        known = self.channel.card
        if known is not None and known.incarnation != card.incarnation:
            self.channel.fail_pending()
        self.channel.card = card


def read_keys(public_path: str, secret_path: str) -> CurveKeys | None:
    """Return the CURVE key pair in two files, or None if no file is named."""
    if not public_path:
        return None
    public = pathlib.Path(public_path).read_bytes().strip()
    return CurveKeys(public, pathlib.Path(secret_path).read_bytes().strip())


def bind_router(address: str, hooks: Hooks, keys: CurveKeys | None) -> RouterLink:
    """Bind the ROUTER socket of this process to an address."""
    sock = _make_socket(zmq.ROUTER)
    if keys is not None:
        sock.curve_server = True
        sock.curve_publickey = keys.public
        sock.curve_secretkey = keys.secret
    sock.bind(f'tcp://{address}')
    return RouterLink(sock, hooks)


def dial(
    address: str,
    hooks: Hooks,
    hello: wire.Hello,
    keys: CurveKeys | None,
) -> DealerLink:
    """Connect a DEALER socket to the address of a peer.

    `hello` is sent first, and again if the peer does not know this process.
    """
    sock = _make_socket(zmq.DEALER)
    if keys is not None:
        sock.curve_serverkey = keys.public
        sock.curve_publickey = keys.public
        sock.curve_secretkey = keys.secret
    sock.connect(f'tcp://{address}')
    return DealerLink(sock, hooks, hello)


def make_authenticator(keys: CurveKeys) -> zmq.auth.asyncio.AsyncioAuthenticator:
    """Start an authenticator that accepts only peers with the fleet's public key."""
    authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
        zmq.asyncio.Context(zmq.Context.instance())
    )
    authenticator.start()
    authenticator.configure_curve_callback(credentials_provider=_FleetKey(keys.public))
    return authenticator


class _FleetKey:
    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a client's public key is the fleet's."""
        return key == self._public


def _make_socket(kind: int) -> 'zmq.Socket[bytes]':
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.instance()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    sock = context.socket(kind)
    sock.linger = 0
    sock.sndhwm = 0
    sock.rcvhwm = 0
    sock.maxmsgsize = MAX_FRAME_BYTES
    if kind == zmq.ROUTER:
        sock.router_handover = True
        # Messages to a connection that is gone raise an error instead of being dropped.
        sock.router_mandatory = True
    return sock


def _decode(frame: bytes) -> wire.Envelope | None:
    try:
        return wire.decode(frame)
    except msgspec.MsgspecError as exc:
        journal.warning('link.malformed', error=str(exc), size=len(frame))
        return None
