"""Requests that were answered lately."""

from chivepier.gateway.quarantine.ledger import SOUND_SECONDS

# Requests that are remembered.
MOST_REMEMBERED = 4_096


class SoundMemory:
    """Remembers which requests targets answered whole, the newest of them.

    >>> memory = SoundMemory()
    >>> memory.note("d", 5.0)
    >>> memory.recall("d", 6.0), memory.recall("d", 66.0)
    (5.0, None)
    """

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}

    def note(self, digest: str, now: float) -> None:
        """Note that a request was answered.

        :param digest: the request's
        :param now: monotonic seconds
        """
        self._answered.pop(digest, None)
        self._answered[digest] = now
        if len(self._answered) > MOST_REMEMBERED:
            del self._answered[next(iter(self._answered))]

    def recall(self, digest: str, now: float) -> float | None:
        """Return when a request was answered last, if that still counts.

        :param digest: the request's
        :param now: monotonic seconds
        """
        answered = self._answered.get(digest)
        if answered is None or now - answered >= SOUND_SECONDS:
            return None
        return answered
