"""Endpoints that are suspected because handshakes were not answered."""

from collections.abc import Iterable

from chivedoor import ids
from chivedoor.steering import const


class Suspicions:
    """Suspects an endpoint when a handshake is not answered.

    A suspicion ends after a fixed time or with the first flow that opens. Two
    endpoints of a failure domain that leave handshakes unanswered, with no flow
    opened in the domain in between, make the whole domain suspect. A domain
    that lost power or connectivity is thus avoided after two retransmissions
    instead of one for each of its endpoints. Suspicions only add a penalty to
    the score: if all endpoints are suspected, all are used.
    """

    def __init__(self) -> None:
        self._suspected_until: dict[ids.EndpointId, float] = {}
        self._reported_until: dict[ids.EndpointId, float] = {}
        # Endpoints by domain that left a handshake unanswered since the last
        # flow opened in the domain.
        self._unanswered: dict[ids.DomainId, dict[ids.EndpointId, float]] = {}

    def record_unanswered(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId, now: float
    ) -> bool:
        """Records that an endpoint left an opening packet unanswered.

        Returns:
            Whether the suspicion is new.
        """
        new = not self.is_suspect(endpoint_id, now)
        until = now + const.SUSPICION_DURATION_S
        self._suspected_until[endpoint_id] = until
        self._unanswered.setdefault(domain, {})[endpoint_id] = until
        return new

    def record_opened(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId
    ) -> bool:
        """Records that a flow opened; returns whether a suspicion ended."""
        self._unanswered.pop(domain, None)
        self._reported_until.pop(endpoint_id, None)
        return self._suspected_until.pop(endpoint_id, None) is not None

    def record_report(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> None:
        """Records the endpoints that another balancer suspects."""
        until = now + const.REPORTED_SUSPICION_LIFETIME_S
        self._reported_until |= dict.fromkeys(endpoint_ids, until)

    def is_suspect(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether this balancer suspects an endpoint."""
        return self._suspected_until.get(endpoint_id, now) > now

    def is_domain_suspect(self, domain: ids.DomainId, now: float) -> bool:
        """Returns whether a whole failure domain is suspected."""
        unanswered = self._unanswered.get(domain)
        if unanswered is None:
            return False
        count = sum(until > now for until in unanswered.values())
        return count >= const.SUSPECT_DOMAIN_MIN_ENDPOINTS

    def get_penalty(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId, now: float
    ) -> float:
        """Returns the penalty that is added to an endpoint's score."""
        if self._suspected_until.get(endpoint_id, now) > now:
            return const.SUSPICION_PENALTY
        if self._unanswered and self.is_domain_suspect(domain, now):
            return const.SUSPECT_DOMAIN_PENALTY
        if self._reported_until.get(endpoint_id, now) > now:
            return const.REPORTED_SUSPICION_PENALTY
        return 0.0

    def list_suspects(self, now: float) -> list[ids.EndpointId]:
        """Returns the endpoints that this balancer suspects."""
        return [
            endpoint_id
            for endpoint_id, until in self._suspected_until.items()
            if until > now
        ]

    def expire(self, now: float) -> None:
        """Removes suspicions that have ended."""
        self._suspected_until = _keep_active(self._suspected_until, now)
        self._reported_until = _keep_active(self._reported_until, now)
        self._unanswered = {
            domain: active
            for domain, unanswered in self._unanswered.items()
            if (active := _keep_active(unanswered, now))
        }


def _keep_active(
    ends: dict[ids.EndpointId, float], now: float
) -> dict[ids.EndpointId, float]:
    return {
        endpoint_id: until for endpoint_id, until in ends.items() if until > now
    }
