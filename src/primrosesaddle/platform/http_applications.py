"""HTTP applications: callers' requests, the directory and the readiness check."""

import asyncio
import math
import re
import sys
import typing
from collections.abc import Awaitable, Callable

import msgspec
from tornado import httputil, iostream

from primrosesaddle.calls import attempts, draining, intake, refusals
from primrosesaddle.core import futures, verdict
from primrosesaddle.net import bodies, connections, discarding
from primrosesaddle.platform import names
from primrosesaddle.process import adapter
from primrosesaddle.telemetry import journal

__all__ = ('CallApplication', 'JsonApplication')

_MS = 1000.0
_JSON = 'application/json'
# A request with a larger body is decided by its head; other bodies are read first, so
# that the connection of a refused caller can be used again.
MAX_UNDECIDED_BYTES = bodies.SMALL_BODY_BYTES
NO_ROOM_RETRY_S = 1.0  # a body that is being received is complete or dropped by then
# A request whose body takes longer is decided by its head too, for its time limit.
MAX_UNDECIDED_S = 1.0
STATUS_TIMEOUT = 408  # promises that the request did not run
STATUS_HEAD_TOO_LARGE = 431
MAX_PARTS = 64  # parts of a prompt that are read; prompts have a handful
_MAX_SIZE_DIGITS = 16  # of a Content-Length; far above any limit
_SEPARATORS_BYTES = len(': \r\n')
_PART_ID = re.compile('[0-9a-f]{1,64}')

Answer = tuple[int, bytes]
IsReady = Callable[[], bool]
ListAddresses = Callable[[str, str, str], list[str]]


