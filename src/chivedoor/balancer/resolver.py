"""Resolution of flows to targets, across the owners that may have a record."""

from collections.abc import Sequence
import itertools

from chivedoor import ids
from chivedoor.admission import target as admissions
from chivedoor.balancer import actions
from chivedoor.balancer import const
from chivedoor.balancer import context as contexts
from chivedoor.balancer import delivery
from chivedoor.balancer import owned_flows
from chivedoor.balancer import replication as replications
from chivedoor.balancer import segments
from chivedoor.balancer import silence
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from chivedoor.dataplane import refusal
from chivedoor.flows import owner as owners
from chivedoor.membership import members as memberships
from chivedoor.routing import const as routing_const
from chivedoor.routing import directory as directories

_TCP = int(documents.Protocol.TCP)
_ForwardKind = encapsulation.ForwardKind
_MemberState = memberships.MemberState


class Resolver:
    """Places new flows and locates established ones for owned targets."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        owned: owned_flows.OwnedFlows,
        replication: replications.Replication,
    ) -> None:
        self._context = context
        self._owned_flows = owned
        self._replication = replication
        self.suspicions = silence.Suspicions()

    def resolve(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a caller's packet as the owner of the flow's base target."""
        base = entry.routes.table.find_base(key)
        if base is None:
            return delivery.refuse_new_flow(packet, actions.Refusal.NO_TARGET)
        if not self._context.is_owner(base):
            return self._forward_to_base_owner(
                packet, key, base, header, now, entry
            )
        target = self._context.targets[base.number]
        if key in target.flows:
            return self._owned_flows.continue_flow(
                packet, entry, key, base, now
            )
        override = target.overrides.get(key)
        if override is not None:
            return self._follow_override(
                packet, entry, key, override, header, now
            )
        if segments.starts_flow(packet):
            return self._place_flow(packet, entry, key, base, header, now)
        return self._resolve_established(packet, entry, key, base, header, now)

    def resolve_suspected(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Records a suspicion that a flow is silent, then resolves the packet.

        The packet carries data that the receiver has seen before, or comes
        from a balancer that observes the flow.
        """
        base = entry.routes.table.find_base(key)
        if (
            base is not None
            and self._context.is_owner(base)
            and segments.is_established(packet)
            and silence.carries_data(packet)
        ):
            self.suspicions.record(key, packet, base.number, now)
        return self.resolve(packet, entry, key, header, now)

    def abort_silent_flow(
        self, key: ids.FlowKey, now: float
    ) -> list[actions.Action]:
        """Aborts a suspected flow with a RST to its caller and its target."""
        suspicion = self.suspicions.remove(key)
        if suspicion is None:
            return []
        packet = packets.parse_packet(suspicion.data)
        entry = self._context.directory.services.get(
            (packet.protocol, packet.destination, packet.destination_port)
        )
        base = entry and entry.routes.table.find_base(key)
        if base is None or not self._context.is_owner(base):
            return []
        reason = actions.AbortReason.SILENT
        abort = actions.Abort(reason, refusal.build_abort(packet))
        # Resolving a RST in the caller's name resets the target and closes
        # the records, also when the flow has an override.
        reset = packets.parse_packet(refusal.build_caller_reset(packet))
        header = self._context.make_header(_ForwardKind.RESOLVE, base)
        return [abort, *self.resolve(reset, entry, key, header, now)]

    def resolve_without_owner(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Handles a packet whose base target has no known owner.

        The base target's failure domain is unreachable or has no live
        balancer. New flows go to the first endpoint with an owner.
        Established flows are looked up along the endpoints with an owner and
        otherwise sent to the base target, which may still be reachable.

        A joining balancer that knows no owner at all has not yet received
        the state of its peers. It knows neither the overrides nor the free
        capacity of targets, so it drops the packet; TCP and callers
        retransmit.
        """
        if segments.is_non_idempotent_request(packet, entry):
            # The other side of a network partition may be running the same
            # request already.
            return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        header = self._context.make_header(_ForwardKind.LOOKUP, base, hops=0)
        ranking = entry.routes.table.rank_endpoints(key)
        reachable = [
            e for e in ranking if self._context.find_owner(e) is not None
        ]
        if not reachable:
            if self._context.members.local.state is _MemberState.JOINING:
                return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
            if segments.starts_flow(packet):
                return delivery.refuse_new_flow(
                    packet, actions.Refusal.NO_TARGET
                )
            return delivery.deliver_to_target(packet, entry, base)
        return self._forward_to_endpoint(
            packet, entry, key, reachable[0], header, now
        )

    def look_up(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a packet that another owner forwarded to find its flow."""
        number = ids.EndpointNumber(header.endpoint_number)
        found = self._context.directory.endpoints_by_number.get(number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        endpoint = found[1]
        if self._context.is_domain_out(endpoint):
            # The sender forwarded the packet before it took the domain out.
            return delivery.abort_flow(packet)
        if not self._context.is_owner(endpoint):
            return self._forward_to_endpoint(
                packet, entry, key, endpoint, header, now
            )
        target = self._context.targets[number]
        base = entry.routes.table.find_base(key)
        report = (
            self._replication.report_override(packet, base, endpoint, now, key)
            if header.kind is _ForwardKind.LOOKUP
            else []
        )
        if key in target.flows:
            result = self._owned_flows.continue_flow(
                packet, entry, key, endpoint, now
            )
            return result + report
        if segments.starts_flow(packet):
            return self._admit_on_candidate(
                packet, entry, key, endpoint, header, now, report
            )
        if header.kind is _ForwardKind.NEXT:
            # The base target's owner has an override for the flow, but both
            # balancers that had its record on this target have failed.
            return self._owned_flows.adopt(packet, entry, key, endpoint, now)
        return self._continue_search(packet, entry, key, endpoint, header, now)

    def _place_flow(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[base.number]
        if packet.protocol != _TCP and not (
            target.has_records and self._has_all_overrides(entry, base)
        ):
            # The datagram may repeat a request that is running on an endpoint
            # whose owner has not reported its flows yet.
            return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        if key in target.pending:
            return self._retry_placement(packet, entry, key, base, header, now)
        if self._context.is_full():
            return delivery.refuse_new_flow(packet, actions.Refusal.TABLE_FULL)
        share = self._context.compute_limit_share(base.domain)
        decision = target.admit(key, entry.port.kind, share, now)
        if decision is admissions.Decision.ADMIT:
            return self._owned_flows.start_flow(packet, entry, key, base, now)
        candidates = self._list_candidates(entry, key, base)
        if not candidates:
            return delivery.refuse_new_flow(
                packet, actions.Refusal.TARGETS_FULL
            )
        target.set_pending(key, now)
        return self._search_candidates(packet, entry, key, base, header, now)

    def _retry_placement(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a repeated first packet while its flow is being placed.

        An endpoint that rejected the first copy may accept the second one
        while another endpoint runs the first. Repeated datagrams and the
        second SYN of a caller are therefore dropped. The third SYN, 3 s after
        the first, starts a new search in case the first one was lost.
        """
        target = self._context.targets[base.number]
        if packet.protocol != _TCP or target.is_placement_running(key, now):
            return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        return self._search_candidates(packet, entry, key, base, header, now)

    def _resolve_established(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[base.number]
        if key in target.pending or not self._has_all_overrides(entry, base):
            return self._search_candidates(
                packet, entry, key, base, header, now
            )
        if packet.is_reset:
            return delivery.deliver_to_target(packet, entry, base)
        if self._is_former_base_out(entry, key):
            return delivery.abort_flow(packet)
        return self._owned_flows.adopt(packet, entry, key, base, now)

    def _search_candidates(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        candidates = self._list_search_order(packet, entry, key, base)
        if not candidates:
            return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]
        lookup_header = _replace_kind(header, _ForwardKind.LOOKUP)
        return self._forward_to_endpoint(
            packet, entry, key, candidates[0], lookup_header, now
        )

    def _continue_search(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        base = entry.routes.table.find_base(key)
        search_order = self._list_search_order(packet, entry, key, base)
        next_endpoint = _find_next(search_order, endpoint)
        if next_endpoint is not None:
            return self._forward_to_endpoint(
                packet, entry, key, next_endpoint, header, now
            )
        if base is not None and self._context.find_owner(base) is None:
            return delivery.deliver_to_target(packet, entry, base)
        return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]

    def _admit_on_candidate(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
        report: list[actions.Action],
    ) -> list[actions.Action]:
        target = self._context.targets[endpoint.number]
        share = self._context.compute_limit_share(endpoint.domain)
        decision = target.admit(key, entry.port.kind, share, now)
        if decision is admissions.Decision.ADMIT:
            return (
                self._owned_flows.start_flow(packet, entry, key, endpoint, now)
                + report
            )
        base = entry.routes.table.find_base(key)
        next_endpoint = _find_next(
            self._list_candidates(entry, key, base), endpoint
        )
        if next_endpoint is None:
            return delivery.refuse_new_flow(
                packet, actions.Refusal.TARGETS_FULL
            )
        return self._forward_to_endpoint(
            packet, entry, key, next_endpoint, header, now
        )

    def _follow_override(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        override: owners.Override,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        found = self._context.directory.endpoints_by_number.get(override.number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        base = entry.routes.table.find_base(key)
        self._context.targets[base.number].touch_override(key, now)
        next_header = _replace_kind(header, _ForwardKind.NEXT)
        return self._forward_to_endpoint(
            packet, entry, key, found[1], next_header, now
        )

    def _forward_to_endpoint(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        if header.hops >= const.MAX_HOPS:
            return [actions.Drop(actions.RoutingDrop.TOO_MANY_HOPS)]
        if self._context.is_domain_out(endpoint):
            return delivery.abort_flow(packet)
        forwarded_header = self._context.make_header(
            header.kind, endpoint, hops=header.hops + 1
        )
        owner = self._context.find_owner(endpoint)
        if owner is None:
            return self._continue_search(
                packet, entry, key, endpoint, forwarded_header, now
            )
        if owner == self._context.local_id:
            return self.look_up(packet, entry, key, forwarded_header, now)
        return [actions.Forward(owner, forwarded_header, packet.buffer)]

    def _forward_to_base_owner(
        self,
        packet: packets.Packet,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
        entry: directories.ServiceEntry,
    ) -> list[actions.Action]:
        owner = self._context.find_owner(base)
        if owner is None:
            return self.resolve_without_owner(packet, entry, key, base, now)
        if header.hops >= const.MAX_HOPS:
            return [actions.Drop(actions.RoutingDrop.TOO_MANY_HOPS)]
        forwarded_header = self._context.make_header(
            _ForwardKind.RESOLVE, base, hops=header.hops + 1
        )
        return [actions.Forward(owner, forwarded_header, packet.buffer)]

    def _list_candidates(
        self,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint | None,
    ) -> list[documents.Endpoint]:
        """Returns the endpoints to try for a new flow after its base target.

        Endpoints without a known owner are left out.
        """
        ranking = entry.routes.table.rank_endpoints(key)
        others = (
            e
            for e in ranking
            if e is not base and self._context.find_owner(e) is not None
        )
        return list(itertools.islice(others, routing_const.MAX_CANDIDATES - 1))

    def _list_search_order(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint | None,
    ) -> list[documents.Endpoint]:
        """Returns the endpoints that may hold a flow, in search order.

        For an established flow, the search starts with its base target in the
        previous routing table.
        """
        candidates = self._list_candidates(entry, key, base)
        previous = entry.routes.previous_table
        if segments.starts_flow(packet) or previous is None:
            return candidates
        former = previous.find_base(key)
        if former is None or former.number == getattr(base, "number", None):
            return candidates
        found = self._context.directory.endpoints_by_number.get(former.number)
        if found is None:
            return candidates
        rest = [e for e in candidates if e.number != former.number]
        return [found[1], *rest]

    def _is_former_base_out(
        self, entry: directories.ServiceEntry, key: ids.FlowKey
    ) -> bool:
        """Returns whether a flow's base target is in a domain that is out.

        This uses the table that includes the failure domains that are out.
        """
        former = entry.routes.full_table.find_base(key)
        return former is not None and self._context.is_domain_out(former)

    def _has_all_overrides(
        self, entry: directories.ServiceEntry, base: documents.Endpoint
    ) -> bool:
        """Returns whether all other endpoints' owners reported overrides."""
        target = self._context.targets[base.number]
        peers = self._context.find_peer_owners(entry.routes, base)
        generation = entry.routes.table.generation
        return not target.find_missing_pulls(peers, generation)


def _find_next(
    endpoints: Sequence[documents.Endpoint], endpoint: documents.Endpoint
) -> documents.Endpoint | None:
    """Returns the endpoint that follows a given one, or None."""
    numbers = [e.number for e in endpoints]
    if endpoint.number not in numbers:
        return None
    position = numbers.index(endpoint.number) + 1
    return endpoints[position] if position < len(endpoints) else None


def _replace_kind(
    header: encapsulation.Header, kind: _ForwardKind
) -> encapsulation.Header:
    return header._replace(kind=kind)
