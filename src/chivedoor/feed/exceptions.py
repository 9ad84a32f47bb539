"""Exceptions raised when reading from a source of records."""

from chivedoor import exceptions


class FeedError(exceptions.ChivedoorError):
    """Base class of the exceptions of this package."""


class SourceUnreachableError(FeedError):
    """The connection failed or was lost, or the source timed out."""


class SourceRefusedError(FeedError):
    """The source responded with an unsuccessful status.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class HistoryLostError(FeedError):
    """The source no longer holds the changes since a revision.

    Either it discarded them or it was restored from an older copy.
    """


class ResponseTooLargeError(FeedError):
    """The source would return more than a read of all records.

    It returns each change since a revision, also those that later ones have
    replaced.
    """


class MalformedAnswerError(FeedError):
    """A response of the source or a message of a peer cannot be decoded."""
