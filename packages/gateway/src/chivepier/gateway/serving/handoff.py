"""Where a moved generation resumes."""

import attrs

from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.targets import Target


@attrs.frozen
class Handoff:
    """The next target of a generation, and the memory it resumes from.

    :param target: target to send the request to
    :param origin: the copied memory; ``None`` to start over from the prompt
    """

    target: Target
    origin: KvOrigin | None
