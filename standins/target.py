"""A target with its limits, faults and processing of requests."""

from collections.abc import Callable
import dataclasses
import enum
import json
import random
import socket

from chivedoor.configuration import document
from standins import content
from standins import exceptions
from standins import host as hosts
from standins import ledger as ledgers
from standins import segments
from standins import sessions

_MAXIMUM_DATAGRAM_BYTES = 1400
_MAX_CACHED_ANSWERS = 100_000
_OVERLOAD_S = 1.0


class State(enum.Enum):
    """State that a target reports; a dead one reports nothing."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    DEAD = "dead"


class Death(enum.Enum):
    """How a dead target handles packets."""

    SILENT = "silent"
    REFUSING = "refusing"


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of a target; probabilities are per flow.

    Attributes:
        shed: Probability that a SYN is refused.
        fail: Probability that a request ends with a RST instead of an answer.
        work_s: Time added to the work of every request.
        delay_s: Delay of every packet.
        cold_fails: Whether a cold target refuses flows above its ramp;
            otherwise it delays all packets for a second.
        cold_delay_s: Delay of packets at an overloaded cold target.
        health_lag_s: Age of the reports of the health endpoint.
        health_lie: Fields that replace those of the health report.
    """

    shed: float = 0.0
    fail: float = 0.0
    work_s: float = 0.0
    delay_s: float = 0.0
    cold_fails: bool = False
    cold_delay_s: float = 0.3
    health_lag_s: float = 0.0
    health_lie: dict = dataclasses.field(default_factory=dict)


