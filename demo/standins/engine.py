"""Stand-in for a model engine, with staged weights, load orders and streams.

A token of an answer names the version and the request's prompt, so that a caller
can see from the text alone whether an answer is mixed or another request's.
"""

import asyncio
import collections
import hashlib
import itertools
import os
import random
import time
import typing
import uuid

import msgspec
from tornado import iostream, web

from demo.standins import common
from primrosesaddle.weights import engine as protocol
from primrosesaddle.weights import manifest

__all__ = ('Engine', 'routes')

PREFILL_TOKENS_PER_S = 20_000
CACHE_ENTRIES = 64
DEFAULT_TOKENS = 16
VERSION_LETTERS = 8
PROMPT_LETTERS = 6
DEATH_STATUS = 9
_RAND = random.Random(3)


class Slots:
    """The slots of a batch, assigned by priority, then by arrival."""

    def __init__(self, count: int) -> None:
        """Create a number of free slots."""
        self._free = count
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def take(self, priority: int) -> None:
        """Wait for a slot."""
        if self._free:
            self._free -= 1
            return
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((priority, next(self._arrival_numbers), fut))
        self._waiting.sort(key=lambda entry: entry[:2])
        await fut

    def give(self) -> None:
        """Release a slot."""
        while self._waiting:
            fut = self._waiting.pop(0)[2]
            if not fut.done():
                fut.set_result(None)
                return
        self._free += 1


class Engine:
    """The engine: its weights, its faults, and all orders that it received."""

    def __init__(
        self,
        slots: int,
        token_s: float,
        load_s: float,
        *,
        checks_fencing: bool,
    ) -> None:
        """Create an engine without weights; `token_s` is the time for a token."""
        self.faults = common.Faults(
            die_after_tokens=0,
            late_s=0.0,
            crossed_share=0.0,
            short_share=0.0,
            duplicate_share=0.0,
            mixed_share=0.0,
            refuse_load=False,
            load_wrong=False,
            slow_factor=1.0,
            hang=False,
            down=False,
            error_status=0,
        )
        self.incarnation = uuid.uuid4().hex[:8]
        self.checks_fencing = checks_fencing
        self.token_s = token_s
        self.load_s = load_s
        self.slots = Slots(slots)
        self.fence = 0
        self.loaded: dict[str, str] = {}
        self.loading = 0
        self.staged: dict[str, dict[str, bytes]] = {}
        self.orders: list[dict[str, typing.Any]] = []
        self.cancelled: set[str] = set()
        self.running: collections.Counter[str] = collections.Counter()
        self.served = 0
        self.tokens = 0
        self.cache: collections.OrderedDict[str, None] = collections.OrderedDict()

    def state(self) -> dict[str, typing.Any]:
        """Return the state that agents read."""
        return {
            'incarnation': self.incarnation,
            'fence': self.fence,
            'loaded': self.loaded,
            'loading': bool(self.loading),
            'staged': {
                digest: [int(part) for part in parts if part.isdigit()]
                for digest, parts in self.staged.items()
            },
        }

    def book(self) -> dict[str, typing.Any]:
        """Return the state, all received orders, and counts."""
        return {
            **self.state(),
            'orders': self.orders,
            'served': self.served,
            'tokens': self.tokens,
            'running': sum(self.running.values()),
            'cancelled': len(self.cancelled),
        }

    async def load(self, order: protocol.LoadOrder) -> tuple[int, str]:
        """Carry out a load order; return an HTTP status and a reason."""
        record = {
            'at': time.time(),
            'fence': order.fence,
            'name': order.name,
            'manifest': order.manifest,
            'accepted': False,
        }
        self.orders.append(record)
        if self.checks_fencing and order.fence <= self.fence:
            return 409, f'fence {order.fence} is not above {self.fence}'
        if self.faults.refuse_load:
            return 422, 'the load is refused'
        complete_digest = self._assemble(order.manifest)
        if complete_digest is None:
            return 422, 'the weights are not complete'
        self.fence = max(self.fence, order.fence)
        record['accepted'] = True
        self.loading += 1
        try:
            await asyncio.sleep(self.load_s)
        finally:
            self.loading -= 1
        if not self.checks_fencing or self.fence == order.fence:
            wrong = 'f' * len(order.manifest)
            self.loaded[order.name] = (
                wrong if self.faults.load_wrong else complete_digest
            )
        return 200, 'loaded'

    def _assemble(self, digest: str) -> str | None:
        """Return the digest if all chunks are staged and intact, else None."""
        parts = self.staged.get(digest, {})
        text = parts.get('manifest', b'')
        try:
            parsed_manifest = manifest.parse(text, digest)
        except manifest.ManifestError:
            return None
        chunks = [
            parts.get(str(index), b'') for index in range(len(parsed_manifest.chunks))
        ]
        body = b''.join(chunks)
        return (
            digest if manifest.compute_digest(body) == parsed_manifest.whole else None
        )

    def prefill_s(self, prompt: str) -> float:
        """Return the seconds until the first token, fewer for a cached prompt."""
        key = hashlib.blake2b(prompt[:512].encode(), digest_size=8).hexdigest()
        cached = key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > CACHE_ENTRIES:
            self.cache.popitem(last=False)
        tokens = len(prompt) / 4
        return (tokens / 10 if cached else tokens) / PREFILL_TOKENS_PER_S


