"""Classification of packets, and the keys of their flows."""

from chivedoor import ids
from chivedoor.configuration import document as documents
from chivedoor.dataplane import const
from chivedoor.dataplane import packet as packets
from chivedoor.routing import directory as directories
from chivedoor.routing import hashing

_CONTROL_FLAGS = const.FLAG_SYN | const.FLAG_FIN | const.FLAG_RST


def is_established(packet: packets.Packet) -> bool:
    """Returns whether a packet is a TCP segment without SYN, FIN and RST."""
    return packet.protocol == const.TCP and not packet.flags & _CONTROL_FLAGS


def starts_flow(packet: packets.Packet) -> bool:
    """Returns whether a packet may be the first packet of a flow."""
    return packet.protocol != const.TCP or packet.is_syn


def is_non_idempotent_request(
    packet: packets.Packet, entry: directories.ServiceEntry
) -> bool:
    """Returns whether a packet is a datagram that must run at most once."""
    return (
        packet.protocol != const.TCP
        and entry.port.kind is documents.PortKind.REQUEST
        and not entry.port.idempotent
    )


def compute_caller_flow_key(packet: packets.Packet) -> ids.FlowKey:
    """Returns the key of the flow that a caller's packet belongs to."""
    return hashing.compute_flow_key(
        protocol=packet.protocol,
        caller=packet.source,
        caller_port=packet.source_port,
        service=packet.destination,
        service_port=packet.destination_port,
    )


def compute_answer_flow_key(
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
