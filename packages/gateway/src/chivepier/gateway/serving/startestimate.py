"""When a request that waits for room is expected to start."""

import attrs

# Multiple of the time left that a start must be beyond to be hopeless: the
# rate is a mean, and generations that wait ahead may be given up.
CERTAIN_FACTOR = 1.5


@attrs.frozen(kw_only=True)
class StartEstimate:
    """Expected start of a request, and what it rests on.

    Room becomes free at the rate at which generations end. More urgent ones
    that are yet to come aren't counted, so the start is rather later.

    >>> estimate = StartEstimate(
    ...     tokens=1_000, ahead=9_000, free=2_000.0, rate=1_000.0
    ... )
    >>> estimate.seconds, estimate.drain_seconds
    (8.0, 7.0)
    >>> estimate.is_beyond(5.0), estimate.is_beyond(6.0)
    (True, False)
    >>> unsure = attrs.evolve(estimate, rate=None)
    >>> unsure.seconds is None, unsure.is_beyond(0.0)
    (True, False)

    :param tokens: room that it needs, in tokens
    :param ahead: tokens of the requests that go first
    :param free: free room that it may use, in tokens
    :param rate: tokens that become free in a second; ``None`` if not known
    """

    tokens: int
    ahead: int
    free: float
    rate: float | None

    @property
    def seconds(self) -> float | None:
        """Seconds until it starts; ``None`` if not known."""
        return self._divide(self.ahead + self.tokens - self.free)

    @property
    def drain_seconds(self) -> float | None:
        """Seconds until those ahead have started; ``None`` if not known."""
        return self._divide(self.ahead - self.free)

    def is_beyond(self, left: float) -> bool:
        """Tell whether it clearly starts too late; if unsure, it doesn't.

        :param left: seconds until the latest useful start
        """
        seconds = self.seconds
        return seconds is not None and seconds > CERTAIN_FACTOR * max(
            0.0, left
        )

    def _divide(self, tokens: float) -> float | None:
        if tokens <= 0.0:
            return 0.0
        return tokens / self.rate if self.rate else None
