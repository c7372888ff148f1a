"""Evidence that a request, or a part of prompts, does not end targets."""

import attrs


@attrs.frozen
class Clearance:
    """A complete answer to what targets had ended under.

    :param digest: digest of the request or of the part
    :param seen: time of the answer, in this node's monotonic seconds
    :param source: name of the entry that received the answer
    :param software: service and software version that the part is sound for;
        empty for a request, which is sound for all
    """

    digest: str
    seen: float
    source: str
    software: str = ""
