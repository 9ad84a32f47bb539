"""Errors of the telemetry package."""

from chivedoor import exceptions


class TelemetryError(exceptions.ChivedoorError):
    """Base of the errors of the telemetry package."""


class MetricLabelError(TelemetryError):
    """The labels are not those that the metric declares, or too many."""


class LogFileError(TelemetryError):
    """The log file cannot be opened for appending."""


class TelemetryStateError(TelemetryError):
    """A part is set up twice."""
