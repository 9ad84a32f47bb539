"""Packet builders that compute checksums by summing 16-bit words."""

import struct

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")

IPV4_CALLER = bytes([198, 51, 100, 7])
IPV4_SERVICE = bytes([203, 0, 113, 10])
IPV6_CALLER = bytes.fromhex("20010db8000000000000000000000007")
IPV6_SERVICE = bytes.fromhex("20010db8000000010000000000000010")


def sum_words(data):
    """Adds 16-bit words one by one, with end-around carry."""
    total = 0
    padded = bytes(data) + bytes(len(data) % 2)
    for (word,) in struct.iter_unpack("!H", padded):
        total += word
        total = (total & 0xFFFF) + (total >> 16)
    return total


def pseudo_header(ip):
    if ip[0] >> 4 == 4:
        return ip[12:20] + struct.pack("!BBH", 0, ip[9], len(ip) - 20)
    return ip[8:40] + struct.pack("!IBBBB", len(ip) - 40, 0, 0, 0, ip[6])


def transport_sum(ip):
    """Sums the pseudo header and the transport part; 0xffff when valid."""
    offset = 20 if ip[0] >> 4 == 4 else 40
    return sum_words(pseudo_header(ip) + ip[offset:])


def header_sum(ip):
    """Sums the IPv4 header; 0xffff when its checksum is valid."""
    return sum_words(ip[:20])


def ip_packet(
    source,
    destination,
    protocol,
    transport,
    checksum_offset,
    ttl=64,
    fragment=0,
):
    """Builds an IP packet with the header and transport checksums."""
    if len(source) == 4:
        length = 20 + len(transport)
        header = struct.pack(
            "!BBHHHBBH4s4s",
            *(0x45, 0, length, 1, fragment, ttl, protocol, 0),
            source,
            destination,
        )
        checksum = sum_words(header) ^ 0xFFFF
        header = header[:10] + struct.pack("!H", checksum) + header[12:]
    else:
        header = struct.pack(
            "!IHBB16s16s",
            *(6 << 28, len(transport), protocol, ttl),
            source,
            destination,
        )
    if checksum_offset is not None:
        checksum = transport_sum(header + transport) ^ 0xFFFF
        if protocol == 17 and checksum == 0:
            checksum = 0xFFFF
        transport = (
            transport[:checksum_offset]
            + struct.pack("!H", checksum)
            + transport[checksum_offset + 2 :]
        )
    return header + transport


def tcp_packet(
    *,
    source=IPV4_CALLER,
    destination=IPV4_SERVICE,
    source_port=40000,
    destination_port=8000,
    sequence=1000,
    acknowledgement=0,
    flags=0x02,
    payload=b"",
    options=b"",
    **ip,
):
    words = (20 + len(options)) // 4
    segment = struct.pack(
        "!HHIIBBHHH",
        source_port,
        destination_port,
        sequence,
        acknowledgement,
        *(words << 4, flags, 65535, 0, 0),
    )
    segment += options + payload
    return ip_packet(source, destination, 6, segment, 16, **ip)


def udp_packet(
    *,
    source=IPV4_CALLER,
    destination=IPV4_SERVICE,
    source_port=40000,
    destination_port=8001,
    payload=b"request",
    checksummed=True,
    **ip,
):
    datagram = struct.pack(
        "!HHHH", source_port, destination_port, 8 + len(payload), 0
    )
    checksum_offset = 6 if checksummed else None
    return ip_packet(
        source, destination, 17, datagram + payload, checksum_offset, **ip
    )
