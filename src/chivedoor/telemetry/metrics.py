"""Metrics of a balancer, served over HTTP in the Prometheus format."""

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

# `ru_maxrss` is in bytes on macOS and in units of 1,024 bytes on Linux.
_RESIDENT_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024

_COLLECTORS = {
    catalogue.MetricKind.COUNTER: aioprometheus.Counter,
    catalogue.MetricKind.GAUGE: aioprometheus.Gauge,
}


class Metrics:
    """The current values of all metrics in the catalogue.

    Other packages count with plain integers, which the daemon copies here at
    each scrape. This keeps the cost of labels out of the packet path.
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
            # Start at 0: if a counter first appeared with its first event,
            # rate queries would miss that event.
            if not metric.value.labels:
                self._collectors[metric].set({}, 0)

    def set_value(self, metric: Metric, value: float, **labels: str) -> None:
        """Sets the total of a counter or the value of a gauge.

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
        """Sets several series of a metric with a single label.

        Args:
            metric: A metric with one label.
            values: Values by label value. An enum member is converted to
                its value if that is a string, otherwise to its name. Label
                values are in lower case with hyphens.

        Raises:
            MetricLabelError: The metric does not have exactly one label, or
                has too many series.
        """
        if len(metric.value.labels) != 1:
            raise exceptions.MetricLabelError(metric.value.name)
        (label,) = metric.value.labels
        for key, value in values.items():
            self.set_value(metric, value, **{label: format_label(key)})

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increases a counter or a gauge.

        Raises:
            MetricLabelError: The labels are not those that the metric
                declares, or it has too many series.
        """
        self._check_labels(metric, labels)
        self._collectors[metric].add(labels, amount)

    def get_value(self, metric: Metric, **labels: str) -> float:
        """Returns the value of a series, or 0 if it was never set."""
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
        if len(values) >= const.MAX_METRIC_SERIES and labels not in values:
            raise exceptions.MetricLabelError(
                f"{metric.value.name}: too many series"
            )


def format_label(key: enum.Enum | str) -> str:
    """Formats an enum member or a string as a label value."""
    value = key
    if isinstance(key, enum.Enum):
        value = key.value if isinstance(key.value, str) else key.name
    return value.lower().replace("_", "-").replace(" ", "-")


class MetricsServer:
    """HTTP server for the metrics, on `/metrics`.

    The endpoint needs no authentication; metrics contain no keys and no
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
        """Creates a server; `async_open` starts it.

        Args:
            address: The address to listen on.
            port: The TCP port to listen on, or 0 for any free port.
            metrics: The metrics to serve.
            collect: Updates the metrics before each scrape. If it raises, the
                failure is counted and the existing values are served.
        """
        self._address = address
        self._port = port
        self._metrics = metrics
        self._collect = collect
        self._service: _Service | None = None

    @property
    def url(self) -> str:
        """The URL of the metrics endpoint.

        Raises:
            TelemetryStateError: The server is not open.
        """
        if self._service is None:
            raise exceptions.TelemetryStateError("the server is not open")
        return self._service.metrics_url

    async def async_open(self) -> None:
        """Starts to listen.

        Raises:
            TelemetryStateError: The server is already open.
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
        """Stops listening; does nothing if the server is not open."""
        closing_service, self._service = self._service, None
        if closing_service is not None:
            await closing_service.stop()


class _Service(service.Service):
    """Serves the metrics after updating them."""

    def __init__(
        self, metrics: Metrics, collect: Callable[[Metrics], None]
    ) -> None:
        super().__init__(metrics.registry)
        self._metrics = metrics
        self._collect = collect

    async def handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Updates the metrics and returns them."""
        try:
            _collect_process_metrics(self._metrics)
            self._collect(self._metrics)
        except Exception:
            # An error in one metric must not hide all the others.
            self._metrics.add(Metric.SCRAPE_FAILURES)
        return await super().handle_metrics(request)


def _collect_process_metrics(metrics: Metrics) -> None:
    usage: Any = resource.getrusage(resource.RUSAGE_SELF)
    metrics.set_value(Metric.CPU_SECONDS, usage.ru_utime + usage.ru_stime)
    resident = usage.ru_maxrss * _RESIDENT_UNIT_BYTES
    metrics.set_value(Metric.RESIDENT_BYTES, resident)
