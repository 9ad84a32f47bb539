"""What the decisions tell about themselves, for logs and metrics."""

from typing import Protocol

from chivedoor import ids


class Observer(Protocol):
    """Is told of durations and of changed beliefs; must not block."""

    def on_handshake(self, duration_s: float) -> None:
        """A caller answered a handshake after this time, in seconds."""

    def on_reply(self, duration_s: float) -> None:
        """A caller had the reply to a request after this time, in seconds."""

    def on_suspected(
        self, endpoint_id: ids.EndpointId, domain_suspect: bool
    ) -> None:
        """An endpoint left a packet unanswered and is under suspicion."""

    def on_cleared(self, endpoint_id: ids.EndpointId) -> None:
        """A flow opened on an endpoint that was under suspicion."""

    def on_unreachable(
        self, endpoint_id: ids.EndpointId, counts: dict[str, int]
    ) -> None:
        """An endpoint counts as unreachable, by these counts of flows."""


class NullObserver:
    """Tells nobody."""

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
