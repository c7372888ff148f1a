"""Evidence that a request does not end targets."""

import attrs


@attrs.frozen
class Clearance:
    """A complete answer to a request under which targets had ended.

    :param digest: digest of the request
    :param seen: time of the answer, in this node's monotonic seconds
    :param source: name of the entry that received the answer
    """

    digest: str
    seen: float
    source: str
