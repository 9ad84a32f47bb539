"""Operator commands and their replies."""

import dataclasses
from typing import Any

from chivedoor.rpc import codec

REGISTRY = codec.MessageRegistry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusCommand:
    """Requests the status of one balancer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """The status of one balancer.

    Attributes:
        id: The id of the VM.
        domain: Its failure domain.
        state: The name of its member state.
        document_version: The current document version; 0 if there is none.
        confirmed_age_s: Seconds since the platform last confirmed the
            version; infinite if it never did.
        flows: Number of flow records that the balancer holds as owner.
        targets_owned: Number of targets that the balancer owns.
        out_domains: Failure domains that are out at this balancer, sorted.
        packets: Packets received since the start.
        drops: Packets dropped since the start.
    """

    id: str
    domain: str
    state: str
    document_version: int
    confirmed_age_s: float
    flows: int
    targets_owned: int
    out_domains: list[str]
    packets: int
    drops: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DumpCommand:
    """Requests the complete state of one balancer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DumpReply:
    """The complete state of one balancer as plain values.

    Plain values are strings, numbers, booleans, byte strings, lists and maps
    with string keys. Encoding the reply fails for any other value.
    """

    state: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainOutCommand:
    """Takes a failure domain out, so that its targets receive no packets."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainInCommand:
    """Brings a failure domain back; its targets start cold."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainReply:
    """The state of a failure domain at the balancer that ran the command.

    Attributes:
        domain: The failure domain.
        out: Whether the domain is now out at this balancer.
    """

    domain: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainOutReply(DomainReply):
    """Answers a `DomainOutCommand`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainInReply(DomainReply):
    """Answers a `DomainInCommand`."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeersCommand:
    """Requests the list of members that one balancer knows."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerRecord:
    """A member in the view of the answering balancer.

    Attributes:
        id: The id of the VM.
        domain: Its failure domain.
        state: The name of its member state.
        address: Its address.
        operator_port: The TCP port of its operator interface; 0 if it is not
            known yet.
    """

    id: str
    domain: str
    state: str
    address: str
    operator_port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeersReply:
    """The members that one balancer knows, including itself."""

    peers: list[PeerRecord]


REGISTRY.register_request(StatusCommand, StatusReply)
REGISTRY.register_request(DumpCommand, DumpReply)
REGISTRY.register_request(DomainOutCommand, DomainOutReply)
REGISTRY.register_request(DomainInCommand, DomainInReply)
REGISTRY.register_request(PeersCommand, PeersReply)
