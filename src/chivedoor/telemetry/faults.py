"""Log events for the faults that control interfaces count."""

from collections.abc import Callable
import enum
import functools

from chivedoor.rpc import counts as counting
from chivedoor.rpc import exceptions
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logging


def attach_counts(
    counts: counting.Counts, logs: logging.Logs, interface: str
) -> Callable[[], None]:
    """Logs the faults of a channel or an operators' server.

    Args:
        counts: The counters of the interface.
        logs: Where the events go.
        interface: `peer` or `operator`.

    Returns:
        A function that ends this.
    """

    def observe(event: enum.Enum, detail: str) -> None:
        found = _describe_event(event, detail, interface)
        if found is not None:
            logs.write_event(found)

    return counts.subscribe(observe)


@functools.singledispatch
def _describe_event(
    event: enum.Enum, detail: str, interface: str
) -> events.Event | None:
    """Returns the log event of a counted event, or None for ordinary ones."""
    return None


@_describe_event.register
def _(
    event: exceptions.AuthenticationFault, detail: str, interface: str
) -> events.Event | None:
    return events.AuthenticationFailed(interface=interface, fault=event.value)


@_describe_event.register
def _(
    event: exceptions.MessageFault, detail: str, interface: str
) -> events.Event | None:
    return events.MessageRejected(interface=interface, fault=event.value)


@_describe_event.register
def _(
    event: counting.RpcEvent, detail: str, interface: str
) -> events.Event | None:
    if event is not counting.RpcEvent.HANDLER_FAILURES:
        return None
    return events.HandlerFailed(interface=interface, error=detail)
