"""HTTP applications: callers' requests, the directory and the readiness check."""

import asyncio
import math
import re
import typing
from collections.abc import Awaitable, Callable

import msgspec
from tornado import httputil, iostream

from primrosesaddle.calls import attempts, intake, refusals
from primrosesaddle.core import futures, verdict
from primrosesaddle.platform import names
from primrosesaddle.process import adapter
from primrosesaddle.telemetry import journal

__all__ = ('CallApplication', 'JsonApplication')

_MS = 1000.0
_JSON = 'application/json'
MAX_PARTS = 64  # parts of a prompt that are read; prompts have a handful
_PART_ID = re.compile('[0-9a-f]{1,64}')

Answer = tuple[int, bytes]
IsReady = Callable[[], bool]
ListAddresses = Callable[[str, str, str], list[str]]


class CallApplication(adapter.CallApplication):
    """Passes callers' requests to a request intake."""

    def __init__(self, request_intake: intake.RequestIntake) -> None:
        """Create the application over an intake."""
        self._request_intake = request_intake
        self._requests: dict[object, _CallRequest] = {}  # newest of each connection

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request, which may still have to be received."""
        made = _CallRequest(self._request_intake, request_conn)
        self._requests[server_conn] = made
        return made

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self._requests.pop(server_conn, None)

    def close_idle_connections(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for made in list(self._requests.values()):
            if made.is_awaited:
                made.abort()

    def refuse_incomplete_requests(self, refusal: verdict.Refusal) -> None:
        """Refuse the requests that have begun to arrive and are not complete."""
        for made in list(self._requests.values()):
            if made.is_incomplete:
                made.refuse(refusal)

    def count_unanswered(self) -> int:
        """Return the number of requests whose answer has not been sent whole."""
        return sum(
            made.is_unanswered or made.is_being_sent for made in self._requests.values()
        )


class _CallRequest(httputil.HTTPMessageDelegate):
    """One request of a caller, and the sink of its answer."""

    def __init__(
        self, request_intake: intake.RequestIntake, conn: httputil.HTTPConnection
    ) -> None:
        self._request_intake = request_intake
        self._conn = typing.cast(typing.Any, conn)
        self._body: list[bytes] = []
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._arrived_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._is_head_sent = False
        self._ended = False

    @property
    def is_awaited(self) -> bool:
        """Whether the head of the request has not been received."""
        return self._start_line is None

    @property
    def is_incomplete(self) -> bool:
        """Whether the head of the request has been received, but not its whole body."""
        return self.is_unanswered and self._task is None

    @property
    def is_unanswered(self) -> bool:
        """Whether the request has begun to arrive, and has no complete answer."""
        return not self.is_awaited and not self._ended

    @property
    def is_being_sent(self) -> bool:
        """Whether a part of the answer waits for the caller to read what is before."""
        stream = self._conn.stream
        return stream is not None and not stream.closed() and stream.writing()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the headers and the time from which the call's deadline counts."""
        self._start_line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        self._arrived_at = asyncio.get_running_loop().time()
        self._conn.stream.set_nodelay(True)

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Serve the request, which is now complete."""
        self._conn.set_close_callback(self._on_connection_closed)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._task.add_done_callback(self._answer_fault)

    def on_connection_close(self) -> None:
        """Drop a request whose connection was closed while it was read."""
        self._ended = True

    def start(self, head: attempts.AnswerHead, size: int | None) -> None:
        """Send the head of an answer; `size` is the length of its body, if known."""
        headers = httputil.HTTPHeaders()
        for name, text in head.headers:
            headers.add(name, text)
        if size is not None:
            headers['Content-Length'] = str(size)
        self._write_head(head.status, head.reason, headers)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Send a part of the body; the result is done once it is written."""
        fut = None
        if not self._ended:
            fut = self._conn.write(chunk)
            fut.add_done_callback(futures.retrieve_exception)
        return typing.cast('Awaitable[None] | None', fut)

    def finish_answer(self) -> None:
        """End a complete answer; close the connection if the process is leaving."""
        if self._ended:
            return
        self._ended = True
        stream = self._conn.stream
        try:
            self._conn.finish()
        except httputil.HTTPOutputError as exc:
            journal.warning('answer.length', error=str(exc))
        if self._request_intake.leaving and stream is not None:
            _close_when_sent(stream)

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self._ended = True
        if self._conn.stream is not None:
            self._conn.stream.close()

    def refuse(self, refusal: verdict.Refusal) -> None:
        """Answer with a refusal, as JSON with verdict and reason."""
        if self._ended:
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
        self._write_head(refusal.status, 'Refused', headers)
        self.write(body)
        self.finish_answer()

    def _write_head(
        self, status: int, reason: str, headers: httputil.HTTPHeaders
    ) -> None:
        if self._ended:
            return
        if self._request_intake.leaving:
            headers['Connection'] = 'close'
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason or 'Status')
        fut = self._conn.write_headers(line, headers)
        self._is_head_sent = True
        fut.add_done_callback(futures.retrieve_exception)

    async def _serve(self) -> None:
        await self._request_intake.serve(self._make_incoming_request(), self)

    def _make_incoming_request(self) -> intake.IncomingRequest:
        line = typing.cast(httputil.RequestStartLine, self._start_line)
        headers = self._headers
        prompt, answer = _parse_token_counts(headers.get(names.TOKEN_COUNT_HEADER, ''))
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
            arrived_at=self._arrived_at,
            deadline_s=_parse_non_negative(deadline_ms) / _MS or None,
            model=headers.get(names.MODEL_HEADER, ''),
            prompt_tokens=prompt,
            answer_tokens=int(_parse_non_negative(hint)) or answer,
            resume_from=int(_parse_non_negative(resume)),
            parts=parse_shared_parts(headers.get(names.PROMPT_PARTS_HEADER, '')),
        )

    def _on_connection_closed(self) -> None:
        self._ended = True
        if self._task is not None:
            self._task.cancel()

    def _answer_fault(self, task: 'asyncio.Task[None]') -> None:
        """Log an exception that ended the request's task, and end the answer.

        The caller gets a failure if nothing has been sent yet.
        """
        if task.cancelled():
            return
        exc = task.exception()
        if exc is None:
            return
        call_id = self._headers.get(names.ATTEMPT_ID_HEADER, '')
        journal.error('call.fault', id=call_id, error=repr(exc))
        if self._is_head_sent:
            self.abort()
        else:
            self.refuse(refusals.refuse_unanswered_call('fault'))


