"""Metrics of one balancer, served over HTTP in the Prometheus format."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import resource
import sys
from typing import Any

import aiohttp.web
import aioprometheus
from aioprometheus import service

from chivedoor.telemetry import catalogue
from chivedoor.telemetry import const
from chivedoor.telemetry import exceptions

Metric = catalogue.Metric

# Memory figures of the operating system are in units of 1,024 bytes on Linux.
_RESIDENT_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024

_COLLECTORS = {
    catalogue.MetricKind.COUNTER: aioprometheus.Counter,
    catalogue.MetricKind.GAUGE: aioprometheus.Gauge,
}


class Metrics:
    """The values of all metrics in the catalogue.

    Packages count with plain integers. The daemon copies the totals here
    when it is scraped, so that the packet path does not pay for labels.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._collectors = {
            metric: _COLLECTORS[metric.value.kind](
                metric.value.name,
                metric.value.description,
                registry=self.registry,
            )
            for metric in Metric
        }
        for metric in Metric:
            # A counter that is absent until its first event hides that
            # event from rates.
            if not metric.value.labels:
                self._collectors[metric].set({}, 0)

    def set_value(self, metric: Metric, value: float, **labels: str) -> None:
        """Sets a counter's total or a gauge.

        Raises:
            MetricLabelError: The labels are not those that the metric
                declares, or it has too many series.
        """
        collector = self._collectors[metric]
        self._check_labels(metric, labels)
        collector.set(labels, value)

    def set_values(
        self, metric: Metric, values: Mapping[enum.Enum | str, float]
    ) -> None:
        """Sets all series of a metric that has a single label.

        Args:
            metric: A metric with one label.
            values: Totals by the value of the label. An enum member stands
                for its value if that is a string, else for its name. Labels
                are in lower case, with hyphens.

        Raises:
            MetricLabelError: The metric has not exactly one label, or too
                many series.
        """
        if len(metric.value.labels) != 1:
            raise exceptions.MetricLabelError(metric.value.name)
        (label,) = metric.value.labels
        for key, value in values.items():
            self.set_value(metric, value, **{label: format_label(key)})

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Adds to a counter or a gauge.

        Raises:
            MetricLabelError: The labels are not those that the metric
                declares, or it has too many series.
        """
        self._check_labels(metric, labels)
        self._collectors[metric].add(labels, amount)

    def get_value(self, metric: Metric, **labels: str) -> float:
        """Returns a value; 0 when it was never set."""
        try:
            return self._collectors[metric].get(labels)
        except KeyError:
            return 0

    def _check_labels(self, metric: Metric, labels: Mapping[str, str]) -> None:
        if labels.keys() != set(metric.value.labels):
            raise exceptions.MetricLabelError(
                f"{metric.value.name}: {sorted(labels)}"
            )
        values = self._collectors[metric].values
        if len(values) >= const.METRIC_MAX_SERIES and labels not in values:
            raise exceptions.MetricLabelError(
                f"{metric.value.name}: too many series"
            )


def format_label(key: enum.Enum | str) -> str:
    """Returns the label value of an enum member or a string."""
    value = key
    if isinstance(key, enum.Enum):
        value = key.value if isinstance(key.value, str) else key.name
    return value.lower().replace("_", "-").replace(" ", "-")


class MetricsServer:
    """Serves the metrics on `/metrics`.

    Anyone who reaches the port can read them; they hold no keys and no
    addresses.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        metrics: Metrics,
        collect: Callable[[Metrics], None],
    ) -> None:
        """Creates a server that is not open yet.

        Args:
            address: The address to listen on.
            port: The TCP port to listen on; 0 for any free port.
            metrics: The values to serve.
            collect: Brings the values up to date before each scrape. When
                it raises, the scrape serves what is there and counts it.
        """
        self._address = address
        self._port = port
        self._metrics = metrics
        self._collect = collect
        self._service: _Service | None = None

    @property
    def url(self) -> str:
        """The URL of the metrics.

        Raises:
            TelemetryStateError: The server is not open.
        """
        if self._service is None:
            raise exceptions.TelemetryStateError("the server is not open")
        return self._service.metrics_url

    async def async_open(self) -> None:
        """Starts to listen.

        Raises:
            TelemetryStateError: The server is open.
            OSError: The address or port cannot be bound.
        """
        if self._service is not None:
            raise exceptions.TelemetryStateError("the server is open")
        new_service = _Service(self._metrics, self._collect)
        try:
            await new_service.start(
                addr=self._address,
                port=self._port,
                metrics_url=const.METRICS_PATH,
            )
        except OSError:
            await new_service.stop()
            raise
        self._service = new_service

    async def async_close(self) -> None:
        """Stops listening; a second call does nothing."""
        closing_service, self._service = self._service, None
        if closing_service is not None:
            await closing_service.stop()


class _Service(service.Service):
    """Collects figures before each scrape."""

    def __init__(
        self, metrics: Metrics, collect: Callable[[Metrics], None]
    ) -> None:
        super().__init__(metrics.registry)
        self._metrics = metrics
        self._collect = collect

    async def handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Returns the metrics after collecting them."""
        try:
            _collect_process_metrics(self._metrics)
            self._collect(self._metrics)
        except Exception:
            # A fault in one figure must not hide all the others.
            self._metrics.add(Metric.SCRAPE_FAILURES)
        return await super().handle_metrics(request)


def _collect_process_metrics(metrics: Metrics) -> None:
    usage: Any = resource.getrusage(resource.RUSAGE_SELF)
    metrics.set_value(Metric.CPU_SECONDS, usage.ru_utime + usage.ru_stime)
    resident = usage.ru_maxrss * _RESIDENT_UNIT_BYTES
    metrics.set_value(Metric.RESIDENT_BYTES, resident)
