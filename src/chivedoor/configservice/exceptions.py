"""Errors of the platform client."""

from chivedoor import exceptions


class PlatformError(exceptions.ChivedoorError):
    """A call to the platform's service failed."""


class ClosedClientError(PlatformError):
    """The client is not open."""

    def __init__(self) -> None:
        super().__init__("the platform client is not open")


class PlatformUnreachableError(PlatformError):
    """The connection failed or was closed before the response was complete."""


class PlatformTimeoutError(PlatformError):
    """The service did not respond in time.

    Attributes:
        timeout_s: Timeout of the call in seconds.
    """

    def __init__(self, *, path: str, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        super().__init__(f"no response to {path} within {timeout_s} s")


class PlatformStatusError(PlatformError):
    """The service responded with an unexpected status.

    Attributes:
        status: HTTP status.
    """

    def __init__(self, *, path: str, status: int) -> None:
        self.status = status
        super().__init__(f"unexpected status {status} for {path}")


class PlatformProtocolError(PlatformError):
    """A response does not follow the service's protocol."""
