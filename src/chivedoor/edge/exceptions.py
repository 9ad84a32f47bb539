"""Errors of the package."""

from chivedoor import exceptions


class EdgeError(exceptions.ChivedoorError):
    """Base of the errors of this package."""


class SettingsError(EdgeError):
    """The settings file cannot be used.

    Attributes:
        faults: One entry for each fault, as `section.option: problem`.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
