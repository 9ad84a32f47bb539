"""Errors of the command-line tools."""

from chivedoor import exceptions
from chivedoor.cli import const


class CliError(exceptions.ChivedoorError):
    """Base of the errors that end a command.

    Attributes:
        exit_code: The exit code of the process.
    """

    exit_code = const.ExitCode.FAULTS


class UsageError(CliError):
    """An option, a variable or a file name cannot be used."""

    exit_code = const.ExitCode.USAGE


class RejectedError(CliError):
    """A balancer rejected the command."""


class DocumentFaultsError(CliError):
    """A document has faults; the message has one line for each."""


class NotReachedError(CliError):
    """No balancer could be reached, or none accepted the key."""

    exit_code = const.ExitCode.NOT_REACHED
