"""Request counts of one service over a sliding window."""

import collections

import attrs

BUCKETS = 10


def _make_buckets() -> collections.deque[int]:
    return collections.deque([0] * BUCKETS, BUCKETS)


@attrs.define
class RetryWindow:
    """Requests and retries of one service; the last bucket is the newest.

    :param requests: requests that callers sent, per bucket
    :param retries: retries that this entry sent, borrowed ones included
    :param borrowed: retries that this entry borrowed
    :param borrowed_at: monotonic time of the last loan in seconds; ``None``
        before the first one
    """

    requests: collections.deque[int] = attrs.field(factory=_make_buckets)
    retries: collections.deque[int] = attrs.field(factory=_make_buckets)
    borrowed: collections.deque[int] = attrs.field(factory=_make_buckets)
    borrowed_at: float | None = None

    def advance(self) -> None:
        """Start a new bucket and drop the oldest one."""
        for buckets in (self.requests, self.retries, self.borrowed):
            buckets.append(0)
