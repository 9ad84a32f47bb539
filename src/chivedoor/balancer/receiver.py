"""Handling of packets that a balancer receives from the fabric."""

from chivedoor import ids
from chivedoor.admission import rate
from chivedoor.balancer import actions
from chivedoor.balancer import answers as target_answers
from chivedoor.balancer import context as contexts
from chivedoor.balancer import delivery
from chivedoor.balancer import resolver as resolvers
from chivedoor.balancer import segments
from chivedoor.balancer import silence
from chivedoor.configuration import document as documents
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet as packets
from chivedoor.flows import refresh
from chivedoor.routing import directory as directories


class Receiver:
    """Handles packets at the balancer to which the fabric delivers them.

    The receiver needs no flow records. It delivers a packet directly or sends
    it to the owner of its target.
    """

    def __init__(
        self,
        *,
        context: contexts.Context,
        resolver: resolvers.Resolver,
        answers: target_answers.AnswerHandler,
        refresh_filter: refresh.RefreshFilter,
        rates: rate.FlowRateLimiter,
        silence_detector: silence.SilenceDetector,
    ) -> None:
        self._context = context
        self._resolver = resolver
        self._answer_handler = answers
        self._refresh_filter = refresh_filter
        self._rates = rates
        self._silence_detector = silence_detector

    def receive(
        self, packet: packets.Packet, now: float
    ) -> list[actions.Action]:
        """Returns the actions for a packet from the fabric.

        Args:
          packet: The parsed packet, which is rewritten in place on delivery.
          now: Monotonic seconds.
        """
        directory = self._context.directory
        entry = directory.services.get(
            (packet.protocol, packet.destination, packet.destination_port)
        )
        if entry is not None:
            return self._receive_from_caller(packet, entry, now)
        source = directory.endpoints.get(
            (packet.protocol, packet.source, packet.source_port)
        )
        if source is not None:
            return self._receive_from_target(packet, source, now)
        return [actions.Drop(actions.RoutingDrop.NO_SERVICE)]

    def _receive_from_caller(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        now: float,
    ) -> list[actions.Action]:
        if not self._context.may_send:
            return [actions.Drop(actions.RoutingDrop.DOCUMENT_TOO_OLD)]
        key = segments.compute_caller_flow_key(packet)
        routes = entry.routes
        base = routes.table.find_base(key)
        if base is None:
            return delivery.refuse_new_flow(packet, actions.Refusal.NO_TARGET)
        kind = encapsulation.ForwardKind.RESOLVE
        if segments.is_established(packet):
            if silence.carries_data(
                packet
            ) and self._silence_detector.record_data(key, packet, now):
                kind = encapsulation.ForwardKind.SUSPECT
            elif (
                base.number in routes.direct_endpoints
                and not self._refresh_filter.is_due(key, now)
            ):
                return delivery.deliver_to_target(packet, entry, base)
        return self._send_to_owner(packet, entry, key, base, kind, now)

    def _send_to_owner(
        self,
        packet: packets.Packet,
        entry: directories.ServiceEntry,
        key: ids.FlowKey,
        base: documents.Endpoint,
        kind: encapsulation.ForwardKind,
        now: float,
    ) -> list[actions.Action]:
        if segments.starts_flow(packet) and not self._rates.admit(
            entry.routes.service.id, now
        ):
            return delivery.refuse_over_rate(packet)
        owner = self._context.find_owner(base)
        if owner is None:
            return self._resolver.resolve_without_owner(
                packet, entry, key, base, now
            )
        header = self._context.make_header(kind, base)
        if owner == self._context.local_id:
            if kind is encapsulation.ForwardKind.SUSPECT:
                return self._resolver.resolve_suspected(
                    packet, entry, key, header, now
                )
            return self._resolver.resolve(packet, entry, key, header, now)
        return [actions.Forward(owner, header, packet.buffer)]

    def _receive_from_target(
        self,
        packet: packets.Packet,
        source: directories.EndpointEntry,
        now: float,
    ) -> list[actions.Action]:
        if self._silence_detector.observed:
            self._silence_detector.record_answer(
                segments.compute_answer_flow_key(packet, source)
            )
        if segments.is_established(packet):
            return delivery.deliver_to_caller(packet, source)
        owner = self._context.find_owner(source.endpoint)
        header = self._context.make_header(
            encapsulation.ForwardKind.ANSWER, source.endpoint
        )
        if owner is None or owner == self._context.local_id:
            return self._answer_handler.handle(packet, source, now)
        return [actions.Forward(owner, header, packet.buffer)]
