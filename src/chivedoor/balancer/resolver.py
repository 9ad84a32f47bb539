"""Decisions at the owner of a target, and at its replica."""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from chivedoor import ids
from chivedoor.admission import duplicates
from chivedoor.admission import target as admissions
from chivedoor.balancer import actions
from chivedoor.balancer import const
from chivedoor.balancer import context as contexts
from chivedoor.balancer import segments
from chivedoor.balancer import silence
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from chivedoor.dataplane import refusal
from chivedoor.dataplane import rewrite
from chivedoor.flows import const as flows_const
from chivedoor.flows import owner as owners
from chivedoor.flows import records
from chivedoor.flows import resets
from chivedoor.membership import members as memberships
from chivedoor.routing import const as routing_const
from chivedoor.routing import directory as directories
from chivedoor.routing import hashing

_TCP = int(documents.Protocol.TCP)
_ForwardKind = encapsulation.ForwardKind
_MemberState = memberships.MemberState


class Resolver:
    """Places new flows and finds established ones for targets owned here."""

    def __init__(
        self,
        *,
        context: contexts.Context,
        request_filter: duplicates.RequestFilter,
    ) -> None:
        self._context = context
        self._requests = request_filter
        self.suspicions = silence.Suspicions()
        self._resets = resets.ResetFilter()

    def tick(self, now: float) -> None:
        """Expires what is kept of resets."""
        self._resets.expire(now)

    def forget_flows(self, keys: Iterable[ids.FlowKey]) -> None:
        """Drops what is kept of flows whose records were dropped."""
        for key in keys:
            self._requests.forget(key)

    # Packets from callers.

    def resolve(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a caller's packet as the owner of its base target."""
        base = entry.routes.table.find_base(key)
        if base is None:
            return refuse_new_flow(packet, actions.Refusal.NO_TARGET)
        if not self._context.is_owner(base):
            return self._redirect(packet, key, base, header, now, entry)
        target = self._context.targets[base.number]
        if key in target.flows:
            return self._continue(packet, entry, key, base, now)
        override = target.overrides.get(key)
        if override is not None:
            return self._follow_override(
                packet, entry, key, override, header, now
            )
        if segments.starts_flow(packet):
            return self._place(packet, entry, key, base, header, now)
        return self._find_established(packet, entry, key, base, header, now)

    def suspect(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a packet of a flow that may be silent in one direction."""
        base = entry.routes.table.find_base(key)
        if (
            base is not None
            and self._context.is_owner(base)
            and segments.is_established(packet)
            and silence.carries_data(packet)
        ):
            self.suspicions.note(key, packet, base.number, now)
        return self.resolve(packet, entry, key, header, now)

    def end_silent(self, key: ids.FlowKey, now: float) -> list[actions.Action]:
        """Ends a suspected flow with a RST to its caller and its target."""
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
        # The caller's end of the flow is closed like by its own RST, which
        # also finds the target of an override.
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
        """Handles a packet whose base target has no owner in view.

        The base target's failure domain is cut off or has no live balancer.
        New flows go to the first endpoint with an owner; established ones
        are looked for there and otherwise sent to the base target, which
        may still be reachable.

        A joining balancer that sees no owner has not heard from the others
        yet. It knows neither overrides nor whether a target is free, and
        TCP and callers send again.
        """
        if _runs_once(packet, entry):
            # The other side of a partition may run a copy of the request.
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
                return refuse_new_flow(packet, actions.Refusal.NO_TARGET)
            return deliver(packet, entry, base)
        return self._ask_endpoint(packet, entry, key, reachable[0], header, now)

    def look_up(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a packet that another owner passed on to this one."""
        number = ids.EndpointNumber(header.endpoint_number)
        found = self._context.directory.by_number.get(number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        endpoint = found[1]
        if self._context.is_out(endpoint):
            # The other balancer passed the packet on before it took the
            # command.
            return abort_flow(packet)
        if not self._context.is_owner(endpoint):
            return self._ask_endpoint(packet, entry, key, endpoint, header, now)
        target = self._context.targets[number]
        base = entry.routes.table.find_base(key)
        report = (
            self._report_override(packet, base, endpoint, now, key)
            if header.kind is _ForwardKind.LOOKUP
            else []
        )
        if key in target.flows:
            result = self._continue(packet, entry, key, endpoint, now)
            return result + report
        if segments.starts_flow(packet):
            return self._admit_elsewhere(
                packet, entry, key, endpoint, header, now, report
            )
        if header.kind is _ForwardKind.NEXT:
            # The base target's owner has the override, and both balancers
            # with this target's record are gone.
            return self._adopt(packet, entry, key, endpoint, now)
        return self._look_further(packet, entry, key, endpoint, header, now)

    def _place(
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
            target.has_records and self._knows_overrides(entry, base)
        ):
            # The datagram may repeat a request that runs on an endpoint
            # whose owner has not reported yet.
            return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        if key in target.pending:
            return self._place_again(packet, entry, key, base, header, now)
        if self._context.is_full():
            return refuse_new_flow(packet, actions.Refusal.TABLE_FULL)
        share = self._context.find_share(base.domain)
        verdict = target.admit(key, entry.port.kind, share, now)
        if verdict is admissions.Verdict.ADMIT:
            return self._start(packet, entry, key, base, now)
        candidates = self._list_candidates(entry, key, base)
        if not candidates:
            return refuse_new_flow(packet, actions.Refusal.TARGETS_FULL)
        target.set_pending(key, now)
        return self._search(packet, entry, key, base, header, now)

    def _place_again(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a repeated first packet while other owners decide.

        An endpoint that had no room for the first copy may have room for
        the second one while another endpoint runs the first. The second
        SYN of a caller is dropped for that reason; its third one, 3 s after
        the first, looks for the flow again in case the first was lost.
        """
        target = self._context.targets[base.number]
        if packet.protocol != _TCP or target.is_placing(key, now):
            return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        return self._search(packet, entry, key, base, header, now)

    def _find_established(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[base.number]
        if key in target.pending or not self._knows_overrides(entry, base):
            return self._search(packet, entry, key, base, header, now)
        if packet.is_reset:
            return deliver(packet, entry, base)
        if self._lived_in_out_domain(entry, key):
            return abort_flow(packet)
        return self._adopt(packet, entry, key, base, now)

    def _search(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        candidates = self._list_searched(packet, entry, key, base)
        if not candidates:
            return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]
        search = _with_kind(header, _ForwardKind.LOOKUP)
        return self._ask_endpoint(
            packet, entry, key, candidates[0], search, now
        )

    def _look_further(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        base = entry.routes.table.find_base(key)
        searched = self._list_searched(packet, entry, key, base)
        following = _follow(searched, endpoint)
        if following is not None:
            return self._ask_endpoint(
                packet, entry, key, following, header, now
            )
        if base is not None and self._context.find_owner(base) is None:
            return deliver(packet, entry, base)
        return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]

    def _admit_elsewhere(
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
        share = self._context.find_share(endpoint.domain)
        verdict = target.admit(key, entry.port.kind, share, now)
        if verdict is admissions.Verdict.ADMIT:
            return self._start(packet, entry, key, endpoint, now) + report
        base = entry.routes.table.find_base(key)
        following = _follow(self._list_candidates(entry, key, base), endpoint)
        if following is None:
            return refuse_new_flow(packet, actions.Refusal.TARGETS_FULL)
        return self._ask_endpoint(packet, entry, key, following, header, now)

    def _follow_override(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        override: owners.Override,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        found = self._context.directory.by_number.get(override.number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        base = entry.routes.table.find_base(key)
        self._context.targets[base.number].touch_override(key, now)
        known = _with_kind(header, _ForwardKind.NEXT)
        return self._ask_endpoint(packet, entry, key, found[1], known, now)

    def _ask_endpoint(
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
        if self._context.is_out(endpoint):
            return abort_flow(packet)
        passed = self._context.make_header(
            header.kind, endpoint, hops=header.hops + 1
        )
        owner = self._context.find_owner(endpoint)
        if owner is None:
            return self._look_further(packet, entry, key, endpoint, passed, now)
        if owner == self._context.local_id:
            return self.look_up(packet, entry, key, passed, now)
        return [actions.Forward(owner, passed, packet.buffer)]

    def _redirect(
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
        passed = self._context.make_header(
            _ForwardKind.RESOLVE, base, hops=header.hops + 1
        )
        return [actions.Forward(owner, passed, packet.buffer)]

    def _list_candidates(
        self,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint | None,
    ) -> list[documents.Endpoint]:
        """Returns the endpoints that a new flow may try after its base."""
        ranking = entry.routes.table.rank_endpoints(key)
        others = (
            e
            for e in ranking
            if e is not base and self._context.find_owner(e) is not None
        )
        return list(itertools.islice(others, routing_const.MAX_CANDIDATES - 1))

    def _list_searched(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint | None,
    ) -> list[documents.Endpoint]:
        """Returns the endpoints that may have an established flow."""
        candidates = self._list_candidates(entry, key, base)
        previous = entry.routes.previous
        if segments.starts_flow(packet) or previous is None:
            return candidates
        former = previous.find_base(key)
        if former is None or former.number == getattr(base, "number", None):
            return candidates
        found = self._context.directory.by_number.get(former.number)
        if found is None:
            return candidates
        rest = [e for e in candidates if e.number != former.number]
        return [found[1], *rest]

    def _lived_in_out_domain(
        self, entry: directories.ServiceEntry, key: ids.FlowKey
    ) -> bool:
        """Returns whether a flow's base target was taken out."""
        former = entry.routes.whole.find_base(key)
        return former is not None and self._context.is_out(former)

    def _knows_overrides(
        self, entry: directories.ServiceEntry, base: documents.Endpoint
    ) -> bool:
        """Returns whether the other endpoints' owners reported overrides."""
        target = self._context.targets[base.number]
        peers = find_peers(self._context, entry.routes, base)
        generation = entry.routes.table.generation
        return not target.find_missing_pulls(peers, generation)

    # Flows on targets owned here.

    def _start(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        self._context.admitted[entry.port.kind] += 1
        if entry.port.kind is documents.PortKind.REQUEST:
            self._requests.forget(key)
            self._requests.check(key, packet.payload)
        return self._chain(packet, entry, endpoint)

    def _continue(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[endpoint.number]
        if packet.protocol != _TCP:
            return self._continue_datagrams(packet, entry, key, endpoint, now)
        if packet.is_syn:
            return self._restart(packet, entry, key, endpoint, now)
        if not packet.is_fin and not packet.is_reset:
            return self._renew(packet, entry, key, endpoint, now)
        if packet.is_reset:
            target.close(key, now)
        else:
            target.close_caller(key, now)
        copies = self._copy(packet, endpoint, key, entry.routes)
        return copies + deliver(packet, entry, endpoint)

    def _renew(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Delivers an established packet and renews the flow's records."""
        flows = self._context.targets[endpoint.number].flows
        is_due = flows.enters_window(key, now, flows_const.REPLICA_RENEWAL_S)
        flows.touch(key, now)
        copies = (
            self._copy(packet, endpoint, key, entry.routes) if is_due else []
        )
        return copies + deliver(packet, entry, endpoint)

    def _adopt(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Records an open flow that has no record, here and at the replica."""
        target = self._context.targets[endpoint.number]
        target.adopt(key, entry.port.kind, now)
        copies = self._copy(packet, endpoint, key, entry.routes)
        return copies + self._continue(packet, entry, key, endpoint, now)

    def _restart(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        """Handles a SYN of a flow that has a record.

        A retransmitted SYN goes to the same target. A new flow that uses
        the ports of a closed one also goes there, or nowhere, so that late
        packets of both reach the target that can tell them apart.
        """
        target = self._context.targets[endpoint.number]
        if target.flows.get_state(key) is records.FlowState.CLOSED:
            share = self._context.find_share(endpoint.domain)
            verdict = target.admit(key, entry.port.kind, share, now)
            if verdict is not admissions.Verdict.ADMIT:
                # It may be a late copy of the SYN that the target had, which
                # a refusal would call not run.
                return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
        return self._chain(packet, entry, endpoint)

    def _continue_datagrams(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        endpoint: documents.Endpoint,
        now: float,
    ) -> list[actions.Action]:
        target = self._context.targets[endpoint.number]
        port = entry.port
        runs_once = _runs_once(packet, entry)
        if runs_once:
            if not self._requests.list_digests(key):
                # The record came without the datagrams that were passed, so
                # this one may be one of them.
                return [actions.Drop(actions.RoutingDrop.UNCERTAIN)]
            passage = self._requests.check(key, packet.payload)
            if passage is not duplicates.Passage.PASS:
                return [actions.Drop(actions.RoutingDrop.DUPLICATE_REQUEST)]
        if target.flows.get_state(key) is records.FlowState.CLOSED:
            share = self._context.find_share(endpoint.domain)
            verdict = target.admit(key, port.kind, share, now)
            if verdict is not admissions.Verdict.ADMIT:
                self._requests.withdraw(key, packet.payload)
                return refuse_new_flow(packet, actions.Refusal.TARGETS_FULL)
            return self._chain(packet, entry, endpoint)
        target.flows.touch(key, now)
        if runs_once:
            return self._chain(packet, entry, endpoint)
        return deliver(packet, entry, endpoint)

    def _chain(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        endpoint: documents.Endpoint,
    ) -> list[actions.Action]:
        """Sends a first packet to the target by way of the replica.

        While the replica is still joining, the balancer that would take
        over from this one gets a copy.
        """
        replica = self._context.find_replica(endpoint)
        if replica is None:
            return deliver(packet, entry, endpoint)
        header = self._context.make_header(_ForwardKind.CHAIN, endpoint)
        chained = actions.Forward(replica, header, packet.buffer)
        successor = self._context.find_active_replica(endpoint)
        if successor in (None, replica):
            return [chained]
        copy = self._context.make_header(_ForwardKind.COPY, endpoint)
        return [
            chained,
            actions.Forward(successor, copy, bytes(packet.buffer)),
        ]

    def _copy(
        self,
        packet: packets.Packet,
        endpoint: documents.Endpoint,
        key: ids.FlowKey,
        routes: directories.ServiceRoutes,
    ) -> list[actions.Action]:
        """Tells the replica, and the owner of an override, of an end."""
        receivers = {
            self._context.find_replica(endpoint),
            self._context.find_active_replica(endpoint),
        }
        base = routes.table.find_base(key)
        if base is not None and base.number != endpoint.number:
            receivers.add(self._context.find_owner(base))
        header = self._context.make_header(_ForwardKind.COPY, endpoint)
        data = bytes(packet.buffer)
        return [
            actions.Forward(member, header, data)
            for member in receivers
            if member is not None and member != self._context.local_id
        ]

    def _report_override(
        self,
        packet: packets.Packet,
        base: documents.Endpoint | None,
        endpoint: documents.Endpoint,
        now: float,
        key: ids.FlowKey,
    ) -> list[actions.Action]:
        if base is None or base.number == endpoint.number:
            return []
        owner = self._context.find_owner(base)
        if owner is None:
            return []
        if owner == self._context.local_id:
            self._context.targets[base.number].set_override(
                key, endpoint.number, now
            )
            return []
        header = self._context.make_header(_ForwardKind.COPY, endpoint)
        return [actions.Forward(owner, header, bytes(packet.buffer))]

    # Packets at the replica.

    def record_and_deliver(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Handles a first packet that the owner sent on its way."""
        number = ids.EndpointNumber(header.endpoint_number)
        found = self._context.directory.by_number.get(number)
        if found is None:
            return [actions.Drop(actions.RoutingDrop.NO_ENDPOINT)]
        if self._context.is_out(found[1]):
            # The owner sent the packet before it took the command.
            return abort_flow(packet)
        target = self._context.targets.get(number)
        if target is not None:
            target.replicate(key, entry.port.kind, now)
            if entry.port.kind is documents.PortKind.REQUEST:
                self._requests.check(key, packet.payload)
        return deliver(packet, entry, found[1])

    def record_caller_copy(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        header: encapsulation.Header,
        now: float,
    ) -> list[actions.Action]:
        """Notes a copy of a caller's packet."""
        number = ids.EndpointNumber(header.endpoint_number)
        base = entry.routes.table.find_base(key)
        if base is not None and base.number != number:
            owned = self._context.targets.get(base.number)
            if owned is not None and self._context.is_owner(base):
                owned.set_override(key, number, now)
                if packet.is_fin or packet.is_reset:
                    owned.end_override(key, now)
        target = self._context.targets.get(number)
        if target is not None:
            self._note_caller_copy(packet, entry, key, target, now)
        return []

    def _note_caller_copy(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        target: owners.TargetOwner,
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

    # Packets from targets.

    def answer(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
        *,
        hops: int = 0,
    ) -> list[actions.Action]:
        """Handles a control segment of a target as its owner."""
        owner = self._context.find_owner(source.endpoint)
        if owner not in (None, self._context.local_id):
            return self._pass_answer(packet, source, owner, hops)
        key = key_of_answer(packet, source)
        target = self._context.targets.get(source.endpoint.number)
        if target is None or key not in target.flows:
            return self._answer_unknown(packet, source, key, target, now)
        if packet.protocol != _TCP:
            return self._answer_datagram(packet, source, key, target, now)
        if packet.is_reset:
            if target.flows.is_adopted(key):
                return self._answer_adopted(packet, source, key, target, now)
            target.admission.note_reset(
                target.flows.get_state(key) is records.FlowState.OPEN, now
            )
        is_first = self._note_answer(packet, key, target, now)
        copies = (
            self._copy(packet, source.endpoint, key, source.routes)
            if is_first or packet.is_fin or packet.is_reset
            else []
        )
        return copies + deliver_answer(packet, source)

    def _pass_answer(
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

    def _answer_adopted(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetOwner,
        now: float,
    ) -> list[actions.Action]:
        """Handles a reset of a flow that was assumed to be on a target."""
        target.remove(key, now)
        if not self._believes_reset(source.routes, key, now):
            return [actions.Drop(actions.RoutingDrop.STALE_RESET)]
        copies = self._copy(packet, source.endpoint, key, source.routes)
        return copies + deliver_answer(packet, source)

    def record_target_copy(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
    ) -> list[actions.Action]:
        """Notes a copy of a target's packet."""
        key = key_of_answer(packet, source)
        target = self._context.targets.get(source.endpoint.number)
        if target is not None and key in target.flows:
            self._note_answer(packet, key, target, now)
        base = source.routes.table.find_base(key)
        if base is not None and base.number != source.endpoint.number:
            owned = self._context.targets.get(base.number)
            if owned is not None and not packet.is_syn_ack:
                owned.end_override(key, now)
        return []

    def _believes_reset(
        self,
        routes: directories.ServiceRoutes,
        key: ids.FlowKey,
        now: float,
    ) -> bool:
        """Returns whether a reset of an unrecorded flow goes to the caller.

        An endpoint without an owner in view may have the flow, on the other
        side of a partition that packets of callers still cross.
        """
        sees_all = all(
            self._context.is_out(endpoint)
            or self._context.find_owner(endpoint) is not None
            for endpoint in routes.service.endpoints
        )
        return sees_all and self._resets.confirm(key, now)

    def _answer_unknown(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetOwner | None,
        now: float,
    ) -> list[actions.Action]:
        if packet.protocol != _TCP:
            if target is None or not target.has_records:
                return deliver_answer(packet, source)
            return [actions.Drop(actions.RoutingDrop.STALE_ANSWER)]
        if packet.is_reset and not self._believes_reset(
            source.routes, key, now
        ):
            return [actions.Drop(actions.RoutingDrop.STALE_RESET)]
        return deliver_answer(packet, source)

    def _answer_datagram(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        key: ids.FlowKey,
        target: owners.TargetOwner,
        now: float,
    ) -> list[actions.Action]:
        if target.flows.confirm(key, now):
            target.note_handshake(key, now, is_timed=False)
        if source.port.kind is documents.PortKind.STREAM:
            target.flows.touch(key, now)
            return deliver_answer(packet, source)
        target.close(key, now)
        copies = self._copy(packet, source.endpoint, key, source.routes)
        return copies + deliver_answer(packet, source)

    def _note_answer(
        self,
        packet: packets.Packet,
        key: ids.FlowKey,
        target: owners.TargetOwner,
        now: float,
    ) -> bool:
        """Takes a target's packet into a record.

        Returns:
          Whether it is the target's first answer to the flow.
        """
        if packet.protocol != _TCP or packet.is_reset:
            target.close(key, now)
            return False
        if packet.is_fin:
            target.close_target(key, now)
            return False
        is_first = target.flows.confirm(key, now)
        if is_first:
            # A late loop would make every target look slow.
            is_timed = not self._context.loop_is_late
            target.note_handshake(key, now, is_timed=is_timed)
        return is_first


def find_peers(
    context: contexts.Context,
    routes: directories.ServiceRoutes,
    base: documents.Endpoint,
) -> dict[ids.EndpointNumber, owners.OwnerIdentity]:
    """Returns the owners in view of the other endpoints of a service."""
    identities = (
        (endpoint.number, context.find_identity(endpoint))
        for endpoint in routes.service.endpoints
        if endpoint.number != base.number and not context.is_out(endpoint)
    )
    return {
        number: identity
        for number, identity in identities
        if identity is not None
    }


def refuse_new_flow(
    packet: packets.Packet, reason: actions.Refusal
) -> list[actions.Action]:
    """Refuses a packet that starts a flow; drops any other.

    Only work that was not forwarded may be refused, so a packet from the
    middle of a flow gets no answer.
    """
    if not segments.starts_flow(packet):
        return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]
    return [actions.Refuse(reason, _build_refusal(packet))]


def _runs_once(packet: packets.Packet, entry: directories.ServiceEntry) -> bool:
    """Returns whether a datagram must not reach a target twice."""
    return (
        packet.protocol != _TCP
        and entry.port.kind is documents.PortKind.REQUEST
        and not entry.port.idempotent
    )


def refuse_excess(packet: packets.Packet) -> list[actions.Action]:
    """Refuses a new connection, or drops a datagram, above the flow rate.

    A datagram may repeat a request that runs already, so only a SYN, which
    runs nothing, can be refused truthfully here.
    """
    if packet.protocol == _TCP:
        return refuse_new_flow(packet, actions.Refusal.RATE_EXCEEDED)
    return [actions.Drop(actions.RoutingDrop.RATE_EXCEEDED)]


def abort_flow(packet: packets.Packet) -> list[actions.Action]:
    """Ends a flow whose target gets no packets any more."""
    if segments.starts_flow(packet) or packet.is_reset:
        return [actions.Drop(actions.RoutingDrop.DOMAIN_OUT)]
    reason = actions.AbortReason.DOMAIN_OUT
    return [actions.Abort(reason, refusal.build_abort(packet))]


def key_of_answer(
    packet: packets.Packet, source: directories.EndpointEntry
) -> ids.FlowKey:
    """Returns the key of the flow that a target's packet belongs to."""
    return hashing.compute_flow_key(
        protocol=packet.protocol,
        caller=packet.destination,
        caller_port=packet.destination_port,
        service=source.service_address,
        service_port=source.port.port,
    )


def _build_refusal(packet: packets.Packet) -> bytes:
    if packet.protocol == _TCP:
        return refusal.build_reset(packet)
    return refusal.build_unreachable(packet, refusal.UnreachableCode.PROHIBITED)


def deliver(
    packet: packets.Packet,
    entry: directories.ServiceEntry,
    endpoint: documents.Endpoint,
) -> list[actions.Action]:
    """Rewrites a caller's packet for a target and hands it to the fabric."""
    rewrite.decrement_ttl(packet)
    rewrite.rewrite_destination(
        packet, endpoint.address, entry.port.target_port
    )
    return [actions.Deliver(packet.buffer)]


def deliver_answer(
    packet: packets.Packet, source: directories.EndpointEntry
) -> list[actions.Action]:
    """Rewrites a target's packet for the caller and hands it to the fabric."""
    rewrite.decrement_ttl(packet)
    rewrite.rewrite_source(packet, source.service_address, source.port.port)
    return [actions.Deliver(packet.buffer)]


def _follow(
    endpoints: Sequence[documents.Endpoint], endpoint: documents.Endpoint
) -> documents.Endpoint | None:
    """Returns the endpoint after a given one, or None at the end."""
    numbers = [e.number for e in endpoints]
    if endpoint.number not in numbers:
        return None
    position = numbers.index(endpoint.number) + 1
    return endpoints[position] if position < len(endpoints) else None


def _with_kind(
    header: encapsulation.Header, kind: _ForwardKind
) -> encapsulation.Header:
    return header._replace(kind=kind)
