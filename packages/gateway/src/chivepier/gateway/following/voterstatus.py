"""How well a voter is placed to tell an entry of the others."""

import attrs


@attrs.frozen
class VoterStatus:
    """What a voter last said of itself.

    :param zone: its availability zone
    :param hears: how many voters it hears, itself included
    :param group: the first of these by address
    """

    zone: str = ""
    reachable_voters: int = 0
    first_voter: str = ""
