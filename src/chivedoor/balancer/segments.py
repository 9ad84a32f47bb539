"""Kinds of segments that decide a packet's way between balancers."""

from chivedoor.dataplane import const
from chivedoor.dataplane import packet as packets

_CONTROL_FLAGS = const.FLAG_SYN | const.FLAG_FIN | const.FLAG_RST


def is_established(packet: packets.Packet) -> bool:
    """Returns whether a packet is a TCP segment inside an open connection."""
    return packet.protocol == const.TCP and not packet.flags & _CONTROL_FLAGS


def starts_flow(packet: packets.Packet) -> bool:
    """Returns whether a packet may be the first one of a flow."""
    return packet.protocol != const.TCP or packet.is_syn
