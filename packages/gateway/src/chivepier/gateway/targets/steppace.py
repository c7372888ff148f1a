"""How fast the targets of each service generate."""

from chivepier.gateway.targets.readingpace import ReadingPace

# Seconds a token until the first generation has come to its end.
USUAL_SECONDS = 0.01
# Tokens of a generation that says something of the pace: the events of a short
# answer come in one piece with the first.
LEAST_TOKENS = 100


class StepPace:
    """Median seconds a token, over generations that ran to their end.

    >>> pace = StepPace()
    >>> pace.estimate("s", 100)
    1.0
    >>> pace.note("s", 1000, 5.0)
    >>> pace.estimate("s", 100)
    0.5
    """

    def __init__(self) -> None:
        self._pace = ReadingPace()

    def note(self, service: str, tokens: int, seconds: float) -> None:
        """Note a generation from its first event to its end.

        :param service: whose target it ran at
        :param tokens: that it made
        :param seconds: that it took
        """
        if tokens >= LEAST_TOKENS:
            self._pace.note(service, tokens, seconds)

    def estimate(self, service: str, tokens: int) -> float:
        """Return how long tokens take to be generated, in seconds."""
        seen = self._pace.estimate(service, tokens)
        return seen or tokens * USUAL_SECONDS
