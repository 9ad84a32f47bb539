"""Errors of the data plane and their reasons."""

import enum

from chivedoor import exceptions


class DropReason(enum.Enum):
    """Why a packet is dropped; the values are metric labels."""

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
    """Base class of the errors of the data plane."""


class PacketError(DataplaneError):
    """A packet is malformed, invalid or not supported.

    Attributes:
        reason: Why the packet is dropped.
    """

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RewriteError(DataplaneError):
    """A packet cannot be rewritten to the given address or port."""


class RefusalError(DataplaneError):
    """The packet must not be answered with this kind of refusal."""


class EncapsulationError(DataplaneError):
    """A packet between balancers cannot be sealed or opened.

    Attributes:
        fault: Why the packet cannot be sealed or opened.
    """

    def __init__(self, fault: SealFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class KeyLengthError(DataplaneError):
    """A key shared by the balancers is too short or too long."""


class PortError(DataplaneError):
    """A packet port cannot be opened, or is in the wrong state."""
