"""Which voters keep where a stream began."""

import collections.abc
import hashlib

from chivepier.gateway.origins.originkey import OriginKey

# Voters that keep each origin: two of them may be lost.
HOLDERS = 3


def choose_holders(
    key: OriginKey, voters: collections.abc.Iterable[str]
) -> list[str]:
    """Choose the voters for a stream, the same at every entry.

    Where entries know of different voters, most of their choices agree.

    >>> choose_holders(OriginKey("t1", "a1"), ["v1", "v2"])
    ['v2', 'v1']

    :param key: identifies the stream
    :param voters: addresses of the voters
    """

    def weigh(voter: str) -> bytes:
        text = "\n".join((voter, key.team, key.attempt))
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(voters, key=weigh)[:HOLDERS]
