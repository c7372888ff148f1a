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

    def has_longer_log(self, other: "Candidacy") -> bool:
        """Tell whether the log is longer than that of another."""
        mine = (self.last_term, self.last_index)
        return mine > (other.last_term, other.last_index)
