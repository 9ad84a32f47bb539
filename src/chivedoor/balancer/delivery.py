"""Hands packets to the fabric, or refuses and ends flows."""

from chivedoor.balancer import actions
from chivedoor.balancer import segments
from chivedoor.configuration import document as documents
from chivedoor.dataplane import packet as packets
from chivedoor.dataplane import refusal
from chivedoor.dataplane import rewrite
from chivedoor.routing import directory as directories

_TCP = int(documents.Protocol.TCP)


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


def refuse_over_rate(packet: packets.Packet) -> list[actions.Action]:
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


def deliver_to_target(
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


def deliver_to_caller(
    packet: packets.Packet, source: directories.EndpointEntry
) -> list[actions.Action]:
    """Rewrites a target's packet for the caller and hands it to the fabric."""
    rewrite.decrement_ttl(packet)
    rewrite.rewrite_source(packet, source.service_address, source.port.port)
    return [actions.Deliver(packet.buffer)]


def _build_refusal(packet: packets.Packet) -> bytes:
    if packet.protocol == _TCP:
        return refusal.build_reset(packet)
    return refusal.build_unreachable(packet, refusal.UnreachableCode.PROHIBITED)
