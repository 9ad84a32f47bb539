"""Handling of callers' packets for flows on targets owned by this balancer."""

from chivedoor import ids
from chivedoor.admission import duplicates
from chivedoor.admission import target as admissions
from chivedoor.balancer import actions
from chivedoor.balancer import context as contexts
from chivedoor.balancer import delivery
from chivedoor.balancer import replication as replications
from chivedoor.balancer import segments
from chivedoor.configuration import document as documents
from chivedoor.dataplane import packet as packets
from chivedoor.flows import const as flows_const
from chivedoor.flows import records
from chivedoor.routing import directory as directories

_TCP = int(documents.Protocol.TCP)


class OwnedFlows:
    """Starts and continues flows on targets that this balancer owns."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        replication: replications.Replication,
        request_filter: duplicates.DuplicateFilter,
        answer_filter: duplicates.DuplicateFilter,
    ) -> None:
        self._context = context
        self._replication = replication
        self._request_filter = request_filter
        self._answer_filter = answer_filter

    def start_flow(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Forwards the first packet of an admitted flow."""
        self._context.admitted[entry.port.kind] += 1
        if entry.port.kind is documents.PortKind.REQUEST:
            self._request_filter.remove_flow(key)
            self._answer_filter.remove_flow(key)
            self._request_filter.check(key, packet.payload)
        return self._replication.forward_via_replica(packet, entry, endpoint)

    def continue_flow(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Handles a packet of a flow that has a record at this balancer."""
        target = self._context.targets[endpoint.number]
        if packet.protocol != _TCP:
            return self._continue_datagram_flow(
                packet, entry, key, endpoint, now
            )
        if packet.is_syn:
            return self._handle_syn(packet, entry, key, endpoint, now)
        if not packet.is_fin and not packet.is_reset:
            return self._deliver_and_renew(packet, entry, key, endpoint, now)
        if packet.is_reset:
            target.close(key, now)
        else:
            target.close_caller(key, now)
        copies = self._replication.forward_copies(
            packet, endpoint, key, entry.routes
        )
        return copies + delivery.deliver_to_target(packet, entry, endpoint)

    def _deliver_and_renew(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Delivers an established packet and renews the flow's record.

        Once in each renewal window, the record at the replica is renewed too.
        """
        flows = self._context.targets[endpoint.number].flows
        is_due = flows.is_first_in_window(
            key, now, flows_const.REPLICA_RENEWAL_WINDOW_S
        )
        flows.touch(key, now)
        copies = (
            self._replication.forward_copies(
                packet, endpoint, key, entry.routes
            )
            if is_due
            else []
        )
        return copies + delivery.deliver_to_target(packet, entry, endpoint)

    def adopt(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Records an open flow without a record, here and at the replica."""
        target = self._context.targets[endpoint.number]
        target.adopt(key, entry.port.kind, now)
        copies = self._replication.forward_copies(
            packet, endpoint, key, entry.routes
        )
        return copies + self.continue_flow(packet, entry, key, endpoint, now)

    def _handle_syn(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Handles a SYN of a flow that has a record.

        A retransmitted SYN goes to the same target. A new flow that reuses
        the ports of a closed flow goes to the closed flow's target or is
        dropped, because only that target can tell late packets of the two
        flows apart.
        """
        target = self._context.targets[endpoint.number]
        share = self._context.compute_limit_share(endpoint.domain)
        if not target.may_retransmit(key, share, now):
            return [actions.Drop(actions.RoutingDrop.TARGET_COLD)]
        if target.flows.get_state(key) is records.FlowState.CLOSED:
            decision = target.admit(key, entry.port.kind, share, now)
            if decision is not admissions.Decision.ADMIT:
                # This may be a late copy of a SYN that the target accepted,
                # so a refusal could falsely state that nothing was run.
                return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        return self._replication.forward_via_replica(packet, entry, endpoint)

    def _continue_datagram_flow(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[endpoint.number]
        port = entry.port
        is_non_idempotent_request = segments.is_non_idempotent_request(
            packet, entry
        )
        if is_non_idempotent_request:
            if not self._request_filter.list_digests(key):
                # The record was pulled without the payloads of its earlier
                # datagrams, so this datagram may be a repeated one.
                return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
            result = self._request_filter.check(key, packet.payload)
            if result is not duplicates.FilterResult.PASS:
                return [actions.Drop(actions.RoutingDrop.DUPLICATE_REQUEST)]
            # The answers to two different requests may be identical.
            self._answer_filter.remove_flow(key)
        if target.flows.get_state(key) is records.FlowState.CLOSED:
            share = self._context.compute_limit_share(endpoint.domain)
            decision = target.admit(key, port.kind, share, now)
            if decision is not admissions.Decision.ADMIT:
                self._request_filter.remove(key, packet.payload)
                return delivery.refuse_new_flow(
                    packet, actions.Refusal.TARGETS_FULL
                )
            return self._replication.forward_via_replica(
                packet, entry, endpoint
            )
        target.flows.touch(key, now)
        if is_non_idempotent_request:
            return self._replication.forward_via_replica(
                packet, entry, endpoint
            )
        return delivery.deliver_to_target(packet, entry, endpoint)
