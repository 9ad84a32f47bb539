"""A fleet of balancers that pass forwarded packets by direct calls."""

import collections
import dataclasses
import itertools

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.configuration import document as documents
from chivedoor.flows import owner as owners
from chivedoor.membership import members as memberships
from standins import segments

SYN, ACK, FIN, RST = 0x02, 0x10, 0x01, 0x04
SERVICE = bytes((203, 0, 113, 10))
OTHER_SERVICE = bytes((203, 0, 113, 20))
STREAM_PORT, REQUEST_PORT, DATAGRAM_PORT = 8000, 8001, 8002
TARGET_OFFSET = 1000
REGION = ids.RegionId("r1")
DOMAINS = tuple(ids.DomainId(name) for name in "abc")


def make_policy(**changes) -> documents.Policy:
    values = {
        "id": documents.PolicyId("p"),
        "connections": 1000,
        "slots": 4,
        "ramp_initial": 1000,
        "ramp_step_s": 1.0,
        "request_deadline_s": 5.0,
        "drain_deadline_s": 600.0,
        "idle_timeout_s": 600.0,
        "flow_rate_per_s": 100000,
        "priority": 1,
    }
    return documents.Policy(**(values | changes))


def make_endpoint(number: int, domain: str, **changes) -> documents.Endpoint:
    values = {
        "number": ids.EndpointNumber(number),
        "address": bytes((127, 1, 0, number)),
        "domain": ids.DomainId(domain),
        "weight": 100,
        "state": documents.EndpointState.ACTIVE,
        "health_port": None,
    }
    return documents.Endpoint(**(values | changes))


def make_service(endpoints, **changes) -> documents.Service:
    ports = (
        ("TCP", STREAM_PORT, documents.PortKind.STREAM, True),
        ("TCP", REQUEST_PORT, documents.PortKind.REQUEST, False),
        ("UDP", DATAGRAM_PORT, documents.PortKind.REQUEST, False),
    )
    values = {
        "id": ids.ServiceId("listening"),
        "addresses": (SERVICE,),
        "policy": make_policy(),
        "ports": tuple(
            documents.ServicePort(
                protocol=documents.Protocol[protocol],
                port=port,
                target_port=port + TARGET_OFFSET,
                kind=kind,
                idempotent=idempotent,
            )
            for protocol, port, kind, idempotent in ports
        ),
        "endpoints": tuple(endpoints),
    }
    return documents.Service(**(values | changes))


def make_document(version: int, *services) -> documents.Document:
    return documents.Document(
        version=ids.Version(version),
        reuse_delay_s=86400.0,
        domains={
            domain: documents.Domain(id=domain, region=REGION, out=False)
            for domain in DOMAINS
        },
        policies={},
        services={service.id: service for service in services},
        retired=(),
    )


def make_member(
    name: str,
    domain: str,
    *,
    incarnation: int = 1,
    state: memberships.MemberState = memberships.MemberState.ACTIVE,
) -> memberships.Member:
    return memberships.Member(
        id=ids.VmId(name),
        domain=ids.DomainId(domain),
        region=REGION,
        address="127.0.0.1",
        peer_port=1,
        gossip_port=1,
        channel_port=1,
        incarnation=ids.Incarnation(incarnation),
        state=state,
    )


def create_admission(*, endpoint, policy, now):
    del endpoint
    return admissions.TargetAdmission(policy=policy, cold=False, now=now)


@dataclasses.dataclass(frozen=True)
class Delivered:
    """A packet that left the fleet, and the balancer that delivered it."""

    packet: segments.Segment | segments.Datagram | segments.Unreachable
    member: ids.VmId


