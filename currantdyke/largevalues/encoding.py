"""Encode large values, such as the configuration, as differences from earlier ones."""

import functools
import hashlib
import math

import zstandard

__all__ = ["MIN_LARGE_BYTES", "decode_value", "digest", "encode_value"]

# Smaller values are sent as they are; encoding them would gain little.
MIN_LARGE_BYTES = 4_096
MAX_VALUE_BYTES = 8_000_000
DIGEST_BYTES = 16
# Lower levels find only a part of what a value of megabytes shares with its base.
LEVEL = 6
# The same few values go to every daemon that asks a relay.
MAX_CACHED_VALUES = 4
MIN_WINDOW_LOG = 10


def digest(value: bytes) -> bytes:
    """Return the hash by which daemons name a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


@functools.lru_cache(maxsize=MAX_CACHED_VALUES)
def encode_value(value: bytes, base: bytes) -> tuple[bytes, bytes]:
    """Compress a value with an earlier one as the dictionary.

    Parameters
    ----------
    base : bytes
        Empty for none.

    Returns
    -------
    tuple of bytes
        The encoded value and its digest.

    Examples
    --------
    >>> import random
    >>> base = random.Random(1).randbytes(100_000)
    >>> data, _ = encode_value(base[:500] + b"example" + base[500:], base)
    >>> len(data) < 100
    True
    >>> decode_value(data, 100_007, base)[500:507]
    b'example'
    """
    window_log = math.ceil(math.log2(len(base) + len(value) + 1))
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(value),
        dict_size=len(base),
        window_log=max(MIN_WINDOW_LOG, window_log),
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_dictionary(base)
    )
    encoded = compressor.compress(value)
    return encoded, digest(encoded)


def decode_value(data: bytes, size: int, base: bytes) -> bytes:
    """Return the value of ``size`` bytes that `encode_value` has encoded.

    Raises
    ------
    ValueError
        If the data is not the whole of a value of this size.
    """
    if not 0 < size <= MAX_VALUE_BYTES:
        raise ValueError(f"a value has {size} bytes")
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base), max_window_size=2 * MAX_VALUE_BYTES
    )
    try:
        value = decompressor.decompress(data, max_output_size=size)
    except zstandard.ZstdError as error:
        raise ValueError(str(error)) from error
    if len(value) != size:
        raise ValueError("an encoded value has the wrong size")
    return value


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
