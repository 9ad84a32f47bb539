"""A simulated fleet with packets in flight and a central model of its flows.

Section numbers refer to docs/design.md; section 2.4 is point 4 of section 2.
"""

import collections
import dataclasses
import itertools

from chivedoor import ids
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.dataplane import encapsulation
from chivedoor.membership import members as memberships
from standins import segments
from tests.balancer import fleet as fleets

_CALLER = bytes((198, 51, 100, 7))
_PORTS = {
    "stream": fleets.STREAM_PORT,
    "request": fleets.REQUEST_PORT,
    "datagram": fleets.DATAGRAM_PORT,
}
CONNECTIONS, SLOTS = 4, 2
POLICY = fleets.make_policy(
    connections=CONNECTIONS, slots=SLOTS, idle_timeout_s=120.0
)
_OPENING_TIMEOUT_S = 20.0
# Maximum age of a retransmitted first packet. Closed records are kept for
# `flows.const.CLOSED_LINGER_S` (section 2.7), and an unanswered handshake ends
# after `flows.const.OPENING_TIMEOUT_S`.
MAX_RETRANSMISSION_AGE_S = 20.0
# Sequence numbers encode the target that sent a packet, so that the caller
# can tell targets apart behind the service's address.
_SEQUENCE_UNIT = 1000


@dataclasses.dataclass
class InFlightPacket:
    """A packet in flight.

    Attributes:
      sender: The forwarding balancer, or None for a packet from the fabric.
      receiver: The balancer that gets the packet.
      header: The header of a forwarded packet.
      data: The IP packet.
      sent_at_s: When the packet was sent.
    """

    sender: ids.VmId | None
    receiver: ids.VmId
    header: encapsulation.Header | None
    data: bytes
    sent_at_s: float


@dataclasses.dataclass
class Flow:
    """The model's state of one flow.

    Attributes:
      port: The caller's port.
      kind: The kind of the service's port.
      service: The service's address.
      opened_s: When the first packet was sent.
      target_number: The target whose handshake the caller accepted.
      reached: The targets that a packet of the flow has reached.
      is_lost: Whether the flow's target was removed or taken out.
      is_done: Whether either side has started to end the flow.
      payloads: How often each request of a UDP flow reached a target.
      answered: Whether the last request was answered.
      is_refused: Whether a balancer refused the flow.
      is_reset: Whether a target's RST reached the caller.
    """

    port: int
    kind: str
    service: bytes
    opened_s: float
    target_number: int | None = None
    reached: set[int] = dataclasses.field(default_factory=set)
    is_lost: bool = False
    is_done: bool = False
    is_refused: bool = False
    is_reset: bool = False
    payloads: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    answered: bool = False

    @property
    def is_open(self) -> bool:
        """Whether packets of the flow must reach its target."""
        return self.target_number is not None and not (
            self.is_lost or self.is_done
        )


@dataclasses.dataclass
class Connection:
    """A flow's state at its target."""

    flow: Flow
    opened_s: float
    last_used_s: float
    is_half_open: bool = True
    has_slot: bool = False
    caller_fin: bool = False
    target_fin: bool = False


class Target:
    """A simulated target with its open flows; TCP carries no data."""

    def __init__(self, number: int, service: bytes) -> None:
        self.number = number
        self.service = service
        self.open: dict[int, Connection] = {}
        self.ended: set[int] = set()

    @property
    def slots(self) -> int:
        """Number of flows that use a slot."""
        return sum(c.has_slot for c in self.open.values())

    def accept(self, flow: Flow, now: float) -> None:
        """Adds an open flow."""
        self.open[flow.port] = Connection(
            flow=flow,
            opened_s=now,
            last_used_s=now,
            has_slot=flow.kind != "stream",
        )

    def end(self, port: int) -> None:
        """Moves a flow from the open to the ended ones."""
        self.open.pop(port)
        self.ended.add(port)

    def list_timed_out(self, now: float) -> list[Connection]:
        """Returns the flows that the target ends because of a timeout.

        A target abandons a request by the request deadline, which is why
        section 5 keeps slots closed for that long after a takeover. The other
        two timeouts are those at which the owner closes its record.
        """
        return [
            c
            for c in self.open.values()
            if (c.has_slot and now - c.opened_s >= POLICY.request_deadline_s)
            or (c.is_half_open and now - c.opened_s >= _OPENING_TIMEOUT_S)
            or now - c.last_used_s >= POLICY.idle_timeout_s
        ]


