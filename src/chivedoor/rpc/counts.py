"""Counters of requests, replies and sessions."""

import collections
from collections.abc import Callable
import enum

# Takes an event and, for faults of the software, where they happened.
Observer = Callable[[enum.Enum, str], None]


class RpcEvent(enum.Enum):
    """What channels and operators' servers count."""

    LINKS_OPENED = "links-opened"
    LINKS_FAILED = "links-failed"
    LINKS_LOST = "links-lost"
    LINKS_ACCEPTED = "links-accepted"
    LINKS_REFUSED = "links-refused"
    REQUESTS_SENT = "requests-sent"
    REPLIES_RECEIVED = "replies-received"
    REPLIES_LATE = "replies-late"
    REFUSALS_RECEIVED = "refusals-received"
    TIMEOUTS = "timeouts"
    REQUESTS_RECEIVED = "requests-received"
    REPLIES_SENT = "replies-sent"
    REFUSALS_SENT = "refusals-sent"
    HANDLER_FAILURES = "handler-failures"
    BYTES_SENT = "bytes-sent"
    BYTES_RECEIVED = "bytes-received"


class EventCounters:
    """Counters by `RpcEvent`, `MessageFault` and `AuthenticationFault`."""

    def __init__(self) -> None:
        self._values: collections.Counter[enum.Enum] = collections.Counter()
        self._observers: list[Observer] = []

    def add(self, event: enum.Enum, amount: int = 1, detail: str = "") -> None:
        """Adds an amount to the counter of an event and tells observers."""
        self._values[event] += amount
        for observer in self._observers:
            observer(event, detail)

    def subscribe(self, observer: Observer) -> Callable[[], None]:
        """Calls an observer for each event; returns how to stop that.

        Args:
            observer: Must not raise; it runs in the loops of sessions.
        """
        self._observers.append(observer)
        return lambda: self._observers.remove(observer)

    def get(self, event: enum.Enum) -> int:
        """Returns the counter of an event; 0 when it never happened."""
        return self._values[event]

    def dump_state(self) -> dict[str, int]:
        """Returns the counters that are not 0 by the values of events."""
        return {event.value: count for event, count in self._values.items()}
