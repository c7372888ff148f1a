"""How long the log of a candidate is, compared with that of another."""

import attrs


@attrs.frozen(order=True)
class Candidacy:
    """Orders candidates by their logs, and equal logs by identity.

    >>> Candidacy(2, 7, "a") < Candidacy(3, 5, "a") < Candidacy(3, 5, "b")
    True
    """

    last_term: int
    last_index: int
    node: str
