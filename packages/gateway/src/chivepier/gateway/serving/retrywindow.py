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
    :param borrowed: repeats that were lent
    :param borrowed_at: when the last one was, in monotonic seconds
    """

    requests: collections.deque[int] = attrs.field(factory=_make_buckets)
    repeats: collections.deque[int] = attrs.field(factory=_make_buckets)
    borrowed: collections.deque[int] = attrs.field(factory=_make_buckets)
    borrowed_at: float | None = None

    def advance(self) -> None:
        """Begin the next bucket; the oldest one counts no more."""
        for buckets in (self.requests, self.repeats, self.borrowed):
            buckets.append(0)
