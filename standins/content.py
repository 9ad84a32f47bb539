"""Numbered records that reveal loss, duplication and mixing of flows.

Each record contains a tag of its flow and its number. The rest is derived from
both, so that every wrong byte is detected.
"""

import enum
import struct

import xxhash

_HEADER = struct.Struct("!QQ")
MINIMUM_RECORD_BYTES = _HEADER.size


class Fault(enum.Enum):
    """Fault in received content."""

    CORRUPTED = "corrupted"
    MIXED = "mixed"
    DOUBLED = "doubled"
    LOST = "lost"


def tag_flow(flow: str) -> int:
    """Returns the 64-bit tag that identifies a flow in records."""
    return xxhash.xxh3_64_intdigest(flow.encode())


def build_record(tag: int, number: int, size_bytes: int) -> bytes:
    """Builds record `number` of a flow; the size is at least 16 bytes."""
    header = _HEADER.pack(tag, number)
    filler = xxhash.xxh3_128_digest(header)
    repeats = size_bytes // len(filler)
    return (header + filler * repeats)[:size_bytes]


def build_digest(flow: str, count: int, size_bytes: int) -> str:
    """Computes the digest of the first `count` records of a flow."""
    tag = tag_flow(flow)
    digest = xxhash.xxh3_128()
    for number in range(count):
        digest.update(build_record(tag, number, size_bytes))
    return digest.hexdigest()


def find_fault(
    data: bytes, *, tag: int, number: int, size_bytes: int
) -> Fault | None:
    """Returns the fault of a record; None when it is correct."""
    if data == build_record(tag, number, size_bytes):
        return None
    if len(data) < MINIMUM_RECORD_BYTES:
        return Fault.LOST
    found_tag, found_number = _HEADER.unpack_from(data)
    if data != build_record(found_tag, found_number, size_bytes):
        return Fault.CORRUPTED
    if found_tag != tag:
        return Fault.MIXED
    return Fault.DOUBLED if found_number < number else Fault.LOST


class RecordChecker:
    """Checks a byte stream of numbered records incrementally."""

    def __init__(self, *, flow: str, size_bytes: int):
        """Creates a checker that expects record 0 of a flow."""
        self.count = 0
        self.fault: Fault | None = None
        self._tag = tag_flow(flow)
        self._size_bytes = size_bytes
        self._partial = bytearray()
        self._hash = xxhash.xxh3_128()

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the incomplete record."""
        return len(self._partial)

    @property
    def digest(self) -> str:
        """Hexadecimal digest of all bytes so far."""
        return self._hash.hexdigest()

    def feed(self, data: bytes) -> None:
        """Checks more bytes; only the first fault is recorded."""
        self._hash.update(data)
        self._partial += data
        while self.fault is None and len(self._partial) >= self._size_bytes:
            record = bytes(self._partial[: self._size_bytes])
            del self._partial[: self._size_bytes]
            self.fault = find_fault(
                record,
                tag=self._tag,
                number=self.count,
                size_bytes=self._size_bytes,
            )
            self.count += self.fault is None
