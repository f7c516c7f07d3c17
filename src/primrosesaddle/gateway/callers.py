"""The callers' HTTP interface of an entry."""

import asyncio
import math
import time
import typing
import uuid

import msgspec
from tornado import httputil, iostream, web

from primrosesaddle.configuration import catalogue
from primrosesaddle.core import verdict
from primrosesaddle.gateway import (
    callersink,
    callerstate,
    dispatch,
    headers,
    overloadguard,
    requests,
)
from primrosesaddle.telemetry import journal, traces

__all__ = ('CallHandler', 'Handler', 'make_application')

NAMED_ENTRIES = 2
KEY_LENGTH = 200
RANK_HEADER = 'Work-Kind'
DEADLINE_HEADER = 'Request-Deadline-Ms'
MAX_DEADLINE_MS = 600_000
PLAIN_COST = 1


class Handler(web.RequestHandler):
    """Read a bounded body, authenticate, and answer with JSON refusals."""

    front: callerstate.CallerContext

    def initialize(self, front: callerstate.CallerContext) -> None:
        """Take the front."""
        self.front = front
        self._chunks: list[bytes] = []
        self._size = 0
        self._late: typing.Any = None
        self._job: asyncio.Task[None] | None = None
        self.workspace: catalogue.Workspace | None = None

    def prepare(self) -> None:
        """Authenticate before the body is read, and bound its size and time."""
        self.request.connection.set_max_body_size(1 << 40)  # type: ignore[union-attr]
        try:
            self._check_head()
        except verdict.Refusal as exc:
            self.refuse(exc)
        else:
            self._late = asyncio.get_running_loop().call_later(
                self.front.cfg.limits.body_timeout_s,
                self._body_late,
            )

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._size += len(chunk)
        if self._finished:
            return
        limit = self.front.cfg.limits.max_body_bytes
        if self._size > limit:
            self._chunks.clear()
            self.refuse(verdict.not_run(f'body_larger_than_{limit}_bytes', 413))
            return
        self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel the call when its caller hangs up."""
        self._body_done()
        if self._job is not None:
            self._job.cancel()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Stop the clock on the body."""
        self._body_done()

    def log_exception(self, *exc_info: typing.Any) -> None:
        """Log a fault on one line; a hang-up is none."""
        if not isinstance(exc_info[1], iostream.StreamClosedError):
            journal.error('callers.failed', error=repr(exc_info[1]))

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer a fault in the form of a refusal."""
        self.refuse(verdict.may_have_run('internal', status_code))

    def refuse(self, exc: verdict.Refusal, call_id: str = '') -> None:
        """Answer with a refusal."""
        self.set_status(exc.status if 400 <= exc.status < 600 else 503)
        if exc.status == 413:
            self.set_header('Connection', 'close')
        if exc.status == 401:
            self.set_header('WWW-Authenticate', 'Bearer')
        if exc.retry_after_s:
            wait_s = exc.retry_after_s * self.front.rand.uniform(1, 1.5)
            self.set_header('Retry-After', str(max(1, round(wait_s))))
        self.set_header('Content-Type', 'application/json')
        self.finish(callerstate.refusal_body(exc, call_id))

    async def run_job(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run the call so that a hang-up can cancel it."""
        self._body_done()
        if self._finished:
            work.close()
            return
        self._job = asyncio.create_task(work)
        await asyncio.wait([self._job])
        if not self._job.cancelled():
            self._job.result()

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self._chunks)

    def _check_head(self) -> None:
        limit = self.front.cfg.limits.max_body_bytes
        sent = self.request.headers
        self.workspace = self.front.authenticate(sent.get('Authorization', ''))
        length = sent.get('Content-Length') or '0'
        if not length.isdecimal():
            raise verdict.not_run('content_length_malformed', 400)
        if int(length) > limit:
            raise verdict.not_run(f'body_larger_than_{limit}_bytes', 413)

    def _body_done(self) -> None:
        if self._late is not None:
            self._late.cancel()

    def _body_late(self) -> None:
        if not self._finished:
            self.refuse(verdict.not_run('body_too_slow', 408))
            self.request.connection.detach().close()  # type: ignore[union-attr]


class _Entries(web.RequestHandler):
    """`GET /v1/entries`: which addresses to use, and for how long."""

    front: callerstate.CallerContext

    def initialize(self, front: callerstate.CallerContext) -> None:
        self.front = front

    def get(self) -> None:
        front = self.front
        name = 'anyone'
        header = self.request.headers.get('Authorization', '')
        if header:
            try:
                name = front.authenticate(header).name
            except verdict.Refusal as exc:
                self.set_status(exc.status)
                self.set_header('Content-Type', 'application/json')
                self.finish(callerstate.refusal_body(exc))
                return
        found = front.entries_for(name)
        front.named_at = time.monotonic()
        self.set_header('Content-Type', 'application/json')
        self.finish(
            msgspec.json.encode(
                {
                    'entries': found[:NAMED_ENTRIES],
                    'alternates': found[NAMED_ENTRIES:],
                    'ttl_s': front.cfg.limits.entries_ttl_s,
                    'revision': front.config.revision,
                }
            )
        )


