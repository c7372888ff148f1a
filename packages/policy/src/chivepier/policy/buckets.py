"""Log-spaced buckets of lengths, four to an octave."""

import math

BUCKETS = 64
HORIZONS = (0, 32, 96, 192, 384, 768, 1536, 3072)


def find_bucket(tokens: int) -> int:
    """Return the bucket of a length.

    >>> [find_bucket(t) for t in (0, 1, 3, 4, 7, 8, 9, 10, 16)]
    [0, 1, 3, 4, 7, 8, 8, 9, 12]

    :param tokens: a length, 0 or more
    :returns: its bucket's number, the last one for all that is longer
    """
    if tokens < 4:
        return tokens
    bits = tokens.bit_length()
    bucket = (bits - 3) * 4 + (tokens >> (bits - 3))
    return bucket if bucket < BUCKETS else BUCKETS - 1


def start_of(bucket: int) -> int:
    """Return the least length in a bucket.

    >>> all(find_bucket(start_of(b)) == b for b in range(BUCKETS))
    True

    :param bucket: the number of a bucket
    :returns: tokens
    """
    if bucket < 4:
        return bucket
    octave, part = divmod(bucket - 4, 4)
    return (4 + part) << octave


STARTS = tuple(start_of(bucket) for bucket in range(BUCKETS + 1))
LOG_STARTS = tuple(math.log(start + 1) for start in STARTS)
