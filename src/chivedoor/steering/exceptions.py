"""Errors of the package."""

from chivedoor import exceptions


class SteeringError(exceptions.ChivedoorError):
    """Base of the errors of this package."""


class MalformedSegmentError(SteeringError):
    """A datagram is no packet of a flow.

    Attributes:
        reason: The name of the counter for this kind of datagram.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
