"""Structured logs as JSON lines, written by a separate thread."""

import dataclasses
import pathlib
import queue
import sys
import threading
import time
from typing import Any
from typing import BinaryIO
from typing import TextIO

import eliot

from chivedoor import ids
from chivedoor.telemetry import const
from chivedoor.telemetry import events
from chivedoor.telemetry import exceptions
from chivedoor.telemetry import rates


class Logs:
    """Writes events to the log without blocking or raising.

    The calling thread only puts events into a bounded queue. Events that
    exceed the rate limit of their type or do not fit into the queue are
    counted; the next event of the type is followed by `events-suppressed`.

    Attributes:
        written: Number of events written to the stream.
        suppressed: Number of events dropped by a rate limit or a full queue.
        failed: Number of events that could not be encoded or written.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        domain: ids.DomainId,
        stream: BinaryIO | TextIO,
        close_stream: bool,
        clock: rates.Clock = time.monotonic,
    ) -> None:
        """Starts the writer thread.

        Args:
            vm: The id of this VM, included in every event.
            domain: The VM's failure domain, included in every event.
            stream: The stream to write the lines to.
            close_stream: Whether `unload` closes the stream.
            clock: Returns monotonic time in seconds.
        """
        self.written = 0
        self.suppressed = 0
        self.failed = 0
        self._common_fields = {"vm": vm, "domain": domain}
        self._stream = stream
        self._close_stream = close_stream
        self._rate_limits = rates.RateLimits(
            clock=clock,
            rate_per_s=const.LOG_RATE_PER_S,
            burst_events=const.LOG_BURST_EVENTS,
        )
        self._destination = eliot.FileDestination(file=stream)
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(
            const.LOG_QUEUE_EVENTS
        )
        self._closed = False
        self._thread = threading.Thread(
            target=self._write_queued, name="chivedoor-logs", daemon=True
        )
        self._thread.start()

    def write_event(self, event: events.Event) -> None:
        """Queues an event unless its type exceeds the rate limit."""
        if self._closed or not self._rate_limits.admit(event.message_type):
            self.suppressed += 1
            return
        self._enqueue(event)
        suppressed_count = self._rate_limits.pop_suppressed_count(
            event.message_type
        )
        if suppressed_count:
            self._enqueue(
                events.EventsSuppressed(
                    suppressed_type=event.message_type, count=suppressed_count
                )
            )

    def unload(self) -> None:
        """Writes the queued events, stops the thread and closes the stream."""
        if self._closed:
            return
        self._closed = True
        try:
            self._queue.put(None, timeout=const.LOG_CLOSE_TIMEOUT_S)
        except queue.Full:
            # The stream is blocked; the daemon thread ends with the process.
            return
        self._thread.join(const.LOG_CLOSE_TIMEOUT_S)
        if self._close_stream and not self._thread.is_alive():
            self._stream.close()

    def dump_state(self) -> dict[str, Any]:
        """Returns the counters by name."""
        return {
            "written": self.written,
            "suppressed": self.suppressed,
            "failed": self.failed,
        }

    def write(self, dictionary: dict[str, Any], serializer: Any = None) -> None:
        """Queues an eliot message; implements the eliot logger interface."""
        try:
            self._queue.put_nowait(dict(dictionary))
        except queue.Full:
            self.suppressed += 1
            self._rate_limits.count_suppressed(
                dictionary.get("message_type", "")
            )

    def _enqueue(self, event: events.Event) -> None:
        fields = {
            field.name: getattr(event, field.name)
            for field in dataclasses.fields(event)  # type: ignore[arg-type]
        }
        message = {
            "message_type": event.message_type,
            "level": event.level.value,
            **self._common_fields,
            **fields,
        }
        eliot.Message(message).write(logger=self)

    def _write_queued(self) -> None:
        while (message := self._queue.get()) is not None:
            try:
                self._destination(message)
                self.written += 1
            except Exception:
                # E.g. a full disk or a closed pipe; later writes may succeed.
                self.failed += 1


def setup_logs(
    *,
    vm: ids.VmId,
    domain: ids.DomainId,
    path: pathlib.Path | None = None,
) -> Logs:
    """Opens the daemon's log, which `Logs.unload` closes.

    Args:
        vm: The id of this VM.
        domain: The VM's failure domain.
        path: The file to append to, or None for standard output.

    Raises:
        LogFileError: The file cannot be opened.
    """
    if path is None:
        return Logs(
            vm=vm, domain=domain, stream=sys.stdout.buffer, close_stream=False
        )
    try:
        stream = path.open("ab")
    except OSError as error:
        raise exceptions.LogFileError(f"{path}: {error.strerror}") from error
    return Logs(vm=vm, domain=domain, stream=stream, close_stream=True)
