"""Writes the log of an edge balancer as JSON lines to standard output.

The lines have the format of eliot, which is not used because importing it
takes 40 ms and 4 MB (docs/why.md). Lines are buffered and flushed by a timer;
when the pipe is not read, new lines are dropped and counted.
"""

import collections
from collections.abc import Callable
import enum
import json
import os
import time
from typing import Any

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.telemetry import rates


class EventType(enum.Enum):
    """Event types: the `message_type` of a log line."""

    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "settings-reloaded"
    SETTINGS_REJECTED = "settings-rejected"
    SOURCE_LOST = "source-lost"
    SOURCE_REGAINED = "source-regained"
    SOURCE_RESTORED = "source-restored"
    RECORD_OUTDATED = "record-outdated"
    VIEW_STALE = "view-stale"
    VIEW_CURRENT = "view-current"
    VIEW_BEHIND = "view-behind"
    VIEW_CAUGHT_UP = "view-caught-up"
    RECORD_UNUSABLE = "record-unusable"
    CONFIGURATION = "configuration-applied"
    DOMAIN_OUT = "domain-out"
    DOMAIN_IN = "domain-in"
    ENDPOINT_LISTED = "endpoint-listed"
    ENDPOINT_REMOVED = "endpoint-removed"
    ENDPOINT_SUSPECTED = "endpoint-suspected"
    ENDPOINT_CHECKED = "endpoint-checked"
    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    ENDPOINT_ANSWERED = "endpoint-answered"
    FLOW_PLACED = "flow-placed"
    FLOW_REFUSED = "flow-refused"
    FLOW_RESET = "flow-reset"
    FLOW_MOVED = "flow-moved"
    PACKET_DROPPED = "packet-dropped"
    READING = "reading-from"
    SUBSCRIPTION_ENDED = "subscription-ended"
    TRANSFER_SLOW = "transfer-slow"
    SPILLOVER_CHANGED = "spillover-changed"
    SHORTAGE_BEGUN = "shortage-begun"
    SHORTAGE_ENDED = "shortage-ended"
    PAUSED = "paused"
    FAULT = "fault"
    SUPPRESSED = "lines-suppressed"


class LogWriter:
    """Writes log lines; never blocks and never raises.

    Attributes:
        written: Number of lines passed to the operating system.
        suppressed: Number of lines dropped by a rate limit or a full buffer.
        failed: Number of writes that failed, other than for a full pipe.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        domain: ids.DomainId,
        descriptor: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a writer and makes its descriptor non-blocking."""
        self.written = 0
        self.suppressed = 0
        self.failed = 0
        self._common_fields = {"vm": vm, "domain": domain}
        self._descriptor = descriptor
        self._wall_clock = wall_clock
        self._encode = json.JSONEncoder(
            separators=(",", ":"), default=str
        ).encode
        self._rate_limits = rates.RateLimits(
            clock=clock,
            rate_per_s=const.LOG_RATE_PER_S,
            burst_events=const.LOG_BURST_LINES,
        )
        self._queued_lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, event_type: EventType, **fields: Any) -> None:
        """Queues a line unless its event type exceeds the rate limit."""
        name = event_type.value
        if not self._rate_limits.admit(name):
            self.suppressed += 1
            return
        suppressed_count = self._rate_limits.pop_suppressed_count(name)
        if suppressed_count:
            self._queue_line(
                EventType.SUPPRESSED, {"kind": name, "count": suppressed_count}
            )
        self._queue_line(event_type, fields)

    def flush(self) -> None:
        """Writes as many queued bytes as the descriptor accepts."""
        count = len(self._queued_lines)
        data = self._unwritten + b"".join(self._queued_lines)
        if not data:
            return
        self._queued_lines.clear()
        try:
            size = os.write(self._descriptor, data)
        except BlockingIOError:
            size = 0
        except OSError:
            # The reader closed the pipe, so the error cannot be logged.
            self.failed += 1
            size = len(data)
        else:
            self.written += count
        self._unwritten = data[size:]

    def dump_state(self) -> dict[str, int]:
        """Returns the counters by name."""
        return {
            "written": self.written,
            "suppressed": self.suppressed,
            "failed": self.failed,
        }

    def _queue_line(
        self, event_type: EventType, fields: dict[str, Any]
    ) -> None:
        full = len(self._queued_lines) >= const.LOG_BUFFER_LINES
        if full or len(self._unwritten) > const.LOG_BUFFER_BYTES:
            self.suppressed += 1
            self._rate_limits.count_suppressed(event_type.value)
            return
        line = {
            "timestamp": round(self._wall_clock(), 6),
            "message_type": event_type.value,
            **self._common_fields,
            **fields,
        }
        self._queued_lines.append(self._encode(line).encode() + b"\n")
