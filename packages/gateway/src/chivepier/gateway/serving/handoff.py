"""Where a generation goes on."""

import attrs

from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.targets import Target


@attrs.frozen
class Handoff:
    """The next target of a generation, and the memory it starts from.

    :param target: where to send the request again
    :param origin: ``None``: it is run anew from the prompt
    """

    target: Target
    origin: KvOrigin | None