class JsonApplication(httputil.HTTPServerConnectionDelegate):
    """Answers each request with JSON from a function of path and query."""

    def __init__(self, handle: Callable[[str, dict[str, str]], Answer]) -> None:
        """Create the application; `handle` returns a status and a JSON body."""
        self._handle = handle

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request."""
        return _JsonRequest(self._handle, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: an answer needs no cleanup."""


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
        arguments = {
            name: values[-1] for name, values in httputil.parse_qs_bytes(query).items()
        }
        status, body = self._handle(
            path,
            {name: text.decode('utf-8', 'replace') for name, text in arguments.items()},
        )
        headers = httputil.HTTPHeaders({'Content-Type': _JSON})
        headers['Content-Length'] = str(len(body))
        line = httputil.ResponseStartLine('HTTP/1.1', status, 'Status')
        self._conn.write_headers(line, headers, body).add_done_callback(
            futures.retrieve_exception
        )
        self._conn.finish()


def make_directory_handler(
    list_addresses: ListAddresses, ttl_s: float
) -> Callable[[str, dict[str, str]], Answer]:
    """Return the handler of the directory, which lists entries for callers.

    `list_addresses` takes the host that is asked for, and the caller's region and data
    centre; `ttl_s` is the time in seconds for which callers may use an answer.
    """

    def handle(path: str, query: dict[str, str]) -> Answer:
        if path != names.RESOLVE_PATH:
            return 404, b'{}'
        host = query.get('name', '').lower()
        known = list_addresses(host, query.get('region', ''), query.get('zone', ''))
        if not known:
            return 503, b'{}'
        return 200, msgspec.json.encode({'addresses': known, 'ttlS': ttl_s})

    return handle


def make_readiness_handler(
    is_ready: IsReady,
) -> Callable[[str, dict[str, str]], Answer]:
    """Return the handler of the readiness check: 200 when ready, else 503."""

    def handle(path: str, query: dict[str, str]) -> Answer:
        return (200 if is_ready() else 503), b'{}'

    return handle


def parse_shared_parts(text: str) -> tuple[str, ...]:
    """Parse the ids of the parts of a prompt that other requests may share.

    That is all but the last one. Malformed ids and repeated ones are left out, and
    those after the first `MAX_PARTS`.
    """
    listed = [part for part in text.split(',') if part.strip()][:-1]
    ids = (part.partition(':')[0].strip().lower() for part in listed[:MAX_PARTS])
    return tuple(dict.fromkeys(part for part in ids if _PART_ID.fullmatch(part)))


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parse the tokens of prompt and answer, comma-separated; 0 if malformed."""
    prompt, _, answer = text.partition(',')
    return int(_parse_non_negative(prompt)), int(_parse_non_negative(answer))


def _parse_non_negative(text: str) -> float:
    """Parse a number; 0 when it is negative, not finite or malformed."""
    try:
        parsed = float(text)
    except ValueError:
        return 0.0
    return parsed if math.isfinite(parsed) and parsed > 0 else 0.0


def _close_when_sent(stream: iostream.IOStream) -> None:
    """Close a stream as soon as everything has been written to it."""
    if not stream.writing():
        stream.close()
        return
    asyncio.get_running_loop().call_later(0.01, _close_when_sent, stream)
