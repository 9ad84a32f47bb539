"""Logs the faults that the control interfaces count."""

from collections.abc import Callable
import enum
import functools

from chivedoor.rpc import counts as counts_module
from chivedoor.rpc import exceptions
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logs_module


def log_interface_faults(
    counts: counts_module.EventCounters, logs: logs_module.Logs, interface: str
) -> Callable[[], None]:
    """Logs the faults of the peer channel or the operator server.

    Args:
        counts: The counters of the interface.
        logs: The log to write to.
        interface: Name of the interface in the log, `peer` or `operator`.

    Returns:
        A function that ends the subscription.
    """

    def observe(event: enum.Enum, detail: str) -> None:
        log_event = _make_log_event(event, detail, interface)
        if log_event is not None:
            logs.write_event(log_event)

    return counts.subscribe(observe)


@functools.singledispatch
def _make_log_event(
    event: enum.Enum, detail: str, interface: str
) -> events.Event | None:
    """Returns the log event for a fault, or None for other events."""
    return None


@_make_log_event.register
def _(
    event: exceptions.AuthenticationFault, detail: str, interface: str
) -> events.Event | None:
    return events.AuthenticationFailed(interface=interface, fault=event.value)


@_make_log_event.register
def _(
    event: exceptions.MessageFault, detail: str, interface: str
) -> events.Event | None:
    return events.MessageRejected(interface=interface, fault=event.value)


@_make_log_event.register
def _(
    event: counts_module.RpcEvent, detail: str, interface: str
) -> events.Event | None:
    if event is not counts_module.RpcEvent.HANDLER_FAILURES:
        return None
    return events.HandlerFailed(interface=interface, error=detail)