class CallApplication(adapter.CallApplication):
    """Passes callers' requests to a request intake."""

    def __init__(
        self, request_intake: intake.RequestIntake, budget: bodies.BodyBudget
    ) -> None:
        """Create the application over an intake; `budget` is for requests' bodies."""
        self._request_intake = request_intake
        self._budget = budget
        self.is_short_of_connections = _has_room
        self._requests: dict[object, _CallRequest] = {}  # newest of each connection
        self._discarder = discarding.Discarder(budget.clock)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes one request, which may still have to be received."""
        made = _CallRequest(
            self._request_intake,
            request_conn,
            self._budget,
            self._discarder,
            lambda: self.is_short_of_connections(),
        )
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

    def close_stalled(self) -> connections.Closable | None:
        """Give up the oldest request that is refused, or whose body makes no progress.

        Returns its connection, which the caller of this closes, None if there is none.
        """
        found = self._discarder.take_oldest()
        if found is None and self._budget.drop_stalled():
            # One that is dropped is refused, and so the only one of these.
            found = self._discarder.take_oldest()
        return found

    def close_expired(self) -> None:
        """Refuse the requests whose bodies come too late, and close refused ones."""
        self._budget.expire()
        self._discarder.close_expired()

    def count_unanswered(self) -> int:
        """Return the number of requests whose answer has not been sent whole."""
        return sum(
            made.is_unanswered or made.is_being_sent for made in self._requests.values()
        )


class _CallRequest(httputil.HTTPMessageDelegate):
    """One request of a caller, and the sink of its answer."""

    def __init__(
        self,
        request_intake: intake.RequestIntake,
        conn: httputil.HTTPConnection,
        budget: bodies.BodyBudget,
        discarder: discarding.Discarder,
        is_short_of_connections: Callable[[], bool],
    ) -> None:
        self._request_intake = request_intake
        self._conn = typing.cast(typing.Any, conn)
        self._budget = budget
        self._discarder = discarder
        self._is_short_of_connections = is_short_of_connections
        self._closes = False
        self._holding: bodies.Holding | None = None
        self._incoming: intake.IncomingRequest | None = None
        self._body = bytearray()
        self._max_body_bytes = MAX_UNDECIDED_BYTES
        self._is_decided = False
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
        size = _parse_size(headers.get('Content-Length', ''))
        has_body = size > 0 or 'Transfer-Encoding' in headers
        if has_body:
            self._prepare_body()
        head_size = _count_header_bytes(headers)
        if head_size > self._request_intake.max_header_bytes:
            reason = f'head_too_large: {head_size}'
            self._refuse_body(verdict.not_run(reason, STATUS_HEAD_TOO_LARGE))
        elif has_body:
            self._expect_body(size)

    def _prepare_body(self) -> None:
        # Sizes are checked here, where a refusal can tell its reason.
        self._conn.set_max_body_size(sys.maxsize)
        self._holding = self._budget.make_holding(self._on_dropped, self._on_expired)
        self._holding.deadline_at = self._arrived_at + MAX_UNDECIDED_S
        self._incoming = self._make_incoming_request()

    def _expect_body(self, size: int) -> None:
        """Make room for a body of an announced size, 0 if it is not announced."""
        holding = typing.cast(bodies.Holding, self._holding)
        if 'Expect' in self._headers or size > MAX_UNDECIDED_BYTES:
            self._decide(size)
        elif not holding.extend_to(size):
            self._refuse_without_room()

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, unless the request is refused."""
        if self._ended or self._holding is None:
            self._discarder.receive(self._conn.stream, len(chunk))
            return
        size = len(self._body) + len(chunk)
        if not self._is_decided and size > MAX_UNDECIDED_BYTES:
            self._decide(size)
        if not self._ended and size > self._max_body_bytes:
            self._refuse_body(intake.refuse_size(size, self._max_body_bytes))
        if not self._ended and not self._holding.receive(len(chunk)):
            self._refuse_without_room()
        if self._ended:
            self._discarder.receive(self._conn.stream, len(chunk))
        else:
            self._body.extend(chunk)

    def finish(self) -> None:
        """Serve the request, which is now complete."""
        if self._ended:
            # It was refused before its end, and the caller told to close.
            _close_when_sent(self._conn.stream)
            return
        if self._holding is not None:
            self._holding.complete()
        self._conn.set_close_callback(self._on_connection_closed)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._task.add_done_callback(self._answer_fault)

    def on_connection_close(self) -> None:
        """Drop a request whose connection was closed while it was read."""
        self._ended = True
        self._release()
        self._discarder.remove(self._conn.stream)

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
        if self.is_incomplete and self._holding is not None:
            self._start_discarding()
            return
        self._ended = True
        stream = self._conn.stream
        try:
            self._conn.finish()
        except httputil.HTTPOutputError as exc:
            journal.warning('answer.length', error=str(exc))
        if (self._closes or self._request_intake.leaving) and stream is not None:
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
        line = typing.cast(httputil.RequestStartLine, self._start_line)
        if line.method != 'HEAD':
            self.write(body)
        self.finish_answer()

    def _write_head(
        self, status: int, reason: str, headers: httputil.HTTPHeaders
    ) -> None:
        if self._ended:
            return
        is_cut = self.is_incomplete and self._holding is not None
        self._closes = self._request_intake.leaving or self._is_short_of_connections()
        if self._closes or is_cut:
            headers['Connection'] = 'close'
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason or 'Status')
        fut = self._conn.write_headers(line, headers)
        self._is_head_sent = True
        fut.add_done_callback(futures.retrieve_exception)

    def _decide(self, size: int) -> None:
        """Refuse the request if its head, or the size of its body so far, tells so."""
        incoming = typing.cast(intake.IncomingRequest, self._incoming)
        holding = typing.cast(bodies.Holding, self._holding)
        self._is_decided = True
        try:
            allowance = self._request_intake.check_head(incoming)
        except verdict.Refusal as exc:
            self.refuse(exc)
            return
        self._max_body_bytes = allowance.body_bytes
        holding.deadline_at = allowance.deadline_at
        if size > allowance.body_bytes:
            self._refuse_body(intake.refuse_size(size, allowance.body_bytes))
        elif not holding.extend_to(size):
            self._refuse_without_room()

    def _refuse_without_room(self) -> None:
        reason = f'no_room_for_bodies: held={self._budget.held_bytes}'
        self._refuse_body(verdict.not_run(reason, retry_after_s=NO_ROOM_RETRY_S))

    def _on_dropped(self) -> None:
        """Refuse the request, whose body has lost its memory to others."""
        refusal = verdict.not_run(
            'body_without_progress', retry_after_s=NO_ROOM_RETRY_S
        )
        self._refuse_body(refusal)

    def _on_expired(self) -> None:
        """Refuse the request if it could not be served any more."""
        holding = typing.cast(bodies.Holding, self._holding)
        if not self._is_decided:
            self._decide(len(self._body))
        if self._ended or holding.deadline_at > self._budget.clock():
            return
        if self._request_intake.leaving:
            self._refuse_body(draining.make_refusal())
        else:
            self._refuse_body(verdict.not_run('body_incomplete', STATUS_TIMEOUT))

    def _refuse_body(self, refusal: verdict.Refusal) -> None:
        self._request_intake.log_refusal(
            self._headers.get(names.ATTEMPT_ID_HEADER, ''), refusal
        )
        self.refuse(refusal)

    def _start_discarding(self) -> None:
        """Drop the rest of the body for a while, after a refusal was written.

        A close with unread bytes would reset the connection, and the refusal with it.
        """
        self._ended = True
        self._release()
        # The answer is final, so nothing asks for the body any more.
        self._headers.pop('Expect', None)
        self._discarder.add(self._conn.stream)

    def _release(self) -> None:
        """Free the memory of the body."""
        if self._holding is not None:
            self._holding.release()
        self._body = bytearray()
        self._incoming = None

    async def _serve(self) -> None:
        incoming = self._incoming or self._make_incoming_request()
        await self._request_intake.serve(incoming, self)

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
            body=self._body,
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
        self._release()
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


def _has_room() -> bool:
    """Return that there is no shortage, for an application without a listener."""
    return False


def _parse_size(text: str) -> int:
    """Parse a Content-Length; 0 if it is missing, or not a plain number."""
    first = text.partition(',')[0].strip()
    if not first.isascii() or not first.isdecimal():
        return 0
    return int(first) if len(first) < _MAX_SIZE_DIGITS else sys.maxsize


def _count_header_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the size of headers as they are sent, with separators and line ends."""
    return sum(
        len(name) + len(text) + _SEPARATORS_BYTES for name, text in headers.get_all()
    )


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
