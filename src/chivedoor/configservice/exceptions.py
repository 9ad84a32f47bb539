"""Errors of the platform's client."""

from chivedoor import exceptions


class PlatformError(exceptions.ChivedoorError):
    """A call to the platform's service failed."""


class ClosedClientError(PlatformError):
    """The client is not open."""

    def __init__(self) -> None:
        super().__init__("platform client is not open")


class PlatformUnreachableError(PlatformError):
    """The connection failed or was closed early."""


class PlatformTimeoutError(PlatformError):
    """The service did not answer in time.

    Attributes:
        timeout_s: Time that the call was given, in seconds.
    """

    def __init__(self, *, path: str, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        super().__init__(f"no answer to {path} within {timeout_s} s")


class PlatformStatusError(PlatformError):
    """The service answered with an unexpected status.

    Attributes:
        status: HTTP status.
    """

    def __init__(self, *, path: str, status: int) -> None:
        self.status = status
        super().__init__(f"status {status} for {path}")


class PlatformProtocolError(PlatformError):
    """An answer does not follow the service's protocol."""
