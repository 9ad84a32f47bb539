"""Exceptions of the edge balancer."""

from chivedoor import exceptions


class EdgeError(exceptions.ChivedoorError):
    """Base class of the exceptions of this package."""


class SettingsError(EdgeError):
    """The settings file cannot be read or is invalid.

    Attributes:
        faults: One entry for each fault, usually `section.option: problem`.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
