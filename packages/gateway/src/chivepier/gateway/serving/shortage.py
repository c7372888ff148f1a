"""What a request finds among the targets that are left to it."""

import attrs


@attrs.define
class Shortage:
    """Counts the targets in need among those that are left.

    :param left: targets that the request may go to
    :param limited: those of them that are in need
    :param rate: requests a second that these take together
    :param asked: how many of them leave was asked for
    """

    left: int
    limited: int = 0
    rate: float = 0.0
    asked: int = 0

    def add(self, rate: float) -> None:
        """Count a target in need.

        :param rate: requests a second that it takes
        """
        self.limited += 1
        self.rate += rate

    @property
    def covers_all(self) -> bool:
        """Whether all targets that are left are in need."""
        return 0 < self.limited == self.left
