"""What a voter reports about its reachability."""

import attrs


@attrs.frozen
class VoterStatus:
    """The status that a voter last reported.

    :param zone: availability zone of the voter
    :param reachable_voters: number of voters it can reach, including itself
    :param first_voter: lowest address among these
    """

    zone: str = ""
    reachable_voters: int = 0
    first_voter: str = ""
