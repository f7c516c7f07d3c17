"""HTTP interface of an entry for callers."""

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

PREFERRED_ENTRIES = 2
MAX_KEY_LENGTH = 200
RANK_HEADER = 'Work-Kind'
DEADLINE_HEADER = 'Request-Deadline-Ms'
MAX_DEADLINE_MS = 600_000
PLAIN_CALL_COST = 1


class Handler(web.RequestHandler):
    """Base of handlers that authenticate, bound the body and refuse with JSON."""

    context: callerstate.CallerContext

    def initialize(self, context: callerstate.CallerContext) -> None:
        """Set the shared state; tornado calls this for each request."""
        self.context = context
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._body_timer: typing.Any = None
        self._call_task: asyncio.Task[None] | None = None
        self.workspace: catalogue.Workspace | None = None

    def prepare(self) -> None:
        """Authenticate before the body is read; bound the body's size and time."""
        self.request.connection.set_max_body_size(1 << 40)  # type: ignore[union-attr]
        try:
            self._check_headers()
        except verdict.Refusal as exc:
            self.refuse(exc)
        else:
            self._body_timer = asyncio.get_running_loop().call_later(
                self.context.cfg.limits.body_timeout_s,
                self._refuse_slow_body,
            )

    def data_received(self, chunk: bytes) -> None:
        """Receive a part of the body."""
        self._body_bytes += len(chunk)
        if self._finished:
            return
        limit = self.context.cfg.limits.max_body_bytes
        if self._body_bytes > limit:
            self._body_chunks.clear()
            self.refuse(verdict.not_run(f'body_larger_than_{limit}_bytes', 413))
            return
        self._body_chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel the call when its caller disconnects."""
        self._cancel_body_timer()
        if self._call_task is not None:
            self._call_task.cancel()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Cancel the time limit of the body."""
        self._cancel_body_timer()

    def log_exception(self, *exc_info: typing.Any) -> None:
        """Log an unexpected error on one line, unless the caller disconnected."""
        if not isinstance(exc_info[1], iostream.StreamClosedError):
            journal.error('callers.failed', error=repr(exc_info[1]))

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer an unexpected error with a refusal."""
        self.refuse(verdict.may_have_run('internal', status_code))

    def refuse(self, exc: verdict.Refusal, call_id: str = '') -> None:
        """Answer with a refusal."""
        self.set_status(exc.status if 400 <= exc.status < 600 else 503)
        if exc.status == 413:
            self.set_header('Connection', 'close')
        if exc.status == 401:
            self.set_header('WWW-Authenticate', 'Bearer')
        if exc.retry_after_s:
            retry_after_s = exc.retry_after_s * self.context.rand.uniform(1, 1.5)
            self.set_header('Retry-After', str(max(1, round(retry_after_s))))
        self.set_header('Content-Type', 'application/json')
        self.finish(callerstate.refusal_body(exc, call_id))

    async def run_call(
        self, coro: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a call as a task, which is cancelled if the caller disconnects."""
        self._cancel_body_timer()
        if self._finished:
            coro.close()
            return
        self._call_task = asyncio.create_task(coro)
        await asyncio.wait([self._call_task])
        if not self._call_task.cancelled():
            self._call_task.result()

    @property
    def body(self) -> bytes:
        """Return the body as received."""
        return b''.join(self._body_chunks)

    def _check_headers(self) -> None:
        limit = self.context.cfg.limits.max_body_bytes
        request_headers = self.request.headers
        self.workspace = self.context.authenticate(
            request_headers.get('Authorization', '')
        )
        length = request_headers.get('Content-Length') or '0'
        if not length.isdecimal():
            raise verdict.not_run('content_length_malformed', 400)
        if int(length) > limit:
            raise verdict.not_run(f'body_larger_than_{limit}_bytes', 413)

    def _cancel_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _refuse_slow_body(self) -> None:
        if not self._finished:
            self.refuse(verdict.not_run('body_too_slow', 408))
            self.request.connection.detach().close()  # type: ignore[union-attr]


class _EntriesHandler(web.RequestHandler):
    """`GET /v1/entries`: the addresses to use, and for how long."""

    context: callerstate.CallerContext

    def initialize(self, context: callerstate.CallerContext) -> None:
        self.context = context

    def get(self) -> None:
        context = self.context
        name = 'anyone'
        header = self.request.headers.get('Authorization', '')
        if header:
            try:
                name = context.authenticate(header).name
            except verdict.Refusal as exc:
                self.set_status(exc.status)
                self.set_header('Content-Type', 'application/json')
                self.finish(callerstate.refusal_body(exc))
                return
        addresses = context.entries_for(name)
        context.entries_served_at = time.monotonic()
        self.set_header('Content-Type', 'application/json')
        self.finish(
            msgspec.json.encode(
                {
                    'entries': addresses[:PREFERRED_ENTRIES],
                    'alternates': addresses[PREFERRED_ENTRIES:],
                    'ttl_s': context.cfg.limits.entries_ttl_s,
                    'revision': context.config.revision,
                }
            )
        )


