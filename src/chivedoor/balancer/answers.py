"""Handling of packets from targets, at the owner of the target."""

from chivedoor import ids
from chivedoor.admission import duplicates
from chivedoor.balancer import actions
from chivedoor.balancer import const
from chivedoor.balancer import context as contexts
from chivedoor.balancer import delivery
from chivedoor.balancer import replication as replications
from chivedoor.balancer import segments
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from chivedoor.flows import owner as owners
from chivedoor.flows import records
from chivedoor.flows import resets
from chivedoor.routing import directory as directories

_TCP = int(documents.Protocol.TCP)
_ForwardKind = encapsulation.ForwardKind


class AnswerHandler:
    """Handles TCP control segments and datagrams from targets."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        replication: replications.Replication,
        answer_filter: duplicates.DuplicateFilter,
    ) -> None:
        self._context = context
        self._replication = replication
        self._answer_filter = answer_filter
        self._resets = resets.ResetFilter()

    def tick(self, now: float) -> None:
        """Expires resets that wait for confirmation."""
        self._resets.expire(now)

    def handle(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
        *,
        hops: int = 0,
    ) -> list[actions.Action]:
        """Handles a control segment or datagram as the target's owner.

        Forwards the packet when another balancer owns the target.
        """
        owner = self._context.find_owner(source.endpoint)
        if owner not in (None, self._context.local_id):
            return self._forward_to_owner(packet, source, owner, hops)
        key = segments.compute_answer_flow_key(packet, source)
        target = self._context.targets.get(source.endpoint.number)
        if target is None or key not in target.flows:
            return self._handle_unrecorded(packet, source, key, target, now)
        if packet.protocol != _TCP:
            return self._handle_datagram(packet, source, key, target, now)
        if packet.is_reset:
            if target.flows.is_adopted(key):
                return self._handle_adopted_reset(
                    packet, source, key, target, now
                )
            target.admission.record_reset(
                target.flows.get_state(key) is records.FlowState.OPEN, now
            )
        is_first = self._replication.apply_answer(packet, key, target, now)
        copies = (
            self._replication.forward_copies(
                packet, source.endpoint, key, source.routes
            )
            if is_first or packet.is_fin or packet.is_reset
            else []
        )
        return copies + delivery.deliver_to_caller(packet, source)

    def _forward_to_owner(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        owner: ids.VmId,
        hops: int,
    ) -> list[actions.Action]:
        if hops >= const.MAX_HOPS:
            return [actions.Drop(actions.RoutingDrop.TOO_MANY_HOPS)]
        header = self._context.make_header(
            _ForwardKind.ANSWER, source.endpoint, hops=hops + 1
        )
        return [actions.Forward(owner, header, packet.buffer)]

    def _handle_adopted_reset(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetState,
        now: float,
    ) -> list[actions.Action]:
        """Handles a reset of a flow that was adopted without a record.

        The reset shows that the flow is not on this target, so its record is
        removed.
        """
        target.remove(key, now)
        if not self._should_pass_reset(source.routes, key, now):
            return [actions.Drop(actions.RoutingDrop.STALE_RESET)]
        copies = self._replication.forward_copies(
            packet, source.endpoint, key, source.routes
        )
        return copies + delivery.deliver_to_caller(packet, source)

    def _should_pass_reset(
        self,
        routes: directories.ServiceRoutes,
        key: ids.FlowKey,
        now: float,
    ) -> bool:
        """Returns whether to pass a reset of an unrecorded flow to the caller.

        The reset is withheld while an endpoint of the service has no known
        owner. That endpoint may hold the flow on the other side of a network
        partition that packets from callers still cross.
        """
        are_owners_known = all(
            self._context.is_domain_out(endpoint)
            or self._context.find_owner(endpoint) is not None
            for endpoint in routes.service.endpoints
        )
        return are_owners_known and self._resets.confirm(key, now)

    def _handle_unrecorded(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetState | None,
        now: float,
    ) -> list[actions.Action]:
        if packet.protocol != _TCP:
            if target is None or not target.has_records:
                return delivery.deliver_to_caller(packet, source)
            return [actions.Drop(actions.RoutingDrop.STALE_ANSWER)]
        if packet.is_reset and not self._should_pass_reset(
            source.routes, key, now
        ):
            return [actions.Drop(actions.RoutingDrop.STALE_RESET)]
        return delivery.deliver_to_caller(packet, source)

    def _handle_datagram(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetState,
        now: float,
    ) -> list[actions.Action]:
        if target.flows.confirm(key, now):
            target.record_handshake(key, now, is_timed=False)
        if source.port.kind is documents.PortKind.STREAM:
            target.flows.touch(key, now)
            return delivery.deliver_to_caller(packet, source)
        target.close(key, now)
        result = self._answer_filter.check(key, packet.payload)
        if result is duplicates.FilterResult.DUPLICATE:
            return [actions.Drop(actions.RoutingDrop.DUPLICATE_ANSWER)]
        copies = self._replication.forward_copies(
            packet, source.endpoint, key, source.routes
        )
        return copies + delivery.deliver_to_caller(packet, source)
