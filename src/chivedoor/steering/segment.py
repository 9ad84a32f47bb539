"""Packets of a flow as the decisions see them."""

import enum
from typing import NewType

from chivedoor import ids

# The two ends of a flow, packed: the route's port and address, the caller's
# address and port.
FlowId = NewType("FlowId", bytes)
_ROUTE = slice(0, 6)
CALLER_ADDRESS = slice(6, 10)
# Packed address and port of a route.
RouteKey = NewType("RouteKey", bytes)


def get_route(flow: FlowId) -> RouteKey:
    """Returns the route that a flow's caller called."""
    return RouteKey(flow[_ROUTE])


class SegmentKind(enum.Enum):
    """What a packet of a caller does to its flow."""

    OPEN = "open"
    ESTABLISHED = "established"
    FINISH = "finish"
    ABORT = "abort"


class Segment:
    """One packet from a caller.

    Attributes:
        flow: The flow of the packet.
        route: Address and port that the caller called.
        kind: What the packet does to the flow.
        tag: The tag that the caller echoes, 0 when it has none yet.
        retransmissions: Number of earlier copies of an opening packet.
        sequence: Sequence number of the first byte.
        acknowledged: Sequence number up to which the caller has the reply.
        payload_bytes: Number of bytes carried.
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
