"""Runs a timer queue on the event loop."""

import asyncio
import time

from standins import const
from standins import host as hosts


class Ticker:
    """Runs a timer queue every few milliseconds, so that calls are batched."""

    def __init__(self, *, timers: hosts.Timers):
        """Creates a ticker without starting it."""
        self._timers = timers
        self._handle: asyncio.TimerHandle | None = None

    async def async_open(self) -> None:
        """Starts the ticks."""
        self._tick()

    async def async_close(self) -> None:
        """Stops the ticks."""
        if self._handle is not None:
            self._handle.cancel()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        # The next tick is scheduled first, so that an exception in a call does
        # not stop the other timers.
        self._handle = loop.call_later(const.TICK_S, self._tick)
        self._timers.tick(time.monotonic())
