"""Validated requests of callers."""

import dataclasses
import hashlib
import time
import typing

import msgspec

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import verdict
from primrosesaddle.gateway import headers

__all__ = ('ChatBody', 'Request', 'parse_chat')

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 512


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str | list[dict[str, typing.Any]] | None = ''


class ChatBody(msgspec.Struct):
    """The fields of a chat completion that this system reads."""

    model: str
    messages: typing.Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None


@dataclasses.dataclass
class Request:
    """One call of a caller.

    `target` is the name of a model, an adapter or a plain service. `deadline` is in
    seconds of the monotonic clock, `cost` the estimate in tokens. `path` is empty for
    chat completions, `key` the idempotency key with workspace and service, or empty.
    """

    call_id: str
    workspace: catalogue.Workspace
    work: catalogue.Work
    target: str
    deadline: float
    cost: int
    method: str
    path: str
    headers: headers.HeaderPairs
    body: bytes
    revision: int
    stream: bool = False
    prefix: str = ''
    key: str = ''
    span: typing.Any = None
    attempts: int = 0

    @property
    def rank(self) -> catalogue.Rank:
        """Return the rank of the request's kind of work."""
        return catalogue.Rank[self.work.rank.upper()]

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()


def parse_chat(body: bytes) -> tuple[ChatBody, dict[str, typing.Any]]:
    """Parse a chat completion; return the fields in use, and all fields as sent.

    Raises `Refusal`, which names the faulty field.
    """
    try:
        body_fields = msgspec.json.decode(body, type=dict[str, typing.Any])
        return msgspec.convert(body_fields, ChatBody), body_fields
    except RecursionError:
        raise verdict.not_run('body_refused: nested too deeply', 400) from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise verdict.not_run(f'body_refused: {exc}', 400) from None


def engine_body(body_fields: dict[str, typing.Any], max_tokens: int) -> bytes:
    """Return the body for an engine: streamed, with at most `max_tokens` tokens."""
    return msgspec.json.encode(
        {**body_fields, 'stream': True, 'max_tokens': max_tokens}
    )


def estimate_cost(body: bytes, max_tokens: int) -> int:
    """Return the estimated cost of a chat completion in tokens."""
    return len(body) // BYTES_PER_TOKEN + max_tokens


def actual_cost(req: Request, tokens: int) -> int:
    """Return the cost of an answered call with `tokens` generated tokens.

    Without tokens it is the estimate.
    """
    if not tokens:
        return req.cost
    return len(req.body) // BYTES_PER_TOKEN + tokens


def prefix_digest(chat: ChatBody) -> str:
    """Return the digest of the beginning of a conversation, for prefix routing."""
    text = ''
    for message in chat.messages[:2]:
        text += f'{message.role}:{message.content}\n'
        if len(text) >= PREFIX_BYTES:
            break
    prefix = f'{chat.model}\n{text[:PREFIX_BYTES]}'
    return hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest()
