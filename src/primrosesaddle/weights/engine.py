"""The model engine beside an agent: state, weights, orders, calls and cancels."""

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
    """An engine's refusal of an order; `stale` tells of a low fencing number."""

    def __init__(self, reason: str, *, stale: bool) -> None:
        """Keep the engine's reason."""
        super().__init__(reason)
        self.stale = stale


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself; `loaded` maps names to manifest digests."""

    incarnation: str
    fence: int
    loaded: dict[str, str]
    staged: dict[str, list[int]] = {}
    loading: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a version under a name; `base` names an adapter's model."""

    fence: int
    name: str
    manifest: str
    base: str = ''
    kind: str = 'load'


class ChatRequest(msgspec.Struct, frozen=True):
    """One chat completion; `resume_tokens` were generated before, elsewhere."""

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
    """Stage a chunk, named by its index, or the manifest, named `manifest`.

    Raises `HttpFailure` when the engine does not take it.
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
    """Drop what is staged of a version.

    Raises `HttpFailure` when the engine does not answer.
    """
    await httpio.fetch(f'{url}/v1/weights/{manifest}', 'DELETE', None, ORDER_TIMEOUT_S)


async def send_order(url: str, order: LoadOrder) -> None:
    """Send an order.

    Raises `OrderRefused` when the engine refuses it, `HttpFailure` when there
    is no answer and the order may have been carried out.
    """
    body = msgspec.json.encode(order)
    answer = await httpio.fetch(f'{url}/v1/orders', 'POST', body, ORDER_TIMEOUT_S)
    if answer.code == httpio.NO_ANSWER:
        raise httpio.HttpFailure('no answer to the order', sent=True)
    if answer.code >= 300:
        reason = (answer.body or b'')[:200].decode(errors='replace')
        raise OrderRefused(reason, stale=answer.code == _CONFLICT)


async def chat(url: str, order: ChatRequest, on_bytes: OnBytes) -> int:
    """Run a chat completion, its stream given to `on_bytes`; return the status.

    Raises `HttpFailure` when the stream breaks.
    """
    answer = await httpio.fetch(
        f'{url}/v1/chat/completions',
        'POST',
        order.body,
        order.timeout_s,
        headers={
            'Content-Type': 'application/json',
            'X-Request-Id': order.attempt,
            'X-Priority': str(order.priority),
            'X-Expected-Version': order.version,
            'X-Resume-Tokens': str(order.resume_tokens),
            'traceparent': order.traceparent,
        },
        streaming_callback=on_bytes,
    )
    if answer.code == httpio.NO_ANSWER:
        raise httpio.HttpFailure('the stream broke', sent=True)
    return answer.code


async def cancel(url: str, attempt: str) -> None:
    """Ask the engine to stop a call; failures are of no account."""
    try:
        await httpio.fetch(f'{url}/v1/cancel/{attempt}', 'POST', b'', 2.0)
    except httpio.HttpFailure:
        return


def is_accepted(status: int) -> bool:
    """Tell whether an engine took a call."""
    return status == _OK


def decode_order(text: bytes) -> typing.Any:
    """Return an order as the engine's side reads it."""
    return msgspec.json.decode(text, type=LoadOrder)
