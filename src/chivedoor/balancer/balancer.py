"""Entry point of the packet handling: takes packets and returns actions."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from chivedoor import ids
from chivedoor.admission import duplicates
from chivedoor.admission import rate
from chivedoor.balancer import actions
from chivedoor.balancer import answers as target_answers
from chivedoor.balancer import const
from chivedoor.balancer import context as contexts
from chivedoor.balancer import owned_flows
from chivedoor.balancer import receiver as receivers
from chivedoor.balancer import replication as replications
from chivedoor.balancer import resolver as resolvers
from chivedoor.balancer import segments
from chivedoor.balancer import silence
from chivedoor.balancer import targets as owned_targets
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import exceptions as packet_errors
from chivedoor.dataplane import packet as packets
from chivedoor.flows import owner as owners
from chivedoor.flows import refresh
from chivedoor.membership import members as memberships
from chivedoor.routing import directory as directories

_ForwardKind = encapsulation.ForwardKind
_RECORDING_KINDS = frozenset({_ForwardKind.CHAIN, _ForwardKind.COPY})
_BASE_LOOKUP_KINDS = frozenset({_ForwardKind.RESOLVE, _ForwardKind.SUSPECT})
_REFRESH_WINDOW_S = 600.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class DirectMode:
    """An owner's announcement that a target is in mode `DIRECT`.

    In this mode, every balancer sends established packets straight to the
    target instead of through its owner.
    """

    number: ids.EndpointNumber
    identity: owners.OwnerIdentity
    generation: ids.Generation


class Balancer:
    """Packet handling of one entry VM, without I/O and without a clock."""

    def __init__(
        self,
        *,
        members: memberships.Members,
        region: ids.RegionId,
        admission_factory: contexts.AdmissionFactory,
        salt: int,
        now: float,
        max_flows: int = const.MAX_FLOWS,
    ) -> None:
        self.context = contexts.Context(
            members=members,
            directory=directories.ServiceDirectory(),
            targets={},
            owner_rankings={},
            replica_rankings={},
            max_flows=max_flows,
        )
        self._region = region
        self._limited_services: frozenset[ids.ServiceId] = frozenset()
        self._direct_modes: dict[
            ids.EndpointNumber, dict[ids.VmId, DirectMode]
        ] = {}
        self._request_filter = duplicates.DuplicateFilter()
        self._answer_filter = duplicates.DuplicateFilter()
        self._replication = replications.Replication(
            context=self.context, request_filter=self._request_filter
        )
        self._answer_handler = target_answers.AnswerHandler(
            context=self.context,
            replication=self._replication,
            answer_filter=self._answer_filter,
        )
        self._resolver = resolvers.Resolver(
            context=self.context,
            owned=owned_flows.OwnedFlows(
                context=self.context,
                replication=self._replication,
                request_filter=self._request_filter,
                answer_filter=self._answer_filter,
            ),
            replication=self._replication,
        )
        self._rates = rate.FlowRateLimiter(
            capacity_per_s=const.MAX_NEW_FLOWS_PER_S, now=now
        )
        self.silence_detector = silence.SilenceDetector()
        self._receiver = receivers.Receiver(
            context=self.context,
            resolver=self._resolver,
            answers=self._answer_handler,
            refresh_filter=refresh.RefreshFilter(
                salt=salt, window_s=_REFRESH_WINDOW_S
            ),
            rates=self._rates,
            silence_detector=self.silence_detector,
        )
        self.targets = owned_targets.TargetSet(
            context=self.context, admission_factory=admission_factory
        )

    # Packet handling.

    def handle_packet(
        self, data: bytes | memoryview, now: float
    ) -> list[actions.Action]:
        """Returns the actions for a packet that this VM got from the fabric.

        Args:
          data: One IP packet.
          now: Monotonic seconds.
        """
        try:
            packet = packets.parse_packet(data)
        except packet_errors.PacketError as error:
            return [actions.Drop(error.reason)]
        return self._receiver.receive(packet, now)

    def handle_forwarded(
        self,
        header: encapsulation.Header,
        data: bytes | memoryview,
        now: float,
    ) -> list[actions.Action]:
        """Returns the actions for a packet that another balancer forwarded.

        Args:
          header: The authenticated header of the forwarding balancer.
          data: One IP packet.
          now: Monotonic seconds.
        """
        try:
            packet = packets.parse_packet(data)
        except packet_errors.PacketError as error:
            return [actions.Drop(error.reason)]
        if not self.context.may_send:
            return [actions.Drop(actions.RoutingDrop.DOCUMENT_TOO_OLD)]
        entry = self.context.directory.services.get(
            (packet.protocol, packet.destination, packet.destination_port)
        )
        if entry is not None:
            return self._handle_from_caller(header, packet, entry, now)
        source = self.context.directory.endpoints.get(
            (packet.protocol, packet.source, packet.source_port)
        )
        if source is not None:
            return self._handle_from_target(header, packet, source, now)
        return [actions.Drop(actions.RoutingDrop.NO_SERVICE)]

    def _handle_from_caller(
        self,
        header: encapsulation.Header,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        now: float,
    ) -> list[actions.Action]:
        key = segments.compute_caller_flow_key(packet)
        handlers = {
            _ForwardKind.RESOLVE: self._resolver.resolve,
            _ForwardKind.SUSPECT: self._resolver.resolve_suspected,
            _ForwardKind.NEXT: self._resolver.look_up,
            _ForwardKind.LOOKUP: self._resolver.look_up,
            _ForwardKind.CHAIN: self._replication.record_and_deliver,
            _ForwardKind.COPY: self._replication.record_caller_copy,
        }
        handler = handlers.get(header.kind)
        if handler is None:
            return [actions.Drop(actions.RoutingDrop.NO_SERVICE)]
        if not self._is_trusted(header):
            return [actions.Drop(actions.RoutingDrop.NOT_ALIVE)]
        if not self._belongs_to_service(header, entry):
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        return handler(packet, entry, key, header, now)

    def _is_trusted(self, header: encapsulation.Header) -> bool:
        """Returns whether the sender may change this balancer's records.

        A former owner that was declared dead may resume, or still be
        reachable from some balancers. It must not admit flows through its
        replica.
        """
        return (
            header.kind not in _RECORDING_KINDS
            or header.sender in self.context.live_fingerprints
        )

    def _belongs_to_service(
        self,
        header: encapsulation.Header,
        entry: directories.ServiceEntry,
    ) -> bool:
        """Returns whether a header's endpoint belongs to the packet's service.

        The sender may use a different document, in which the endpoint number
        or the service address belongs to another service.
        """
        if header.kind in _BASE_LOOKUP_KINDS:
            return True
        found = self.context.directory.endpoints_by_number.get(
            ids.EndpointNumber(header.endpoint_number)
        )
        return found is not None and found[0] is entry.routes

    def _handle_from_target(
        self,
        header: encapsulation.Header,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
    ) -> list[actions.Action]:
        if not self._is_trusted(header):
            return [actions.Drop(actions.RoutingDrop.NOT_ALIVE)]
        if header.kind is _ForwardKind.COPY:
            return self._replication.record_target_copy(packet, source, now)
        return self._answer_handler.handle(
            packet, source, now, hops=header.hops
        )

    @property
    def suspicions(self) -> silence.Suspicions:
        """Returns the flows suspected to be silent in one direction."""
        return self._resolver.suspicions

    def abort_silent_flow(
        self, key: ids.FlowKey, now: float
    ) -> list[actions.Action]:
        """Aborts a suspected flow; returns the resets for both ends."""
        return self._resolver.abort_silent_flow(key, now)

    def tick(self, now: float) -> None:
        """Expires outdated records; called several times a second."""
        self.silence_detector.expire(now)
        self.suspicions.expire(now)
        for key in self.targets.tick(now):
            self._request_filter.remove_flow(key)
            self._answer_filter.remove_flow(key)
        self._answer_handler.tick(now)

    # Changes of the document, the members and the direct modes.

    def apply_document(
        self,
        *,
        document: documents.Document,
        out_domains: frozenset[ids.DomainId],
        now: float,
    ) -> None:
        """Applies a document and the set of failure domains that are out."""
        directory = self.context.directory
        directory.update(
            document=document,
            out_domains=out_domains,
            region=self._region,
        )
        self.context.version = document.version
        self.context.out_domains = out_domains
        self._update_rates(document, now)
        self.update_members(now)

    def _update_rates(self, document: documents.Document, now: float) -> None:
        for service_id in self._limited_services - document.services.keys():
            self._rates.remove_service(service_id)
        for service in document.services.values():
            self._rates.set_service(
                service.id,
                rate_per_s=service.policy.flow_rate_per_s,
                priority=service.policy.priority,
                now=now,
            )
        self._limited_services = frozenset(document.services)

    def update_members(self, now: float) -> None:
        """Updates rankings, roles and direct modes after a member change."""
        self.context.update_rankings(now)
        self.targets.update_roles(now)
        self._update_direct_targets(self.context.directory.endpoints_by_number)

    def discard_records(self, now: float) -> None:
        """Discards all records, which may be outdated after a pause."""
        self.context.targets.clear()
        self.clear_direct_modes()
        self.update_members(now)

    def set_direct_mode(self, mode: DirectMode) -> None:
        """Stores an owner's announcement of mode `DIRECT`."""
        modes_by_owner = self._direct_modes.setdefault(mode.number, {})
        modes_by_owner[mode.identity.member] = mode
        self._update_direct_targets((mode.number,))

    def clear_direct_mode(
        self, number: ids.EndpointNumber, member: ids.VmId
    ) -> None:
        """Removes a balancer's announcement of mode `DIRECT`."""
        self._direct_modes.get(number, {}).pop(member, None)
        self._update_direct_targets((number,))

    def clear_direct_modes(self) -> None:
        """Removes all announcements of mode `DIRECT`.

        Established packets then pass the owners of their targets.
        """
        self._direct_modes.clear()
        self._update_direct_targets(self.context.directory.endpoints_by_number)

    def list_direct_modes(self, now: float) -> list[DirectMode]:
        """Returns the direct modes that this balancer may announce as owner."""
        return [
            DirectMode(
                number=number,
                identity=self.targets.get_local_identity(),
                generation=generation,
            )
            for number, generation in self.targets.list_direct_targets(now)
        ]

    def _update_direct_targets(
        self, numbers: Iterable[ids.EndpointNumber]
    ) -> None:
        for number in tuple(numbers):
            found = self.context.directory.endpoints_by_number.get(number)
            if found is None:
                continue
            routes, endpoint = found
            if self._is_direct(routes, endpoint):
                routes.direct_endpoints = routes.direct_endpoints | {number}
            else:
                routes.direct_endpoints = routes.direct_endpoints - {number}

    def _is_direct(
        self,
        routes: directories.ServiceRoutes,
        endpoint: documents.Endpoint,
    ) -> bool:
        identity = self.context.find_identity(endpoint)
        if identity is None:
            return False
        mode = self._direct_modes.get(endpoint.number, {}).get(identity.member)
        return (
            mode is not None
            and mode.generation == routes.table.generation
            and mode.identity == identity
        )

    def dump_state(self) -> Mapping[str, Any]:
        """Returns the state as plain values for the operators' dump."""
        context = self.context
        return {
            "version": context.version,
            "may_send": context.may_send,
            "services": {
                service_id: {
                    "generation": routes.table.generation,
                    "direct": sorted(routes.direct_endpoints),
                }
                for service_id, routes in context.directory.routes.items()
            },
            "targets": [
                target.dump_state() for target in context.targets.values()
            ],
        }
