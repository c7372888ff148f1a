"""What all entries together may send to a cold target."""

import attrs


@attrs.frozen
class ColdBound:
    """How many sends a cold target bears in a second, over all entries.

    >>> ColdBound(excess=1.5, slack=5.0).get_max_sends(31.0)
    51

    :param excess: factor on the rate that its service names
    :param slack: requests above that
    """

    excess: float = 1.0
    slack: float = 0.0

    def get_max_sends(self, rate: float) -> int:
        """Return the whole sends in one second; one at least.

        :param rate: requests a second that the service names
        """
        return max(1, int(rate * self.excess + self.slack))
