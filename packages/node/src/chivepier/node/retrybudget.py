"""A bound on retries."""

import attrs

RATIO = 0.1
MOST = 20.0


@attrs.define
class RetryBudget:
    """Allows retries for a share of recent requests, and a few at start.

    In an outage every request fails.  If each were tried again, the targets
    that are left would get twice the load and fail too.

    >>> budget = RetryBudget(ratio=0.5, most=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.spend()
    True
    """

    ratio: float = RATIO
    most: float = MOST
    _left: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._left = self.most

    def earn(self) -> None:
        """Note a request."""
        self._left = min(self.most, self._left + self.ratio)

    def spend(self) -> bool:
        """Take one retry.

        :returns: whether there is one
        """
        if self._left < 1:
            return False
        self._left -= 1
        return True
