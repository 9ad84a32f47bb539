"""Checks whether the host of a silent endpoint answers.

Packets from endpoints bypass the balancers. An endpoint that holds as many
flows as it can leaves handshakes unanswered, and while all its requests are
slow, none of its flows makes progress: to a balancer it looks unreachable. A
connection attempt distinguishes the two. The host of a living endpoint accepts
or rejects it at once, whatever the endpoint is busy with. This module decides
which endpoints are checked and when; the attempts are made elsewhere.
"""

import enum

from chivedoor import ids
from chivedoor.steering import const


class Contact(enum.Enum):
    """Result of a check."""

    # The host accepted or rejected a connection.
    ANSWERED = "answered"
    # No attempt was answered in time.
    SILENT = "silent"
    # No attempt could be made, which tells nothing about the host.
    FAILED = "failed"


class Contacts:
    """Limits the checks of each endpoint and of all endpoints."""

    def __init__(self) -> None:
        self._requested: list[ids.EndpointId] = []
        # Endpoints whose check is requested or under way.
        self._pending: set[ids.EndpointId] = set()
        # Time from which an endpoint may be checked again.
        self._next_at: dict[ids.EndpointId, float] = {}

    def request(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Requests a check unless there was one within the interval."""
        if endpoint_id in self._pending:
            return
        if now < self._next_at.get(endpoint_id, now):
            return
        if len(self._pending) >= const.MAX_CONTACT_CHECKS:
            return
        self._pending.add(endpoint_id)
        self._next_at[endpoint_id] = now + const.CONTACT_CHECK_INTERVAL_S
        self._requested.append(endpoint_id)

    def pop_requested(self) -> list[ids.EndpointId]:
        """Returns each requested check once."""
        requested, self._requested = self._requested, []
        return requested

    def finish(self, endpoint_id: ids.EndpointId) -> None:
        """Records the end of a check."""
        self._pending.discard(endpoint_id)

    def expire(self, now: float) -> None:
        """Removes intervals that have passed."""
        self._next_at = {
            endpoint_id: next_at
            for endpoint_id, next_at in self._next_at.items()
            if next_at > now
        }
