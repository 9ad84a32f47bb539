"""Errors of the registers package."""

from chivedoor import exceptions


class RegistersError(exceptions.ChivedoorError):
    """Base of the errors of the registers package."""


class RegistersFullError(RegistersError):
    """There are as many registers as there may be."""


class RegisterValueError(RegistersError):
    """A register or its encoded value is malformed."""
