"""Actions that a balancer returns for a packet."""

import dataclasses
import enum

from chivedoor import ids
from chivedoor.dataplane import encapsulation


class RoutingDrop(enum.Enum):
    """Reason for dropping a well-formed packet."""

    NO_SERVICE = "no_service"
    NO_ENDPOINT = "no_endpoint"
    UNRESOLVED = "unresolved"
    TOO_MANY_HOPS = "too_many_hops"
    STALE_RESET = "stale_reset"
    STALE_ANSWER = "stale_answer"
    DUPLICATE_REQUEST = "duplicate_request"
    DUPLICATE_ANSWER = "duplicate_answer"
    # The packet may repeat a request that is already running, or belong to a
    # flow that another balancer has not reported yet.
    UNCERTAIN = "uncertain"
    TARGET_COLD = "target_cold"
    NOT_ALIVE = "not_alive"
    DOCUMENT_TOO_OLD = "document_too_old"
    RATE_EXCEEDED = "rate_exceeded"
    DOMAIN_OUT = "domain_out"


class Refusal(enum.Enum):
    """Reason for refusing a new flow before any packet was forwarded."""

    NO_TARGET = "no_target"
    TARGETS_FULL = "targets_full"
    TABLE_FULL = "table_full"
    RATE_EXCEEDED = "rate_exceeded"


@dataclasses.dataclass(slots=True)
class Deliver:
    """Sends a packet to the fabric."""

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
    """Sends a refusal to the caller; no packet was forwarded to a target."""

    reason: Refusal
    data: bytes | bytearray


class AbortReason(enum.Enum):
    """Reason for resetting an established flow."""

    DOMAIN_OUT = "domain_out"
    SILENT = "silent"


@dataclasses.dataclass(slots=True)
class Abort:
    """Sends a reset to the caller of an established flow."""

    reason: AbortReason
    data: bytes | bytearray


Action = Deliver | Forward | Drop | Refuse | Abort
