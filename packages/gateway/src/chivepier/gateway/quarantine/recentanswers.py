"""Requests, or parts of prompts, that were answered recently."""

import collections
import collections.abc

from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS

# Maximum number of requests that are remembered.
MAX_RECENT_ANSWERS = 4_096


class RecentAnswers:
    """Bounded record of what targets answered completely.

    >>> answers = RecentAnswers()
    >>> answers.add("d", 5.0)
    >>> answers.find("d", 6.0), answers.find("d", 66.0)
    (5.0, None)

    :param size: maximum number of subjects that are remembered
    """

    def __init__(self, size: int = MAX_RECENT_ANSWERS) -> None:
        self._size = size
        self._answered: collections.OrderedDict[
            collections.abc.Hashable, float
        ] = collections.OrderedDict()

    def add(self, subject: collections.abc.Hashable, now: float) -> None:
        """Record that a request was answered.

        :param subject: digest of the request; of a part with the software
            that answered it
        :param now: current time in monotonic seconds
        """
        self._answered[subject] = now
        self._answered.move_to_end(subject)
        if len(self._answered) > self._size:
            self._answered.popitem(last=False)

    def find(
        self, subject: collections.abc.Hashable, now: float
    ) -> float | None:
        """Return when a request or part was last answered, if recently.

        :param subject: what was recorded
        :param now: current time in monotonic seconds
        """
        answered = self._answered.get(subject)
        if answered is None or now - answered >= CLEARANCE_WINDOW_SECONDS:
            return None
        return answered
