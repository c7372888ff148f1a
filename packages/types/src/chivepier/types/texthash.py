"""Hashes of text."""

import xxhash


def hash_text(text: str) -> int:
    """Hash a text; the same on every node and run.

    >>> hash_text("a") == hash_text("a")
    True

    :param text: any text
    :returns: a 64-bit number
    """
    return xxhash.xxh3_64_intdigest(text.encode())