@web.stream_request_body
class CallHandler(Handler):
    """Base of the handlers of calls to models and to plain services."""

    async def serve(self, make_request: typing.Callable[[], requests.Request]) -> None:
        """Build a request with `make_request`, run it and answer."""
        started_at = time.monotonic()
        context = self.context
        span = context.tracer.start_span(
            'entry.call',
            self.request.headers.get('traceparent', ''),
        )
        call_id = ''
        try:
            req = make_request()
            req.span = span
            call_id = req.call_id
            await self._admit_and_run(req, started_at)
        except verdict.Refusal as exc:
            self._record_refusal(exc, call_id, traces.trace_id_of(span))
            if not self._finished:
                self.refuse(exc, call_id)
        except iostream.StreamClosedError:
            context.metrics.count('hang_ups')
        finally:
            span.end()

    def new_request(self, target: str, kind: str) -> requests.Request:
        """Return a request without body, filled from the headers.

        `kind` is the kind of the target in the catalogue. Raises `Refusal` when a
        header is faulty or the workspace may not use the target.
        """
        workspace = typing.cast(catalogue.Workspace, self.workspace)
        cat = self.context.config.current
        if not self._is_kind(kind, target) or target not in workspace.may_use:
            usable = [name for name in workspace.may_use if self._is_kind(kind, name)]
            allowed = ', '.join(usable)
            raise verdict.not_run(f'{kind}_unknown: allowed: {allowed}', 404)
        name = self.request.headers.get(RANK_HEADER, workspace.work)
        work = cat.get('work', name)
        if work is None:
            allowed = ', '.join(entry.name for entry in cat.entries_of_kind('work'))
            raise verdict.not_run(
                f'{RANK_HEADER} {name[:64]!r}: allowed: {allowed}', 400
            )
        deadline = time.monotonic() + self._deadline_ms(work) / 1000
        return requests.Request(
            f'chatcmpl-{uuid.uuid4().hex}',
            workspace,
            work,
            target,
            deadline,
            PLAIN_CALL_COST,
            self.request.method or 'POST',
            '',
            (),
            b'',
            cat.revision,
        )

    def _is_kind(self, kind: str, name: str) -> bool:
        cat = self.context.config.current
        entry = cat.callable_entry(name) if kind == 'model' else cat.get(kind, name)
        return entry is not None

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

    async def _admit_and_run(self, req: requests.Request, started_at: float) -> None:
        context = self.context
        self._check_limits(req)
        delay_s = context.limiter.admit(req.workspace.name, req.cost, time.monotonic())
        context.in_flight += 1
        name = req.workspace.name
        context.in_flight_by_workspace[name] = (
            context.in_flight_by_workspace.get(name, 0) + 1
        )
        try:
            if delay_s:
                await asyncio.sleep(delay_s)
            await self._relay_answer(req, started_at)
        finally:
            context.in_flight -= 1
            context.in_flight_by_workspace[name] -= 1

    def _check_limits(self, req: requests.Request) -> None:
        context = self.context
        if req.remaining_s <= 0:
            raise verdict.not_run('deadline_passed', 504)
        if context.in_flight >= context.cfg.limits.max_in_flight:
            raise verdict.not_run('entry_full', 503, 1)
        workspace = req.workspace
        share = context.limiter.share_of(workspace.name)
        if context.in_flight_by_workspace.get(workspace.name, 0) >= math.ceil(
            workspace.limits.in_flight * share
        ):
            raise verdict.not_run('workspace_in_flight_limit', 429, 1)

    async def _relay_answer(self, req: requests.Request, started_at: float) -> None:
        sink = callersink.HttpSink(self, req)
        try:
            outcome = await self.relay(req, sink)
        except verdict.Refusal as exc:
            if exc.verdict is verdict.Verdict.NOT_RUN:
                self.context.limiter.replace_estimate(req.workspace.name, req.cost, 0)
            if not sink.started:
                raise
            self._record_refusal(exc, req.call_id, traces.trace_id_of(req.span))
            await sink.break_off(exc)
            return
        await sink.end()
        actual_cost = requests.actual_cost(req, outcome.tokens)
        self.context.limiter.replace_estimate(req.workspace.name, req.cost, actual_cost)
        self._record_answer(req, outcome, sink, started_at)

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        """Relay the request to a server and its answer to the sink."""
        raise NotImplementedError

    def _record_answer(
        self,
        req: requests.Request,
        outcome: dispatch.Outcome,
        sink: callersink.HttpSink,
        started_at: float,
    ) -> None:
        context = self.context
        rank = req.work.rank
        if sink.first_part_at:
            context.metrics.latency(
                'first_token', rank, sink.first_part_at - started_at
            )
        context.metrics.latency('entry', rank, time.monotonic() - started_at)
        context.metrics.count('answered', rank=rank)
        workspace = req.workspace
        context.audit.record(
            'answered',
            call=req.call_id,
            workspace=workspace.name,
            owner=workspace.owner,
            target=req.target,
            version=outcome.version,
            server=outcome.server,
            rank=rank,
            work=req.work.name,
            revision=req.revision,
            requests_per_s=workspace.limits.requests_per_s,
            tokens_per_s=workspace.limits.tokens_per_s,
            deadline_ms=req.work.limits.deadline_ms,
            attempts=req.attempts,
            trace=traces.trace_id_of(req.span),
        )

    def _record_refusal(
        self,
        exc: verdict.Refusal,
        call_id: str,
        trace: str,
    ) -> None:
        context = self.context
        reason = exc.reason.partition(':')[0]
        context.metrics.count('refused', reason=reason, verdict=exc.verdict.value)
        name = self.workspace.name if self.workspace else ''
        context.audit.record(
            'refused',
            call=call_id,
            workspace=name,
            verdict=exc.verdict.value,
            reason=reason,
            status=exc.status,
            revision=context.config.revision,
            trace=trace,
        )


