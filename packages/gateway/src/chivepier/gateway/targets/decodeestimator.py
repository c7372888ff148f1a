"""How fast the targets of each service generate."""

from chivepier.gateway.targets.prefillestimator import PrefillEstimator

# Seconds a token until the first generation has come to its end.
DEFAULT_SECONDS_PER_TOKEN = 0.01
# Tokens of a generation that says something of the pace: the events of a short
# answer come in one piece with the first.
MIN_SAMPLE_TOKENS = 100


class DecodeEstimator:
    """Median seconds a token, over generations that ran to their end.

    >>> estimator = DecodeEstimator()
    >>> estimator.estimate("s", 100)
    1.0
    >>> estimator.record("s", 1000, 5.0)
    >>> estimator.estimate("s", 100)
    0.5
    """

    def __init__(self) -> None:
        self._estimator = PrefillEstimator()

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Note a generation from its first event to its end.

        :param service: whose target it ran at
        :param tokens: that it made
        :param seconds: that it took
        """
        if tokens >= MIN_SAMPLE_TOKENS:
            self._estimator.record(service, tokens, seconds)

    def estimate(self, service: str, tokens: int) -> float:
        """Return how long tokens take to be generated, in seconds."""
        seen = self._estimator.estimate(service, tokens)
        return seen or tokens * DEFAULT_SECONDS_PER_TOKEN
