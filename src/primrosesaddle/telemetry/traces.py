"""Traces: a span for each hop, exported off the request path when so set."""

import logging
import typing

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export, sampling
from opentelemetry.trace.propagation import tracecontext

__all__ = ('Tracer', 'make_tracer')

QUEUE_SPANS = 4096
BATCH_SPANS = 512
EXPORT_TIMEOUT_MS = 2000

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Tracer:
    """The spans of one process."""

    def __init__(self, provider: sdk.TracerProvider) -> None:
        """Wrap a provider."""
        self._provider = provider
        self._tracer = provider.get_tracer('primrosesaddle')

    def start_span(
        self, name: str, traceparent: str = '', **tags: str | int
    ) -> trace.Span:
        """Start a span under the caller's trace; the caller ends it."""
        parent = _PROPAGATOR.extract({'traceparent': traceparent})
        return self._tracer.start_span(name, parent, attributes=tags)

    def stop(self) -> None:
        """Send what is left, and stop."""
        self._provider.shutdown()


def traceparent_of(span: trace.Span) -> str:
    """Return the header that names a span as parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', '')


def trace_id_of(span: trace.Span) -> str:
    """Return the identifier of the trace that a span belongs to."""
    return trace.format_trace_id(span.get_span_context().trace_id)


def make_tracer(name: str, endpoint: str, share: float) -> Tracer:
    """Return the tracer of a process; nothing is sent when `endpoint` is empty.

    A collector that is down or slow costs dropped spans, never a request.
    """
    _quieten()
    provider = sdk.TracerProvider(
        sampler=sampling.ParentBased(sampling.TraceIdRatioBased(share)),
        resource=resources.Resource({'service.name': name}),
        shutdown_on_exit=False,
    )
    if endpoint:
        exporter = trace_exporter.OTLPSpanExporter(
            endpoint,
            timeout=EXPORT_TIMEOUT_MS / 1000,
        )
        provider.add_span_processor(
            export.BatchSpanProcessor(
                typing.cast(export.SpanExporter, exporter),
                max_queue_size=QUEUE_SPANS,
                max_export_batch_size=BATCH_SPANS,
                export_timeout_millis=EXPORT_TIMEOUT_MS,
            )
        )
    return Tracer(provider)


def _quieten() -> None:
    logging.getLogger('opentelemetry').setLevel(logging.CRITICAL)
