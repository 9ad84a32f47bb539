"""Possible decisions on a packet."""

import dataclasses
import enum

from chivedoor import ids
from chivedoor.steering import view as views


class DropReason(enum.Enum):
    """Reason for dropping a packet without an answer."""

    NO_VIEW = "no-view"
    STALE_VIEW = "stale-view"
    PAUSED = "paused"
    # A copy of an opening packet whose flow may be open already.
    REPEATED_OPENING = "repeated-opening"
    UNKNOWN_TAG = "unknown-tag"
    NO_TAG = "no-tag"
    UNANSWERED_RESET = "unanswered-reset"


class RefusalReason(enum.Enum):
    """Reason for answering a packet with a reset."""

    NO_ROUTE = "no-route"
    NO_ENDPOINT = "no-endpoint"
    OVERLOADED = "overloaded"
    # All endpoints of the service hold as many flows as they can.
    FULL = "full"
    ENDPOINT_REMOVED = "endpoint-removed"
    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    ROUTE_REMOVED = "route-removed"
    UNKNOWN_ENDPOINT = "unknown-endpoint"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RefusalContext:
    """State at the time of a refusal of a new flow.

    Attributes:
        route: Name of the route.
        priority: Priority of the route; 0 is the most important.
        short: Whether the service is short of capacity at this balancer.
        above_share: Whether the caller asks for more than the others. Only
            evaluated while a service is short.
    """

    route: str
    priority: int
    short: bool
    above_share: bool


class Deliver:
    """Forward the packet to an endpoint.

    Attributes:
        endpoint: The destination.
        tag: The tag to write into the packet; None keeps the present one.
    """

    __slots__ = ("endpoint", "tag")

    def __init__(
        self, *, endpoint: views.Endpoint, tag: ids.Tag | None
    ) -> None:
        """Creates a verdict."""
        self.endpoint = endpoint
        self.tag = tag


class Refuse:
    """Answer with a reset; if the flow was not open, no request was executed.

    Attributes:
        reason: Why the flow is refused.
        service: Service that was chosen for a new flow; None if none was.
        expected_s: Expected delay of the request if that is the reason, in
            seconds.
        goal_s: Time within which it was to be answered, in seconds.
        context: What else is known of a new flow; None for an open one.
    """

    __slots__ = ("context", "expected_s", "goal_s", "reason", "service")

    def __init__(
        self,
        *,
        reason: RefusalReason,
        service: ids.ServiceId | None = None,
        expected_s: float | None = None,
        goal_s: float | None = None,
    ) -> None:
        """Creates a verdict."""
        self.reason = reason
        self.service = service
        self.expected_s = expected_s
        self.goal_s = goal_s
        self.context: RefusalContext | None = None


class Drop:
    """Send nothing; the caller retransmits the packet.

    Attributes:
        reason: Why the packet is dropped.
    """

    __slots__ = ("reason",)

    def __init__(self, *, reason: DropReason) -> None:
        """Creates a verdict."""
        self.reason = reason


Verdict = Deliver | Refuse | Drop
