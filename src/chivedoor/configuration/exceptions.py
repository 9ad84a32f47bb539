"""Errors of the configuration package."""

from collections.abc import Sequence

from chivedoor import exceptions
from chivedoor.configuration import const
from chivedoor.configuration import faults as faults_module


class ConfigurationError(exceptions.ChivedoorError):
    """Base class of the errors of the configuration package."""


class DocumentError(ConfigurationError):
    """A document has faults.

    Attributes:
        faults: All faults found, in document order.
    """

    def __init__(self, *, faults: Sequence[faults_module.Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__(_format_faults("document", self.faults))


class SettingsError(ConfigurationError):
    """A settings file has faults.

    Attributes:
        faults: All faults found in the file.
    """

    def __init__(
        self, *, faults: Sequence[faults_module.SettingsFault]
    ) -> None:
        self.faults = tuple(faults)
        super().__init__(_format_faults("settings file", self.faults))


class DifferenceError(ConfigurationError):
    """A difference between documents cannot be read or applied."""


class DifferenceFaultsError(DifferenceError):
    """The text of a difference has faults.

    Attributes:
        faults: All faults found.
    """

    def __init__(self, *, faults: Sequence[faults_module.Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__(_format_faults("difference", self.faults))


class BaseVersionError(DifferenceError):
    """A difference is based on another version than the current document.

    Attributes:
        expected: Version that the difference is based on.
        found: Version of the document it was applied to.
    """

    def __init__(self, *, expected: int, found: int) -> None:
        self.expected = expected
        self.found = found
        super().__init__(
            f"difference is based on version {expected}, not on {found}"
        )


def _format_faults(subject: str, faults: Sequence[object]) -> str:
    lines = [str(fault) for fault in faults[: const.MAX_FAULTS_IN_MESSAGE]]
    omitted = len(faults) - len(lines)
    if omitted:
        lines.append(f"and {omitted} more")
    return "\n".join([f"{subject} has {len(faults)} fault(s):", *lines])
