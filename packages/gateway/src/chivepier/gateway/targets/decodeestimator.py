"""Estimates of decoding time by service."""

from chivepier.gateway.targets.prefillestimator import PrefillEstimator

# Seconds per token assumed until the first generation has ended.
DEFAULT_SECONDS_PER_TOKEN = 0.01
# Minimum length of a generation that is sampled: a short one delivers all its
# events together with the first.
MIN_SAMPLE_TOKENS = 100


class DecodeEstimator:
    """Median seconds per output token of completed generations.

    >>> estimator = DecodeEstimator()
    >>> estimator.estimate("s", 100)
    1.0
    >>> estimator.record("s", 1000, 5.0)
    >>> estimator.estimate("s", 100)
    0.5
    """

    def __init__(self) -> None:
        self._estimator = PrefillEstimator()

    def record(
        self, service: str, tokens: int, seconds: float, pace: float = 1.0
    ) -> None:
        """Record the time of a generation from its first event to its end.

        :param service: name of the service
        :param tokens: number of tokens that it generated
        :param seconds: time that it took, in seconds
        :param pace: pace of its target; 1.0 if unknown
        """
        if tokens >= MIN_SAMPLE_TOKENS:
            self._estimator.record(service, tokens, seconds, pace)

    def estimate(self, service: str, tokens: int, pace: float = 1.0) -> float:
        """Return the time to generate tokens, in seconds.

        :param service: name of the service
        :param tokens: number of tokens
        :param pace: pace of the target; 1.0 if unknown
        """
        seen = self._estimator.estimate(service, tokens, pace)
        return seen or tokens * DEFAULT_SECONDS_PER_TOKEN * pace
