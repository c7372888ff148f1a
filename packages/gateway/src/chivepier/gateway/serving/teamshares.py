"""Which teams take more than their share of a class."""

import collections.abc

# Multiple of an equal share of what a class holds, beyond which a team's
# requests leave free room to those of others: several times what chance makes
# of equal teams.
DEBT_FACTOR = 2.0
# Least share of what a class holds that a debtor has. By chance, one
# generation is twice the mean of many teams, most of which hold nothing now.
MIN_DEBT_SHARE = 0.2


def find_debtors(taken: collections.abc.Mapping[str, float]) -> set[str]:
    """Return the teams that took more than their share lately.

    Shares are equal among the teams that take anything; what the others leave
    is lent, as debtors are held back only while others wait.

    >>> find_debtors({"a": 900.0, "b": 50.0, "c": 50.0})
    {'a'}
    >>> find_debtors({"a": 900.0}), find_debtors({"a": 90.0, "b": 110.0})
    (set(), set())

    :param taken: tokens that each team of a class holds, on average over the
        last seconds
    """
    if len(taken) < 2:
        return set()
    # a team's own take must not raise the share that it is measured by
    total = sum(taken.values())
    return {
        team
        for team, tokens in taken.items()
        if tokens > DEBT_FACTOR * (total - tokens) / (len(taken) - 1)
        and tokens >= MIN_DEBT_SHARE * total
    }
