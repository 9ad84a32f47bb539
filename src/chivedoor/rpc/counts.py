"""Counters of connections, requests and replies."""

import collections
from collections.abc import Callable
import enum

# Called with an event and, for failed handlers, a description of the error.
Observer = Callable[[enum.Enum, str], None]


class RpcEvent(enum.Enum):
    """Events that peer channels and operator interfaces count."""

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
        """Increases the counter of an event and notifies the observers."""
        self._values[event] += amount
        for observer in self._observers:
            observer(event, detail)

    def subscribe(self, observer: Observer) -> Callable[[], None]:
        """Registers an observer that is called for each event.

        Args:
            observer: Must not raise; it is called from the read loops of
                sessions.

        Returns:
            A function that removes the observer.
        """
        self._observers.append(observer)
        return lambda: self._observers.remove(observer)

    def get(self, event: enum.Enum) -> int:
        """Returns the counter of an event, 0 if it has not occurred."""
        return self._values[event]

    def dump_state(self) -> dict[str, int]:
        """Returns the counters of the events that occurred, by event value."""
        return {event.value: count for event, count in self._values.items()}
