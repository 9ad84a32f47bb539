"""Log lines of an edge balancer: JSON on standard output.

eliot takes 40 ms and 4 MB to start (docs/why.md), so that this module writes
its form of a line without it. Lines are gathered and written by a timer; when
nobody reads the pipe, the newest lines are dropped and counted.
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
    """Kinds of log lines."""

    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "settings-reloaded"
    SETTINGS_REJECTED = "settings-rejected"
    SOURCE_LOST = "source-lost"
    SOURCE_REGAINED = "source-regained"
    VIEW_STALE = "view-stale"
    VIEW_CURRENT = "view-current"
    RECORD_UNUSABLE = "record-unusable"
    CONFIGURATION = "configuration-applied"
    DOMAIN_OUT = "domain-out"
    DOMAIN_IN = "domain-in"
    ENDPOINT_LISTED = "endpoint-listed"
    ENDPOINT_REMOVED = "endpoint-removed"
    ENDPOINT_SUSPECTED = "endpoint-suspected"
    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    ENDPOINT_ANSWERED = "endpoint-answered"
    FLOW_PLACED = "flow-placed"
    FLOW_REFUSED = "flow-refused"
    FLOW_RESET = "flow-reset"
    PACKET_DROPPED = "packet-dropped"
    READING = "reading-from"
    PAUSED = "paused"
    FAULT = "fault"
    SUPPRESSED = "lines-suppressed"


class LogWriter:
    """Writes lines without blocking and without raising.

    Attributes:
        written: Lines handed to the operating system.
        suppressed: Lines over their rate or over the buffer.
        failed: Writes that failed for another reason than a full pipe.
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
        """Creates a writer to a descriptor, which becomes non-blocking."""
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
        """Adds a line; never blocks and never raises."""
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
        """Writes as much as the descriptor takes."""
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
            # The reader closed the pipe; there is nowhere to report it.
            self.failed += 1
            size = len(data)
        else:
            self.written += count
        self._unwritten = data[size:]

    def dump_state(self) -> dict[str, int]:
        """Returns the counters as plain values."""
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
