"""How fast the targets of each service read prompts."""

# Share by which one more prompt moves the average: about the last five count.
WEIGHT = 0.2


class ReadingPace:
    """Averages of seconds a token, from a request's send to its first event.

    Targets read prompts in chunks between the steps of what runs there, so
    the pace follows their load; it is measured, not configured.
    """

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def note(self, service: str, tokens: int, seconds: float) -> None:
        """Note a first event.

        :param service: whose target it came from
        :param tokens: that were read there until then, from the send on
        :param seconds: since the send
        """
        if tokens <= 0 or seconds <= 0:
            return
        fresh = seconds / tokens
        known = self._seconds.get(service, fresh)
        self._seconds[service] = known + WEIGHT * (fresh - known)

    def estimate(self, service: str, tokens: int) -> float:
        """Return how long tokens take to read, in seconds; 0 if unknown."""
        return tokens * self._seconds.get(service, 0.0)
