"""The model server beside an agent: its report, its staging area, its orders."""

import typing

import msgspec

from primrosesaddle.core import layers
from primrosesaddle.net import call
from primrosesaddle.platform import names, records
from primrosesaddle.staging import reconciler

__all__ = ('EngineClient',)

REPORT_TIMEOUT_S = 0.5  # on the same machine
STAGE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 2.0
ACCEPTED = frozenset((200, 202))

_Model = typing.TypeVar('_Model')


class _Report(msgspec.Struct, rename='camel'):
    models: list[records.HeldVersion] = msgspec.field(default_factory=list)
    layers: records.HeldLayers | None = None
    # Whether an order is being carried out, not whether requests run.
    busy: bool = False
    active: int = 0
    queued: int = 0
    # Over 1 when the server is slower than its profile.
    pace: float = 1.0
    born: int = 0


class EngineClient:
    """Calls to the model server of this machine."""

    def __init__(self, address: str) -> None:
        """Prepare calls to an IP:PORT address."""
        self.address = address
        self._client = call.Client(address)

    async def read_state(self) -> reconciler.EngineState:
        """Return the engine's report.

        Raises `call.CallFailed`.
        """
        answer = await self._call('GET', names.REPORT_PATH, REPORT_TIMEOUT_S)
        found = _decode(answer.body, _Report)
        return reconciler.EngineState(
            records.make_spans(found.models, found.layers),
            found.busy,
            found.active,
            found.queued,
            found.pace,
            found.born,
        )

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a staged piece, or None.

        Raises `call.CallFailed`.
        """
        target = f'{names.STAGE_GET_PATH}/{model}?{names.PIECE_INDEX_PARAMETER}={index}'
        answer = await self._client.call('GET', target, STAGE_TIMEOUT_S)
        if answer.status == 404:
            return None
        _expect(answer, target)
        return answer.body

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece.

        Raises `call.CallFailed`.
        """
        target = f'{names.STAGE_PUT_PATH}/{model}?{names.PIECE_INDEX_PARAMETER}={index}'
        await self._call('PUT', target, STAGE_TIMEOUT_S, body)

    async def load(self, model: str, span: layers.Span) -> bool:
        """Order that these layers be held, and return whether that was accepted.

        Those that the engine holds already are kept, all others are loaded as they
        are staged.

        Raises `call.CallFailed` when it is not known whether it was.
        """
        order: dict[str, str | int] = {
            'op': 'start',
            'model': model,
            'version': span.version,
            'switchMode': 'queue',
        }
        if span.end != layers.END_UNKNOWN:
            order.update({'from': span.first, 'to': span.end})
        body = msgspec.json.encode(order)
        answer = await self._client.call(
            'POST', names.ORDER_PATH, ORDER_TIMEOUT_S, body, reuse=False
        )
        return answer.status in ACCEPTED

    async def _call(
        self, method: str, target: str, timeout_s: float, body: bytes = b''
    ) -> call.Answer:
        answer = await self._client.call(method, target, timeout_s, body)
        _expect(answer, target)
        return answer


def _expect(answer: call.Answer, target: str) -> None:
    if answer.status >= 300:
        raise call.CallFailed(f'{target}: status {answer.status}: {answer.body[:80]!r}')


def _decode(body: bytes, model: type[_Model]) -> _Model:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as exc:
        raise call.CallFailed(f'malformed answer: {exc}') from None
