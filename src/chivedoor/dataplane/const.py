"""Constants of packet formats and packet ports."""

from typing import Final

IPV4: Final = 4
IPV6: Final = 6
TCP: Final = 6
UDP: Final = 17
ICMPV4: Final = 1
ICMPV6: Final = 58

IPV4_HEADER_BYTES: Final = 20
IPV6_HEADER_BYTES: Final = 40
TCP_HEADER_BYTES: Final = 20
UDP_HEADER_BYTES: Final = 8
ICMP_HEADER_BYTES: Final = 8

IPV4_FRAGMENT_MASK: Final = 0x3FFF
IPV4_DONT_FRAGMENT: Final = 0x4000
IPV6_FRAGMENT_HEADER: Final = 44
IPV6_EXTENSION_HEADERS: Final = frozenset({0, 43, 50, 51, 60, 135, 139, 140})

FLAG_FIN: Final = 0x01
FLAG_SYN: Final = 0x02
FLAG_RST: Final = 0x04
FLAG_PSH: Final = 0x08
FLAG_ACK: Final = 0x10
FLAG_URG: Final = 0x20

# Forwarding decrements the TTL, so a packet that arrives with a TTL of 1 has
# expired.
MIN_TTL: Final = 2
REFUSAL_TTL: Final = 64

# 65536 is congruent to 1 modulo 65535, so the ones' complement sum of 16-bit
# words equals the big-endian number they form, modulo 65535.
CHECKSUM_MODULUS: Final = 0xFFFF

# An ICMP error quotes as much of the original packet as fits into these sizes
# (RFC 1812 section 4.3.2.3 and RFC 4443 section 3.1).
ICMPV4_ERROR_BYTES: Final = 576
ICMPV6_ERROR_BYTES: Final = 1280

ENCAPSULATION_VERSION: Final = 1
ENCAPSULATION_HEADER_BYTES: Final = 24
TAG_BYTES: Final = 8
MAX_HOPS: Final = 6
MIN_KEY_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64

BATCH_DATAGRAMS: Final = 64
MAX_DATAGRAM_BYTES: Final = 65_536
# Holds a burst of 100 ms at 100,000 packets per second; each small packet takes
# about 800 bytes of kernel memory.
RECEIVE_BUFFER_BYTES: Final = 8 * 1024 * 1024
SEND_BUFFER_BYTES: Final = 4 * 1024 * 1024
# The kernel charges each datagram in a socket buffer with at least this much
# memory. The buffer size divided by it bounds the number of waiting datagrams.
MIN_KERNEL_DATAGRAM_BYTES: Final = 256
