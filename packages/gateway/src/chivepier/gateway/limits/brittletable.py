"""The targets that end when they have to refuse too many requests."""

import attrs

# Shortest and longest pause after a refusal, in seconds.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 30.0
# Seconds for which a word counts for other targets of its service, and for
# one that has started again.
WORD_SECONDS = 30.0


@attrs.frozen
class BrittleWord:
    """What a target said last.

    :param refusals: number within a second at more of which it ends; ``None``
        if it bears any
    :param heard: when it said so, in monotonic seconds
    """

    refusals: float | None
    heard: float


class BrittleTable:
    """Keeps how many refusals the targets of each service bear.

    The word of one counts for the others of its service until these have
    spoken, also for one that has just started: it would otherwise end before
    its first answer.

    >>> table = BrittleTable()
    >>> table.record("s", "t1", 3.0, now=1.0)
    >>> table.find("s", "t1", 2.0), table.find("s", "t2", 2.0)
    (3.0, 3.0)
    >>> table.record("s", "t2", None, now=2.0)
    >>> table.find("s", "t2", 2.0) is None
    True
    """

    def __init__(self) -> None:
        self._words: dict[str, dict[str, BrittleWord]] = {}

    def __bool__(self) -> bool:
        return bool(self._words)

    def record(
        self, service: str, instance: str, refusals: float | None, now: float
    ) -> None:
        """Record what an answer said, or that it said nothing.

        :param service: service of the target
        :param instance: name of the target
        :param refusals: number that it bears; ``None`` for any
        :param now: current time, in monotonic seconds
        """
        if refusals is None and service not in self._words:
            return
        words = self._words.setdefault(service, {})
        words[instance] = BrittleWord(refusals, now)
        for name, word in list(words.items()):
            if now - word.heard > WORD_SECONDS:
                del words[name]
        if all(word.refusals is None for word in words.values()):
            del self._words[service]

    def find(self, service: str, instance: str, now: float) -> float | None:
        """Return how many refusals a target bears; ``None`` for any.

        :param service: service of the target
        :param instance: name of the target
        :param now: current time, in monotonic seconds
        """
        words = self._words.get(service)
        if words is None:
            return None
        own = words.get(instance)
        if own is not None and now - own.heard <= WORD_SECONDS:
            return own.refusals
        said = [
            word.refusals
            for word in words.values()
            if word.refusals is not None and now - word.heard <= WORD_SECONDS
        ]
        return min(said, default=None)

    def find_pause(self, refusals: float, entries: int) -> float:
        """Return for how long an entry pauses after a refusal.

        All entries together are refused no more often than the target bears.

        :param refusals: refusals within a second that it bears
        :param entries: number of entries
        :returns: seconds
        """
        if refusals <= 0:
            return MAX_PAUSE_SECONDS
        pause = entries / refusals
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))
