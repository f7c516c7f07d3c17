"""Client of the engine beside an agent: its report, staging store and load orders."""

import msgspec

from primrosesaddle.core import layers
from primrosesaddle.net import call
from primrosesaddle.platform import jsonbody, names, records, wire
from primrosesaddle.staging import reconciler

__all__ = ('EngineClient',)

REPORT_TIMEOUT_S = 0.5  # on the same machine
STAGE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 2.0
ACCEPTED_STATUSES = frozenset((200, 202))


class _Report(msgspec.Struct, rename='camel'):
    models: list[records.HeldVersion] = msgspec.field(default_factory=list)
    layers: records.HeldLayers | None = None
    # Whether a load order is in progress, not whether requests run.
    busy: bool = False
    active: records.Count = 0
    queued: records.Count = 0
    # Above 1 when the engine is slower than its profile.
    pace: float = 1.0
    born: records.Count = 0
    # Memory of requests that cannot be given up, and all of it, in the same unit.
    kv_used: float = 0
    kv_total: float = 0


_REPORT = msgspec.json.Decoder(_Report)


class EngineClient:
    """Calls to the engine on this machine."""

    def __init__(self, address: str) -> None:
        """Create a client of the engine at an IP:PORT address."""
        self.address = address
        self._client = call.Client(address)

    async def read_state(self) -> reconciler.EngineState:
        """Return the state in the engine's report.

        Raises `call.CallFailed` when there is no well-formed answer.
        """
        answer = await self._call('GET', names.REPORT_PATH, REPORT_TIMEOUT_S)
        report = jsonbody.decode_answer(answer.body, _REPORT, names.REPORT_PATH)
        return reconciler.EngineState(
            records.make_spans(report.models, report.layers),
            report.busy,
            report.active,
            report.queued,
            report.pace,
            report.born,
            wire.is_leaving(answer.headers),
            report.kv_used / report.kv_total if report.kv_total > 0 else 0.0,
        )

    async def read_cold_s(self) -> float:
        """Return for how many more seconds the engine says that it is cold.

        Raises `call.CallFailed` when there is no answer.
        """
        answer = await self._client.call('GET', names.HEALTH_PATH, REPORT_TIMEOUT_S)
        return wire.read_cold_s(answer.headers)

    async def read_piece(self, model: str, index: int) -> bytes | None:
        """Return a piece from the engine's staging store, or None if it has none.

        Raises `call.CallFailed` at any other failure.
        """
        target = f'{names.STAGE_GET_PATH}/{model}?{names.PIECE_INDEX_PARAMETER}={index}'
        answer = await self._client.call('GET', target, STAGE_TIMEOUT_S)
        if answer.status == 404:
            return None
        _check_status(answer, target)
        return answer.body

    async def write_piece(self, model: str, index: int, body: bytes) -> None:
        """Write a piece to the engine's staging store.

        Raises `call.CallFailed` when it was not accepted.
        """
        target = f'{names.STAGE_PUT_PATH}/{model}?{names.PIECE_INDEX_PARAMETER}={index}'
        await self._call('PUT', target, STAGE_TIMEOUT_S, body)

    async def load(self, model: str, span: layers.Span) -> bool:
        """Order the engine to load layers, and return whether it accepted the order.

        Layers that the engine holds already are kept, all others are loaded as they
        are staged.

        Raises `call.CallFailed` when it is unknown whether the order was accepted.
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
        return answer.status in ACCEPTED_STATUSES

    async def _call(
        self, method: str, target: str, timeout_s: float, body: bytes = b''
    ) -> call.Answer:
        answer = await self._client.call(method, target, timeout_s, body)
        _check_status(answer, target)
        return answer


def _check_status(answer: call.Answer, target: str) -> None:
    """Raise `call.CallFailed` unless the answer's status is below 300."""
    if answer.status >= 300:
        raise call.CallFailed(f'{target}: status {answer.status}: {answer.body[:80]!r}')
