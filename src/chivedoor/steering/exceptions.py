"""Exceptions of the steering package."""

from chivedoor import exceptions


class SteeringError(exceptions.ChivedoorError):
    """Base class of the exceptions of this package."""


class MalformedSegmentError(SteeringError):
    """A datagram cannot be parsed as a packet of a flow.

    Attributes:
        reason: Label under which the datagram is counted.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class UnknownRouteError(SteeringError):
    """The view has no route of a name or address."""


class MalformedCallerError(SteeringError):
    """A text is not the address of a caller."""
