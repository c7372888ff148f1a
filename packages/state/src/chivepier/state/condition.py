"""What keeps a voter from its part, as it sees it."""

import attrs


@attrs.frozen(kw_only=True)
class Condition:
    """Tells why nobody leads, where the cause is here; times in seconds.

    :param stopped: the error that ended its part for good, or empty
    :param refusal: how its disk refuses writes, or empty
    :param refused: for how long it has
    :param writing: since the write began that is under way; 0: none is
    :param locked: for how long votes and entries have waited for one holder
        of the lock; 0: nobody holds it
    :param quiet: since a leader was heard or a vote was given
    :param attempts: how often it has stood
    :param stood: since it last stood, or -1
    :param ended: how that ended; empty while it stands
    """

    stopped: str
    refusal: str
    refused: float
    writing: float
    locked: float
    quiet: float
    attempts: int
    stood: float
    ended: str
