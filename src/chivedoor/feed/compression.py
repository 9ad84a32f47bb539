"""Compression of frames, and of large values as differences.

A difference is a Zstandard frame whose dictionary is the earlier value. A
configuration of 1 MB takes some 50 KB compressed, and less than 1 KB as a
difference if one route changed.
"""

import xxhash
import zstandard

from chivedoor.feed import const
from chivedoor.feed import exceptions

_LEVEL = 3


def compute_digest(value: bytes) -> int:
    """Returns a digest that names a value."""
    return xxhash.xxh64_intdigest(value)


def compress(data: bytes, base: bytes = b"") -> bytes:
    """Compresses data; the result refers to `base` unless that is empty."""
    if not base:
        return zstandard.ZstdCompressor(level=_LEVEL).compress(data)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(data),
        dict_size=len(base),
        # The window has to reach back to the first byte of the base.
        window_log=max(
            zstandard.WINDOWLOG_MIN, (len(data) + len(base)).bit_length()
        ),
        write_checksum=True,
    )
    return zstandard.ZstdCompressor(
        dict_data=_make_dictionary(base), compression_params=parameters
    ).compress(data)


def decompress(data: bytes, base: bytes = b"") -> bytes:
    """Returns the data that `compress` was called with.

    Raises:
        MalformedAnswerError: The data cannot be decompressed, or would exceed
            the size limit of a frame.
    """
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= const.MAX_FRAME_BYTES:
            raise exceptions.MalformedAnswerError("compressed size")
        decompressor = (
            zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
            if base
            else zstandard.ZstdDecompressor()
        )
        return decompressor.decompress(data, allow_extra_data=False)
    except zstandard.ZstdError as error:
        raise exceptions.MalformedAnswerError("compressed data") from error


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
