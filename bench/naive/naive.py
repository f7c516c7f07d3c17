"""A naive baseline on the users' platform: a random server for each call.

It reads the store and answers callers through the product's adapter, and leaves out
what the product decides: no queue, no choice by load, no repeats, no agents, no
weights, a new connection for each call.
"""

import asyncio
import os
import random
import signal

from primrosesaddle.calls import attempts, backends, intake, placement, request, routes
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview, node, reader
from primrosesaddle.net import upstream
from primrosesaddle.platform import __main__ as platform_main
from primrosesaddle.platform import settings
from primrosesaddle.process import adapter, listeners

SETTINGS = 'PRIMROSESADDLE_NODE_FILE'
DIRECTORY_TTL_S = 1.0


class NaiveRelay:
    """Send each call to a server drawn at random, once."""

    def __init__(self, seen: fleetview.View, wire: attempts.WireFormat) -> None:
        """Create a relay over a view."""
        self._view = seen
        self._wire = wire
        self._rand = random.Random()
        self.in_flight = 0

    async def serve(self, call: request.Call, sink: attempts.AnswerSink) -> None:
        """Serve a call to its end, whenever that is."""
        self.in_flight += 1
        try:
            await self._serve(call, sink)
        except upstream.Unreachable as exc:
            sink.refuse(verdict.not_run(f'unreachable: {exc}', 503))
        finally:
            self.in_flight -= 1

    async def _serve(self, call: request.Call, sink: attempts.AnswerSink) -> None:
        names = [name for name, weight in call.route.targets if weight > 0]
        known = [
            record
            for record in self._view.servers.values()
            if record.service in names and not record.leaving
        ]
        if not known:
            raise upstream.Unreachable('no server is known')
        backend = backends.Backend(self._rand.choice(known))
        attempt = attempts.Attempt(
            self._wire, call, placement.Choice(backend, 0.0, version=0)
        )
        conn = await upstream.dial(backend.record.address)
        try:
            await self._exchange(conn, attempt, sink)
        finally:
            conn.close()

    async def _exchange(
        self,
        conn: upstream.Connection,
        attempt: attempts.Attempt,
        sink: attempts.AnswerSink,
    ) -> None:
        call = attempt.call
        is_stream = call.route.kind is routes.RouteKind.STREAM

        def on_head(head: upstream.Head) -> None:
            attempt.on_head(head)
            if is_stream and attempt.head is not None:
                sink.start(attempt.head, None)

        exchange = upstream.Exchange(
            conn,
            on_head,
            sink.write if is_stream else attempt.on_body,
            lambda headers: self._wire.answers(call, headers),
        )
        left_s = call.deadline_at - asyncio.get_running_loop().time()
        headers = self._wire.request_headers(call, attempt.choice, left_s, 0, 0)
        exchange.send_request(call.method, call.target, headers, call.body)
        ending = await exchange.read_answer()
        if ending is not upstream.Ending.COMPLETE or attempt.head is None:
            sink.abort()
            return
        if not is_stream:
            body = b''.join(attempt.body)
            sink.start(attempt.head, len(body))
            sink.write(body)
        sink.finish_answer()


async def serve(cfg: node.Node, made: adapter.Adapter) -> None:
    """Serve callers at one entry, until the process is ended."""
    clock = asyncio.get_running_loop().time
    seen = fleetview.View(made.decode_record, clock, 0.0)
    follow = reader.Reader(made.source, seen, random.Random(), clock)
    door = intake.RequestIntake(seen, NaiveRelay(seen, made.wire))
    applications = made.applications
    address = cfg.listen.callers or ''
    listeners.serve(applications.make_call_application(door), address)
    listeners.serve(
        applications.make_readiness_application(lambda: True), cfg.listen.ready or ''
    )
    listeners.serve(
        applications.make_directory_application(
            lambda region, data_centre: [address], DIRECTORY_TTL_S
        ),
        cfg.listen.directory or '',
    )
    await follow.run()


def main() -> None:
    """Run the baseline by the settings that the platform wrote."""
    cfg = settings.read_settings(os.environ[SETTINGS])
    if cfg.role == 'entry':
        asyncio.run(serve(cfg, platform_main.make_adapter(cfg)))
    else:
        # The platform wants a process beside each model server; this one idles.
        signal.pause()


if __name__ == '__main__':
    main()
