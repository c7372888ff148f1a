"""Identification of requests that end targets."""

import collections.abc
import itertools

from chivepier.gateway.quarantine.incarnation import Incarnation

# Number of endings from which a request is held back. An innocent request that
# ran beside the cause and was retried may see two.
MIN_ENDINGS = 3

IncarnationsByDigest = collections.abc.Mapping[
    str, collections.abc.Set[Incarnation]
]


def find_suspects(ends: IncarnationsByDigest) -> set[str]:
    """Find the requests that most likely cause targets to end.

    Each request that ran on a target is present when it ends, and one that is
    retried beside the cause may see several ends. Requests are taken by
    descending number of endings, and one whose endings are all covered by
    suspects with more endings is not a suspect.

    >>> a, b, c, d = (Incarnation(name, 0) for name in "abcd")
    >>> beside, once = {a, b, c}, {d}
    >>> find_suspects({"cause": {a, b, c, d}, "beside": beside, "once": once})
    {'cause'}

    :param ends: incarnations that ended, by digest of the request
    :returns: digests of the suspects
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
        # requests with equally many endings do not cover each other
        unexplained = [
            digest for digest in tied if not ends[digest] <= explained
        ]
        held.update(unexplained)
        explained.update(*(ends[digest] for digest in unexplained))
    return held
