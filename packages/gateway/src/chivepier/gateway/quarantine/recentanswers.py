"""Requests that were answered lately."""

from chivepier.gateway.quarantine.ledger import CLEARANCE_WINDOW_SECONDS

# Requests that are remembered.
MAX_RECENT_ANSWERS = 4_096


class RecentAnswers:
    """Remembers which requests targets answered whole, the newest of them.

    >>> memory = RecentAnswers()
    >>> memory.add("d", 5.0)
    >>> memory.find("d", 6.0), memory.find("d", 66.0)
    (5.0, None)
    """

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}

    def add(self, digest: str, now: float) -> None:
        """Note that a request was answered.

        :param digest: the request's
        :param now: monotonic seconds
        """
        self._answered.pop(digest, None)
        self._answered[digest] = now
        if len(self._answered) > MAX_RECENT_ANSWERS:
            del self._answered[next(iter(self._answered))]

    def find(self, digest: str, now: float) -> float | None:
        """Return when a request was answered last, if that still counts.

        :param digest: the request's
        :param now: monotonic seconds
        """
        answered = self._answered.get(digest)
        if answered is None or now - answered >= CLEARANCE_WINDOW_SECONDS:
            return None
        return answered
