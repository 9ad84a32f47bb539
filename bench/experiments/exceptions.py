"""Errors of the experiments."""

from standins import exceptions


class ExperimentError(exceptions.StandinError):
    """An experiment could not be carried out."""


class UnsettledError(ExperimentError):
    """The balancers did not settle in time."""


class UnknownCaseError(ExperimentError):
    """No case has this name."""
