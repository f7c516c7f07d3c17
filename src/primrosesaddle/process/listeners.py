"""HTTP listeners of a process, including the one for metrics."""

from tornado import httpserver, httputil, web

from primrosesaddle.core import addresses
from primrosesaddle.fleet import node
from primrosesaddle.telemetry import metrics

__all__ = ('serve', 'serve_metrics')

IDLE_CONNECTION_TIMEOUT_S = 60.0  # longer than callers keep an idle connection
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
LISTEN_BACKLOG = 1024  # connections to accept; a burst opens hundreds at once


def serve(
    app: httputil.HTTPServerConnectionDelegate, address: str
) -> httpserver.HTTPServer:
    """Serve an application at an IP:PORT address, and return the HTTP server."""
    server = httpserver.HTTPServer(
        app,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    host, port = addresses.split_address(address)
    server.listen(port, host, backlog=LISTEN_BACKLOG)
    return server


def serve_metrics(registry: metrics.Metrics, cfg: node.Node) -> httpserver.HTTPServer:
    """Serve `/metrics` of a process, and return the HTTP server."""
    app = web.Application([('/metrics', _MetricsHandler, {'registry': registry})])
    return serve(app, cfg.listen.metrics)


class _MetricsHandler(web.RequestHandler):
    """Handler of `/metrics`, in the Prometheus text format."""

    def initialize(self, registry: metrics.Metrics) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._registry.to_text())
