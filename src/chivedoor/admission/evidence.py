"""Signs in the traffic of a target that it has restarted or is cold."""

import dataclasses
import math

from chivedoor.admission import const


class HandshakeEvidence:
    """Detects handshakes that are much slower than usual."""

    def __init__(self) -> None:
        self._usual_s: float | None = None
        self._count = 0
        self._slow = 0
        self._slow_at = -math.inf

    def note_handshake(self, duration_s: float, now: float) -> bool:
        """Notes a handshake; returns whether the target seems to be cold.

        Args:
            duration_s: Time from SYN to SYN-ACK in seconds.
            now: Monotonic time in seconds.
        """
        self._count += 1
        if self._usual_s is None:
            self._usual_s = duration_s
            return False
        slow = self._is_slow(duration_s)
        weight = const.SLOW_BASELINE_WEIGHT if slow else const.BASELINE_WEIGHT
        self._usual_s += weight * (duration_s - self._usual_s)
        if not slow:
            self._slow = 0
        elif now - self._slow_at >= const.SLOW_HANDSHAKE_SPACING_S:
            self._slow += 1
            self._slow_at = now
        if self._slow < const.SLOW_HANDSHAKES_TO_COLD:
            return False
        self._slow = 0
        return True

    def dump_state(self) -> dict:
        """Returns the usual duration and the counts as plain values."""
        return {
            "usual_s": self._usual_s,
            "count": self._count,
            "slow": self._slow,
        }

    def _is_slow(self, duration_s: float) -> bool:
        if self._count <= const.HANDSHAKES_TO_BASELINE:
            return False
        if duration_s < const.SLOW_HANDSHAKE_FLOOR_S:
            return False
        return duration_s > self._usual_s * const.SLOW_HANDSHAKE_FACTOR


@dataclasses.dataclass(slots=True, kw_only=True)
class _WindowCounts:
    """Flows that ended, and those that the target reset, in a window."""

    closed: int = 0
    resets: int = 0


class ResetEvidence:
    """Detects that a target resets a large share of its flows."""

    def __init__(self) -> None:
        self._window_ends_at = 0.0
        self._current = _WindowCounts()
        # Without the counts of the previous window, a single reset at the
        # start of a window would be a large share.
        self._previous = _WindowCounts()

    def note_close(self, now: float) -> None:
        """Notes that a flow ended, for whatever reason."""
        self._roll_window(now)
        self._current.closed += 1

    def note_reset(self, open_flows: int, now: float) -> bool:
        """Notes the reset of a flow; returns whether a restart is likely.

        Args:
            open_flows: Flows of the target that are open now.
            now: Monotonic time in seconds.
        """
        self._roll_window(now)
        self._current.resets += 1
        resets = self._previous.resets + self._current.resets
        closed = self._previous.closed + self._current.closed
        return resets >= (open_flows + closed) * const.RESETS_SHARE_TO_COLD

    def dump_state(self) -> dict:
        """Returns the counts of both windows as plain values."""
        return {
            "current": dataclasses.asdict(self._current),
            "previous": dataclasses.asdict(self._previous),
        }

    def _roll_window(self, now: float) -> None:
        late_s = now - self._window_ends_at
        if late_s < 0:
            return
        recent = late_s < const.RESET_WINDOW_S
        self._previous = self._current if recent else _WindowCounts()
        self._current = _WindowCounts()
        self._window_ends_at = now + const.RESET_WINDOW_S
