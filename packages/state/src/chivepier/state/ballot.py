"""One attempt to become the leader."""

import attrs

GRANTED = "granted"
UNANSWERED = "unanswered"


@attrs.frozen(kw_only=True)
class Ballot:
    """What a candidate asked for, and how the voters answered.

    :param term: the term it would lead in
    :param is_pre: whether it asked without raising the term
    :param is_won: whether a majority granted it
    :param last_term: term of its last entry
    :param last_index: index of its last entry
    :param voters: identities of the voters by its log
    :param answers: by identity; ``granted``, ``refused``, an error, or
        ``unanswered`` where the answer was not waited for
    """

    term: int
    is_pre: bool
    is_won: bool
    last_term: int
    last_index: int
    voters: tuple[str, ...]
    answers: dict[str, str]
