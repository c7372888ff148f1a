"""The health of targets, by their recent responses."""

from chivepier.gateway.targets.responsehistory import ResponseHistory

# Weight of a new response in the moving average: about the last ten responses
# count, so five failures in a row are significant and a single one is not.
SMOOTHING_FACTOR = 0.15
# A target is avoided if its failure rate exceeds the median of its service by
# more than this; a service whose targets all fail one request in seven stays
# in use.
MAX_EXCESS_FAILURE_RATE = 0.3
# Backoff of a target that was unreachable or did not respond in time; it
# doubles up to the maximum while the failures continue.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# Seconds after which an average is discarded: an avoided target gets no
# requests whose responses could improve it.
HISTORY_SECONDS = 4.0


class TargetHealth:
    """Tracks failures and response times by target instance."""

    def __init__(self) -> None:
        self._records: dict[str, ResponseHistory] = {}

    def record_response(
        self, instance: str, failed: bool, slowness: float, now: float
    ) -> None:
        """Record a complete response.

        :param instance: name of the target
        :param failed: whether the target failed
        :param slowness: response time divided by the objective
        :param now: current monotonic time, in seconds
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
        """Record that a target was unreachable or stopped responding.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        :returns: monotonic time until which it is avoided, in seconds
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
        """Exclude unhealthy targets, but never all of them.

        :param instances: names of the targets of one service
        :param now: current monotonic time, in seconds
        :returns: names of the healthy targets
        """
        reached = {i for i in instances if not self.is_avoided(i, now)}
        if not reached:
            return set(instances)
        rates = {i: self.get_failure_rate(i, now) for i in reached}
        usual = sorted(rates.values())[(len(rates) - 1) // 2]
        return {
            i for i in reached if rates[i] <= usual + MAX_EXCESS_FAILURE_RATE
        }

    def get_latency_ratio(self, instance: str, now: float) -> float:
        """Return the average latency ratio, 0 if unknown."""
        record = self._records.get(instance)
        if record is None or now - record.updated_at > HISTORY_SECONDS:
            return 0.0
        return record.latency_ratio

    def forget(self, instance: str) -> None:
        """Drop the history of a target that is gone."""
        self._records.pop(instance, None)

    def is_avoided(self, instance: str, now: float) -> bool:
        """Tell whether a target was unreachable a short time ago."""
        record = self._records.get(instance)
        return record is not None and now < record.avoided_until

    def get_failure_rate(self, instance: str, now: float) -> float:
        """Return the average share of failures, 0 if unknown."""
        record = self._records.get(instance)
        if record is None or now - record.updated_at > HISTORY_SECONDS:
            return 0.0
        return record.failure_rate
