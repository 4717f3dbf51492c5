"""Compress large values of items, such as the configuration."""

import functools
import zlib

__all__ = ["compress", "decompress"]

# The lowest level: higher ones take more time and gain little on JSON.
LEVEL = 1
# The same few values go to every daemon that asks a relay.
MAX_CACHED_VALUES = 4


@functools.lru_cache(maxsize=MAX_CACHED_VALUES)
def compress(value: bytes) -> bytes:
    """Compress a value with zlib; the results for the last few values are kept."""
    return zlib.compress(value, LEVEL)


def decompress(data: bytes, size: int) -> bytes:
    """Decompress a value of ``size`` bytes without ever using more memory for it.

    Raises
    ------
    ValueError
        If the data is not the whole of a value of this size.

    Examples
    --------
    >>> decompress(compress(b"example"), 7)
    b'example'
    """
    decompressor = zlib.decompressobj()
    try:
        # One byte more, so that the checksum at the end is read too.
        value = decompressor.decompress(data, size + 1)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if len(value) != size or not decompressor.eof:
        raise ValueError("a compressed value has the wrong size")
    return value
