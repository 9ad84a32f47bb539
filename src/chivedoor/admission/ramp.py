"""Gradual increase of the load of a cold target."""

from chivedoor.admission import const
from chivedoor.admission import limits


class Ramp:
    """Limits the new flows per second and the slots in use of a cold target.

    Both limits equal the level of the ramp. The level starts at the initial
    value and doubles after every step. When it reaches the warm level, the
    target is warm and the ramp ends.

    New flows are limited by a token bucket of rate r and capacity c with
    c + r = level + 1. In a window shorter than one second it admits fewer
    than c + r flows, so the number of flows that start within any second is
    at most the highest level of that second.
    """

    def __init__(
        self,
        *,
        initial: int,
        step_s: float,
        warm_level: int,
        cold: bool,
        now: float,
    ) -> None:
        """Initializes the ramp of a cold or warm target.

        Args:
            initial: First level, at least 1.
            step_s: Time after which the level doubles, in seconds.
            warm_level: Level at which the ramp ends.
            cold: Whether the target starts cold.
            now: Monotonic time in seconds.
        """
        self._initial = initial
        self._step_s = step_s
        self._warm_level = warm_level
        self._started_at: float | None = None
        self._tokens = 0.0
        self._refilled_at = now
        if cold:
            self.restart(now)

    def set_parameters(
        self, *, initial: int, step_s: float, warm_level: int
    ) -> None:
        """Replaces the parameters; a running ramp continues with them."""
        self._initial = initial
        self._step_s = step_s
        self._warm_level = warm_level

    def restart(self, now: float) -> None:
        """Marks the target as cold and resets the ramp to the first level."""
        # The bucket of a running ramp is not refilled, because otherwise each
        # of several restarts in quick succession would allow a burst.
        if not self.is_cold(now):
            self._tokens = _compute_capacity(self._initial)
            self._refilled_at = now
        self._started_at = now

    def repeat_step(self, now: float) -> None:
        """Restarts the current step, which delays the next doubling."""
        if self.is_cold(now):
            self._started_at = now - self._count_steps(now) * self._step_s

    def is_cold(self, now: float) -> bool:
        """Returns whether the ramp limits the target."""
        return self.get_level(now) is not None

    def get_level(self, now: float) -> int | None:
        """Returns the limit of flows per second and slots; None when warm."""
        if self._started_at is None:
            return None
        level = self._initial << self._count_steps(now)
        if level >= self._warm_level:
            self._started_at = None
            return None
        return level

    def can_start(self, *, share: float, now: float) -> bool:
        """Returns whether one more flow may start now.

        Args:
            share: Fraction of the level that this owner may use, 0 to 1.
            now: Monotonic time in seconds.

        Raises:
            exceptions.ShareError: The share is not between 0 and 1.
        """
        level = self.get_level(now)
        if level is None:
            return True
        level = limits.apply_share(level, share)
        self._refill(level, now)
        return level > 0 and self._tokens >= 1

    def start_flow(self, now: float) -> None:
        """Consumes the token of a new flow that `can_start` allowed."""
        if self.is_cold(now):
            self._tokens -= 1

    def dump_state(self) -> dict:
        """Returns the start time and the tokens as plain values."""
        return {"started_at": self._started_at, "tokens": self._tokens}

    def _count_steps(self, now: float) -> int:
        steps = int((now - self._started_at) / self._step_s)
        # As many doublings as the warm level has bits always exceed it.
        return max(0, min(steps, self._warm_level.bit_length()))

    def _refill(self, level: int, now: float) -> None:
        capacity = _compute_capacity(level)
        rate = level + 1 - capacity
        tokens = self._tokens + max(0.0, now - self._refilled_at) * rate
        self._tokens = min(tokens, capacity)
        self._refilled_at = now


def _compute_capacity(level: int) -> float:
    return max(1.0, level * const.RAMP_BURST_S)
