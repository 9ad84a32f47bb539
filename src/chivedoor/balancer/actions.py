"""What a balancer decides to do with a packet."""

import dataclasses
import enum

from chivedoor import ids
from chivedoor.dataplane import encapsulation


class RoutingDrop(enum.Enum):
    """Why a well-formed packet was not passed on."""

    NO_SERVICE = "no_service"
    NO_ENDPOINT = "no_endpoint"
    UNRESOLVED = "unresolved"
    TOO_MANY_HOPS = "too_many_hops"
    STALE_RESET = "stale_reset"
    STALE_ANSWER = "stale_answer"
    DUPLICATE_REQUEST = "duplicate_request"
    DUPLICATE_ANSWER = "duplicate_answer"
    UNCERTAIN = "uncertain"
    TARGET_COLD = "target_cold"
    NOT_ALIVE = "not_alive"
    DOCUMENT_TOO_OLD = "document_too_old"
    RATE_EXCEEDED = "rate_exceeded"
    DOMAIN_OUT = "domain_out"


class Refusal(enum.Enum):
    """Why a new flow was refused before anything was forwarded."""

    NO_TARGET = "no_target"
    TARGETS_FULL = "targets_full"
    TABLE_FULL = "table_full"
    RATE_EXCEEDED = "rate_exceeded"


@dataclasses.dataclass(slots=True)
class Deliver:
    """Hands a packet to the fabric."""

    data: bytes | bytearray


@dataclasses.dataclass(slots=True)
class Forward:
    """Sends a packet to another balancer."""

    member: ids.VmId
    header: encapsulation.Header
    data: bytes | bytearray


@dataclasses.dataclass(slots=True)
class Drop:
    """Discards a packet."""

    reason: enum.Enum


@dataclasses.dataclass(slots=True)
class Refuse:
    """Sends a refusal back to the caller; nothing was forwarded."""

    reason: Refusal
    data: bytes | bytearray


class AbortReason(enum.Enum):
    """Why an established flow was reset."""

    DOMAIN_OUT = "domain_out"
    SILENT = "silent"


@dataclasses.dataclass(slots=True)
class Abort:
    """Resets an established flow that cannot go on, at its caller."""

    reason: AbortReason
    data: bytes | bytearray


Action = Deliver | Forward | Drop | Refuse | Abort
