"""Interface through which steering reports events for logs and metrics."""

import dataclasses
from typing import Protocol

from chivedoor import ids
from chivedoor.steering import contacts
from chivedoor.steering import segment as segments
from chivedoor.steering import spillover


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ServiceLoad:
    """Load of a service that is short of capacity.

    Attributes:
        in_flight: Requests in flight at the endpoints that this balancer may
            use, as far as it knows.
        limit: Requests that these endpoints may hold for the balancers of this
            domain.
        share: Part of the limit that this balancer may use without asking how
            many requests are in flight.
    """

    in_flight: int
    limit: float
    share: int


class Observer(Protocol):
    """Receives durations and changes of endpoint state; must not block."""

    def on_handshake(self, duration_s: float) -> None:
        """Called with the duration of a completed handshake, in seconds."""

    def on_reply(self, duration_s: float) -> None:
        """Called with the time from a request to its reply, in seconds."""

    def on_suspected(
        self, endpoint_id: ids.EndpointId, domain_suspect: bool
    ) -> None:
        """Called when an endpoint is suspected after an unanswered packet."""

    def on_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Called when a flow opened on an endpoint that was suspected."""

    def on_unreachable(
        self, endpoint_id: ids.EndpointId, counts: dict[str, int]
    ) -> None:
        """Called when an endpoint becomes unreachable.

        Args:
            endpoint_id: The endpoint.
            counts: Flows with retransmissions by the value of their kind.
        """

    def on_contact_checked(
        self, endpoint_id: ids.EndpointId, result: contacts.Contact
    ) -> None:
        """Called with the result of a check of a silent endpoint."""

    def on_spillover(
        self, service: ids.ServiceId, decision: spillover.Decision
    ) -> None:
        """Called when the share of flows that leave the domain changes."""

    def on_shortage_begun(
        self, service: ids.ServiceId, load: ServiceLoad
    ) -> None:
        """Called when a service becomes short of capacity."""

    def on_shortage_ended(
        self, service: ids.ServiceId, load: ServiceLoad
    ) -> None:
        """Called up to 1 s after a service is no longer short of capacity.

        Args:
            service: The service.
            load: The load when it was last short.
        """

    def on_tag_changed(
        self,
        flow_id: segments.FlowId,
        former: ids.EndpointId,
        current: ids.EndpointId,
    ) -> None:
        """Called when an open flow carries the tag of another endpoint.

        Args:
            flow_id: The flow.
            former: The endpoint of its packets so far.
            current: The endpoint of its new tag.
        """


class NullObserver:
    """Ignores all events."""

    def on_handshake(self, duration_s: float) -> None:
        """Does nothing."""

    def on_reply(self, duration_s: float) -> None:
        """Does nothing."""

    def on_suspected(
        self, endpoint_id: ids.EndpointId, domain_suspect: bool
    ) -> None:
        """Does nothing."""

    def on_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Does nothing."""

    def on_unreachable(
        self, endpoint_id: ids.EndpointId, counts: dict[str, int]
    ) -> None:
        """Does nothing."""

    def on_contact_checked(
        self, endpoint_id: ids.EndpointId, result: contacts.Contact
    ) -> None:
        """Does nothing."""

    def on_spillover(
        self, service: ids.ServiceId, decision: spillover.Decision
    ) -> None:
        """Does nothing."""

    def on_shortage_begun(
        self, service: ids.ServiceId, load: ServiceLoad
    ) -> None:
        """Does nothing."""

    def on_shortage_ended(
        self, service: ids.ServiceId, load: ServiceLoad
    ) -> None:
        """Does nothing."""

    def on_tag_changed(
        self,
        flow_id: segments.FlowId,
        former: ids.EndpointId,
        current: ids.EndpointId,
    ) -> None:
        """Does nothing."""
