"""Answers to callers over HTTP, streamed or as one body."""

import time

from tornado import web

from primrosesaddle.core import verdict
from primrosesaddle.gateway import callerstate, requests
from primrosesaddle.membership import wire
from primrosesaddle.telemetry import traces

__all__ = ('HttpSink',)

EVENT_STREAM_TYPE = 'text/event-stream'


class HttpSink:
    """Write an answer to a caller; hold it until it is complete unless it is streamed.

    `started` tells whether anything was written, `first_part_at` is the time of the
    first part, 0 before it.
    """

    def __init__(self, handler: web.RequestHandler, req: requests.Request) -> None:
        self._handler = handler
        self._req = req
        self._held_parts: list[bytes] = []
        self._head: wire.AnswerHead | None = None
        self.started = False
        self.first_part_at = 0.0

    async def write_head(self, head: wire.AnswerHead) -> None:
        """Keep status and headers until the first part is written."""
        self._head = head

    async def write_part(self, body: bytes) -> None:
        """Write a part of a stream, or hold it if the answer is not streamed."""
        if not self.first_part_at:
            self.first_part_at = time.monotonic()
        if not self._req.stream:
            self._held_parts.append(body)
            return
        if not self.started:
            self._write_headers()
            self._handler.set_header('Content-Type', EVENT_STREAM_TYPE)
            self._handler.set_header('Cache-Control', 'no-store')
        self._handler.write(body)
        await self._handler.flush()

    def discard_parts(self) -> None:
        """Drop the parts held so far."""
        self._held_parts.clear()

    async def end(self) -> None:
        """Complete the answer."""
        if self._req.stream:
            self._handler.write(b'data: [DONE]\n\n')
            await self._handler.finish()
            return
        self._write_headers()
        await self._handler.finish(b''.join(self._held_parts))

    async def break_off(self, exc: verdict.Refusal) -> None:
        """End a stream with a refusal instead of `[DONE]`."""
        self._handler.write(
            b'data: ' + callerstate.refusal_body(exc, self._req.call_id) + b'\n\n'
        )
        await self._handler.finish()

    def _write_headers(self) -> None:
        """Set status and headers of the response."""
        self.started = True
        handler = self._handler
        head = self._head
        if head is not None:
            handler.set_status(head.status)
            if head.version:
                handler.set_header('Served-Version', head.version)
            if self._req.path == '':
                handler.set_header('Content-Type', 'application/json')
            else:
                handler.clear_header('Content-Type')
            for name in {name for name, _ in head.headers}:
                handler.clear_header(name)
            for name, value in head.headers:
                handler.add_header(name, value)
        handler.set_header('Catalogue-Revision', str(self._req.revision))
        handler.set_header('traceparent', traces.traceparent_of(self._req.span))
