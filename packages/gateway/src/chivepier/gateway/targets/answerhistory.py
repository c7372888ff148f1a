"""How one target has answered lately."""

import attrs


@attrs.define
class AnswerHistory:
    """Averages, and for how long the target is avoided.

    :param failures: share of its answers that were failures
    :param slowness: time taken over the objective
    :param noted: when it last answered, in monotonic seconds
    :param pause: seconds for which it is avoided the next time
    :param until: when it may be tried again, in monotonic seconds
    """

    failures: float = 0.0
    slowness: float = 0.0
    noted: float = 0.0
    pause: float = 0.0
    until: float = 0.0
