"""Callers' requests, the directory and the platform's check, over HTTP."""

import asyncio
import typing
from collections.abc import Awaitable, Callable

import msgspec
from tornado import httputil, iostream

from primrosesaddle.calls import attempts, intake
from primrosesaddle.core import futures, verdict
from primrosesaddle.platform import names
from primrosesaddle.telemetry import journal

__all__ = ('CallApplication', 'JsonApplication')

_MS = 1000.0
_JSON = 'application/json'

Answer = tuple[int, bytes]
IsReady = Callable[[], bool]
ListAddresses = Callable[[str, str], list[str]]


class CallApplication(httputil.HTTPServerConnectionDelegate):
    """Takes callers' requests off their connections."""

    def __init__(self, door: intake.RequestIntake) -> None:
        """Take requests on behalf of a doorway."""
        self._door = door

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request."""
        return _CallRequest(self._door, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Take no notice; each request learns of it by itself."""


class _CallRequest(httputil.HTTPMessageDelegate):
    """One request, and the sink of its answer."""

    def __init__(
        self, door: intake.RequestIntake, conn: httputil.HTTPConnection
    ) -> None:
        self._door = door
        self._conn = typing.cast(typing.Any, conn)
        self._body: list[bytes] = []
        self._line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._arrived = 0.0
        self._task: asyncio.Task[None] | None = None
        self._done = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keep the head; the clock of the call starts here."""
        self._line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        self._arrived = asyncio.get_running_loop().time()
        self._conn.stream.set_nodelay(True)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Serve the request, now that it is read whole."""
        self._conn.set_close_callback(self._left)
        serve = self._door.serve(self._asked(), self)
        self._task = asyncio.get_running_loop().create_task(serve)
        self._task.add_done_callback(self._ended)

    def on_connection_close(self) -> None:
        """Drop a request whose caller left while it was read."""
        self._done = True

    def start(self, head: attempts.AnswerHead, size: int | None) -> None:
        """Begin an answer."""
        headers = httputil.HTTPHeaders()
        for name, text in head.headers:
            headers.add(name, text)
        if size is not None:
            headers['Content-Length'] = str(size)
        self._begin(head.status, head.reason, headers)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""
        fut = None
        if not self._done:
            fut = self._conn.write(chunk)
            fut.add_done_callback(futures.retrieve_exception)
        return typing.cast('Awaitable[None] | None', fut)

    def finish_answer(self) -> None:
        """End a whole answer, and the connection too while leaving."""
        if self._done:
            return
        self._done = True
        stream = self._conn.stream
        try:
            self._conn.finish()
        except httputil.HTTPOutputError as exc:
            journal.warning('answer.length', error=str(exc))
        if self._door.leaving and stream is not None:
            _close_when_sent(stream)

    def abort(self) -> None:
        """Break the connection off, so that the answer does not look whole."""
        self._done = True
        if self._conn.stream is not None:
            self._conn.stream.close()

    def refuse(self, refusal: verdict.Refusal) -> None:
        """Answer with a refusal."""
        if self._done:
            return
        body = msgspec.json.encode(
            {'verdict': refusal.verdict.value, 'reason': refusal.reason}
        )
        headers = httputil.HTTPHeaders({'Content-Type': _JSON})
        headers['Content-Length'] = str(len(body))
        call_id = self._headers.get(names.ATTEMPT_ID_HEADER)
        if call_id:
            headers[names.ATTEMPT_ID_HEADER] = call_id
        if refusal.retry_after_s:
            headers['Retry-After'] = f'{refusal.retry_after_s:.2f}'
        self._begin(refusal.status, 'Refused', headers)
        self.write(body)
        self.finish_answer()

    def _begin(self, status: int, reason: str, headers: httputil.HTTPHeaders) -> None:
        if self._done:
            return
        if self._door.leaving:
            headers['Connection'] = 'close'
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason or 'Status')
        self._conn.write_headers(line, headers).add_done_callback(
            futures.retrieve_exception
        )

    def _asked(self) -> intake.IncomingRequest:
        line = typing.cast(httputil.RequestStartLine, self._line)
        headers = self._headers
        prompt, answer = _tokens(headers.get(names.TOKEN_COUNT_HEADER, ''))
        hint = headers.get(names.LENGTH_HINT_HEADER, '')
        deadline_ms = headers.get(names.DEADLINE_MS_HEADER, '')
        resume = headers.get(names.LAST_EVENT_ID_HEADER, '')
        bearer = headers.get(names.AUTHORIZATION_HEADER, '')
        return intake.IncomingRequest(
            call_id=headers.get(names.ATTEMPT_ID_HEADER, ''),
            method=line.method,
            target=line.path,
            host=headers.get('Host', ''),
            key=bearer.removeprefix(names.BEARER_PREFIX).strip(),
            headers=tuple(
                pair
                for pair in headers.get_all()
                if pair[0].lower() not in names.HEADERS_NOT_FORWARDED
            ),
            body=b''.join(self._body),
            arrived_at=self._arrived,
            deadline_s=_number(deadline_ms) / _MS or None,
            model=headers.get(names.MODEL_HEADER, ''),
            prompt_tokens=prompt,
            answer_tokens=int(_number(hint)) or answer,
            resume_from=int(_number(resume)),
        )

    def _left(self) -> None:
        self._done = True
        if self._task is not None:
            self._task.cancel()

    def _ended(self, task: 'asyncio.Task[None]') -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            journal.error('call.fault', error=repr(exc))
            self.abort()


