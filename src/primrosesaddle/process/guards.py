"""Limits of an entry's listeners: applies them, enforces timeouts, and counts."""

from collections.abc import Mapping

from tornado import httputil

from primrosesaddle.calls import intake
from primrosesaddle.core import verdict
from primrosesaddle.fleet import fleetview, node
from primrosesaddle.net import bodies
from primrosesaddle.process import adapter, capacity, listeners
from primrosesaddle.telemetry import metrics

__all__ = ('Guard', 'start_listeners')

_CALLERS = 'callers'


class Guard:
    """The listeners of an entry, with the limits of the configuration in force."""

    def __init__(
        self, call_application: adapter.CallApplication, view: fleetview.View
    ) -> None:
        """Create a guard without listeners, which follows the view's configuration."""
        self._call_application = call_application
        self._view = view
        self._metrics = metrics.make_metrics()
        self._listeners: list[listeners.Listener] = []
        view.listeners.append(self._apply_limits)

    def add_listener(self, name: str, listener: listeners.Listener) -> None:
        """Add a listener; when it is short of connections, stalled requests go."""
        table = listener.connections
        if name == _CALLERS:
            table.close_busy = self._call_application.close_stalled
            self._call_application.is_short_of_connections = lambda: table.is_short
        self._metrics.gauge(f'connections_{name}', lambda: table.count)
        self._metrics.gauge(f'connections_closed_{name}', lambda: table.closed_count)
        self._listeners.append(listener)
        self._apply_limits()

    def report(
        self,
        registry: metrics.Metrics,
        request_intake: intake.RequestIntake,
        budget: bodies.BodyBudget,
    ) -> None:
        """Report what is held, and what was refused and why, to a set of metrics."""
        self._metrics = registry
        registry.gauge('body_bytes', lambda: budget.held_bytes)
        registry.gauge('body_bytes_limit', lambda: budget.size_bytes)
        registry.gauge('bodies_incomplete', lambda: budget.incomplete_count)

        def count_refusal(refusal: verdict.Refusal) -> None:
            reason = refusal.reason.partition(':')[0]
            registry.count('requests_refused', reason=reason)

        request_intake.on_refused = count_refusal

    def sweep(self) -> None:
        """End what has taken too long: heads, bodies, and the rest of refused ones."""
        self._call_application.close_expired()
        for listener in self._listeners:
            listener.sweep()

    def stop(self) -> None:
        """Accept no more connections."""
        for listener in self._listeners:
            listener.stop()

    def _apply_limits(self) -> None:
        conf = self._view.configuration
        if conf is not None:
            for listener in self._listeners:
                listener.apply_limits(conf.limits)


def start_listeners(
    guard: Guard,
    listen: node.Listen,
    planned: capacity.Capacity,
    applications: Mapping[str, httputil.HTTPServerConnectionDelegate],
) -> None:
    """Serve applications by the name of their address; those without one are not."""
    addresses = {
        _CALLERS: listen.callers,
        'ready': listen.ready,
        'directory': listen.directory,
        'metrics': listen.metrics,
    }
    for name, app in applications.items():
        address = addresses[name]
        has_calls = name == _CALLERS
        limit = planned.caller_connections if has_calls else planned.other_connections
        if address is not None:
            served = listeners.serve(app, address, limit, has_calls=has_calls)
            guard.add_listener(name, served)
