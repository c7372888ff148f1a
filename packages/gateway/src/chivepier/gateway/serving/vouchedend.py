"""An end of a stream for which only its target's word stands."""

import attrs

from chivepier.gateway.serving.startedanswer import StartedAnswer


@attrs.frozen
class VouchedEnd:
    """The end of an answer without a length, by word of its target.

    :param started: the answer that ended so
    :param whole_run: whether that target alone had answered, from the
        beginning
    """

    started: StartedAnswer
    whole_run: bool
