"""What targets say of themselves beside their answers."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import Limit
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.targets import Target

# Headers that are counted by name; a target could make up any number.
MOST_UNREAD = 32


class Remarks:
    """Notes what each answer's head says of its target.

    A header that nothing reads may be a new word that all entries need: its
    first coming is logged, whatever target sends it.

    :param log: what targets say
    :param metrics: counts headers that nothing reads
    """

    def __init__(self, log: EventLog, metrics: Metrics):
        self._log = log
        self._metrics = metrics
        self._unread: set[str] = set()
        self._limits: dict[tuple[str, int], Limit] = {}

    def take(self, target: Target, facts: AnswerFacts) -> None:
        """Note an answer's head.

        :param target: that answered
        :param facts: read from the head
        """
        for name in facts.unread:
            self._note_unread(target, name.lower())
        life = (target.instance, target.born)
        before = self._limits.get(life, NoLimit())
        if facts.limit == before:
            return
        self._limits[life] = facts.limit
        if facts.limit == NoLimit():
            del self._limits[life]
        self._log.info(
            "limit_named",
            target=target.instance,
            born=target.born,
            limit=str(facts.limit),
            before=str(before),
        )

    def _note_unread(self, target: Target, name: str) -> None:
        if name not in self._unread:
            if len(self._unread) >= MOST_UNREAD:
                return
            self._unread.add(name)
            self._log.warn(
                "header_unread", header=name, target=target.instance
            )
        self._metrics.note_unread_header(name)
