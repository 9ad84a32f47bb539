"""Requests and replies between balancers."""

import dataclasses

from chivedoor.rpc import codec
from chivedoor.rpc import exceptions

REGISTRY = codec.MessageRegistry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest:
    """Asks for the document in force.

    Attributes:
        known_version: The version that the sender has; 0 when it has none.
    """

    known_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReply:
    """Answers a `DocumentRequest`.

    Attributes:
        version: The version in force at the answering balancer; 0 for none.
        change: The difference from the known version, or None when the
            versions are equal or too far apart.
        document: The whole document when there is no difference to send.
        confirmed_age_s: Seconds since the platform last confirmed the
            version; infinite when it never did.
    """

    version: int
    change: bytes | None
    document: bytes | None
    confirmed_age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FlowsRequest:
    """Asks for one page of the flow records of a target.

    Attributes:
        endpoint: The number of the endpoint that holds the flows.
        base: The number of the endpoint whose overrides are wanted, or None
            for all records of `endpoint`.
        cursor: The position after the last page, or None for the first.
        generation: The generation of the asking balancer.
        member: The id of the asking balancer.
        incarnation: Its incarnation.
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
            for the endpoint in this generation; the lists are empty when
            it does not.
        keys: Flow keys.
        targets: The endpoint number of each flow's target.
        kinds: The port kind and state of each flow, as the `flows` package
            numbers them.
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
                detail="FlowsReply: lists of different lengths",
            )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SilenceRequest:
    """Asks whether a packet from the target of a flow was seen.

    Attributes:
        flow: The flow key.
        since_s: The age in seconds of the oldest packet that counts.
    """

    flow: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SilenceReply:
    """Answers a `SilenceRequest`."""

    answer_seen: bool


REGISTRY.register_request(DocumentRequest, DocumentReply)
REGISTRY.register_request(FlowsRequest, FlowsReply)
REGISTRY.register_request(SilenceRequest, SilenceReply)
