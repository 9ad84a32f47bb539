"""Endpoints that do not answer handshakes, learned from callers' packets."""

from chivedoor import ids
from chivedoor.steering import const


class Suspicions:
    """Suspects an endpoint when a caller repeats its opening packet.

    A suspicion ends by itself or with the first flow that opens. It only
    lowers the endpoint's rank: when all are suspected, all are used.
    """

    def __init__(self) -> None:
        self._until: dict[ids.EndpointId, float] = {}

    def note_unanswered(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Notes that an endpoint left an opening packet unanswered.

        Returns:
            Whether the suspicion is new.
        """
        new = not self.is_suspect(endpoint_id, now)
        self._until[endpoint_id] = now + const.SUSPICION_S
        return new

    def note_opened(self, endpoint_id: ids.EndpointId) -> bool:
        """Notes that a flow opened; returns whether a suspicion ended."""
        return self._until.pop(endpoint_id, None) is not None

    def is_suspect(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint is under suspicion."""
        return self._until.get(endpoint_id, now) > now

    def expire(self, now: float) -> None:
        """Drops suspicions that have ended."""
        self._until = {
            endpoint_id: until
            for endpoint_id, until in self._until.items()
            if until > now
        }
