"""The text of the metrics, imported when they are asked for first."""

from collections.abc import Iterator
from collections.abc import Mapping
import itertools

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from chivedoor.edge import figures as figure_tables

_PREFIX = "chivedoor_"


class _Collector(registry.Collector):
    def __init__(
        self,
        *,
        figures: figure_tables.Figures,
        gauges: Mapping[str, float],
    ) -> None:
        self._figures = figures
        self._gauges = gauges

    def collect(self) -> Iterator[core.Metric]:
        counters = sorted(self._figures.counters.items())
        for name, group in itertools.groupby(
            counters, key=lambda entry: entry[0][0]
        ):
            family = core.CounterMetricFamily(
                _PREFIX + name, name.replace("_", " "), labels=["kind"]
            )
            for (_, label), value in group:
                family.add_metric([label], value)
            yield family
        for name, value in self._gauges.items():
            yield core.GaugeMetricFamily(
                _PREFIX + name, name.replace("_", " "), value=value
            )
        for timing, histogram in self._figures.timings.items():
            family = core.HistogramMetricFamily(
                f"{_PREFIX}{timing.value}_seconds",
                f"duration of a {timing.value.replace('_', ' ')}",
            )
            family.add_metric(
                [], histogram.list_buckets(), sum_value=histogram.total_s
            )
            yield family


def format_metrics(
    figures: figure_tables.Figures, gauges: Mapping[str, float]
) -> bytes:
    """Returns counters, gauges and histograms in the Prometheus format."""
    collected = prometheus_client.CollectorRegistry()
    collected.register(_Collector(figures=figures, gauges=gauges))
    return prometheus_client.generate_latest(collected)
