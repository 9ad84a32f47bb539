"""Detection of pauses of this process.

A VM that was frozen wakes with packets that waited and with the view from
before. Opening packets are not placed until the view is confirmed again: the
endpoints may have changed, and all balancers that wake together would place
their packets at once. Callers retransmit an opening packet after 200 and 600
ms, so that a short wait costs nobody the flow.
"""

from chivedoor.steering import const


class Pauses:
    """Time at which this process last woke from a pause."""

    def __init__(self) -> None:
        self._last_active_at: float | None = None
        self._woke_at: float | None = None

    def observe(self, now: float) -> float | None:
        """Records that the process is running.

        Called at the start of each batch of packets and on each tick.

        Returns:
            The duration of the pause if one has just ended, in seconds.
        """
        before, self._last_active_at = self._last_active_at, now
        if before is None or now - before <= const.PAUSE_THRESHOLD_S:
            return None
        self._woke_at = now
        return now - before

    def record_confirmed(self, confirmed_at: float) -> None:
        """Records that the view was current at a time, in seconds."""
        if self._woke_at is not None and confirmed_at >= self._woke_at:
            self._woke_at = None

    def is_view_outdated(self, now: float) -> bool:
        """Returns whether the view may be the one from before a pause."""
        return (
            self._woke_at is not None
            and now - self._woke_at < const.WAKE_CONFIRMATION_S
        )
