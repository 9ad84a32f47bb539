"""Errors of the command-line tools."""

from chivedoor import exceptions
from chivedoor.cli import const


class CliError(exceptions.ChivedoorError):
    """Base class of errors that end a command.

    Attributes:
        exit_code: The exit code of the process.
    """

    exit_code = const.ExitCode.FAULTS


class UsageError(CliError):
    """An option, an environment variable or a file is unusable."""

    exit_code = const.ExitCode.USAGE


class RejectedError(CliError):
    """A balancer rejected the command."""


class NoExplanationError(CliError):
    """An edge balancer cannot be reached or has no page of explanations."""


class DocumentFaultsError(CliError):
    """A document has faults; the message lists one per line."""


class NotReachedError(CliError):
    """No balancer was reachable or accepted the key."""

    exit_code = const.ExitCode.NOT_REACHED
