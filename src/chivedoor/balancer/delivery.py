"""Delivery of packets to the fabric, and refusal and abort of flows."""

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
    """Refuses a packet that starts a flow; drops any other packet.

    A refusal states that nothing was forwarded. This does not hold for a
    packet from the middle of a flow, so such a packet is dropped silently.
    """
    if not segments.starts_flow(packet):
        return [actions.Drop(actions.RoutingDrop.UNRESOLVED)]
    return [actions.Refuse(reason, _build_refusal(packet))]


def refuse_over_rate(packet: packets.Packet) -> list[actions.Action]:
    """Refuses a SYN or drops a datagram that exceeds the rate of new flows.

    A datagram may repeat a request that is already running, and a refusal
    would claim that it is not. A SYN carries no request and can be refused.
    """
    if packet.protocol == _TCP:
        return refuse_new_flow(packet, actions.Refusal.RATE_EXCEEDED)
    return [actions.Drop(actions.RoutingDrop.RATE_EXCEEDED)]


def abort_flow(packet: packets.Packet) -> list[actions.Action]:
    """Aborts a flow whose target is in a failure domain that is out."""
    if segments.starts_flow(packet) or packet.is_reset:
        return [actions.Drop(actions.RoutingDrop.DOMAIN_OUT)]
    reason = actions.AbortReason.DOMAIN_OUT
    return [actions.Abort(reason, refusal.build_abort(packet))]


def deliver_to_target(
    packet: packets.Packet,
    entry: directories.ServiceEntry,
    endpoint: documents.Endpoint,
) -> list[actions.Action]:
    """Rewrites a caller's packet for a target and sends it to the fabric."""
    rewrite.decrement_ttl(packet)
    rewrite.rewrite_destination(
        packet, endpoint.address, entry.port.target_port
    )
    return [actions.Deliver(packet.buffer)]


def deliver_to_caller(
    packet: packets.Packet, source: directories.EndpointEntry
) -> list[actions.Action]:
    """Rewrites a target's packet for the caller and sends it to the fabric."""
    rewrite.decrement_ttl(packet)
    rewrite.rewrite_source(packet, source.service_address, source.port.port)
    return [actions.Deliver(packet.buffer)]


def _build_refusal(packet: packets.Packet) -> bytes:
    if packet.protocol == _TCP:
        return refusal.build_reset(packet)
    return refusal.build_unreachable(packet, refusal.UnreachableCode.PROHIBITED)