class JsonApplication(httputil.HTTPServerConnectionDelegate):
    """Serves short answers by a function of path and query."""

    def __init__(self, handle: Callable[[str, dict[str, str]], Answer]) -> None:
        """Answer by a function that returns a status and a JSON body."""
        self._handle = handle

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request."""
        return _JsonRequest(self._handle, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Take no notice."""


class _JsonRequest(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        handle: Callable[[str, dict[str, str]], Answer],
        conn: httputil.HTTPConnection,
    ) -> None:
        self._handle = handle
        self._conn = conn
        self._path = ''

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._path = typing.cast(httputil.RequestStartLine, start_line).path

    def finish(self) -> None:
        path, _, query = self._path.partition('?')
        asked = {
            name: found[-1] for name, found in httputil.parse_qs_bytes(query).items()
        }
        status, body = self._handle(
            path,
            {name: text.decode('utf-8', 'replace') for name, text in asked.items()},
        )
        headers = httputil.HTTPHeaders({'Content-Type': _JSON})
        headers['Content-Length'] = str(len(body))
        line = httputil.ResponseStartLine('HTTP/1.1', status, 'Status')
        self._conn.write_headers(line, headers, body).add_done_callback(
            futures.retrieve_exception
        )
        self._conn.finish()


def make_directory_handler(
    addresses: ListAddresses, ttl_s: float
) -> Callable[[str, dict[str, str]], Answer]:
    """Return the handler of callers' questions for addresses."""

    def handle(path: str, query: dict[str, str]) -> Answer:
        if path != names.RESOLVE_PATH:
            return 404, b'{}'
        found = addresses(query.get('region', ''), query.get('zone', ''))
        if not found:
            return 503, b'{}'
        return 200, msgspec.json.encode({'addresses': found, 'ttlS': ttl_s})

    return handle


def make_readiness_handler(
    is_ready: IsReady,
) -> Callable[[str, dict[str, str]], Answer]:
    """Return the handler of the platform's check."""

    def handle(path: str, query: dict[str, str]) -> Answer:
        return (200 if is_ready() else 503), b'{}'

    return handle


def _tokens(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(',')
    return int(_number(prompt)), int(_number(answer))


def _number(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _close_when_sent(stream: iostream.IOStream) -> None:
    if not stream.writing():
        stream.close()
        return
    asyncio.get_running_loop().call_later(0.01, _close_when_sent, stream)
