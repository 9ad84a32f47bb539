"""Judges whether an endpoint that the view lacks is gone or not yet known.

A view that counts as current may lag the store by up to two seconds. A flow
can be opened by another balancer on an endpoint that was added meanwhile and
then reach this one, because the routers moved it. The view tells that its
endpoint is gone only once it was confirmed after the first packet of the flow
arrived here.
"""

import math

from chivedoor.steering import const
from chivedoor.steering import segment as segments


class Absences:
    """Flows whose endpoint is missing from the view."""

    def __init__(self) -> None:
        """Creates an empty table for a view that was never confirmed."""
        self._confirmed_at = -math.inf
        # Arrival of the first packet of each flow, oldest first.
        self._first_packet_at: dict[segments.FlowId, float] = {}

    def set_confirmed_at(self, confirmed_at: float) -> None:
        """Sets the time at which the view was last known to be current."""
        self._confirmed_at = confirmed_at

    def is_confirmed(self, flow_id: segments.FlowId, now: float) -> bool:
        """Returns whether the view was confirmed since the flow's first packet.

        Args:
            flow_id: A flow whose endpoint the view lacks.
            now: The time at which its current packet arrived, in seconds.
        """
        if self._confirmed_at >= now:
            return True
        first_packet_at = self._first_packet_at.get(flow_id)
        if first_packet_at is None:
            if len(self._first_packet_at) < const.MAX_ABSENCES:
                self._first_packet_at[flow_id] = now
            return False
        return self._confirmed_at >= first_packet_at

    def expire(self, now: float) -> None:
        """Forgets flows whose first packet arrived long ago."""
        oldest = now - const.ABSENCE_LIFETIME_S
        self._first_packet_at = {
            flow_id: at
            for flow_id, at in self._first_packet_at.items()
            if at >= oldest
        }
