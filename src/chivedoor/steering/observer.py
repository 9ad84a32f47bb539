"""What the decisions tell about themselves, for logs and metrics."""

from typing import Protocol

from chivedoor import ids


class Observer(Protocol):
    """Is told of durations and of changed beliefs; must not block."""

    def note_handshake(self, duration_s: float) -> None:
        """A caller answered a handshake after this time, in seconds."""

    def note_reply(self, duration_s: float) -> None:
        """A caller had the reply to a request after this time, in seconds."""

    def note_suspected(
        self, endpoint_id: ids.EndpointId, domain_doubted: bool
    ) -> None:
        """An endpoint left a packet unanswered and is under suspicion."""

    def note_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """A flow opened on an endpoint that was under suspicion."""

    def note_unreachable(
        self, endpoint_id: ids.EndpointId, evidence: dict[str, int]
    ) -> None:
        """An endpoint counts as unreachable, by these counts of flows."""


class SilentObserver:
    """Tells nobody."""

    def note_handshake(self, duration_s: float) -> None:
        """Does nothing."""

    def note_reply(self, duration_s: float) -> None:
        """Does nothing."""

    def note_suspected(
        self, endpoint_id: ids.EndpointId, domain_doubted: bool
    ) -> None:
        """Does nothing."""

    def note_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """Does nothing."""

    def note_unreachable(
        self, endpoint_id: ids.EndpointId, evidence: dict[str, int]
    ) -> None:
        """Does nothing."""