@web.stream_request_body
class CallHandler(Handler):
    """What calls to models and to plain services share."""

    async def serve(self, make: typing.Callable[[], requests.Request]) -> None:
        """Make the request, run it, and answer."""
        began = time.monotonic()
        front = self.front
        span = front.tracer.start_span(
            'entry.call',
            self.request.headers.get('traceparent', ''),
        )
        call_id = ''
        try:
            req = make()
            req.span = span
            call_id = req.call_id
            await self._admit_and_run(req, began)
        except verdict.Refusal as exc:
            self._account_refusal(exc, call_id, traces.trace_id_of(span))
            if not self._finished:
                self.refuse(exc, call_id)
        except iostream.StreamClosedError:
            front.metrics.count('hang_ups')
        finally:
            span.end()

    def new_request(self, target: str, kind: str) -> requests.Request:
        """Return a request with what the headers say.

        Raises `Refusal` when a header is faulty or the target is not allowed.
        """
        space = typing.cast(catalogue.Workspace, self.workspace)
        cat = self.front.config.current
        if not self._is(kind, target) or target not in space.may_use:
            usable = [name for name in space.may_use if self._is(kind, name)]
            allowed = ', '.join(usable)
            raise verdict.not_run(f'{kind}_unknown: allowed: {allowed}', 404)
        name = self.request.headers.get(RANK_HEADER, space.work)
        work = cat.get('work', name)
        if work is None:
            allowed = ', '.join(entry.name for entry in cat.entries_of_kind('work'))
            raise verdict.not_run(
                f'{RANK_HEADER} {name[:64]!r}: allowed: {allowed}', 400
            )
        deadline = time.monotonic() + self._deadline_ms(work) / 1000
        return requests.Request(
            f'chatcmpl-{uuid.uuid4().hex}',
            space,
            work,
            target,
            deadline,
            PLAIN_COST,
            self.request.method or 'POST',
            '',
            (),
            b'',
            cat.revision,
        )

    def _is(self, kind: str, name: str) -> bool:
        cat = self.front.config.current
        found = cat.callable_entry(name) if kind == 'model' else cat.get(kind, name)
        return found is not None

    def _deadline_ms(self, work: catalogue.Work) -> int:
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return work.limits.deadline_ms
        try:
            deadline_ms = int(text)
        except ValueError:
            deadline_ms = -1
        if not 0 <= deadline_ms <= MAX_DEADLINE_MS:
            allowed = f'allowed: 0 to {MAX_DEADLINE_MS}'
            raise verdict.not_run(f'{DEADLINE_HEADER} {text[:32]!r}: {allowed}', 400)
        return min(deadline_ms, work.limits.deadline_ms)

    async def _admit_and_run(self, req: requests.Request, began: float) -> None:
        front = self.front
        self._admit(req)
        delay_s = front.limiter.admit(req.workspace.name, req.cost, time.monotonic())
        front.in_flight += 1
        name = req.workspace.name
        front.in_flight_by_workspace[name] = (
            front.in_flight_by_workspace.get(name, 0) + 1
        )
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            await self._run(req, began)
        finally:
            front.in_flight -= 1
            front.in_flight_by_workspace[name] -= 1

    def _admit(self, req: requests.Request) -> None:
        front = self.front
        if req.remaining_s <= 0:
            raise verdict.not_run('deadline_passed', 504)
        if front.in_flight >= front.cfg.limits.max_in_flight:
            raise verdict.not_run('entry_full', 503, 1)
        space = req.workspace
        share = front.limiter.share_of(space.name)
        if front.in_flight_by_workspace.get(space.name, 0) >= math.ceil(
            space.limits.in_flight * share
        ):
            raise verdict.not_run('workspace_in_flight_limit', 429, 1)

    async def _run(self, req: requests.Request, began: float) -> None:
        sink = callersink.HttpSink(self, req)
        try:
            outcome = await self.relay(req, sink)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                self.front.limiter.replace_estimate(req.workspace.name, req.cost, 0)
            if not sink.started:
                raise
            self._account_refusal(exc, req.call_id, traces.trace_id_of(req.span))
            await sink.break_off(exc)
            return
        await sink.end()
        spent = requests.actual_cost(req, outcome.tokens)
        self.front.limiter.replace_estimate(req.workspace.name, req.cost, spent)
        self._account(req, outcome, sink, began)

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        """Relay the request."""
        raise NotImplementedError

    def _account(
        self,
        req: requests.Request,
        outcome: dispatch.Outcome,
        sink: callersink.HttpSink,
        began: float,
    ) -> None:
        front = self.front
        rank = req.work.rank
        if sink.first_at:
            front.metrics.latency('first_token', rank, sink.first_at - began)
        front.metrics.latency('entry', rank, time.monotonic() - began)
        front.metrics.count('answered', rank=rank)
        space = req.workspace
        front.audit.record(
            'answered',
            call=req.call_id,
            workspace=space.name,
            owner=space.owner,
            target=req.target,
            version=outcome.version,
            server=outcome.server,
            rank=rank,
            work=req.work.name,
            revision=req.revision,
            requests_per_s=space.limits.requests_per_s,
            tokens_per_s=space.limits.tokens_per_s,
            deadline_ms=req.work.limits.deadline_ms,
            attempts=req.attempts,
            trace=traces.trace_id_of(req.span),
        )

    def _account_refusal(
        self,
        exc: verdict.Refusal,
        call_id: str,
        trace: str,
    ) -> None:
        front = self.front
        reason = exc.reason.partition(':')[0]
        front.metrics.count('refused', reason=reason, verdict=exc.verdict.value)
        name = self.workspace.name if self.workspace else ''
        front.audit.record(
            'refused',
            call=call_id,
            workspace=name,
            verdict=exc.verdict.value,
            reason=reason,
            status=exc.status,
            revision=front.config.revision,
            trace=trace,
        )


