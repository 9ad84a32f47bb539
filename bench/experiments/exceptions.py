"""Errors of the experiments."""

from standins import exceptions


class ExperimentError(exceptions.StandinError):
    """Base class for errors of the experiments."""


class UnsettledError(ExperimentError):
    """The balancers did not reach a stable state in time."""


class UnknownCaseError(ExperimentError):
    """The requested case does not exist."""
