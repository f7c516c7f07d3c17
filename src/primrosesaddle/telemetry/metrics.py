"""Metrics: latencies in HDR histograms, counts and gauges, as Prometheus text."""

import typing
from collections.abc import Callable, Iterator

import prometheus_client
from hdrh import histogram
from prometheus_client import core

__all__ = ('Metrics', 'make_metrics')

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.95, 0.99)
_US_PER_S = 1_000_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Latencies by hop and rank, counts by label, and gauges."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._latencies: dict[Labels, histogram.HdrHistogram] = {}
        self._counts: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(typing.cast(typing.Any, self))

    def latency(self, hop: str, rank: str, seconds: float) -> None:
        """Record a latency in seconds of a hop, for calls of a rank."""
        labels = (('hop', hop), ('rank', rank))
        latencies = self._latencies.get(labels)
        if latencies is None:
            latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._latencies[labels] = latencies
        latencies.record_value(min(MAX_LATENCY_US, max(1, int(seconds * _US_PER_S))))

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to the counter of a name and labels."""
        key = (name, tuple(sorted(labels.items())))
        self._counts[key] = self._counts.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, whose value is read at each scrape."""
        self._gauges[name] = read

    def value(self, name: str, **labels: str) -> float:
        """Return the value of the counter of a name and labels."""
        return self._counts.get((name, tuple(sorted(labels.items()))), 0)

    def to_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def collect(self) -> Iterator[core.Metric]:
        """Yield the metric families; called by the Prometheus registry."""
        summary = core.GaugeMetricFamily(
            'primrosesaddle_latency_seconds',
            'Latency by hop and rank.',
            labels=('hop', 'rank', 'quantile'),
        )
        totals = core.CounterMetricFamily(
            'primrosesaddle_latency_samples',
            'Latencies recorded.',
            labels=('hop', 'rank'),
        )
        for labels, latencies in list(self._latencies.items()):
            names = [value for _, value in labels]
            totals.add_metric(names, latencies.get_total_count())
            for quantile in QUANTILES:
                latency_s = (
                    latencies.get_value_at_percentile(quantile * 100) / _US_PER_S
                )
                summary.add_metric([*names, str(quantile)], latency_s)
        yield summary
        yield totals
        yield from self._count_families()
        for name, read in self._gauges.items():
            yield core.GaugeMetricFamily(f'primrosesaddle_{name}', name, value=read())

    def _count_families(self) -> Iterator[core.Metric]:
        families: dict[str, core.CounterMetricFamily] = {}
        for (name, labels), total in list(self._counts.items()):
            family = families.get(name)
            if family is None:
                family = core.CounterMetricFamily(
                    f'primrosesaddle_{name}',
                    name,
                    labels=[key for key, _ in labels],
                )
                families[name] = family
            family.add_metric([value for _, value in labels], total)
        yield from families.values()


def make_metrics() -> Metrics:
    """Return an empty set of metrics."""
    return Metrics()
