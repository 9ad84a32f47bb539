"""Endpoints that have probably restarted, before their entries show it.

An endpoint that restarts under its id is cold, but its entry still calls it
warm until the new one is known, which takes a fraction of a second with a
whole store and much longer without one. If it is the only endpoint that
answers, all balancers would open flows to it at full rate. While its process
was down, its host refused handshakes, so a refused handshake shows the restart
in advance: from then on the endpoint counts as cold, until a new entry is
known, a flow from before the refusal makes progress, or an entry that was
confirmed since then is unchanged.
"""

import dataclasses

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import view as views


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """A handshake that an endpoint's host refused.

    Attributes:
        incarnation: Incarnation of the endpoint in the view at that time.
        at: Time of the opening packet, in seconds.
    """

    incarnation: int
    at: float


class Restarts:
    """Refused handshakes by endpoint, as seen by all balancers."""

    def __init__(self) -> None:
        self._refusals: dict[ids.EndpointId, Refusal] = {}
        # Endpoints whose refusal this balancer has seen itself.
        self._local: set[ids.EndpointId] = set()

    def record_refused(
        self, endpoint: views.Endpoint, at: float, *, local: bool = True
    ) -> None:
        """Records a refused handshake.

        Args:
            endpoint: The endpoint, as it is listed.
            at: Time of the opening packet, in seconds.
            local: Whether this balancer has sent the packet.
        """
        known = self._refusals.get(endpoint.id)
        if known is not None and known.at > at:
            return
        self._refusals[endpoint.id] = Refusal(
            incarnation=endpoint.incarnation, at=at
        )
        if local:
            self._local.add(endpoint.id)

    def record_progress(
        self, endpoint_id: ids.EndpointId, opened_at: float
    ) -> None:
        """Records progress of a flow that was opened at `opened_at`.

        A flow from before the refusal shows that the process still runs.
        """
        refusal = self._refusals.get(endpoint_id)
        if refusal is not None and opened_at < refusal.at:
            self._remove(endpoint_id)

    def may_have_restarted(self, endpoint: views.Endpoint) -> bool:
        """Returns whether an endpoint is to be treated as cold."""
        refusal = self._refusals.get(endpoint.id)
        return (
            refusal is not None and refusal.incarnation == endpoint.incarnation
        )

    def list_report(self, now: float) -> dict[ids.EndpointId, Refusal]:
        """Returns the recent refusals that this balancer has seen itself."""
        oldest = now - const.REFUSAL_REPORT_AGE_S
        return {
            endpoint_id: refusal
            for endpoint_id in self._local
            if (refusal := self._refusals[endpoint_id]).at >= oldest
        }

    def expire(self, now: float, *, view_complete: bool) -> None:
        """Removes refusals that no entry has confirmed in time.

        Args:
            now: The current time, in seconds.
            view_complete: Whether the view is known to be current. Otherwise
                the entry may be outdated, and the refusals stay.
        """
        if not view_complete:
            return
        oldest = now - const.REFUSAL_LIFETIME_S
        for endpoint_id, refusal in tuple(self._refusals.items()):
            if refusal.at < oldest:
                self._remove(endpoint_id)

    def _remove(self, endpoint_id: ids.EndpointId) -> None:
        self._refusals.pop(endpoint_id, None)
        self._local.discard(endpoint_id)
