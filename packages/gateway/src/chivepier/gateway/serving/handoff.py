"""Where a migrated generation resumes."""

import attrs

from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.targets import Target


@attrs.frozen
class Handoff:
    """The next target of a generation and the KV cache to resume from.

    :param target: target to send the request to
    :param origin: the copied KV cache; ``None`` to start over from the prompt
    """

    target: Target
    origin: KvOrigin | None
