"""Drives a timer queue from the event loop."""

import asyncio
import time

from standins import const
from standins import host as hosts


class Ticker:
    """Ticks a queue every few milliseconds, which batches its calls."""

    def __init__(self, *, timers: hosts.Timers):
        """Creates a ticker that does not run yet."""
        self._timers = timers
        self._handle: asyncio.TimerHandle | None = None

    async def async_open(self) -> None:
        """Starts to tick."""
        self._tick()

    async def async_close(self) -> None:
        """Stops to tick."""
        if self._handle is not None:
            self._handle.cancel()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        # The next tick is scheduled first: an error in a call must not stop
        # the other timers.
        self._handle = loop.call_later(const.TICK_S, self._tick)
        self._timers.tick(time.monotonic())
