"""Counts of the open flows of one target, and their limits."""

import enum
import math

from chivedoor.admission import exceptions
from chivedoor.configuration import document

_PortKind = document.PortKind


class Decision(enum.Enum):
    """Whether a target takes a new flow, or the first reason why not."""

    ADMIT = "admit"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    CONNECTIONS_FULL = "connections_full"
    SLOTS_FULL = "slots_full"
    COLD = "cold"


def uses_slot(kind: document.PortKind) -> bool:
    """Returns whether a flow of this kind uses a slot while it is open."""
    return kind is not _PortKind.STREAM


def apply_share(limit: int, share: float) -> int:
    """Returns the whole number of flows that a share of a limit allows.

    The result is rounded down, so that shares that add up to at most 1 allow
    at most the limit together.

    Args:
        limit: The whole limit, in flows or flows per second.
        share: Part of the limit, from 0 to 1.

    Raises:
        exceptions.ShareError: The share is not between 0 and 1.
    """
    if not 0 <= share <= 1:
        raise exceptions.ShareError(f"share {share}")
    return math.floor(limit * share)


class TargetLimits:
    """Exact counts of one target's open flows under their limits."""

    def __init__(self, *, connections: int, slots: int) -> None:
        """Starts without open flows.

        Args:
            connections: Most open flows.
            slots: Most open request and upload flows.
        """
        self._connection_limit = connections
        self._slot_limit = slots
        self._connections = 0
        self._slots = 0

    @property
    def connections(self) -> int:
        """Open flows of all kinds."""
        return self._connections

    @property
    def slots(self) -> int:
        """Open request and upload flows."""
        return self._slots

    def set_limits(self, *, connections: int, slots: int) -> None:
        """Replaces the limits; open flows stay counted."""
        self._connection_limit = connections
        self._slot_limit = slots

    def decide(
        self,
        *,
        kind: document.PortKind,
        share: float,
        cold_slot_limit: int | None = None,
    ) -> Decision:
        """Returns whether one more flow is within the limits.

        Args:
            kind: Kind of the flow's port.
            share: The part of the limits that this owner may use, 0 to 1.
            cold_slot_limit: Lower limit of the slots while the target is cold,
                or None.

        Raises:
            exceptions.ShareError: The share is not between 0 and 1.
        """
        if self._connections >= apply_share(self._connection_limit, share):
            return Decision.CONNECTIONS_FULL
        if not uses_slot(kind):
            return Decision.ADMIT
        if self._slots >= apply_share(self._slot_limit, share):
            return Decision.SLOTS_FULL
        if cold_slot_limit is None:
            return Decision.ADMIT
        if self._slots >= apply_share(cold_slot_limit, share):
            return Decision.COLD
        return Decision.ADMIT

    def admit(self, kind: document.PortKind) -> None:
        """Counts a new flow.

        Raises:
            exceptions.LimitError: The flow exceeds the whole limit.
        """
        if self.decide(kind=kind, share=1) is not Decision.ADMIT:
            raise exceptions.LimitError(f"no room for a {kind.value} flow")
        self.add_existing_flow(kind)

    def add_existing_flow(self, kind: document.PortKind) -> None:
        """Counts a flow that exists already, also beyond the limits."""
        self._connections += 1
        self._slots += uses_slot(kind)

    def release(self, kind: document.PortKind) -> None:
        """Stops counting a flow.

        Raises:
            exceptions.ReleaseError: No flow of this kind is counted.
        """
        slots = self._slots - uses_slot(kind)
        connections = self._connections - 1
        # Every flow with a slot is also counted as a connection.
        if slots < 0 or connections < slots:
            raise exceptions.ReleaseError(f"no {kind.value} flow is open")
        self._connections = connections
        self._slots = slots

    def dump_state(self) -> dict:
        """Returns the counts and limits as plain values."""
        return {
            "connections": self._connections,
            "connection_limit": self._connection_limit,
            "slots": self._slots,
            "slot_limit": self._slot_limit,
        }
