"""Shared parts of the stand-ins: JSON handlers, faults set over HTTP, and serving."""

import argparse
import asyncio
import logging
import signal
import typing
from collections.abc import Callable, Mapping, Sequence

import msgspec
from tornado import httpserver, web

__all__ = ('Faults', 'Handler', 'JsonRead', 'arguments', 'run', 'serve')

MAX_BODY_BYTES = 64 * 1024 * 1024


class Faults:
    """The faults that a stand-in shows; each is read as an attribute."""

    def __init__(self, **defaults: typing.Any) -> None:
        """Define the faults with their defaults, which mean no fault."""
        self._defaults = defaults
        self._values = dict(defaults)

    def __getattr__(self, name: str) -> typing.Any:
        """Return the value of a fault."""
        try:
            return self.__dict__['_values'][name]
        except KeyError:
            raise AttributeError(name) from None

    def put(self, values: Mapping[str, typing.Any]) -> None:
        """Set faults, and reset all others to their defaults.

        Raises `ValueError` for an unknown name.
        """
        unknown = set(values) - set(self._defaults)
        if unknown:
            allowed = ', '.join(sorted(self._defaults))
            raise ValueError(f'unknown faults {sorted(unknown)}; allowed: {allowed}')
        self._values = {**self._defaults, **values}

    def get(self) -> dict[str, typing.Any]:
        """Return the values of all faults."""
        return dict(self._values)


class Handler(web.RequestHandler):
    """A handler that answers in JSON."""

    def reply(self, payload: object, status: int = 200) -> None:
        """Answer with a payload encoded as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(payload))

    def json(self) -> typing.Any:
        """Return the decoded body.

        Raises `HTTPError` 400 when it is not JSON.
        """
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as exc:
            raise web.HTTPError(400, str(exc)) from None

    def log_exception(self, *exc_info: typing.Any) -> None:
        """Log nothing for connections that close early and for refused input."""


class JsonRead(Handler):
    """Answer GET with the result of a function."""

    def initialize(self, read: Callable[[], typing.Any]) -> None:
        """Set the function."""
        self.read = read

    def get(self) -> None:
        """Answer with the result."""
        self.reply(self.read())


class _FaultsHandler(Handler):
    def initialize(self, faults: Faults) -> None:
        self.faults = faults

    def get(self) -> None:
        self.reply(self.faults.get())

    def put(self) -> None:
        try:
            self.faults.put(self.json())
        except ValueError as exc:
            self.reply({'error': str(exc)}, 400)
            return
        self.reply(self.faults.get())


def fault_routes(faults: Faults) -> list[typing.Any]:
    """Return the route that reads and sets faults."""
    return [(r'/standin/faults', _FaultsHandler, {'faults': faults})]


def arguments(purpose: str, **options: typing.Any) -> argparse.Namespace:
    """Parse `--listen` and further options, given with their defaults."""
    parser = argparse.ArgumentParser(description=purpose)
    parser.add_argument('--listen', required=True, help='IP:PORT, or more, by commas')
    for name, default in options.items():
        flag = '--{0}'.format(name.replace('_', '-'))
        parser.add_argument(flag, default=default, type=type(default))
    return parser.parse_args()


def serve(routes: Sequence[typing.Any], listen: str) -> httpserver.HTTPServer:
    """Serve routes on addresses separated by commas, and return the server."""
    app = web.Application(list(routes), log_function=lambda handler: None)
    server = httpserver.HTTPServer(
        app,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_BODY_BYTES,
    )
    for address in listen.split(','):
        host, _, port = address.rpartition(':')
        server.listen(int(port), host)
    return server


async def _serve_until_signal(routes: Sequence[typing.Any], listen: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = serve(routes, listen)
    await stop.wait()
    server.stop()


def run(make_routes: Callable[[], Sequence[typing.Any]], listen: str) -> None:
    """Serve on an address until SIGTERM or SIGINT."""
    logging.getLogger('tornado').setLevel(logging.CRITICAL)

    async def main() -> None:
        await _serve_until_signal(make_routes(), listen)

    asyncio.run(main())
