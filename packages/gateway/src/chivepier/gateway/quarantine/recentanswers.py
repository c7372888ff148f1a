"""Requests that were answered recently."""

from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS

# Maximum number of requests that are remembered.
MAX_RECENT_ANSWERS = 4_096


class RecentAnswers:
    """Bounded record of the requests that targets answered completely.

    >>> answers = RecentAnswers()
    >>> answers.add("d", 5.0)
    >>> answers.find("d", 6.0), answers.find("d", 66.0)
    (5.0, None)
    """

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}

    def add(self, digest: str, now: float) -> None:
        """Record that a request was answered.

        :param digest: digest of the request
        :param now: current time in monotonic seconds
        """
        self._answered.pop(digest, None)
        self._answered[digest] = now
        if len(self._answered) > MAX_RECENT_ANSWERS:
            del self._answered[next(iter(self._answered))]

    def find(self, digest: str, now: float) -> float | None:
        """Return when a request was last answered, if recently.

        :param digest: digest of the request
        :param now: current time in monotonic seconds
        """
        answered = self._answered.get(digest)
        if answered is None or now - answered >= CLEARANCE_WINDOW_SECONDS:
            return None
        return answered
