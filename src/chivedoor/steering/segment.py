"""Decoded packets of callers, independent of the wire format."""

import enum
from typing import NewType

from chivedoor import ids

# Packed route port, route address, caller address and caller port of a flow.
FlowId = NewType("FlowId", bytes)
_ROUTE = slice(0, 6)
CALLER_ADDRESS = slice(6, 10)
# Packed port and address of a route.
RouteKey = NewType("RouteKey", bytes)


def get_route(flow: FlowId) -> RouteKey:
    """Returns the key of the route of a flow."""
    return RouteKey(flow[_ROUTE])


class SegmentKind(enum.Enum):
    """Effect of a packet on its flow."""

    OPEN = "open"
    ESTABLISHED = "established"
    FINISH = "finish"
    ABORT = "abort"


class Segment:
    """A packet from a caller.

    Attributes:
        flow: The flow of the packet.
        route: Port and address that the caller connects to.
        kind: Effect of the packet on its flow.
        tag: The tag that the caller echoes, 0 if it has none yet.
        retransmissions: Number of earlier copies of an opening packet.
        sequence: Sequence number of the first payload byte.
        acknowledged: Acknowledgement number of the caller.
        payload_bytes: Payload size in bytes.
    """

    __slots__ = (
        "acknowledged",
        "flow",
        "kind",
        "payload_bytes",
        "retransmissions",
        "route",
        "sequence",
        "tag",
    )

    def __init__(
        self,
        *,
        flow: FlowId,
        route: RouteKey,
        kind: SegmentKind,
        tag: ids.Tag,
        retransmissions: int,
        sequence: int,
        acknowledged: int,
        payload_bytes: int,
    ) -> None:
        """Creates a segment from decoded fields."""
        self.flow = flow
        self.route = route
        self.kind = kind
        self.tag = tag
        self.retransmissions = retransmissions
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.payload_bytes = payload_bytes
