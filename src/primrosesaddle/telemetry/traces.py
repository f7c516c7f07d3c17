"""Traces: a span for each hop, exported in the background if an endpoint is set."""

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
    """Creates the spans of one process."""

    def __init__(self, provider: sdk.TracerProvider) -> None:
        """Create a tracer over a provider."""
        self._provider = provider
        self._tracer = provider.get_tracer('primrosesaddle')

    def start_span(
        self, name: str, traceparent: str = '', **tags: str | int
    ) -> trace.Span:
        """Start a span under the parent that a `traceparent` header names.

        The code that starts a span must end it.
        """
        parent = _PROPAGATOR.extract({'traceparent': traceparent})
        return self._tracer.start_span(name, parent, attributes=tags)

    def stop(self) -> None:
        """Export the remaining spans, and stop."""
        self._provider.shutdown()


def traceparent_of(span: trace.Span) -> str:
    """Return the `traceparent` header that names a span as the parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', '')


def trace_id_of(span: trace.Span) -> str:
    """Return the id of the trace that a span belongs to, in hexadecimal."""
    return trace.format_trace_id(span.get_span_context().trace_id)


def make_tracer(name: str, endpoint: str, share: float) -> Tracer:
    """Return the tracer of a process; it exports nothing when `endpoint` is empty.

    `share` is the sampled fraction of traces that start here. While the collector is
    down or slow, spans are dropped; requests are not delayed.
    """
    _silence_exporter_log()
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


def _silence_exporter_log() -> None:
    logging.getLogger('opentelemetry').setLevel(logging.CRITICAL)
