"""Telling the request that ends targets from those that ran beside it."""

import collections.abc
import itertools

from chivepier.gateway.quarantine.incarnation import Incarnation

# Ends of targets under one request after which it is held back: two may happen
# to one that ran beside the cause and was sent again.
MIN_ENDINGS = 3

IncarnationsByDigest = collections.abc.Mapping[
    str, collections.abc.Set[Incarnation]
]


def find_suspects(ends: IncarnationsByDigest) -> set[str]:
    """Find the requests to hold back.

    All that ran at a target was there when it ended, and a request that is
    sent again beside the cause meets several ends, too. Those under which the
    most targets have ended are taken first; where each end that another one
    met is one of theirs, it is explained, and the other one goes on.

    >>> a, b, c, d = (Incarnation(name, 0) for name in "abcd")
    >>> beside, once = {a, b, c}, {d}
    >>> find_suspects({"cause": {a, b, c, d}, "beside": beside, "once": once})
    {'cause'}

    :param ends: lives of targets that ended, by the request's digest
    :returns: digests
    """
    suspects = [
        d
        for d, incarnations in ends.items()
        if len(incarnations) >= MIN_ENDINGS
    ]
    suspects.sort(key=lambda digest: len(ends[digest]), reverse=True)
    held: set[str] = set()
    explained: set[Incarnation] = set()
    for _, tied in itertools.groupby(suspects, lambda d: len(ends[d])):
        # of those that met equally many, none explains the other
        unexplained = [
            digest for digest in tied if not ends[digest] <= explained
        ]
        held.update(unexplained)
        explained.update(*(ends[digest] for digest in unexplained))
    return held
