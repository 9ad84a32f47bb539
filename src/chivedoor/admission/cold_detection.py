"""Detection of restarted or cold targets from their traffic."""

import dataclasses
import math

from chivedoor.admission import const


class SlowHandshakeDetector:
    """Detects handshakes that are much slower than a moving baseline."""

    def __init__(self) -> None:
        self._baseline_s: float | None = None
        self._count = 0
        self._slow_count = 0
        self._last_slow_at = -math.inf

    def record_handshake(self, duration_s: float, now: float) -> bool:
        """Records a handshake; returns whether the target seems to be cold.

        Args:
            duration_s: Time from SYN to SYN-ACK in seconds.
            now: Monotonic time in seconds.
        """
        self._count += 1
        if self._baseline_s is None:
            self._baseline_s = duration_s
            return False
        is_slow = self._is_slow(duration_s)
        weight = (
            const.SLOW_BASELINE_WEIGHT if is_slow else const.BASELINE_WEIGHT
        )
        self._baseline_s += weight * (duration_s - self._baseline_s)
        if not is_slow:
            self._slow_count = 0
        elif now - self._last_slow_at >= const.MIN_SLOW_HANDSHAKE_SPACING_S:
            self._slow_count += 1
            self._last_slow_at = now
        if self._slow_count < const.COLD_SLOW_HANDSHAKE_THRESHOLD:
            return False
        self._slow_count = 0
        return True

    def dump_state(self) -> dict:
        """Returns the baseline and the counters as plain values."""
        return {
            "usual_s": self._baseline_s,
            "count": self._count,
            "slow": self._slow_count,
        }

    def _is_slow(self, duration_s: float) -> bool:
        if self._count <= const.MIN_BASELINE_HANDSHAKES:
            return False
        if duration_s < const.MIN_SLOW_HANDSHAKE_S:
            return False
        return duration_s > self._baseline_s * const.SLOW_HANDSHAKE_FACTOR


@dataclasses.dataclass(slots=True, kw_only=True)
class _WindowCounts:
    """Numbers of flows that were closed and reset within one window."""

    closed: int = 0
    resets: int = 0


class ResetDetector:
    """Detects targets that reset a large share of their flows."""

    def __init__(self) -> None:
        self._window_ends_at = 0.0
        self._current = _WindowCounts()
        # The previous window is included, because otherwise a single reset at
        # the start of a window would be a large share.
        self._previous = _WindowCounts()

    def record_close(self, now: float) -> None:
        """Records the end of a flow, regardless of the reason."""
        self._roll_window(now)
        self._current.closed += 1

    def record_reset(self, open_flows: int, now: float) -> bool:
        """Records the reset of a flow; returns whether a restart is likely.

        Args:
            open_flows: Number of currently open flows of the target.
            now: Monotonic time in seconds.
        """
        self._roll_window(now)
        self._current.resets += 1
        resets = self._previous.resets + self._current.resets
        closed = self._previous.closed + self._current.closed
        return resets >= (open_flows + closed) * const.COLD_RESET_SHARE

    def dump_state(self) -> dict:
        """Returns the counters of both windows as plain values."""
        return {
            "current": dataclasses.asdict(self._current),
            "previous": dataclasses.asdict(self._previous),
        }

    def _roll_window(self, now: float) -> None:
        overdue_s = now - self._window_ends_at
        if overdue_s < 0:
            return
        is_adjacent = overdue_s < const.RESET_WINDOW_S
        self._previous = self._current if is_adjacent else _WindowCounts()
        self._current = _WindowCounts()
        self._window_ends_at = now + const.RESET_WINDOW_S
