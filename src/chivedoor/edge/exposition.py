"""Text exposition of the metrics.

Imported at the first request, since prometheus-client is slow to load.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import operator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from chivedoor import ids
from chivedoor.edge import metrics as metrics_module

_PREFIX = "chivedoor_"


class _Collector(registry.Collector):
    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        gauges: Mapping[metrics_module.Gauge, float],
        shares: Mapping[ids.ServiceId, Mapping[ids.DomainId, float]],
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._shares = shares

    def collect(self) -> Iterator[core.Metric]:
        counters = sorted(
            (counter.value, kind, value)
            for (counter, kind), value in self._metrics.counters.items()
        )
        for name, group in itertools.groupby(counters, operator.itemgetter(0)):
            family = core.CounterMetricFamily(
                _PREFIX + name, name.replace("_", " "), labels=["kind"]
            )
            for _, kind, value in group:
                family.add_metric([kind], value)
            yield family
        for gauge, value in self._gauges.items():
            yield core.GaugeMetricFamily(
                _PREFIX + gauge.value,
                gauge.value.replace("_", " "),
                value=value,
            )
        name = metrics_module.Gauge.SHARE_LEAVING_DOMAIN.value
        family = core.GaugeMetricFamily(
            _PREFIX + name,
            name.replace("_", " "),
            labels=["service", "destination"],
        )
        for service, shares in self._shares.items():
            for destination, share in shares.items():
                family.add_metric([service, destination], share)
        yield family
        for timing, histogram in self._metrics.histograms.items():
            family = core.HistogramMetricFamily(
                f"{_PREFIX}{timing.value}_seconds",
                f"duration of a {timing.value.replace('_', ' ')}",
            )
            family.add_metric(
                [], histogram.list_buckets(), sum_value=histogram.total_s
            )
            yield family


def format_metrics(
    metrics: metrics_module.Metrics,
    gauges: Mapping[metrics_module.Gauge, float],
    shares: Mapping[ids.ServiceId, Mapping[ids.DomainId, float]],
) -> bytes:
    """Returns all metrics in the Prometheus text format.

    Args:
        metrics: Counters and histograms.
        gauges: Values without labels.
        shares: Shares of new flows that leave the domain, from 0 to 1, by
            service and destination.
    """
    collected = prometheus_client.CollectorRegistry()
    collected.register(
        _Collector(metrics=metrics, gauges=gauges, shares=shares)
    )
    return prometheus_client.generate_latest(collected)
