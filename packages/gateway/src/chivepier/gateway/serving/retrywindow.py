"""Counts of one service over a sliding window."""

import collections

import attrs

BUCKETS = 10


def _make_buckets() -> collections.deque[int]:
    return collections.deque([0] * BUCKETS, BUCKETS)


@attrs.define
class RetryWindow:
    """Requests and repeats of one service; the newest bucket is the last.

    :param requests: that callers sent
    :param repeats: that this entry sent, those with a loan included
    :param lent: repeats that were lent
    :param lent_at: when the last one was, in monotonic seconds
    """

    requests: collections.deque[int] = attrs.field(factory=_make_buckets)
    repeats: collections.deque[int] = attrs.field(factory=_make_buckets)
    lent: collections.deque[int] = attrs.field(factory=_make_buckets)
    lent_at: float | None = None

    def advance(self) -> None:
        """Begin the next bucket; the oldest one counts no more."""
        for buckets in (self.requests, self.repeats, self.lent):
            buckets.append(0)
