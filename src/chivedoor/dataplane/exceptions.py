"""Errors of the data plane and the reasons they carry."""

import enum

from chivedoor import exceptions


class DropReason(enum.Enum):
    """Why a packet is dropped; the values are used as metric labels."""

    TRUNCATED = "truncated"
    BAD_VERSION = "bad_version"
    BAD_HEADER_LENGTH = "bad_header_length"
    BAD_LENGTH = "bad_length"
    IP_OPTIONS = "ip_options"
    FRAGMENT = "fragment"
    UNSUPPORTED_PROTOCOL = "unsupported_protocol"
    TTL_EXPIRED = "ttl_expired"
    BAD_SOURCE = "bad_source"
    SAME_ADDRESS = "same_address"
    ZERO_PORT = "zero_port"
    BAD_FLAGS = "bad_flags"
    ZERO_CHECKSUM = "zero_checksum"


class SealFault(enum.Enum):
    """Why a packet between balancers cannot be sealed or opened."""

    TRUNCATED = "truncated"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_KEY = "unknown_key"
    BAD_TAG = "bad_tag"
    TOO_MANY_HOPS = "too_many_hops"
    FIELD_RANGE = "field_range"


class DataplaneError(exceptions.ChivedoorError):
    """Base of all errors of the data plane."""


class PacketError(DataplaneError):
    """A packet is malformed, hostile or not supported.

    Attributes:
        reason: Why the packet is dropped.
    """

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RewriteError(DataplaneError):
    """A packet cannot get an address of another address family."""


class RefusalError(DataplaneError):
    """The packet is one that must not be answered by this refusal."""


class EncapsulationError(DataplaneError):
    """A packet between balancers cannot be sealed or opened.

    Attributes:
        fault: Why the packet cannot be sealed or opened.
    """

    def __init__(self, fault: SealFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class KeyLengthError(DataplaneError):
    """A key between balancers is shorter or longer than allowed."""


class PortError(DataplaneError):
    """A packet port cannot be opened or is in the wrong state."""
