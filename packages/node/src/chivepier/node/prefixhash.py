"""Short hashes of a prompt's prefixes."""

PREFIX_BITS = 32
_MASK = (1 << PREFIX_BITS) - 1


def shorten_hash(value: int) -> int:
    """Keep as much of a prefix's hash as placement needs.

    A hash goes with each ask for a permit, where 64 bits cost 9 bytes and
    32 cost 5.  An index of 16,384 prefixes holds a given stranger by chance
    once in 262,144 times.  What follows is a worse guess of what a target
    has in its cache: the engine compares the text itself, salted by team.

    >>> shorten_hash((7 << 32) + 5)
    5

    :param value: a hash of 64 bits
    :returns: its low 32 bits
    """
    return value & _MASK
