"""An answer that ended with its connection."""

import attrs

from chivepier.gateway.quarantine.incarnation import Incarnation


@attrs.frozen
class UnframedAnswer:
    """An answer without framing that looks complete.

    :param parts: digests of the shared parts of its prompt
    :param incarnation: incarnation of the target that answered
    :param software: service and software version of the target
    :param at: when it ended, in monotonic seconds
    """

    parts: tuple[str, ...]
    incarnation: Incarnation
    software: str
    at: float
