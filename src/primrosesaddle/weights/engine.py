"""Client of the engine beside an agent: state, weights, load orders and calls."""

import typing
from collections.abc import Awaitable, Callable

import msgspec

from primrosesaddle.core import httpio

__all__ = ('ChatRequest', 'EngineState', 'LoadOrder', 'OrderRefused')

ORDER_TIMEOUT_S = 60.0
_CONFLICT = 409
_OK = 200

OnBytes = Callable[[bytes], Awaitable[None] | None]


class OrderRefused(Exception):
    """The engine refused an order; `stale` if its fencing number was too low."""

    def __init__(self, reason: str, *, stale: bool) -> None:
        """Create the exception with the engine's reason."""
        super().__init__(reason)
        self.stale = stale


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports.

    `loaded` maps names of models and adapters to manifest digests, `staged` maps
    manifest digests to the indexes of staged chunks.
    """

    incarnation: str
    fence: int
    loaded: dict[str, str]
    staged: dict[str, list[int]] = {}
    loading: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a version under a name; `base` is the model of an adapter."""

    fence: int
    name: str
    manifest: str
    base: str = ''
    kind: str = 'load'


class ChatRequest(msgspec.Struct, frozen=True):
    """One chat completion.

    `resume_tokens` is the number of tokens that another engine has generated
    already; `version` is the digest of the manifest that must be loaded.
    """

    attempt: str
    priority: int
    version: str
    body: bytes
    timeout_s: float
    resume_tokens: int = 0
    traceparent: str = ''


async def read_state(url: str, timeout_s: float = 2.0) -> EngineState:
    """Return the engine's state.

    Raises `HttpFailure` when it cannot be read.
    """
    raw = await httpio.fetch_json(f'{url}/v1/state', timeout_s=timeout_s)
    try:
        return msgspec.convert(raw, EngineState)
    except msgspec.ValidationError as exc:
        raise httpio.HttpFailure(f'malformed state: {exc}', sent=True) from None


async def put_weights(url: str, manifest: str, part: str, body: bytes) -> None:
    """Stage a part of a version: a chunk by its index, or the part `manifest`.

    `manifest` is the digest of the manifest. Raises `HttpFailure` when the engine
    does not accept the part.
    """
    answer = await httpio.fetch(
        f'{url}/v1/weights/{manifest}/{part}',
        'PUT',
        body,
        ORDER_TIMEOUT_S,
    )
    if answer.code >= 300:
        raise httpio.HttpFailure(f'status {answer.code}', sent=True)


async def drop_weights(url: str, manifest: str) -> None:
    """Delete the staged parts of a version.

    Raises `HttpFailure` when the engine does not answer.
    """
    await httpio.fetch(f'{url}/v1/weights/{manifest}', 'DELETE', None, ORDER_TIMEOUT_S)


async def send_order(url: str, order: LoadOrder) -> None:
    """Send a load order.

    Raises `OrderRefused` when the engine refuses it, and `HttpFailure` when it does
    not answer, in which case the order may have been carried out.
    """
    body = msgspec.json.encode(order)
    answer = await httpio.fetch(f'{url}/v1/orders', 'POST', body, ORDER_TIMEOUT_S)
    if answer.code == httpio.NO_ANSWER:
        raise httpio.HttpFailure('the engine did not answer the order', sent=True)
    if answer.code >= 300:
        reason = (answer.body or b'')[:200].decode(errors='replace')
        raise OrderRefused(reason, stale=answer.code == _CONFLICT)


async def chat(url: str, request: ChatRequest, on_bytes: OnBytes) -> int:
    """Run a chat completion, pass its stream to `on_bytes`, and return the status.

    Raises `HttpFailure` when the connection breaks.
    """
    answer = await httpio.fetch(
        f'{url}/v1/chat/completions',
        'POST',
        request.body,
        request.timeout_s,
        headers={
            'Content-Type': 'application/json',
            'X-Request-Id': request.attempt,
            'X-Priority': str(request.priority),
            'X-Expected-Version': request.version,
            'X-Resume-Tokens': str(request.resume_tokens),
            'traceparent': request.traceparent,
        },
        streaming_callback=on_bytes,
    )
    if answer.code == httpio.NO_ANSWER:
        raise httpio.HttpFailure(
            'the connection to the engine broke during the stream', sent=True
        )
    return answer.code


async def cancel(url: str, attempt: str) -> None:
    """Ask the engine to stop a call; ignore failures."""
    try:
        await httpio.fetch(f'{url}/v1/cancel/{attempt}', 'POST', b'', 2.0)
    except httpio.HttpFailure:
        return


def is_accepted(status: int) -> bool:
    """Return whether a status means that the engine accepted the call."""
    return status == _OK


def decode_order(text: bytes) -> typing.Any:
    """Decode an order as the engine receives it."""
    return msgspec.json.decode(text, type=LoadOrder)
