"""How the targets have answered lately."""

from chivepier.gateway.targets.responsehistory import ResponseHistory

# Share by which one more outcome moves the average: about the last ten
# answers count, so five failures in a row stand out and one does not.
SMOOTHING_FACTOR = 0.15
# A target is avoided when it fails this much more often than the others of
# its service; services whose every target fails a seventh stay in use.
MAX_EXCESS_FAILURE_RATE = 0.3
# Seconds for which a target that could not be reached, or did not answer in
# time, is avoided. Doubles up to the most while that goes on.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# Seconds after which an average is no longer believed: a target that is
# avoided gets no answers that could mend it.
HISTORY_SECONDS = 4.0


class TargetHealth:
    """Averages of failures and times by target instance."""

    def __init__(self) -> None:
        self._records: dict[str, ResponseHistory] = {}

    def record_response(
        self, instance: str, failed: bool, slowness: float, now: float
    ) -> None:
        """Note a whole answer.

        :param instance: the target's
        :param failed: whether it was a failure of the target
        :param slowness: time taken over the objective
        :param now: monotonic seconds
        """
        record = self._records.setdefault(instance, ResponseHistory())
        if now - record.updated_at > HISTORY_SECONDS:
            record.failure_rate = 0.0
            record.latency_ratio = 0.0
        record.failure_rate += SMOOTHING_FACTOR * (
            failed - record.failure_rate
        )
        record.latency_ratio += SMOOTHING_FACTOR * (
            min(slowness, 4.0) - record.latency_ratio
        )
        record.updated_at = now
        if not failed:
            record.backoff = 0.0
            record.avoided_until = 0.0

    def record_unreachable(self, instance: str, now: float) -> float:
        """Note that a target could not be reached or fell silent.

        :param instance: the target's
        :param now: monotonic seconds
        :returns: until when it is avoided, in monotonic seconds
        """
        record = self._records.setdefault(instance, ResponseHistory())
        if now < record.avoided_until:
            return record.avoided_until
        record.backoff = min(
            MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, 2 * record.backoff)
        )
        record.avoided_until = now + record.backoff
        return record.avoided_until

    def select_healthy(self, instances: list[str], now: float) -> set[str]:
        """Leave out those that stand out; never all of them.

        :param instances: of one service
        :param now: monotonic seconds
        :returns: those to use
        """
        reached = {i for i in instances if not self._is_avoided(i, now)}
        if not reached:
            return set(instances)
        rates = {i: self._get_failure_rate(i, now) for i in reached}
        usual = sorted(rates.values())[(len(rates) - 1) // 2]
        return {
            i for i in reached if rates[i] <= usual + MAX_EXCESS_FAILURE_RATE
        }

    def get_latency_ratio(self, instance: str, now: float) -> float:
        """Return the average time over the objective, 0 when unknown."""
        record = self._records.get(instance)
        if record is None or now - record.updated_at > HISTORY_SECONDS:
            return 0.0
        return record.latency_ratio

    def forget(self, instance: str) -> None:
        """Drop a target that is gone."""
        self._records.pop(instance, None)

    def _is_avoided(self, instance: str, now: float) -> bool:
        record = self._records.get(instance)
        return record is not None and now < record.avoided_until

    def _get_failure_rate(self, instance: str, now: float) -> float:
        record = self._records.get(instance)
        if record is None or now - record.updated_at > HISTORY_SECONDS:
            return 0.0
        return record.failure_rate
