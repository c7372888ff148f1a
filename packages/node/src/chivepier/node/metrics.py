"""Counters and histograms of one node."""

import prometheus_client

from chivepier.types import Failure

MAX_LABELS = 30
OTHER = "other"
SECONDS = (0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.5, 0.86, 2, 5, 20)
TOKENS = (1, 4, 16, 64, 256, 1024, 4096, 16384, 65536)


class Metrics:
    """Histograms per team and class, with a bound on label values.

    Beyond ``MAX_LABELS`` teams the others share one label, so that 49,000
    teams can't exhaust a node's memory, nor a scrape its processor.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._labels: set[str] = set()
        self.first_token = self._histogram(
            "first_token_seconds", "Request to first token", SECONDS
        )
        self.token_gap = self._histogram(
            "inter_token_seconds", "Gap between deliveries", SECONDS
        )
        self.stall = self._histogram(
            "stall_seconds", "Longest time with nothing delivered", SECONDS
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds", "Wait for a permit", SECONDS
        )
        self.output = self._histogram(
            "output_tokens", "Tokens of an answer", TOKENS
        )
        self.refusals = self._counter(
            "failures", "Failed requests by kind", "kind", "ran"
        )
        self.losses = self._counter(
            "readers_lost", "Readers of a generation that failed", "reason"
        )
        self.resumes = self._counter(
            "resumes", "Streams resumed by their callers"
        )
        self.adoptions = self._counter(
            "adoptions", "Resumed generations counted as this entry's"
        )
        self.retries = self._counter(
            "retries", "Requests tried at another target", "kind"
        )
        self.replays = self._counter(
            "replays", "Stored answers given again for a key"
        )
        self.orders = self._counter(
            "orders", "Orders sent to targets", "order", "result"
        )

    def _counter(self, name: str, text: str, *labels: str):
        return prometheus_client.Counter(
            f"chivepier_{name}", text, labels, registry=self.registry
        )

    def _histogram(self, name: str, text: str, buckets: tuple):
        return prometheus_client.Histogram(
            f"chivepier_{name}",
            text,
            ["team", "urgency"],
            buckets=buckets,
            registry=self.registry,
        )

    def count_failure(self, failure: Failure) -> None:
        """Count a request that failed, however it was answered.

        :param failure: what the caller is told
        """
        self.refusals.labels(failure.kind.value, failure.ran.value).inc()

    def label(self, team: str) -> str:
        """Return the label value for a team.

        :param team: the team's name
        :returns: the name, or ``other`` once there are too many
        """
        if team in self._labels:
            return team
        if len(self._labels) >= MAX_LABELS:
            return OTHER
        self._labels.add(team)
        return team
