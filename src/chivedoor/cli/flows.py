"""Reconstruction of the history of a flow from logs of edge balancers."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

# Types of events that show the state of a balancer and its view while it
# handled a flow.
_STATE_EVENTS = frozenset(
    {
        "configuration-applied",
        "domain-in",
        "domain-out",
        "paused",
        "ready",
        "source-lost",
        "source-regained",
        "started",
        "stopping",
        "view-current",
        "view-stale",
    }
)
_COMMON_FIELDS = frozenset(
    {"timestamp", "message_type", "vm", "domain", "flow"}
)


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the events in log lines, skipping lines that are not events."""
    for line in lines:
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if not isinstance(event, dict):
            continue
        if isinstance(event.get("timestamp"), int | float) and isinstance(
            event.get("message_type"), str
        ):
            yield event


def select_events(
    events: Iterable[dict[str, Any]], flow: str, margin_s: float
) -> list[dict[str, Any]]:
    """Returns the events of a flow and of the state of its balancers.

    Args:
        events: Events of all balancers.
        flow: The beginning of the flow's id, such as the caller's address and
            port.
        margin_s: Seconds before the first and after the last event of the
            flow within which state events are included.
    """
    ordered = sorted(events, key=lambda event: event["timestamp"])
    flow_events = [event for event in ordered if belongs_to_flow(event, flow)]
    if not flow_events:
        return []
    vms = {event.get("vm") for event in flow_events}
    endpoints = {
        event["endpoint"] for event in flow_events if "endpoint" in event
    }
    begin = flow_events[0]["timestamp"] - margin_s
    end = flow_events[-1]["timestamp"] + margin_s
    return [
        event
        for event in ordered
        if belongs_to_flow(event, flow)
        or (
            begin <= event["timestamp"] <= end
            and event.get("vm") in vms
            and (
                event["message_type"] in _STATE_EVENTS
                or ("flow" not in event and event.get("endpoint") in endpoints)
            )
        )
    ]


def belongs_to_flow(event: dict[str, Any], flow: str) -> bool:
    """Returns whether the flow id of an event starts with `flow`."""
    found = event.get("flow")
    if not isinstance(found, str) or not found.startswith(flow):
        return False
    # Port 80 must not match port 8080.
    return found == flow or not found[len(flow)].isdigit()


def format_events(events: Iterable[dict[str, Any]]) -> str:
    """Formats one line per event, with times relative to the first event."""
    lines = []
    first: float | None = None
    for event in events:
        if first is None:
            first = event["timestamp"]
        details = " ".join(
            f"{name}={value}"
            for name, value in event.items()
            if name not in _COMMON_FIELDS
        )
        lines.append(
            f"{event['timestamp'] - first:+9.3f} s  {event.get('vm', '?'):20} "
            f"{event['message_type']:22} {event.get('flow', '-')}  {details}"
        )
    return "\n".join(lines)
