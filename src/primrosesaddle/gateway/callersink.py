"""Where an answer to a caller is written, streamed or whole."""

import time

from tornado import web

from primrosesaddle.core import verdict
from primrosesaddle.gateway import callerstate, requests
from primrosesaddle.membership import wire
from primrosesaddle.telemetry import traces

__all__ = ('HttpSink',)

SSE = 'text/event-stream'


class HttpSink:
    """Write an answer to a caller; one that is not streamed is held until whole."""

    def __init__(self, handler: web.RequestHandler, req: requests.Request) -> None:
        self._handler = handler
        self._req = req
        self._held: list[bytes] = []
        self._head: wire.AnswerHead | None = None
        self.started = False
        self.first_at = 0.0

    async def write_head(self, head: wire.AnswerHead) -> None:
        self._head = head

    async def write_part(self, body: bytes) -> None:
        if not self.first_at:
            self.first_at = time.monotonic()
        if not self._req.stream:
            self._held.append(body)
            return
        if not self.started:
            self._start()
            self._handler.set_header('Content-Type', SSE)
            self._handler.set_header('Cache-Control', 'no-store')
        self._handler.write(body)
        await self._handler.flush()

    def discard_parts(self) -> None:
        self._held.clear()

    async def end(self) -> None:
        if self._req.stream:
            self._handler.write(b'data: [DONE]\n\n')
            await self._handler.finish()
            return
        self._start()
        await self._handler.finish(b''.join(self._held))

    async def break_off(self, exc: verdict.Refusal) -> None:
        self._handler.write(
            b'data: ' + callerstate.refusal_body(exc, self._req.call_id) + b'\n\n'
        )
        await self._handler.finish()

    def _start(self) -> None:
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