class Simulation(fleets.Fleet):
    """Simulates balancers, network, targets and callers, and checks them."""

    def __init__(self, *, document, rng, services) -> None:
        self.rng = rng
        self.in_flight: list[InFlightPacket] = []
        self.flows: dict[int, Flow] = {}
        self.targets: dict[int, Target] = {}
        self.services = services
        self.crashed: set[ids.VmId] = set()
        self.out: dict[ids.VmId, frozenset] = {}
        self.document = document
        self.members: dict[ids.VmId, memberships.Member] = {}
        self.is_stable = True
        self.current_packet: InFlightPacket | None = None
        super().__init__(per_domain=2, document=document)
        self.record_document(document)
        self.members = {
            name: balancer.context.members.local
            for name, balancer in self.balancers.items()
        }
        self.advance(30.0)
        self.settle()

    # Network.

    def _forward(self, name, action):
        self.forwards[action.header.kind] += 1
        self.in_flight.append(
            InFlightPacket(
                name,
                action.member,
                action.header,
                bytes(action.data),
                self.now,
            )
        )
        return []

    def send_via_fabric(self, content) -> None:
        """Sends a packet to a balancer that the fabric chooses at random."""
        receiver = self.rng.choice(sorted(self.balancers))
        data = segments.build_packet(content)
        self.in_flight.append(
            InFlightPacket(None, receiver, None, data, self.now)
        )

    def step(self, index: int) -> None:
        """Delivers one packet in flight to its receiver."""
        item = self.current_packet = self.in_flight.pop(index)
        receiver = self.balancers.get(item.receiver)
        if receiver is None:
            return
        if item.header is None:
            results = receiver.handle_packet(item.data, self.now)
        else:
            results = receiver.handle_forwarded(
                item.header, item.data, self.now
            )
        for result in results:
            if isinstance(result, actions.Refuse):
                self._check_refusal(bytes(result.data))
            elif isinstance(result, actions.Abort):
                self._check_abort(bytes(result.data))
        for delivered in self._perform(item.receiver, results):
            self._arrive(delivered)

    def flush(self) -> None:
        """Delivers all packets in flight and those that they cause."""
        while self.in_flight:
            self.step(0)

    def pass_time(self, seconds: float) -> None:
        """Advances the time at targets and balancers."""
        for target in self.targets.values():
            late = target.list_timed_out(self.now + seconds)
            for connection in late:
                target.end(connection.flow.port)
                connection.flow.is_done = True
        self.advance(seconds)
        self.pull_and_join()
        self.announce_modes()

    # Targets and callers.

    def _arrive(self, delivered: fleets.Delivered) -> None:
        packet = delivered.packet
        if isinstance(packet, segments.Unreachable):
            return
        if packet.destination == _CALLER:
            self._arrive_at_caller(packet)
            return
        self._arrive_at_target(packet, delivered.member)

    def _arrive_at_target(self, packet, member: ids.VmId) -> None:
        flow = self.flows[packet.source_port]
        target = self.targets[packet.destination[3]]
        assert target.service == flow.service, (
            "a packet reached another service's endpoint"
        )
        endpoint = self._find_endpoint(member, target.number)
        assert endpoint.domain not in self.out.get(member, ()), (
            "a packet was sent to a failure domain that is out"
        )
        flow.reached.add(target.number)
        if isinstance(packet, segments.Datagram):
            self._receive_datagram(flow, target, packet)
        elif packet.flags & fleets.SYN:
            self._receive_syn(flow, target)
        else:
            self._receive_segment(flow, target, packet)
        self._check_limits(target)

    def _find_endpoint(self, member, number):
        context = self.balancers[member].context
        return context.directory.endpoints_by_number[
            ids.EndpointNumber(number)
        ][1]

    def _receive_datagram(self, flow, target, packet) -> None:
        flow.payloads[packet.payload] += 1
        assert flow.payloads[packet.payload] == 1, "a request ran twice"
        target.ended.discard(flow.port)
        target.accept(flow, self.now)

    def _receive_syn(self, flow, target) -> None:
        if flow.port in target.ended and target.number == flow.target_number:
            # A late copy of the SYN of a connection in TIME-WAIT.
            return
        if flow.port not in target.open:
            target.accept(flow, self.now)
        self.send_from_target(flow, target.number, fleets.SYN | fleets.ACK)

    def _receive_segment(self, flow, target, packet) -> None:
        if not flow.is_lost and target.number != flow.target_number:
            assert self._is_mode_outdated(target), (
                "a packet reached a target that does not have the flow"
            )
        connection = target.open.get(flow.port)
        if connection is None:
            if not packet.flags & fleets.RST:
                self.send_from_target(flow, target.number, fleets.RST)
            return
        connection.is_half_open = False
        connection.last_used_s = self.now
        if packet.flags & fleets.RST:
            target.end(flow.port)
            return
        connection.caller_fin |= bool(packet.flags & fleets.FIN)
        if connection.caller_fin and connection.target_fin:
            target.end(flow.port)

    def _is_mode_outdated(self, target) -> bool:
        """Returns whether a receiver used mode `DIRECT` after its withdrawal.

        Sections 2.4 and 2.6: the mode is distributed by gossip, so a receiver
        may still use it shortly after the owner set an override. Such a packet
        must be retransmitted. This is not allowed once all balancers have the
        current modes.
        """
        is_held = any(
            mode.number == target.number
            for balancer in self.balancers.values()
            for mode in balancer.list_direct_modes(self.now)
        )
        context = self.balancers[self.current_packet.receiver].context
        routes, _ = context.directory.endpoints_by_number[target.number]
        is_direct = target.number in routes.direct_endpoints
        return self.current_packet.header is None and is_direct and not is_held

    def send_from_target(
        self, flow, number: int, flags: int, payload=b""
    ) -> None:
        """Sends a packet from a target."""
        common = {
            "source": bytes((127, 1, 0, number)),
            "source_port": _PORTS[flow.kind] + fleets.TARGET_OFFSET,
            "destination": _CALLER,
            "destination_port": flow.port,
            "payload": payload,
        }
        if flow.kind == "datagram":
            self.send_via_fabric(segments.Datagram(**common))
            return
        self.send_via_fabric(
            segments.Segment(
                sequence=number * _SEQUENCE_UNIT,
                acknowledgement=101,
                flags=flags,
                **common,
            )
        )

    def _arrive_at_caller(self, packet) -> None:
        flow = self.flows[packet.destination_port]
        assert packet.source == flow.service, (
            "an answer does not come from the service's address"
        )
        assert packet.source_port == _PORTS[flow.kind], (
            "an answer does not come from the service's port"
        )
        if isinstance(packet, segments.Datagram):
            flow.answered = True
            return
        number = packet.sequence // _SEQUENCE_UNIT
        if flow.is_refused or not number:
            return
        if packet.flags & fleets.RST:
            # Section 7: a flow whose failure domain or endpoint is gone is
            # reset on its next packet, possibly by its new base target.
            assert flow.is_lost or number == flow.target_number, (
                f"target {number} reset a flow of another target: {flow}"
            )
            flow.is_reset = flow.is_done = True
        elif packet.flags & fleets.SYN and flow.target_number is None:
            flow.target_number = number
            self.send_from_caller(flow, fleets.ACK)

    def send_from_caller(self, flow, flags: int, payload=b"") -> None:
        """Sends a packet from a caller."""
        if flow.kind == "datagram":
            packet = fleets.make_datagram(flow.port, payload)
        else:
            packet = fleets.make_segment(
                flow.port, flags, port=_PORTS[flow.kind], payload=payload
            )
        packet.destination = flow.service
        self.send_via_fabric(packet)

    # Checks.

    def _check_refusal(self, data: bytes) -> None:
        packet = segments.read_packet(data)
        if isinstance(packet, segments.Unreachable):
            # Each datagram is a separate request. The refusal states that the
            # only unanswered request of the flow did not run.
            flow = self.flows[packet.source_port]
            assert not flow.payloads[self.last_payload(flow)], (
                "a request was refused although it reached a target"
            )
            return
        flow = self.flows[packet.destination_port]
        assert not flow.reached, "a flow was refused that reached a target"
        flow.is_refused = True

    def _check_abort(self, data: bytes) -> None:
        flow = self.flows[segments.read_packet(data).destination_port]
        assert flow.is_lost, (
            "a flow was aborted although its target is in service"
        )

    def last_payload(self, flow) -> bytes:
        """Returns the latest request, the only one that may be unanswered."""
        return max(flow.payloads, default=b"")

    def _check_limits(self, target: Target) -> None:
        assert len(target.open) <= CONNECTIONS, (
            "a target exceeds its connection limit"
        )
        assert target.slots <= SLOTS, "a target exceeds its slot limit"

    def check_delivery(self) -> None:
        """Checks that a packet of every open flow reaches its target."""
        for flow in tuple(self.flows.values()):
            if flow.kind == "datagram" or not flow.is_open:
                continue
            connection = self.targets[flow.target_number].open.get(flow.port)
            if connection is None:
                continue
            connection.last_used_s = -1.0
            self.send_from_caller(flow, fleets.ACK)
            self.flush()
            assert connection.last_used_s == self.now, (
                "an open flow is unreachable"
            )

    # Changes of documents, failure domains and members.

    def record_document(self, document) -> None:
        """Adds the targets of a new document to the model."""
        listed = {
            endpoint.number: service.addresses[0]
            for service in document.services.values()
            for endpoint in service.endpoints
        }
        for number, service in listed.items():
            self.targets.setdefault(number, Target(number, service))
        for flow in self.flows.values():
            # Flows end when their endpoint is removed from the document.
            gone = flow.reached - listed.keys()
            flow.is_lost |= bool(gone)
        for number in self.targets.keys() - listed.keys():
            self.targets[number].open.clear()
        self.document = document

    def mark_domain_lost(self, domain) -> None:
        """Marks all flows to a failure domain as lost (section 7)."""
        for number, target in self.targets.items():
            if get_domain(number) != domain:
                continue
            for connection in target.open.values():
                connection.flow.is_lost = True

    def apply_to(self, document, out, names) -> None:
        """Applies a document and the out domains on the given balancers."""
        for name in names:
            if name in self.balancers:
                self.out[name] = out
                self.balancers[name].apply_document(
                    document=document, out_domains=out, now=self.now
                )

    def crash(self, name) -> None:
        """Stops a balancer; the others do not know it yet."""
        del self.balancers[name]
        self.crashed.add(name)

    def detect(self) -> None:
        """Makes all balancers consider the crashed ones dead."""
        for balancer in self.balancers.values():
            for name in self.crashed:
                balancer.context.members.confirm_dead(name, self.now)
            balancer.update_members(self.now)

    def restart(self, name, out) -> None:
        """Restarts a crashed balancer without records."""
        self.crashed.discard(name)
        old = self.members[name]
        local = dataclasses.replace(
            old,
            incarnation=ids.Incarnation(old.incarnation + 1),
            sequence=0,
            state=memberships.MemberState.JOINING,
        )
        members = memberships.Members(local=local)
        for other in self.balancers.values():
            members.merge(other.context.members.local, self.now)
        balancer = balancers.Balancer(
            members=members,
            region=fleets.REGION,
            admission_factory=fleets.create_admission,
            salt=len(self.members) + local.incarnation,
            now=self.now,
        )
        self.balancers[name] = balancer
        # A joining balancer gets all members of its domain from the platform.
        self.apply_to(self.document, out, (name,))
        self._distribute_member(name)

    def _distribute_member(self, name) -> None:
        local = self.balancers[name].context.members.local
        self.members[name] = local
        for balancer in self.balancers.values():
            balancer.context.members.merge(local, self.now)
            balancer.update_members(self.now)

    def pull_and_join(self) -> None:
        """Runs pulls; joining balancers with all records become active."""
        self.pull()
        for name, balancer in tuple(self.balancers.items()):
            members = balancer.context.members
            is_joining = members.local.state is memberships.MemberState.JOINING
            if is_joining and not balancer.targets.list_pulls():
                members.activate(self.now)
                balancer.update_members(self.now)
                self._distribute_member(name)
        self.pull()

    def refute_deaths(self) -> None:
        """Lets running members refute that others consider them dead."""
        pairs = itertools.permutations(sorted(self.balancers), 2)
        for observer, name in pairs:
            known = self.balancers[observer].context.members.get(name)
            if known is not None and not known.is_alive:
                members = self.balancers[name].context.members
                members.merge(known, self.now)
        for name in sorted(self.balancers):
            self._distribute_member(name)

    def settle(self) -> None:
        """Advances until views, documents, pulls and modes are steady."""
        for _ in range(3):
            self.pull_and_join()
            self.pass_time(0.5)
        self.pass_time(3.0)


def get_domain(number: int) -> ids.DomainId:
    """Returns the failure domain of a simulated endpoint."""
    return fleets.DOMAINS[number % len(fleets.DOMAINS)]