class Target:
    """A target of a service with its own network stack.

    It accepts flows above its limits, but counts them (`over_limit`,
    `over_ramp`), because a balancer must not send them.
    """

    def __init__(
        self,
        *,
        service: document.Service,
        endpoint: document.Endpoint,
        ledger: ledgers.Ledger,
        send: Callable[[bytes], None],
        timers: hosts.Timers,
        generator: random.Random,
    ):
        """Creates a target in the ready state."""
        self.name = socket.inet_ntoa(endpoint.address)
        self.service = service
        self.domain = endpoint.domain
        self.health_port = endpoint.health_port
        self.state = State.READY
        self.faults = Faults()
        self._death = Death.SILENT
        self._address = endpoint.address
        self._ledger = ledger
        self._send = send
        self._timers = timers
        self._generator = generator
        self._reports: list[tuple[float, dict]] = []
        self._last_handled = 0.0
        self._start_stack()

    def _start_stack(self) -> None:
        self.connections = 0
        self.slots = 0
        self._incarnation = object()
        self._answers: dict[str, bytes] = {}
        self._overloaded_until = 0.0
        self._cold_since = 0.0
        self._cold_until = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._stack = hosts.Stack(
            send=self._send, timers=self._timers, generator=self._generator
        )
        self._open_ports()

    def set_service(self, service: document.Service) -> None:
        """Applies the ports and the policy of a newer document."""
        self.service = service
        self._open_ports()

    def _open_ports(self) -> None:
        for port in self.service.ports:
            local = (self._address, port.target_port)
            if port.protocol is document.Protocol.TCP:
                self._stack.listen(local, self._build_acceptor(port))
            else:
                self._stack.bind(local, self._build_receiver(port))

    def _build_acceptor(self, port: document.ServicePort) -> hosts.Acceptor:
        return lambda segment, now: self._accept(port, now)

    def _build_receiver(self, port: document.ServicePort) -> Callable:
        return lambda datagram, now: self._receive(port, datagram, now)

    def handle_packet(self, data: bytes, now: float) -> None:
        """Handles a packet for the target's address."""
        if self.state is State.DEAD and self._death is Death.SILENT:
            return
        delay_s = self.faults.delay_s
        if now < self._overloaded_until:
            delay_s = max(delay_s, self.faults.cold_delay_s)
        if delay_s <= 0 and now >= self._last_handled:
            self._stack.handle_packet(data, now)
            return
        # Delayed packets keep their order.
        self._last_handled = max(self._last_handled, now + delay_s)
        stack = self._stack
        self._timers.call_at(
            self._last_handled, lambda later: stack.handle_packet(data, later)
        )

    def kill(self, death: Death) -> None:
        """Ends all flows immediately, without a packet to the callers."""
        self.state = State.DEAD
        self._death = death
        self._stack.close()
        self._stack = hosts.Stack(
            send=self._send, timers=self._timers, generator=self._generator
        )
        self._incarnation = object()
        self.connections = 0
        self.slots = 0

    def restart(self, now: float, cold_s: float) -> None:
        """Restarts the target without state, cold for `cold_s` seconds."""
        self.state = State.READY
        self._stack.close()
        self._start_stack()
        if cold_s > 0:
            self.become_cold(now, cold_s)

    def become_cold(self, now: float, cold_s: float) -> None:
        """Makes the target cold for `cold_s` seconds."""
        self.state = State.COLD
        self._cold_since = now
        self._cold_until = now + cold_s
        self._tokens = float(self.service.policy.ramp_initial)
        self._refilled_at = now
        incarnation = self._incarnation
        self._timers.call_at(now + cold_s, lambda _: self._warm_up(incarnation))

    def drain(self, draining: bool) -> None:
        """Sets the state to draining, or ready; flows are still served."""
        self.state = State.DRAINING if draining else State.READY

    def set_faults(self, request: dict) -> None:
        """Replaces the faults.

        Raises:
            PlanError: The request has an unknown field.
        """
        try:
            self.faults = Faults(**request)
        except TypeError as error:
            raise exceptions.PlanError(str(error)) from error

    def record_report(self, now: float) -> None:
        """Stores the current report for the fault `health_lag_s`."""
        self._reports.append((now, self._build_report()))
        oldest = now - self.faults.health_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= oldest:
            self._reports.pop(0)

    def report_health(self, now: float) -> dict:
        """Returns the report of the health endpoint, with faults applied."""
        self.record_report(now)
        return {**self._reports[0][1], **self.faults.health_lie}

    def dump_state(self) -> dict:
        """Returns the current state as JSON-serializable values."""
        return {
            **self._build_report(),
            "service": self.service.id,
            "domain": self.domain,
            "cold_since": self._cold_since,
            "resets_sent": self._stack.resets_sent,
            "bad_packets": self._stack.bad_packets,
        }

    def _build_report(self) -> dict:
        return {
            "state": self.state.value,
            "connections": self.connections,
            "slots_in_use": self.slots,
        }

    def _warm_up(self, incarnation: object) -> None:
        if self._incarnation is incarnation and self.state is State.COLD:
            self.state = State.READY

    def _count(self, event: str) -> None:
        self._ledger.count(self.name, event)

    def _admit(self, kind: document.PortKind, now: float) -> bool:
        """Counts a new flow; returns whether the target accepts it."""
        if self._draw(self.faults.shed):
            self._count("shed")
            return False
        self._ledger.record_admission(self.name, now, kind.value)
        self._count(f"admitted_{kind.value}")
        if self.state is State.DRAINING:
            self._count("admitted_draining")
        if self.state is State.COLD and not self._take_token(now):
            self._count("over_ramp")
            if self.faults.cold_fails:
                return False
            self._overloaded_until = now + _OVERLOAD_S
        self.connections += 1
        self.slots += kind is not document.PortKind.STREAM
        policy = self.service.policy
        above = self.connections > policy.connections
        if above or self.slots > policy.slots:
            self._count("over_limit")
        return True

    def _take_token(self, now: float) -> bool:
        policy = self.service.policy
        doublings = int((now - self._cold_since) / policy.ramp_step_s)
        rate = policy.ramp_initial * 2**doublings
        # Allows one flow more than the rate of a second, because the ramps of
        # target and balancer do not start at the same time.
        self._tokens = min(
            self._tokens + rate * (now - self._refilled_at), rate + 1.0
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _build_free_slot(self, kind: document.PortKind) -> Callable[[], None]:
        """Returns a function that frees the slot of a flow at its first call.

        The slot is freed when the work is done, because the balancer may see
        the end of the flow before the target does.
        """
        incarnation = self._incarnation
        is_held = kind is not document.PortKind.STREAM

        def free_slot() -> None:
            nonlocal is_held
            if is_held and self._incarnation is incarnation:
                self.slots -= 1
            is_held = False

        return free_slot

    def _build_release(
        self, free_slot: Callable[[], None]
    ) -> Callable[[], None]:
        incarnation = self._incarnation

        def release() -> None:
            free_slot()
            if self._incarnation is incarnation:
                self.connections -= 1

        return release

    def _accept(
        self, port: document.ServicePort, now: float
    ) -> hosts.Callback | None:
        if not self._admit(port.kind, now):
            return None
        free_slot = self._build_free_slot(port.kind)
        context = sessions.Context(
            timers=self._timers,
            stack=self._stack,
            service=self.service.id,
            count=self._count,
            run=self._build_runner(port),
            free_slot=free_slot,
            release=self._build_release(free_slot),
            idle_limit_s=self.service.policy.request_deadline_s,
        )
        session = sessions.Session(kind=port.kind, context=context)
        return session.handle_event

    def _build_runner(self, port: document.ServicePort) -> Callable:
        def run(
            request: dict, now: float, answer: Callable
        ) -> Callable[[], None]:
            return self._run(port, request, now, answer)

        return run

    def _run(
        self,
        port: document.ServicePort,
        request: dict,
        now: float,
        answer: Callable[[bytes | None, float], None],
    ) -> Callable[[], None]:
        """Runs a request; `answer` is called with None when it fails."""
        self._count("runs")
        if not port.idempotent and self._ledger.record_run(request["flow"]) > 1:
            self._count("doubled")
        if self._draw(self.faults.fail):
            self._count("failed")
            answer(None, now)
            return lambda: None
        work_s = request.get("work_s", 0.0) + self.faults.work_s
        deadline_s = request.get("deadline_s", work_s)
        late = work_s > deadline_s
        if late:
            self._count("deadline")
        data = _build_answer(self.name, request, late)
        timer = self._timers.call_at(
            now + min(work_s, deadline_s), lambda later: answer(data, later)
        )
        return timer.cancel

    def _receive(
        self,
        port: document.ServicePort,
        datagram: segments.Datagram,
        now: float,
    ) -> None:
        try:
            request = json.loads(datagram.payload)
            flow = request["flow"]
        except (ValueError, KeyError, TypeError):
            self._count("bad_line")
            return
        if request.get("service") != self.service.id:
            self._count("wrong_service")
            return
        if flow in self._answers:
            self._count("repeated")
            self._send_answer(flow, datagram)
            return
        if not self._admit(port.kind, now):
            return
        self._cache_answer(flow, b"")
        release = self._build_release(self._build_free_slot(port.kind))
        incarnation = self._incarnation

        def answer(data: bytes | None, _: float) -> None:
            release()
            if data is None or self._incarnation is not incarnation:
                return
            self._cache_answer(flow, data[:_MAXIMUM_DATAGRAM_BYTES])
            self._send_answer(flow, datagram)

        self._run(port, request, now, answer)

    def _cache_answer(self, flow: str, answer: bytes) -> None:
        self._answers[flow] = answer
        if len(self._answers) > _MAX_CACHED_ANSWERS:
            del self._answers[next(iter(self._answers))]

    def _send_answer(self, flow: str, datagram: segments.Datagram) -> None:
        answer = self._answers[flow]
        if not answer:
            return
        self._stack.send_datagram(
            segments.Datagram(
                source=datagram.destination,
                source_port=datagram.destination_port,
                destination=datagram.source,
                destination_port=datagram.source_port,
                payload=answer,
            )
        )

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self._generator.random() < probability


def _build_answer(target: str, request: dict, late: bool) -> bytes:
    size_bytes = 0 if late else request.get("answer_bytes", 0)
    line = {"flow": request["flow"], "target": target, "late": late}
    tag = content.tag_flow(request["flow"])
    filler = content.build_record(tag, 0, size_bytes) if size_bytes else b""
    return json.dumps(line).encode() + b"\n" + filler
