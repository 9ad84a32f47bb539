"""Filter for resets from targets that may not have the flow."""

from chivedoor import ids
from chivedoor.flows import const


class ResetFilter:
    """Confirms a reset of an unrecorded flow only when it is repeated.

    A balancer with an outdated document or view may send a packet to a target
    that does not have the flow, and the target answers with a reset. By the
    time the caller retransmits, all balancers agree on the right target. A
    flow that no target has is reset again each time.
    """

    def __init__(self, *, capacity: int = const.MAX_UNCONFIRMED_RESETS) -> None:
        self._capacity = capacity
        self._first_seen_s: dict[ids.FlowKey, float] = {}

    def confirm(self, key: ids.FlowKey, now: float) -> bool:
        """Records a reset; returns whether it is a repeated one."""
        first_seen_s = self._first_seen_s.get(key)
        if first_seen_s is None:
            if len(self._first_seen_s) < self._capacity:
                self._first_seen_s[key] = now
            return False
        if now - first_seen_s < const.RESET_CONFIRMATION_DELAY_S:
            return False
        del self._first_seen_s[key]
        return True

    def expire(self, now: float) -> None:
        """Removes resets that were not repeated in time."""
        # Entries are ordered by time, oldest first.
        while self._first_seen_s:
            key = next(iter(self._first_seen_s))
            if now - self._first_seen_s[key] < const.RESET_RETENTION_S:
                return
            del self._first_seen_s[key]