@web.stream_request_body
class _ChatHandler(CallHandler):
    """`POST /v1/chat/completions`."""

    async def post(self) -> None:
        await self.run_call(self.serve(self._make_request))

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        return await self.context.dispatcher.relay_chat(req, sink)

    def _make_request(self) -> requests.Request:
        chat, body_fields = requests.parse_chat(self.body)
        req = self.new_request(chat.model, 'model')
        entry = self.context.config.current.callable_entry(chat.model)
        max_tokens = min(
            typing.cast(catalogue.Model, entry).limits.max_tokens,
            req.work.limits.max_tokens,
        )
        tokens = min(chat.max_tokens or max_tokens, max_tokens)
        req.body = requests.engine_body(body_fields, tokens)
        req.cost = requests.estimate_cost(self.body, tokens)
        req.stream = chat.stream
        req.prefix = requests.prefix_digest(chat)
        return req


@web.stream_request_body
class _ServiceHandler(CallHandler):
    """Any method on `/v1/services/NAME/...`."""

    async def handle(self, name: str, path: str) -> None:
        await self.run_call(self.serve(lambda: self._make_request(name, path)))

    get = post = put = handle  # type: ignore[assignment]
    delete = patch = head = options = handle  # type: ignore[assignment]

    async def relay(
        self,
        req: requests.Request,
        sink: dispatch.AnswerSink,
    ) -> dispatch.Outcome:
        context = self.context
        entry = context.config.current.get('service', req.target)
        if req.method in entry.idempotent_methods:
            return await context.dispatcher.relay_idempotent(req, sink)
        return await context.dispatcher.relay_at_most_once(req, entry, sink)

    def _make_request(self, name: str, path: str) -> requests.Request:
        req = self.new_request(name, 'service')
        entry = self.context.config.current.get('service', name)
        if self._body_bytes > entry.limits.max_body_bytes:
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
            req.key = self._make_key(name)
        return req

    def _make_key(self, service: str) -> str:
        key = self.request.headers.get('Idempotency-Key', '')
        workspace = typing.cast(catalogue.Workspace, self.workspace)
        if len(key) > MAX_KEY_LENGTH or '/' in key or not key.isprintable():
            allowed = (
                f'allowed: printable, without /, at most {MAX_KEY_LENGTH} characters'
            )
            raise verdict.not_run(f'Idempotency-Key: {allowed}', 400)
        return f'{workspace.name}/{service}/{key}' if key else ''


class _TicketHandler(Handler):
    """`POST /v1/tickets/NAME`: a key that only one live server of a service may run."""

    def post(self, service: str) -> None:
        if self._finished:
            return
        workspace = typing.cast(catalogue.Workspace, self.workspace)
        try:
            if service not in workspace.may_use:
                raise verdict.not_run('service_unknown', 404)
            ticket = self.context.dispatcher.make_ticket(service)
        except verdict.Refusal as exc:
            self.refuse(exc)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode({'ticket': str(ticket)}))


class _NotFoundHandler(web.RequestHandler):
    """All other paths."""

    def prepare(self) -> None:
        self.set_status(404)
        self.set_header('Content-Type', 'application/json')
        self.finish(callerstate.refusal_body(verdict.not_run('path_unknown', 404)))


def make_application(
    context: callerstate.CallerContext,
) -> httputil.HTTPServerConnectionDelegate:
    """Return the HTTP application for callers, behind its overload guard."""
    kwargs = {'context': context}
    app = web.Application(
        [
            (r'/v1/entries', _EntriesHandler, kwargs),
            (r'/v1/chat/completions', _ChatHandler, kwargs),
            (r'/v1/services/([^/]+)/?(.*)', _ServiceHandler, kwargs),
            (r'/v1/tickets/([^/]+)', _TicketHandler, kwargs),
        ],
        default_handler_class=_NotFoundHandler,
        log_function=_skip_access_log,
    )
    return overloadguard.OverloadGuard(
        app,
        context.is_flooded,
        callerstate.refusal_body(callerstate.FLOOD_REFUSAL),
        context.rand,
    )


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Replace tornado's access log, since audit records hold more."""
