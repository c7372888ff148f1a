"""The identity of a stream over all attempts of its caller."""

import attrs


@attrs.frozen
class OriginKey:
    """Identifies a stream over all attempts of its caller.

    :param team: team of the caller, empty if it has none; another team's
        stream is another one, whatever its attempts are called
    :param attempt: id of the attempt that brought the first event; for callers
        that do not name it, what is the same for identical requests
    """

    team: str
    attempt: str
