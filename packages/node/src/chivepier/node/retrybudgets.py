"""Retry budgets by pool."""

from chivepier.node.retrybudget import RetryBudget

MAX_POOLS = 1000


class RetryBudgets:
    """One budget per pool, so that an outage of one spends its own only."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, pool: str) -> RetryBudget:
        """Return a pool's budget.

        :param pool: a pool that some template names
        :returns: its budget, a fresh one where it has none
        """
        if pool not in self._budgets:
            if len(self._budgets) >= MAX_POOLS:
                self._budgets.clear()
            self._budgets[pool] = RetryBudget()
        return self._budgets[pool]
