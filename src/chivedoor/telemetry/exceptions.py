"""Errors of the telemetry package."""

from chivedoor import exceptions


class TelemetryError(exceptions.ChivedoorError):
    """Base class of the errors of the telemetry package."""


class MetricLabelError(TelemetryError):
    """The labels do not match the declaration, or the series are too many."""


class LogFileError(TelemetryError):
    """The log file cannot be opened for appending."""


class TelemetryStateError(TelemetryError):
    """The metrics server is already open, or not open yet."""
