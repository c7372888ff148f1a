"""An answer that has begun."""

import attrs

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Target


@attrs.define
class StartedAnswer:
    """What a target answers, and what is read of it so far.

    :param target: that answers
    :param answer: its head
    :param body: the whole body, or its first bytes where it is a stream
    :param run: set while it is a stream
    """

    target: Target
    answer: TargetAnswer
    body: bytes
    run: LiveRun | None = None
