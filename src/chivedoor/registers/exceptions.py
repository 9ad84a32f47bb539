"""Errors of the registers package."""

from chivedoor import exceptions


class RegistersError(exceptions.ChivedoorError):
    """Base class of the errors of the registers package."""


class RegistersFullError(RegistersError):
    """The maximum number of registers is reached."""


class RegisterValueError(RegistersError):
    """A register or its encoded value is malformed."""
