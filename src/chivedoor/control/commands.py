"""Commands of operators and their replies."""

import dataclasses
from typing import Any

from chivedoor.rpc import codec

REGISTRY = codec.MessageRegistry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusCommand:
    """Asks for the figures of one balancer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """The figures of one balancer.

    Attributes:
        id: The id of the VM.
        domain: Its failure domain.
        state: The name of its member state.
        document_version: The version in force; 0 when there is none.
        confirmed_age_s: Seconds since the platform last confirmed the
            version; infinite when it never did.
        flows: Flow records held as owner.
        targets_owned: Targets whose owner it is.
        out_domains: Failure domains that are out here, sorted.
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
    """Asks for the whole state of one balancer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DumpReply:
    """The state of one balancer as plain values.

    A value that is not plain (a string, number, boolean, byte string, list
    or map with string keys) is refused when the reply is encoded.
    """

    state: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainOutCommand:
    """Takes a failure domain out: no packets go to its targets."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainInCommand:
    """Brings a failure domain back; its targets are cold."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainReply:
    """The state of a failure domain at the balancer that took the command.

    Attributes:
        domain: The failure domain.
        out: Whether it is out at this balancer now.
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
    """Asks for the members that one balancer knows."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerRecord:
    """One member as another balancer sees it.

    Attributes:
        id: The id of the VM.
        domain: Its failure domain.
        state: The name of its member state.
        address: Its address.
        operator_port: The TCP port of its operators' interface; 0 when it is
            not known yet.
    """

    id: str
    domain: str
    state: str
    address: str
    operator_port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeersReply:
    """The members that one balancer knows, itself included."""

    peers: list[PeerRecord]


REGISTRY.register_request(StatusCommand, StatusReply)
REGISTRY.register_request(DumpCommand, DumpReply)
REGISTRY.register_request(DomainOutCommand, DomainOutReply)
REGISTRY.register_request(DomainInCommand, DomainInReply)
REGISTRY.register_request(PeersCommand, PeersReply)
