"""Requests and replies of the channel between balancers."""

import dataclasses

from chivedoor.rpc import codec
from chivedoor.rpc import exceptions

REGISTRY = codec.MessageRegistry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest:
    """Requests the current document.

    Attributes:
        known_version: The version that the sender has; 0 if it has none.
    """

    known_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReply:
    """Answers a `DocumentRequest`.

    Attributes:
        version: The current version at the answering balancer; 0 for none.
        change: The difference from the known version, or None if the versions
            are equal or too far apart.
        document: The complete document if there is no difference to send.
        confirmed_age_s: Seconds since the platform last confirmed the
            version; infinite if it never did.
    """

    version: int
    change: bytes | None
    document: bytes | None
    confirmed_age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlowsRequest:
    """Requests one page of the flow records of a target.

    Attributes:
        endpoint: The number of the endpoint that holds the flows.
        base: The number of the endpoint whose overrides are requested, or
            None for all records of `endpoint`.
        cursor: The position after the previous page, or None for the first.
        generation: The generation of the requesting balancer.
        member: The id of the requesting balancer.
        incarnation: The incarnation of the requesting balancer.
    """

    endpoint: int
    base: int | None
    cursor: int | None
    generation: int
    member: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlowsReply:
    """One page of flow records; the three lists have equal lengths.

    Attributes:
        endpoint: The number from the request.
        base: The number from the request.
        known: Whether the answering balancer has a complete set of records
            for the endpoint in this generation; if not, the lists are empty.
        keys: Flow keys.
        targets: The endpoint number of each flow's target.
        kinds: The port kind of each flow, as its position in `PortKind`.
        cursor: The position of the next page, or None after the last one.
    """

    endpoint: int
    base: int | None
    known: bool
    keys: list[int]
    targets: list[int]
    kinds: list[int]
    cursor: int | None

    def __post_init__(self) -> None:
        if not len(self.keys) == len(self.targets) == len(self.kinds):
            raise exceptions.MessageError(
                fault=exceptions.MessageFault.WRONG_TYPE,
                detail="FlowsReply: the lists have different lengths",
            )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SilenceRequest:
    """Asks whether a packet from the target of a flow was seen recently.

    Attributes:
        flow: The flow key.
        since_s: The maximum age of the packet in seconds; 0 only starts to
            observe the flow.
    """

    flow: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SilenceReply:
    """Answers a `SilenceRequest`.

    Attributes:
        answer_seen: Whether a packet was seen, or may have been missed because
            the flow was not observed for the whole time.
    """

    answer_seen: bool


REGISTRY.register_request(DocumentRequest, DocumentReply)
REGISTRY.register_request(FlowsRequest, FlowsReply)
REGISTRY.register_request(SilenceRequest, SilenceReply)
