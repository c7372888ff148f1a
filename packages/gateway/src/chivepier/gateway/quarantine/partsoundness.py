"""What this entry knows of parts that do not end targets."""

import collections
import collections.abc

from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.recentanswers import RecentAnswers
from chivepier.gateway.quarantine.serviceactivity import ServiceActivity
from chivepier.gateway.quarantine.unframedanswer import UnframedAnswer
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable

# Sound parts that are remembered. Popular parts are in each entry's answers
# all the time; a rare one that is dropped may be suspected by chance.
MAX_SOUND_PARTS = 8_192
# Time after an answer that ended with its connection in which a crash of its
# target is noticed, and the maximum number of answers that wait for that.
LIVED_ON_SECONDS = 3.0
MAX_UNFRAMED_ANSWERS = 1_024


class PartSoundness:
    """Remembers the parts of prompts that targets have survived.

    :param table: targets, and when they were last heard
    :param detector: knows which targets have ended
    """

    def __init__(self, table: TargetTable, detector: CrashDetector):
        self._table = table
        self._detector = detector
        self._answers = RecentAnswers(MAX_SOUND_PARTS)
        self._activity = ServiceActivity()
        self._unframed: collections.deque[UnframedAnswer] = collections.deque(
            maxlen=MAX_UNFRAMED_ANSWERS
        )

    def note_answered(
        self, parts: tuple[str, ...], software: str, now: float
    ) -> None:
        """Record that a target survived a request with these parts.

        :param parts: digests of the shared parts of its prompt
        :param software: service and software version of the target
        :param now: current time in monotonic seconds
        """
        self._activity.note_answered(software, now)
        for part in parts:
            self._answers.add((part, software), now)

    def find(self, part: str, software: str, now: float) -> float | None:
        """Return when a part was last known to be sound, if recently.

        :param part: digest of the part
        :param software: service and software version that it is sound for
        :param now: current time in monotonic seconds
        """
        return self._answers.find((part, software), now)

    def select_unproved(
        self, parts: collections.abc.Iterable[str], software: str, now: float
    ) -> list[str]:
        """Return the parts that are not known to be sound."""
        return [p for p in parts if self.find(p, software, now) is None]

    def is_serving(self, software: str, now: float) -> bool:
        """Tell whether requests without suspected parts are answered."""
        return self._activity.is_serving(software, now)

    def note_unframed(
        self,
        parts: tuple[str, ...],
        target: Target,
        software: str,
        now: float,
    ) -> None:
        """Record an answer whose end a crash of its target would look like.

        :param parts: digests of the shared parts of its prompt
        :param target: target that answered it
        :param software: service and software version of the target
        :param now: current time in monotonic seconds
        """
        life = Incarnation.of(target)
        self._unframed.append(UnframedAnswer(parts, life, software, now))

    def take_survived(
        self, now: float
    ) -> collections.abc.Iterator[UnframedAnswer]:
        """Yield the answers that ended with their connections long enough ago.

        :param now: current time in monotonic seconds
        :returns: those whose targets have lived on
        """
        while (
            self._unframed and now - self._unframed[0].at >= LIVED_ON_SECONDS
        ):
            answer = self._unframed.popleft()
            if self._has_lived_on(answer):
                yield answer

    def _has_lived_on(self, answer: UnframedAnswer) -> bool:
        known = self._table.get(answer.incarnation.instance)
        return (
            known is not None
            and Incarnation.of(known) == answer.incarnation
            and known.heard - answer.at >= LIVED_ON_SECONDS / 2
            and not self._detector.has_ended(answer.incarnation)
        )
