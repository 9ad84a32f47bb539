"""Backoff between calls to a failing service."""

import random

from chivedoor.configservice import const


class Backoff:
    """Exponential backoff with jitter and a cap.

    At the cap the call rate is constant, however long the service is down.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        initial_s: float = const.BACKOFF_INITIAL_S,
        cap_s: float = const.BACKOFF_CAP_S,
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._cap_s = cap_s
        self._current_delay_s = initial_s

    def reset(self) -> None:
        """Restarts with the initial delay."""
        self._current_delay_s = self._initial_s

    def next_delay_s(self) -> float:
        """Returns the delay before the next call, in seconds.

        Each call doubles the following delay up to the cap.
        """
        delay_s = self._current_delay_s
        self._current_delay_s = min(delay_s * const.BACKOFF_FACTOR, self._cap_s)
        return delay_s * self._rng.uniform(const.MIN_JITTER_FACTOR, 1.0)
