"""Flows of a caller and validation of the received content."""

from collections.abc import Callable
import dataclasses
import functools
import json

from standins import connection as connections
from standins import const
from standins import content
from standins import host as hosts
from standins import results as results_module
from standins import segments

Outcome = results_module.Outcome

DATAGRAM_TIMEOUT_S = 1.0
DATAGRAM_TRIES = 4

_CONTENT_OUTCOMES = {
    content.Fault.CORRUPTED: Outcome.CORRUPTED,
    content.Fault.MIXED: Outcome.WRONG_ANSWER,
    content.Fault.DOUBLED: Outcome.DUPLICATE,
    content.Fault.LOST: Outcome.INCOMPLETE,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Stream:
    """Parameters of a stream: the target sends numbered records at a rate."""

    records: int = 50
    record_bytes: int = 256
    rate_per_s: float = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Upload:
    """Parameters of an upload of numbered blocks; rate 0 sends all at once."""

    blocks: int = 64
    block_bytes: int = 1024
    rate_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """Parameters of a request with a work time and an answer size."""

    answer_bytes: int = 512
    work_s: float = 0.0
    deadline_s: float = 30.0
    cancel_after_s: float = 0.0


Shape = Stream | Upload | Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """Data and services of the caller that a flow uses."""

    load: str
    flow: str
    service: str
    shape: Shape
    stack: hosts.Stack
    timers: hosts.Timers
    results: results_module.Results


class ConnectionFlow:
    """A flow on a TCP connection."""

    def __init__(self, *, context: Context, opened_at: float):
        """Creates a flow for a connection that is not open yet."""
        self._context = context
        self._opened_at = opened_at
        self._established = False
        self._outcome: Outcome | None = None
        self._validator = build_validator(context.shape, context.flow)
        self._sent_blocks = 0

    def handle_event(
        self, connection: connections.Connection, now: float
    ) -> None:
        """Handles an event on the connection."""
        if self._outcome is not None:
            return
        if not self._established and connection.established_at is not None:
            self._start(connection, now)
        self._validator.feed(connection.read())
        if self._validator.fault is not None:
            self._end(_CONTENT_OUTCOMES[self._validator.fault], now)
            self._context.stack.abort(connection)
        elif connection.remote_finished:
            self._end(self._validator.get_outcome(), now)
            connection.finish()
        elif connection.state is connections.State.CLOSED:
            self._end(self._classify_failure(connection), now)

    def _classify_failure(self, connection: connections.Connection) -> Outcome:
        if connection.outcome is connections.Outcome.REFUSED:
            return Outcome.REFUSED
        if connection.outcome is connections.Outcome.RESET:
            return Outcome.RESET
        if not self._established:
            return Outcome.UNANSWERED
        return Outcome.TIMED_OUT

    def _end(self, outcome: Outcome, now: float) -> None:
        self._outcome = outcome
        context = self._context
        context.results.record_end(context.load, context.flow, outcome, now)
        if outcome is Outcome.FINISHED:
            latency_s = now - self._opened_at
            context.results.record_latency(context.load, "total", latency_s)

    def _start(self, connection: connections.Connection, now: float) -> None:
        self._established = True
        context = self._context
        latency_s = now - self._opened_at
        context.results.record_latency(context.load, "handshake", latency_s)
        connection.write(build_request_line(context))
        shape = context.shape
        if isinstance(shape, Upload):
            self._send_blocks(connection, shape, now)
        elif isinstance(shape, Request) and shape.cancel_after_s > 0:
            context.timers.call_at(
                now + shape.cancel_after_s,
                lambda later: self._cancel(connection, later),
            )

    def _cancel(self, connection: connections.Connection, now: float) -> None:
        if self._outcome is None:
            self._end(Outcome.CANCELLED, now)
            self._context.stack.abort(connection)

    def _send_blocks(
        self, connection: connections.Connection, shape: Upload, now: float
    ) -> None:
        if connection.state is connections.State.CLOSED:
            return
        tag = content.tag_flow(self._context.flow)
        count = 1 if shape.rate_per_s > 0 else shape.blocks
        for number in range(self._sent_blocks, self._sent_blocks + count):
            block = content.build_record(tag, number, shape.block_bytes)
            connection.write(block)
        self._sent_blocks += count
        self._context.stack.flush(connection, now)
        if self._sent_blocks < shape.blocks:
            due = self._opened_at + self._sent_blocks / shape.rate_per_s
            self._context.timers.call_at(
                due,
                lambda later: self._send_blocks(connection, shape, later),
            )


class DatagramFlow:
    """A request in one UDP datagram, which is retransmitted until answered.

    The flow stays open for a while after the answer in order to detect
    duplicate answers.
    """

    def __init__(
        self,
        *,
        context: Context,
        local: hosts.Endpoint,
        remote: hosts.Endpoint,
        release: Callable[[], None],
    ):
        """Creates a flow; `release` is called when its port is free again."""
        self._context = context
        self._local = local
        self._remote = remote
        self._release = release
        self._opened_at = 0.0
        self._sent = 0
        self._answers = 0
        self._outcome: Outcome | None = None

    def open(self, now: float) -> None:
        """Sends the first datagram."""
        self._opened_at = now
        self._context.stack.bind(
            self._local, self._handle_answer, self._handle_unreachable
        )
        self._send(now)

    def _send(self, now: float) -> None:
        if self._outcome is not None:
            return
        if self._sent >= DATAGRAM_TRIES:
            self._set_outcome(Outcome.UNANSWERED, now)
            return
        self._sent += 1
        self._context.stack.send_datagram(
            segments.Datagram(
                source=self._local[0],
                source_port=self._local[1],
                destination=self._remote[0],
                destination_port=self._remote[1],
                payload=build_request_line(self._context),
            )
        )
        self._context.timers.call_at(
            now + DATAGRAM_TIMEOUT_S * 2 ** (self._sent - 1), self._send
        )

    def _handle_answer(self, datagram: segments.Datagram, now: float) -> None:
        source = (datagram.source, datagram.source_port)
        if source != self._remote:
            self._set_outcome(Outcome.WRONG_ANSWER, now)
            return
        self._answers += 1
        validator = build_validator(self._context.shape, self._context.flow)
        validator.feed(datagram.payload)
        outcome = validator.get_outcome()
        if outcome is Outcome.FINISHED and self._answers > self._sent:
            outcome = Outcome.DUPLICATE
        if self._outcome is None and outcome is Outcome.FINISHED:
            latency_s = now - self._opened_at
            self._context.results.record_latency(
                self._context.load, "total", latency_s
            )
        self._set_outcome(outcome, now)

    def _handle_unreachable(
        self, message: segments.Unreachable, now: float
    ) -> None:
        about = (message.destination, message.destination_port)
        if about == self._remote and self._outcome is None:
            self._set_outcome(Outcome.REFUSED, now)

    def _set_outcome(self, outcome: Outcome, now: float) -> None:
        first = self._outcome is None
        if first or outcome in results_module.WRONG:
            self._outcome = outcome
        if first:
            self._context.timers.call_at(now + const.LINGER_S, self._close)

    def _close(self, now: float) -> None:
        context = self._context
        context.stack.unbind(self._local)
        self._release()
        context.results.record_end(
            context.load, context.flow, self._outcome, now
        )


def build_request_line(context: Context) -> bytes:
    """Builds the JSON line that starts a flow."""
    fields = dataclasses.asdict(context.shape)
    names = {"flow": context.flow, "service": context.service}
    return json.dumps({**names, **fields}).encode() + b"\n"


class StreamValidator:
    """Validates the records of a stream."""

    def __init__(self, *, shape: Stream, flow: str):
        """Creates a validator that expects the first record."""
        self._records = shape.records
        self._checker = content.RecordChecker(
            flow=flow, size_bytes=shape.record_bytes
        )

    @property
    def fault(self) -> content.Fault | None:
        """The first fault that was found."""
        return self._checker.fault

    def feed(self, data: bytes) -> None:
        """Checks more bytes."""
        if data:
            self._checker.feed(data)

    def get_outcome(self) -> Outcome:
        """Returns the outcome at the end of the stream."""
        if self._checker.count > self._records:
            return Outcome.DUPLICATE
        if self._checker.count < self._records or self._checker.partial_bytes:
            return Outcome.INCOMPLETE
        return Outcome.FINISHED


class AnswerValidator:
    """Validates an answer: a JSON line followed by a filler."""

    def __init__(self, *, shape: Upload | Request, flow: str):
        """Creates a validator that has received nothing."""
        self._shape = shape
        self._flow = flow
        self._received = bytearray()
        self.fault: content.Fault | None = None

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._received += data

    def get_outcome(self) -> Outcome:
        """Returns the outcome at the end of the answer."""
        line, found, filler = bytes(self._received).partition(b"\n")
        if not found:
            return Outcome.INCOMPLETE
        try:
            answer = json.loads(line)
        except ValueError:
            return Outcome.CORRUPTED
        if answer.get("flow") != self._flow:
            return Outcome.WRONG_ANSWER
        return validate_answer(self._shape, self._flow, answer, filler)


@functools.singledispatch
def build_validator(
    shape: Shape, flow: str
) -> StreamValidator | AnswerValidator:
    """Returns the validator for the content of a flow."""
    return AnswerValidator(shape=shape, flow=flow)


@build_validator.register
def _(shape: Stream, flow: str) -> StreamValidator:
    return StreamValidator(shape=shape, flow=flow)


@functools.singledispatch
def validate_answer(
    shape: Shape, flow: str, answer: dict, filler: bytes
) -> Outcome:
    """Validates the fields and the filler of an answer."""
    raise TypeError(type(shape))


@validate_answer.register
def _(shape: Upload, flow: str, answer: dict, filler: bytes) -> Outcome:
    fault = answer.get("fault")
    if fault is not None:
        return _CONTENT_OUTCOMES[content.Fault(fault)]
    digest = content.build_digest(flow, shape.blocks, shape.block_bytes)
    if answer.get("digest") != digest or filler:
        return Outcome.CORRUPTED
    return Outcome.FINISHED


@validate_answer.register
def _(shape: Request, flow: str, answer: dict, filler: bytes) -> Outcome:
    if answer.get("late"):
        return Outcome.LATE
    if len(filler) > shape.answer_bytes:
        return Outcome.DUPLICATE
    if len(filler) < shape.answer_bytes:
        return Outcome.INCOMPLETE
    fault = content.find_fault(
        filler,
        tag=content.tag_flow(flow),
        number=0,
        size_bytes=shape.answer_bytes,
    )
    return _CONTENT_OUTCOMES[fault] if fault else Outcome.FINISHED
