"""Whose request wants to go to a target that takes few."""

import attrs


@attrs.frozen
class Claim:
    """What decides whose turn it is.

    :param team: whose request it is; empty where it has none
    :param urgency: its class; the lowest goes first
    :param patience: seconds that it can wait for its turn
    """

    team: str = ""
    urgency: int = 0
    patience: float = 0.0
