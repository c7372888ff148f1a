"""How the targets have answered lately."""

from chivepier.gateway.targets.answerhistory import AnswerHistory

# Share by which one more outcome moves the average: about the last ten
# answers count, so five failures in a row stand out and one does not.
WEIGHT = 0.15
# A target is avoided when it fails this much more often than the others of
# its service; services whose every target fails a seventh stay in use.
EXCESS = 0.3
# Seconds for which a target that could not be reached, or did not answer in
# time, is avoided. Doubles up to the most while that goes on.
FIRST_PAUSE = 0.5
MOST_PAUSE = 4.0
# Seconds after which an average is no longer believed: a target that is
# avoided gets no answers that could mend it.
MEMORY = 4.0


class TargetHealth:
    """Averages of failures and times by target instance."""

    def __init__(self) -> None:
        self._records: dict[str, AnswerHistory] = {}

    def note_answer(
        self, instance: str, failed: bool, slowness: float, now: float
    ) -> None:
        """Note a whole answer.

        :param instance: the target's
        :param failed: whether it was a failure of the target
        :param slowness: time taken over the objective
        :param now: monotonic seconds
        """
        record = self._records.setdefault(instance, AnswerHistory())
        if now - record.noted > MEMORY:
            record.failures = 0.0
            record.slowness = 0.0
        record.failures += WEIGHT * (failed - record.failures)
        record.slowness += WEIGHT * (min(slowness, 4.0) - record.slowness)
        record.noted = now
        if not failed:
            record.pause = 0.0
            record.until = 0.0

    def note_silence(self, instance: str, now: float) -> float:
        """Note that a target could not be reached or fell silent.

        :param instance: the target's
        :param now: monotonic seconds
        :returns: until when it is avoided, in monotonic seconds
        """
        record = self._records.setdefault(instance, AnswerHistory())
        if now < record.until:
            return record.until
        record.pause = min(MOST_PAUSE, max(FIRST_PAUSE, 2 * record.pause))
        record.until = now + record.pause
        return record.until

    def pick_sound(self, instances: list[str], now: float) -> set[str]:
        """Leave out those that stand out; never all of them.

        :param instances: of one service
        :param now: monotonic seconds
        :returns: those to use
        """
        reached = {i for i in instances if not self._pauses(i, now)}
        if not reached:
            return set(instances)
        rates = {i: self._rate(i, now) for i in reached}
        usual = sorted(rates.values())[(len(rates) - 1) // 2]
        return {i for i in reached if rates[i] <= usual + EXCESS}

    def slowness(self, instance: str, now: float) -> float:
        """Return the average time over the objective, 0 when unknown."""
        record = self._records.get(instance)
        if record is None or now - record.noted > MEMORY:
            return 0.0
        return record.slowness

    def forget(self, instance: str) -> None:
        """Drop a target that is gone."""
        self._records.pop(instance, None)

    def _pauses(self, instance: str, now: float) -> bool:
        record = self._records.get(instance)
        return record is not None and now < record.until

    def _rate(self, instance: str, now: float) -> float:
        record = self._records.get(instance)
        if record is None or now - record.noted > MEMORY:
            return 0.0
        return record.failures
