"""Measuring one stream."""

import prometheus_client

from chivepier.node.lossreason import LossReason


class StreamMeter:
    """Takes the times of one answer; one call for each buffer of events.

    :param metrics: where the measurements go
    :param team: the caller's team
    :param urgency: the class's name
    :param started: when the request came, on the loop's clock
    """

    def __init__(self, metrics, team: str, urgency: str, started: float):
        labels = (metrics.label(team), urgency)
        self._metrics = metrics
        self._labels = labels
        self._gap: prometheus_client.Histogram = metrics.token_gap.labels(
            *labels
        )
        self._started = started
        self._last: float | None = None
        self._longest = 0.0

    def note(self, now: float) -> None:
        """Note that events came.

        :param now: on the loop's clock
        """
        last, self._last = self._last, now
        if last is None:
            wait = now - self._started
            first = self._metrics.first_token.labels(*self._labels)
            first.observe(wait)
            self._longest = wait
            return
        gap = now - last
        self._gap.observe(gap)
        if gap > self._longest:
            self._longest = gap

    def note_resumed(self, now: float) -> None:
        """Note that a caller resumed: the first token was counted before."""
        self._last = now

    def note_permit(self, seconds: float) -> None:
        """Note how long a permit took."""
        self._metrics.queue_wait.labels(*self._labels).observe(seconds)

    def count_loss(self, reason: LossReason) -> None:
        """Count a reader that failed."""
        self._metrics.losses.labels(reason.value).inc()

    def end(self, tokens: int) -> None:
        """Note the stream's end.

        :param tokens: of the whole answer so far
        """
        self._metrics.stall.labels(*self._labels).observe(self._longest)
        self._metrics.output.labels(*self._labels).observe(tokens)
