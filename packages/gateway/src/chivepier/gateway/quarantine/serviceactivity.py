"""Whether requests are being answered at a service."""

import collections

from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS

# Answers from which on ends under one part stand out.
MIN_ANSWERS = 5


class ServiceActivity:
    """Tells whether requests are being answered at a service.

    If next to none is, as after a start or in an outage, a part that all of
    them have was there at each end, though it may be sound.

    >>> activity = ServiceActivity()
    >>> for _ in range(MIN_ANSWERS):
    ...     activity.note_answered("llm v1", 5.0)
    >>> activity.is_serving("llm v1", 6.0), activity.is_serving("llm v1", 66.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._answers: dict[str, collections.deque[float]] = {}

    def note_answered(self, software: str, now: float) -> None:
        """Record a complete answer.

        :param software: service and software version of the target
        :param now: current time in monotonic seconds
        """
        if software not in self._answers:
            self._answers[software] = collections.deque(maxlen=MIN_ANSWERS)
        self._answers[software].append(now)

    def is_serving(self, software: str, now: float) -> bool:
        """Tell whether requests without a suspected part are answered.

        A suspected part is in none of those that were.

        :param software: service and software version of the target
        :param now: current time in monotonic seconds
        """
        answers = self._answers.get(software, ())
        return (
            len(answers) == MIN_ANSWERS
            and now - answers[0] < CLEARANCE_WINDOW_SECONDS
        )