class _StateHandler(common.Handler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def get(self) -> None:
        if self.engine.faults.down:
            raise web.HTTPError(503)
        self.reply(self.engine.state())


class _WeightsHandler(common.Handler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def put(self, digest: str, part: str) -> None:
        self.engine.staged.setdefault(digest, {})[part] = self.request.body
        self.reply({'staged': True})

    def delete(self, digest: str, part: str = '') -> None:
        self.engine.staged.pop(digest, None)
        self.reply({'staged': False})


class _OrdersHandler(common.Handler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    async def post(self) -> None:
        status, reason = await self.engine.load(
            protocol.decode_order(self.request.body),
        )
        self.reply({'reason': reason}, status)


class _CancelHandler(common.Handler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def post(self, attempt: str) -> None:
        known = attempt in self.engine.running
        self.engine.cancelled.add(attempt)
        self.reply({'cancelled': known})


class _ChatHandler(common.Handler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine
        self.closed = False

    def on_connection_close(self) -> None:
        self.closed = True

    async def post(self) -> None:
        engine = self.engine
        if engine.faults.down:
            raise web.HTTPError(503)
        body = self.json()
        version = engine.loaded.get(body.get('model', ''))
        headers = self.request.headers
        expected = headers.get('X-Expected-Version', version)
        if version is None or version != expected:
            self.reply({'error': 'version is not loaded'}, 409)
            return
        attempt = headers.get('X-Request-Id', uuid.uuid4().hex)
        await engine.slots.take(int(headers.get('X-Priority', '1')))
        engine.running[attempt] += 1
        try:
            await self._generate(body, version, attempt)
        except iostream.StreamClosedError:
            self.closed = True
        finally:
            engine.running.pop(attempt, None)
            engine.slots.give()

    async def _generate(
        self,
        body: dict[str, typing.Any],
        version: str,
        attempt: str,
    ) -> None:
        """Write the events of an answer, with the faults that are set."""
        engine = self.engine
        prompt = str([message.get('content') for message in body['messages']])
        first = int(self.request.headers.get('X-Resume-Tokens', '0'))
        count = min(body.get('max_tokens', DEFAULT_TOKENS), body.get('tokens', 10_000))
        while engine.faults.hang:
            await asyncio.sleep(0.05)
        await asyncio.sleep(engine.faults.late_s + engine.prefill_s(prompt))
        if engine.faults.error_status:
            raise web.HTTPError(engine.faults.error_status)
        self.set_header('Content-Type', 'text/event-stream')
        text = '{0}.{1}'.format(
            version[:VERSION_LETTERS],
            hashlib.sha256(prompt.encode()).hexdigest()[:PROMPT_LETTERS],
        )
        encoder = _EventEncoder(engine, attempt, version, body['model'])
        pause_s = engine.token_s * engine.faults.slow_factor
        began = time.monotonic()
        for seq in range(first, count):
            if self.closed or attempt in engine.cancelled:
                return
            wait_s = began + (seq - first) * pause_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.write(encoder.event(seq, f'{text}.{seq} '))
            await self.flush()
            engine.tokens += 1
            self._exit_if_due()
        if _RAND.random() < engine.faults.short_share:
            return
        self.write(encoder.last(count, len(prompt) // 4))
        self.write(b'data: [DONE]\n\n')
        engine.served += 1

    def _exit_if_due(self) -> None:
        """End the process at once when the fault `die_after_tokens` is due."""
        limit = self.engine.faults.die_after_tokens
        if limit and self.engine.tokens >= limit:
            os._exit(DEATH_STATUS)


class _EventEncoder:
    """Encodes the events of one stream, with the faults that are set."""

    def __init__(self, engine: Engine, attempt: str, version: str, model: str) -> None:
        self._engine = engine
        self._attempt = attempt
        self._version = version
        self._model = model

    def event(self, seq: int, content: str) -> bytes:
        faults = self._engine.faults
        rand = _RAND
        attempt = self._attempt
        version = self._version
        if rand.random() < faults.crossed_share:
            attempt = 'another-request'
        if rand.random() < faults.mixed_share:
            version = 'e' * len(version)
        choice = {'index': 0, 'delta': {'content': content}, 'finish_reason': None}
        event = self._encode(attempt, version, seq, choice, None)
        if rand.random() < faults.duplicate_share:
            return event + event
        return event

    def last(self, count: int, prompt_tokens: int) -> bytes:
        choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': count,
            'total_tokens': prompt_tokens + count,
        }
        return self._encode(self._attempt, self._version, count, choice, usage)

    def _encode(
        self,
        attempt: str,
        version: str,
        seq: int,
        choice: dict[str, typing.Any],
        usage: dict[str, int] | None,
    ) -> bytes:
        event = {
            'id': attempt,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self._model,
            'system_fingerprint': version,
            'seq': seq,
            'choices': [choice],
        }
        if usage:
            event['usage'] = usage
        return b'data: ' + msgspec.json.encode(event) + b'\n\n'


def routes(engine: Engine) -> list[typing.Any]:
    """Return the routes of the stand-in."""
    kwargs = {'engine': engine}
    return [
        (r'/v1/state', _StateHandler, kwargs),
        (r'/v1/weights/(\w+)/(\w+)', _WeightsHandler, kwargs),
        (r'/v1/weights/(\w+)', _WeightsHandler, kwargs),
        (r'/v1/orders', _OrdersHandler, kwargs),
        (r'/v1/cancel/([\w.-]+)', _CancelHandler, kwargs),
        (r'/v1/chat/completions', _ChatHandler, kwargs),
        (r'/standin/state', common.JsonRead, {'read': engine.book}),
        *common.fault_routes(engine.faults),
    ]


def main() -> None:
    """Run the stand-in."""
    args = common.arguments(
        'model engine',
        slots=16,
        token_s=0.004,
        load_s=0.3,
        ignores_fencing=0,
    )
    common.run(
        lambda: routes(
            Engine(
                args.slots,
                args.token_s,
                args.load_s,
                checks_fencing=not args.ignores_fencing,
            )
        ),
        args.listen,
    )


if __name__ == '__main__':
    main()
