"""Limits of the open flows of one target."""

import enum
import math

from chivedoor.admission import exceptions
from chivedoor.configuration import document

_PortKind = document.PortKind


class Decision(enum.Enum):
    """Whether a target admits a new flow, or why it is rejected."""

    ADMIT = "admit"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    CONNECTIONS_FULL = "connections_full"
    SLOTS_FULL = "slots_full"
    COLD = "cold"


def uses_slot(kind: document.PortKind) -> bool:
    """Returns whether open flows of this kind occupy a slot."""
    return kind is not _PortKind.STREAM


def apply_share(limit: int, share: float) -> int:
    """Returns the number of flows that a share of a limit allows.

    The result is rounded down, so that shares with a sum of at most 1 never
    exceed the limit in total.

    Args:
        limit: The total limit, in flows or flows per second.
        share: Fraction of the limit, from 0 to 1.

    Raises:
        exceptions.ShareError: The share is not between 0 and 1.
    """
    if not 0 <= share <= 1:
        raise exceptions.ShareError(f"share {share} is not between 0 and 1")
    return math.floor(limit * share)


class TargetLimits:
    """Counts the open flows of one target and enforces their limits."""

    def __init__(self, *, connections: int, slots: int) -> None:
        """Initializes the counters with no open flows.

        Args:
            connections: Maximum number of open flows.
            slots: Maximum number of open request and upload flows.
        """
        self._connection_limit = connections
        self._slot_limit = slots
        self._connections = 0
        self._slots = 0

    @property
    def connections(self) -> int:
        """Number of open flows of all kinds."""
        return self._connections

    @property
    def slots(self) -> int:
        """Number of open request and upload flows."""
        return self._slots

    def set_limits(self, *, connections: int, slots: int) -> None:
        """Replaces the limits without changing the number of open flows."""
        self._connection_limit = connections
        self._slot_limit = slots

    def decide(
        self,
        *,
        kind: document.PortKind,
        share: float,
        cold_slot_limit: int | None = None,
    ) -> Decision:
        """Returns whether the limits allow one more flow.

        Args:
            kind: Kind of the flow's port.
            share: Fraction of the limits that this owner may use, 0 to 1.
            cold_slot_limit: Reduced slot limit while the target is cold, or
                None when it is warm.

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
            exceptions.LimitError: The flow exceeds the total limit.
        """
        if self.decide(kind=kind, share=1) is not Decision.ADMIT:
            raise exceptions.LimitError(
                f"a new {kind.value} flow exceeds the limits of the target"
            )
        self.add_existing_flow(kind)

    def add_existing_flow(self, kind: document.PortKind) -> None:
        """Counts a flow that is already open, even beyond the limits."""
        self._connections += 1
        self._slots += uses_slot(kind)

    def release(self, kind: document.PortKind) -> None:
        """Stops counting a flow that has ended.

        Raises:
            exceptions.ReleaseError: No flow of this kind is open.
        """
        slots = self._slots - uses_slot(kind)
        connections = self._connections - 1
        # Every flow that occupies a slot is also counted as a connection.
        if slots < 0 or connections < slots:
            raise exceptions.ReleaseError(f"no {kind.value} flow is open")
        self._connections = connections
        self._slots = slots

    def dump_state(self) -> dict:
        """Returns the counters and limits as plain values."""
        return {
            "connections": self._connections,
            "connection_limit": self._connection_limit,
            "slots": self._slots,
            "slot_limit": self._slot_limit,
        }
