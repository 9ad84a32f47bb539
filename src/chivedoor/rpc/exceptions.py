"""Errors of requests and replies."""

import enum

from chivedoor import exceptions


class RpcError(exceptions.ChivedoorError):
    """Base class of the errors of requests and replies."""


class MessageFault(enum.Enum):
    """Why a message could not be encoded or decoded."""

    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown-type"
    MISSING_FIELD = "missing-field"
    SURPLUS_FIELD = "surplus-field"
    WRONG_TYPE = "wrong-type"
    OVERSIZE = "oversize"


class MessageError(RpcError):
    """A message is malformed or does not match its declared type."""

    def __init__(self, *, fault: MessageFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


class InvalidKeyError(RpcError):
    """A key has an invalid length, or the number of keys is invalid."""


class AuthenticationFault(enum.Enum):
    """Why a handshake or an authenticated frame was rejected."""

    MALFORMED_HANDSHAKE = "malformed-handshake"
    WRONG_PURPOSE = "wrong-purpose"
    NO_COMMON_KEY = "no-common-key"
    WRONG_PROOF = "wrong-proof"
    WRONG_MEMBER = "wrong-member"
    WRONG_COUNTER = "wrong-counter"
    WRONG_TAG = "wrong-tag"
    TIMEOUT = "timeout"
    REJECTED = "rejected"


class AuthenticationError(RpcError):
    """A handshake or an authenticated frame was rejected."""

    def __init__(self, *, fault: AuthenticationFault) -> None:
        super().__init__(f"authentication failed: {fault.value}")
        self.fault = fault


class ChannelError(RpcError):
    """Base class of the errors of a request to another balancer."""


class PeerUnreachableError(ChannelError):
    """The connection to the peer could not be opened or was lost."""


class LinkClosedError(PeerUnreachableError):
    """The connection closed before the reply arrived."""


class RequestTimeoutError(ChannelError):
    """No reply arrived within the timeout of the caller."""


class LinksExhaustedError(ChannelError):
    """The limit of outgoing connections is reached and none is idle."""


class ChannelStateError(ChannelError):
    """The channel is not open, is already open, or was set up twice."""


class RefusalCode(enum.Enum):
    """Why the remote side refused a request."""

    BAD_REQUEST = "bad-request"
    NO_HANDLER = "no-handler"
    BUSY = "busy"
    FAILED = "failed"
    REJECTED = "rejected"


class RequestRefusedError(ChannelError):
    """The remote side refused a request.

    A handler raises it with `RefusalCode.REJECTED` to reject a request that
    is well formed but cannot be carried out.
    """

    def __init__(self, *, code: RefusalCode, detail: str) -> None:
        super().__init__(f"request refused ({code.value}): {detail}")
        self.code = code
        self.detail = detail
