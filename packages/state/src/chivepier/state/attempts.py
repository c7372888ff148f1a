"""How often a voter has stood, and how that ended."""

from chivepier.types import Clock


class Attempts:
    """Notes the last attempt to become the leader.

    :param clock: monotonic clock
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._began: float | None = None
        self.count = 0
        self.ended = ""

    def begin(self) -> None:
        """Note that the voter stands."""
        self._began = self._clock.monotonic()
        self.count += 1
        self.ended = ""

    def end(self, how: str) -> None:
        """Note how that ended.

        :param how: in a few words
        """
        self.ended = how

    def measure(self) -> float:
        """Return the seconds since the voter last stood, or -1."""
        if self._began is None:
            return -1.0
        return self._clock.monotonic() - self._began