class Fleet:
    """Balancers, each with its own view of the members.

    Attributes:
      cut_links: Pairs of balancers whose packets to each other are lost.
      drops: Number of drops by reason.
      refusals: Number of refusals by reason.
      forwards: Number of forwarded packets by kind.
    """

    def __init__(self, *, per_domain: int, document, now: float = 0.0) -> None:
        self.now = now
        self.cut_links: set[frozenset[ids.VmId]] = set()
        self.drops: collections.Counter = collections.Counter()
        self.refusals: collections.Counter = collections.Counter()
        self.forwards: collections.Counter = collections.Counter()
        self.balancers: dict[ids.VmId, balancers.Balancer] = {}
        names = [
            (f"{domain}{index}", domain)
            for domain, index in itertools.product(DOMAINS, range(per_domain))
        ]
        for name, domain in names:
            self._add(name, domain, names)
        self.apply(document)

    def _add(self, name, domain, names) -> None:
        members = memberships.Members(local=make_member(name, domain))
        for other, other_domain in names:
            if other != name:
                members.merge(make_member(other, other_domain), self.now)
        self.balancers[ids.VmId(name)] = self._create(members)

    def _create(self, members) -> balancers.Balancer:
        return balancers.Balancer(
            members=members,
            region=REGION,
            admission_factory=create_admission,
            salt=len(self.balancers),
            now=self.now,
        )

    def apply(self, document, *, out=frozenset(), only=None) -> None:
        """Applies a document on all balancers, or only on the given ones."""
        self.document = document
        for name, balancer in self.balancers.items():
            if only is None or name in only:
                balancer.apply_document(
                    document=document, out_domains=out, now=self.now
                )

    def finish_recovery(self) -> None:
        """Advances the time past the recovery of new owners."""
        self.advance(30.0)

    def advance(self, seconds: float) -> None:
        """Advances the time and runs the periodic work of each balancer."""
        self.now += seconds
        for balancer in self.balancers.values():
            balancer.tick(self.now)

    def kill(self, *names) -> None:
        """Removes balancers; the others learn of it at once."""
        for name in names:
            del self.balancers[name]
        for balancer in self.balancers.values():
            for name in names:
                balancer.context.members.confirm_dead(name, self.now)
            balancer.update_members(self.now)

    def restart(self, name, domain, document) -> None:
        """Restarts a dead balancer as a joining one without records."""
        member = make_member(
            name,
            domain,
            incarnation=2,
            state=memberships.MemberState.JOINING,
        )
        members = memberships.Members(local=member)
        for balancer in self.balancers.values():
            balancer.context.members.merge(member, self.now)
            members.merge(balancer.context.members.local, self.now)
            balancer.update_members(self.now)
        self.balancers[ids.VmId(name)] = self._create(members)
        if document is not None:
            self.apply(document, only={name})

    def activate(self, name) -> None:
        """Makes a joining balancer active in the view of all balancers."""
        self.balancers[name].context.members.activate(self.now)
        local = self.balancers[name].context.members.local
        for balancer in self.balancers.values():
            balancer.context.members.merge(local, self.now)
            balancer.update_members(self.now)

    def mark_dead(self, observer, *names) -> None:
        """Makes one balancer consider other, running balancers dead."""
        balancer = self.balancers[observer]
        for name in names:
            balancer.context.members.confirm_dead(name, self.now)
        balancer.update_members(self.now)

    def replace_with_isolated_joiner(self, name) -> None:
        """Replaces a balancer by a newly started one that knows no peers."""
        old = self.balancers[name].context
        local = dataclasses.replace(
            old.members.local, state=memberships.MemberState.JOINING
        )
        balancer = balancers.Balancer(
            members=memberships.Members(local=local),
            region=REGION,
            admission_factory=create_admission,
            salt=len(self.balancers),
            now=self.now,
        )
        balancer.apply_document(
            document=self.document, out_domains=frozenset(), now=self.now
        )
        self.balancers[name] = balancer

    def pull(self) -> None:
        """Runs all pulls whose owner can be reached."""
        for balancer in self.balancers.values():
            for pull in balancer.targets.list_pulls():
                self._pull(balancer, pull)

    def _pull(self, balancer, pull) -> None:
        source = self.balancers.get(pull.identity.member)
        if source is None:
            return
        pair = frozenset((balancer.context.local_id, pull.identity.member))
        if pair in self.cut_links:
            return
        cursor = 0
        while cursor is not None:
            batch = source.targets.read_flows(
                number=pull.number,
                base=pull.base,
                generation=pull.generation,
                after=cursor,
                reader=balancer.targets.get_local_identity(),
            )
            if batch is None:
                return
            balancer.targets.accept_flows(pull, batch, self.now)
            cursor = batch.cursor

    def announce_modes(self) -> None:
        """Distributes the direct modes of all owners to all balancers."""
        modes = {
            name: balancer.list_direct_modes(self.now)
            for name, balancer in self.balancers.items()
        }
        for balancer in self.balancers.values():
            balancer.clear_direct_modes()
            for mode in itertools.chain.from_iterable(modes.values()):
                balancer.set_direct_mode(mode)

    def settle(self) -> None:
        """Runs pulls and mode announcements until they reach a steady state."""
        self.pull()
        self.advance(10.0)
        self.pull()
        self.announce_modes()

    def clear_direct_modes(self) -> None:
        """Makes all balancers send established packets through owners."""
        for balancer in self.balancers.values():
            balancer.clear_direct_modes()

    def send(self, name, content) -> list[Delivered]:
        """Sends a packet to a balancer; returns the packets that it caused."""
        balancer = self.balancers[ids.VmId(name)]
        data = segments.build_packet(content)
        return self._perform(
            ids.VmId(name), balancer.handle_packet(data, self.now)
        )

    def _perform(self, name, results) -> list[Delivered]:
        delivered = []
        for action in results:
            if isinstance(action, actions.Drop):
                self.drops[action.reason] += 1
            elif isinstance(action, actions.Forward):
                delivered += self._forward(name, action)
            else:
                if isinstance(action, actions.Refuse):
                    self.refusals[action.reason] += 1
                packet = segments.read_packet(bytes(action.data))
                delivered.append(Delivered(packet, name))
        return delivered

    def _forward(self, name, action) -> list[Delivered]:
        self.forwards[action.header.kind] += 1
        peer = self.balancers.get(action.member)
        if peer is None or frozenset((name, action.member)) in self.cut_links:
            return []
        results = peer.handle_forwarded(
            action.header, bytes(action.data), self.now
        )
        return self._perform(action.member, results)

    def find_owner(self, number: int) -> ids.VmId:
        """Returns the owner of a target in the view of the first balancer."""
        balancer = next(iter(self.balancers.values()))
        _, endpoint = balancer.context.directory.endpoints_by_number[number]
        return balancer.context.find_owner(endpoint)

    def get_target(self, number: int) -> owners.TargetState:
        """Returns the state of a target at its owner."""
        owner = self.balancers[self.find_owner(number)]
        return owner.context.targets[ids.EndpointNumber(number)]


def make_segment(caller_port, flags, *, port=STREAM_PORT, payload=b"", seq=100):
    return segments.Segment(
        source=bytes((198, 51, 100, 7)),
        source_port=caller_port,
        destination=SERVICE,
        destination_port=port,
        sequence=seq,
        acknowledgement=1 if flags & ACK else 0,
        flags=flags,
        payload=payload,
    )


def make_datagram(caller_port, payload, *, port=DATAGRAM_PORT):
    return segments.Datagram(
        source=bytes((198, 51, 100, 7)),
        source_port=caller_port,
        destination=SERVICE,
        destination_port=port,
        payload=payload,
    )


def make_answer(delivered, flags=ACK, payload=b""):
    """Returns a target's answer to a delivered packet."""
    packet = delivered.packet
    common = {
        "source": packet.destination,
        "source_port": packet.destination_port,
        "destination": packet.source,
        "destination_port": packet.source_port,
        "payload": payload,
    }
    if isinstance(packet, segments.Datagram):
        return segments.Datagram(**common)
    return segments.Segment(
        sequence=500, acknowledgement=101, flags=flags, **common
    )
