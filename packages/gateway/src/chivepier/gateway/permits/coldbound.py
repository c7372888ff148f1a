"""The send limit of a cold target over all entries."""

import attrs


@attrs.frozen
class ColdBound:
    """Computes how many sends a cold target tolerates in one second.

    The limit holds for all entries together.

    >>> ColdBound(excess=1.5, slack=5.0).get_max_sends(31.0)
    51

    :param excess: factor applied to the cold rate configured for the service
    :param slack: requests allowed in addition
    """

    excess: float = 1.0
    slack: float = 0.0

    def get_max_sends(self, rate: float) -> int:
        """Return the number of sends allowed in one second, at least one.

        :param rate: configured cold rate of the service, in requests per
            second
        """
        return max(1, int(rate * self.excess + self.slack))
