"""How far service is from weighted max-min fairness."""


def compute_share_error(
    served: dict[str, float],
    wanted: dict[str, float],
    weights: dict[str, float],
) -> float:
    """Return the part of the service that the wrong teams got.

    The fair division gives each team what it wants, up to equal service
    per weight (water-filling).  The error is half the sum of differences,
    as a part of all service: 0 is exact, 1 is all to the wrong teams.

    >>> compute_share_error({"a": 50, "b": 50}, {"a": 80, "b": 80},
    ...                     {"a": 3, "b": 1})
    0.25

    :param served: tokens by team
    :param wanted: tokens that the teams asked for
    :param weights: weight by team
    :returns: a number from 0 to 1
    """
    total = sum(served.values())
    if not total:
        return 0.0
    fair = divide_fairly(total, wanted, weights)
    teams = set(served) | set(fair)
    wrong = sum(abs(served.get(t, 0) - fair.get(t, 0)) for t in teams)
    return wrong / 2 / total


def divide_fairly(
    total: float, wanted: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Fill the teams' wishes in proportion to weight.

    >>> divide_fairly(10, {"a": 2, "b": 20}, {"a": 1, "b": 1})
    {'a': 2, 'b': 8.0}

    :param total: what there is
    :param wanted: wishes by team
    :param weights: weight by team
    :returns: what each gets
    """
    fair: dict[str, float] = {}
    left = total
    open_teams = sorted(wanted, key=lambda t: wanted[t] / weights[t])
    while open_teams:
        weight = sum(weights[t] for t in open_teams)
        team = open_teams.pop(0)
        fair[team] = min(wanted[team], left * weights[team] / weight)
        left -= fair[team]
    return fair
