"""Rest that a target asks for."""

import attrs


@attrs.frozen
class RequestedBackoff:
    """The target wants nothing from the entry that it answered.

    :param seconds: from the answer on
    """

    seconds: float