@web.stream_request_body
class _Chat(CallHandler):
    """`POST /v1/chat/completions`."""

    async def post(self) -> None:
        await self.run_job(self.serve(self._make))

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        return await self.front.dispatcher.relay_chat(req, sink)

    def _make(self) -> requests.Request:
        chat, whole = requests.parse_chat(self.body)
        req = self.new_request(chat.model, 'model')
        entry = self.front.config.current.callable_entry(chat.model)
        most = min(
            typing.cast(catalogue.Model, entry).limits.max_tokens,
            req.work.limits.max_tokens,
        )
        tokens = min(chat.max_tokens or most, most)
        req.body = requests.engine_body(whole, tokens)
        req.cost = requests.estimate_cost(self.body, tokens)
        req.stream = chat.stream
        req.prefix = requests.prefix_digest(chat)
        return req


@web.stream_request_body
class _Service(CallHandler):
    """Any method on `/v1/services/NAME/...`."""

    async def handle(self, name: str, path: str) -> None:
        await self.run_job(self.serve(lambda: self._make(name, path)))

    get = post = put = handle  # type: ignore[assignment]
    delete = patch = head = options = handle  # type: ignore[assignment]

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        front = self.front
        entry = front.config.current.get('service', req.target)
        if req.method in entry.idempotent_methods:
            return await front.dispatcher.relay_idempotent(req, sink)
        return await front.dispatcher.relay_at_most_once(req, entry, sink)

    def _make(self, name: str, path: str) -> requests.Request:
        req = self.new_request(name, 'service')
        entry = self.front.config.current.get('service', name)
        if self._size > entry.limits.max_body_bytes:
            raise verdict.not_run(
                f'body_larger_than_{entry.limits.max_body_bytes}_bytes',
                413,
            )
        query = self.request.query
        req.path = f'{path}?{query}' if query else path or '/'
        req.headers = headers.filter_forwarded(
            self.request.headers.get_all(), inbound=True
        )
        req.body = self.body
        req.deadline = min(
            req.deadline,
            time.monotonic() + entry.limits.timeout_ms / 1000,
        )
        if req.method not in entry.idempotent_methods:
            req.key = self._key(name)
        return req

    def _key(self, service: str) -> str:
        key = self.request.headers.get('Idempotency-Key', '')
        space = typing.cast(catalogue.Workspace, self.workspace)
        if len(key) > KEY_LENGTH or '/' in key or not key.isprintable():
            allowed = f'allowed: printable, without /, at most {KEY_LENGTH} characters'
            raise verdict.not_run(f'Idempotency-Key: {allowed}', 400)
        return f'{space.name}/{service}/{key}' if key else ''


class _Ticket(Handler):
    """`POST /v1/tickets/NAME`: a key that one living server alone may run."""

    def post(self, service: str) -> None:
        if self._finished:
            return
        space = typing.cast(catalogue.Workspace, self.workspace)
        try:
            if service not in space.may_use:
                raise verdict.not_run('service_unknown', 404)
            ticket = self.front.dispatcher.make_ticket(service)
        except verdict.Refusal as exc:
            self.refuse(exc)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode({'ticket': str(ticket)}))


class _Missing(web.RequestHandler):
    """Any other path."""

    def prepare(self) -> None:
        self.set_status(404)
        self.set_header('Content-Type', 'application/json')
        self.finish(callerstate.refusal_body(verdict.not_run('path_unknown', 404)))


def make_application(
    front: callerstate.CallerContext,
) -> httputil.HTTPServerConnectionDelegate:
    """Return the callers' HTTP application, behind its door."""
    kwargs = {'front': front}
    app = web.Application(
        [
            (r'/v1/entries', _Entries, kwargs),
            (r'/v1/chat/completions', _Chat, kwargs),
            (r'/v1/services/([^/]+)/?(.*)', _Service, kwargs),
            (r'/v1/tickets/([^/]+)', _Ticket, kwargs),
        ],
        default_handler_class=_Missing,
        log_function=_log_nothing,
    )
    return overloadguard.OverloadGuard(
        app,
        front.is_flooded,
        callerstate.refusal_body(callerstate.FLOOD_REFUSAL),
        front.rand,
    )


def _log_nothing(handler: web.RequestHandler) -> None:
    """Leave out tornado's own access log: audit records say more."""
