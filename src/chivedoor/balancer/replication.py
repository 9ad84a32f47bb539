"""Replication of flow records from a target's owner to its replica."""

from chivedoor import ids
from chivedoor.admission import duplicates
from chivedoor.balancer import actions
from chivedoor.balancer import context as contexts
from chivedoor.balancer import delivery
from chivedoor.balancer import segments
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from chivedoor.flows import owner as owners
from chivedoor.routing import directory as directories

_TCP = int(documents.Protocol.TCP)
_ForwardKind = encapsulation.ForwardKind


class Replication:
    """Keeps the records of owner and replica consistent."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        request_filter: duplicates.DuplicateFilter,
    ) -> None:
        self._context = context
        self._request_filter = request_filter

    def forward_via_replica(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        endpoint: documents.Endpoint,
    ) -> list[actions.Action]:
        """Sends a first packet to the target through the replica.

        While the replica is still joining, the balancer that would succeed
        this one gets a copy.
        """
        replica = self._context.find_replica(endpoint)
        if replica is None:
            return delivery.deliver_to_target(packet, entry, endpoint)
        header = self._context.make_header(_ForwardKind.CHAIN, endpoint)
        first_hop = actions.Forward(replica, header, packet.buffer)
        successor = self._context.find_active_replica(endpoint)
        if successor in (None, replica):
            return [first_hop]
        copy_header = self._context.make_header(_ForwardKind.COPY, endpoint)
        return [
            first_hop,
            actions.Forward(successor, copy_header, bytes(packet.buffer)),
        ]

    def forward_copies(
        self,
        packet: packets.Packet,
        endpoint: documents.Endpoint,
        key: ids.FlowKey,
        routes: directories.ServiceRoutes,
    ) -> list[actions.Action]:
        """Copies a packet to the replica and to the holders of an override.

        They update their records from the copy. The owner and the replica of
        the flow's base target hold an override when the flow is elsewhere.
        """
        recipients = {
            self._context.find_replica(endpoint),
            self._context.find_active_replica(endpoint),
        }
        base = routes.table.find_base(key)
        if base is not None and base.number != endpoint.number:
            recipients.update(self._context.find_owners(base))
        header = self._context.make_header(_ForwardKind.COPY, endpoint)
        data = bytes(packet.buffer)
        return [
            actions.Forward(member, header, data)
            for member in recipients
            if member is not None and member != self._context.local_id
        ]

    def report_override(
        self,
        packet: packets.Packet,
        base: documents.Endpoint | None,
        endpoint: documents.Endpoint,
        now: float,
        key: ids.FlowKey,
    ) -> list[actions.Action]:
        """Reports a flow on another endpoint to its base target's owners.

        Both the owner and the replica of the base target set an override.
        """
        if base is None or base.number == endpoint.number:
            return []
        owners_of_base = self._context.find_owners(base)
        if self._context.local_id in owners_of_base:
            self._context.targets[base.number].set_override(
                key, endpoint.number, now
            )
        header = self._context.make_header(_ForwardKind.COPY, endpoint)
        data = bytes(packet.buffer)
        return [
            actions.Forward(member, header, data)
            for member in owners_of_base
            if member != self._context.local_id
        ]

    def record_and_deliver(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Records and delivers a first packet that the owner forwarded."""
        number = ids.EndpointNumber(header.endpoint_number)
        found = self._context.directory.endpoints_by_number.get(number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        if self._context.is_domain_out(found[1]):
            # The owner sent the packet before it took the domain out.
            return delivery.abort_flow(packet)
        target = self._context.targets.get(number)
        if target is not None:
            target.replicate(key, entry.port.kind, now)
            if entry.port.kind is documents.PortKind.REQUEST:
                self._request_filter.check(key, packet.payload)
        return delivery.deliver_to_target(packet, entry, found[1])

    def record_caller_copy(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Updates the records from a copy of a caller's packet."""
        number = ids.EndpointNumber(header.endpoint_number)
        base = entry.routes.table.find_base(key)
        if base is not None and base.number != number:
            base_target = self._context.targets.get(base.number)
            if base_target is not None:
                base_target.set_override(key, number, now)
                if packet.is_fin or packet.is_reset:
                    base_target.end_override(key, now)
        target = self._context.targets.get(number)
        if target is not None:
            self._apply_caller_copy(packet, entry, key, target, now)
        return []

    def _apply_caller_copy(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        target: owners.TargetState,
        now: float,
    ) -> None:
        if key not in target.flows:
            if not packet.is_reset:
                target.adopt(key, entry.port.kind, now)
        elif packet.is_reset:
            target.close(key, now)
        elif packet.is_fin:
            target.close_caller(key, now)
        else:
            target.flows.touch(key, now)

    def record_target_copy(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
    ) -> list[actions.Action]:
        """Updates the records from a copy of a target's packet."""
        key = segments.compute_answer_flow_key(packet, source)
        target = self._context.targets.get(source.endpoint.number)
        if target is not None and key in target.flows:
            self.apply_answer(packet, key, target, now)
        base = source.routes.table.find_base(key)
        if base is not None and base.number != source.endpoint.number:
            base_target = self._context.targets.get(base.number)
            if base_target is not None and not packet.is_syn_ack:
                base_target.end_override(key, now)
        return []

    def apply_answer(
        self,
        packet: packets.Packet,
        key: ids.FlowKey,
        target: owners.TargetState,
        now: float,
    ) -> bool:
        """Updates a flow record from a target's packet.

        Returns:
          Whether the packet is the target's first answer in the flow.
        """
        if packet.protocol != _TCP or packet.is_reset:
            target.close(key, now)
            return False
        if packet.is_fin:
            target.close_target(key, now)
            return False
        is_first = target.flows.confirm(key, now)
        if is_first:
            # A late event loop would make every target look slow.
            is_timed = not self._context.is_loop_late
            target.record_handshake(key, now, is_timed=is_timed)
        return is_first
