"""Server side of the stand-in protocol on a TCP connection.

The caller sends one JSON line with `flow`, `service` and the fields of the
port's kind, followed by the blocks of an upload.
"""

from collections.abc import Callable
import dataclasses
import json
from typing import Any

from chivedoor.configuration import document
from standins import connection as connections
from standins import content
from standins import host as hosts

_MAXIMUM_LINE_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """Data and callbacks of the target that a session uses.

    `run` starts a request. It gets the fields of the line, the time and a
    callback for the answer, and returns a function that cancels the request.
    `free_slot` is called when the work is done. `release` is called when the
    connection has ended, and also frees a slot that is still taken.
    """

    timers: hosts.Timers
    stack: hosts.Stack
    service: str
    count: Callable[[str], None]
    run: Callable[[dict, float, Callable], Callable[[], None]]
    free_slot: Callable[[], None]
    release: Callable[[], None]
    idle_limit_s: float


class Session:
    """A flow at a target; handles the events of its connection."""

    def __init__(self, *, kind: document.PortKind, context: Context):
        """Creates a session that waits for the request line."""
        self._kind = kind
        self._context = context
        self._request_line = bytearray()
        self._request: dict[str, Any] | None = None
        self._cancel: Callable[[], None] | None = None
        self._checker: content.RecordChecker | None = None
        self._released = False
        self._answered = False
        self._idle_timer: hosts.Timer | None = None

    def handle_event(
        self, connection: connections.Connection, now: float
    ) -> None:
        """Handles received bytes, the end or a failure of the connection."""
        if connection.state is connections.State.CLOSED:
            self._end(connection)
            return
        data = connection.read()
        if self._idle_timer is None or data:
            self._restart_idle_timer(connection, now)
        if data and self._request is None:
            data = self._read_request_line(connection, data, now)
        if data and self._checker is not None:
            self._receive_blocks(connection, data)
        if connection.remote_finished and self._answered:
            self._release()

    def _restart_idle_timer(
        self, connection: connections.Connection, now: float
    ) -> None:
        if self._kind is document.PortKind.STREAM:
            return
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        when = now + self._context.idle_limit_s
        self._idle_timer = self._context.timers.call_at(
            when, lambda _: self._expire(connection)
        )

    def _expire(self, connection: connections.Connection) -> None:
        if connection.state is connections.State.CLOSED:
            return
        self._context.count("expired")
        self._context.stack.abort(connection)
        self._end(connection)

    def _end(self, connection: connections.Connection) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._cancel is not None and not self._answered:
            self._context.count("cancelled")
            self._cancel()
        self._cancel = None
        if not self._released:
            self._context.count(f"ended_{connection.outcome.value}")
        self._release()

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._context.release()

    def _read_request_line(
        self, connection: connections.Connection, data: bytes, now: float
    ) -> bytes:
        self._request_line += data
        line, found, rest = bytes(self._request_line).partition(b"\n")
        if not found:
            if len(self._request_line) > _MAXIMUM_LINE_BYTES:
                self._reject(connection, "bad_line")
            return b""
        try:
            request = json.loads(line)
        except ValueError:
            self._reject(connection, "bad_line")
            return b""
        if request.get("service") != self._context.service:
            self._reject(connection, "wrong_service")
            return b""
        self._request = request
        self._start(connection, request, now)
        return rest

    def _reject(self, connection: connections.Connection, reason: str) -> None:
        self._context.count(reason)
        self._context.stack.abort(connection)
        self._end(connection)

    def _start(
        self, connection: connections.Connection, request: dict, now: float
    ) -> None:
        if self._kind is document.PortKind.STREAM:
            self._start_stream(connection, request, now)
        elif self._kind is document.PortKind.UPLOAD:
            self._checker = content.RecordChecker(
                flow=request["flow"], size_bytes=request["block_bytes"]
            )
        else:
            self._cancel = self._context.run(
                request,
                now,
                lambda answer, now: self._answer(connection, answer, now),
            )

    def _answer(
        self,
        connection: connections.Connection,
        answer: bytes | None,
        now: float,
    ) -> None:
        if connection.state is connections.State.CLOSED:
            return
        if answer is None:
            self._context.stack.abort(connection)
            self._end(connection)
            return
        self._answered = True
        self._context.free_slot()
        connection.write(answer)
        connection.finish()
        self._context.stack.flush(connection, now)
        if connection.remote_finished:
            self._release()

    def _receive_blocks(
        self, connection: connections.Connection, data: bytes
    ) -> None:
        checker = self._checker
        if self._answered:
            return
        checker.feed(data)
        if checker.fault is not None:
            self._context.count(f"upload_{checker.fault.value}")
        elif checker.count < self._request["blocks"]:
            return
        self._answered = True
        self._context.free_slot()
        answer = {
            "flow": self._request["flow"],
            "blocks": checker.count,
            "digest": checker.digest,
            "fault": checker.fault.value if checker.fault else None,
        }
        connection.write(json.dumps(answer).encode() + b"\n")
        connection.finish()

    def _start_stream(
        self, connection: connections.Connection, request: dict, now: float
    ) -> None:
        tag = content.tag_flow(request["flow"])
        total = int(request["records"])
        interval_s = 1.0 / request["rate_per_s"]

        size_bytes = request["record_bytes"]
        started = now

        def send(number: int, now: float) -> None:
            if connection.state is connections.State.CLOSED:
                return
            record = content.build_record(tag, number, size_bytes)
            connection.write(record)
            if number + 1 == total:
                self._answered = True
                connection.finish()
            else:
                self._context.timers.call_at(
                    started + (number + 1) * interval_s,
                    lambda later: send(number + 1, later),
                )
            self._context.stack.flush(connection, now)

        send(0, now)
