"""HTTP listeners of a process, its metrics among them."""

from tornado import httpserver, httputil, web

from primrosesaddle.core import addresses
from primrosesaddle.fleet import node
from primrosesaddle.telemetry import metrics

__all__ = ('serve', 'serve_metrics')

IDLE_S = 60.0  # longer than callers keep an idle connection
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
BACKLOG = 1024  # connections waiting to be taken; a burst opens hundreds at once


def serve(
    app: httputil.HTTPServerConnectionDelegate, address: str
) -> httpserver.HTTPServer:
    """Serve an application at an IP:PORT address, and return the listener."""
    server = httpserver.HTTPServer(
        app,
        idle_connection_timeout=IDLE_S,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    host, port = addresses.split_address(address)
    server.listen(port, host, backlog=BACKLOG)
    return server


def serve_metrics(counts: metrics.Metrics, cfg: node.Node) -> httpserver.HTTPServer:
    """Serve the metrics of a process as text, and return the listener."""
    app = web.Application([('/metrics', _Scrape, {'counts': counts})])
    return serve(app, cfg.listen.metrics)


class _Scrape(web.RequestHandler):
    """The metrics in the text format of scrapers."""

    def initialize(self, counts: metrics.Metrics) -> None:
        self._counts = counts

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._counts.to_text())
