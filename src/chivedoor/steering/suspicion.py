"""Endpoints that do not answer handshakes, learned from callers' packets."""

from collections.abc import Iterable

from chivedoor import ids
from chivedoor.steering import const


class Suspicions:
    """Suspects an endpoint when a caller repeats its opening packet.

    A suspicion ends by itself or with the first flow that opens. Two silent
    endpoints of a failure domain with no flow opened there in between cast
    doubt on the whole domain, so that a domain without power or path is left
    after two repetitions and not after one for each of its endpoints.
    Suspicions only lower a rank: when all are suspected, all are used.
    """

    def __init__(self) -> None:
        self._until: dict[ids.EndpointId, float] = {}
        self._reported_until: dict[ids.EndpointId, float] = {}
        # Silent endpoints by domain, since the last flow that opened there.
        self._silent: dict[ids.DomainId, dict[ids.EndpointId, float]] = {}

    def note_unanswered(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId, now: float
    ) -> bool:
        """Notes that an endpoint left an opening packet unanswered.

        Returns:
            Whether the suspicion is new.
        """
        new = not self.is_suspect(endpoint_id, now)
        until = now + const.SUSPICION_S
        self._until[endpoint_id] = until
        self._silent.setdefault(domain, {})[endpoint_id] = until
        return new

    def note_opened(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId
    ) -> bool:
        """Notes that a flow opened; returns whether a suspicion ended."""
        self._silent.pop(domain, None)
        self._reported_until.pop(endpoint_id, None)
        return self._until.pop(endpoint_id, None) is not None

    def note_reported(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> None:
        """Notes endpoints that another balancer suspects."""
        until = now + const.REPORTED_SUSPICION_S
        self._reported_until |= dict.fromkeys(endpoint_ids, until)

    def is_suspect(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint is under suspicion."""
        return self._until.get(endpoint_id, now) > now

    def is_doubted(self, domain: ids.DomainId, now: float) -> bool:
        """Returns whether a whole failure domain seems out of reach."""
        silent = self._silent.get(domain)
        if silent is None:
            return False
        count = sum(until > now for until in silent.values())
        return count >= const.DOUBTED_DOMAIN_ENDPOINTS

    def get_penalty(
        self, endpoint_id: ids.EndpointId, domain: ids.DomainId, now: float
    ) -> float:
        """Returns what suspicions add to an endpoint's rank."""
        if self._until.get(endpoint_id, now) > now:
            return const.SUSPICION_PENALTY
        if self._silent and self.is_doubted(domain, now):
            return const.DOUBTED_DOMAIN_PENALTY
        if self._reported_until.get(endpoint_id, now) > now:
            return const.REPORTED_PENALTY
        return 0.0

    def list_suspects(self, now: float) -> list[ids.EndpointId]:
        """Returns the endpoints that this balancer itself suspects."""
        return [
            endpoint_id
            for endpoint_id, until in self._until.items()
            if until > now
        ]

    def expire(self, now: float) -> None:
        """Drops suspicions that have ended."""
        self._until = _keep_running(self._until, now)
        self._reported_until = _keep_running(self._reported_until, now)
        self._silent = {
            domain: running
            for domain, silent in self._silent.items()
            if (running := _keep_running(silent, now))
        }


def _keep_running(
    ends: dict[ids.EndpointId, float], now: float
) -> dict[ids.EndpointId, float]:
    return {
        endpoint_id: until for endpoint_id, until in ends.items() if until > now
    }
