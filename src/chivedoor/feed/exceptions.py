"""Errors of reading from a source of records."""

from chivedoor import exceptions


class FeedError(exceptions.ChivedoorError):
    """Base of the errors of this package."""


class SourceUnreachableError(FeedError):
    """The connection failed, was lost or did not answer in time."""


class SourceRefusedError(FeedError):
    """The source answered with a status other than success.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class HistoryLostError(FeedError):
    """The source no longer has the changes since a revision."""


class MalformedAnswerError(FeedError):
    """The source's answer cannot be read."""
