"""Constants of the stand-ins."""

from typing import Final

IPV4_HEADER_BYTES: Final = 20
IPV4_ADDRESS_BYTES: Final = 4
TCP_HEADER_BYTES: Final = 20
UDP_HEADER_BYTES: Final = 8
DEFAULT_TTL: Final = 64
PROTOCOL_ICMP: Final = 1
PROTOCOL_TCP: Final = 6
PROTOCOL_UDP: Final = 17
ICMP_UNREACHABLE: Final = 3

FIN: Final = 0x01
SYN: Final = 0x02
RST: Final = 0x04
PSH: Final = 0x08
ACK: Final = 0x10

MAXIMUM_SEGMENT_BYTES: Final = 1400
RECEIVE_WINDOW_BYTES: Final = 65535
INITIAL_CONGESTION_SEGMENTS: Final = 10
DUPLICATE_ACK_THRESHOLD: Final = 3
SYN_TIMEOUT_S: Final = 1.0
MINIMUM_TIMEOUT_S: Final = 0.2
MAXIMUM_TIMEOUT_S: Final = 10.0
# 1 + 2 + 4 + 8 s of waiting, several times the duration of a takeover.
SYN_TRIES: Final = 4
# About 23 s of waiting, longer than any permitted takeover.
DATA_TRIES: Final = 8
# Closed connections are kept this long to acknowledge a retransmitted FIN.
LINGER_S: Final = 2.0

TICK_S: Final = 0.005
SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024
LINK_BATCH: Final = 128
