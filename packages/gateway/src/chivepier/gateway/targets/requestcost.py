"""The cost of a plain request at each target of a service."""

import collections.abc

from chivepier.gateway.targets.placereport import PlaceReport
from chivepier.gateway.targets.reading import Reading
from chivepier.gateway.targets.reportboard import ReportBoard
from chivepier.gateway.targets.reportrecords import MAX_PACE
from chivepier.gateway.targets.reportrecords import MIN_PACE
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.workestimator import WorkEstimator

# Work of a request as a share of its objective, until answers have shown it:
# objectives leave time for the network and for a second attempt.
DEFAULT_WORK_SHARE = 0.25
# Failures count as more attempts up to this share of them; the health of
# targets excludes those that fail more often.
MAX_FAILURE_RATE = 0.9
# Seconds for which a target that was full counts as full at least. Reports are
# relayed within some tens of milliseconds.
MIN_FULL_SECONDS = 0.2


class RequestCost:
    """Expected times of a plain request, as shares of its objective.

    With many entries each has about one request at a time, so only the target
    knows that its places are taken, or that work takes longer there now.

    Targets with a free place and equal paces cost the same and are drawn at
    random, however few requests they have. Reports are old by some requests of
    others: entries that all chose the one that looked idle would fill it.
    Beyond its places, one more request costs its share of the slots, which for
    usual work is within the margin of ties.

    ``changed`` is set by each new report.

    :param reports: what targets report of their load
    :param health: failures and response times of the targets
    :param warming_cost: added cost of a target that is warming up
    """

    def __init__(
        self, reports: ReportBoard, health: TargetHealth, warming_cost: float
    ):
        self._reports = reports
        self._health = health
        self._warming_cost = warming_cost
        self.work = WorkEstimator()
        self.changed = reports.updated

    def estimate(
        self,
        targets: collections.abc.Collection[Target],
        in_flight: collections.abc.Mapping[str, int],
        now: float,
    ) -> dict[str, float]:
        """Return the cost of a request at each target.

        A target of which nothing recent is known counts as good as the best
        of the others: it isn't starved, and gets its even share until its
        first answer. Quick failures say nothing for a target: they only add
        the attempts that they cost.

        :param targets: targets of one service
        :param in_flight: number of requests that this entry has at each
        :param now: current time, in monotonic seconds
        """
        expected = {
            target.instance: self._estimate_time(target, now)
            for target in targets
        }
        known = [time for time in expected.values() if time is not None]
        least = min(known, default=0.0)
        costs = {}
        for target in targets:
            name = target.instance
            cost = in_flight.get(name, 0) / max(1, target.slots)
            if not known:
                cost += self._health.get_latency_ratio(name, now)
            else:
                time = expected[name]
                if time is None:
                    time = max(least, self._estimate_base(target))
                    if self._reports.find(name, target.born) is None:
                        # one that never reports is known by its answers only
                        seen = self._health.get_latency_ratio(name, now)
                        time = max(time, seen)
                failing = self._health.get_failure_rate(name, now)
                cost += time / (1.0 - min(failing, MAX_FAILURE_RATE))
            if now < target.warm_at:
                cost += self._warming_cost
            costs[name] = cost
        return costs

    def record_answer(
        self, target: Target, seconds: float, objective: float, now: float
    ) -> None:
        """Learn the usual work from a successful answer of a reporting target.

        :param target: the target that answered
        :param seconds: time from the send to the end of the answer
        :param objective: intended maximum of that time, in seconds
        :param now: current time, in monotonic seconds
        """
        reading = self._reports.find(target.instance, target.born)
        if reading is None or reading.load.waiting:
            return
        pace = self._get_pace(target, now)
        self.work.record(target.service, seconds, pace, objective)

    def find_places(
        self, targets: collections.abc.Iterable[Target], now: float
    ) -> list[PlaceReport] | None:
        """Return the places of all targets.

        :param targets: the candidates of a request
        :param now: current time, in monotonic seconds
        :returns: ``None`` if there is no recent report of any one of them
        """
        places = []
        for target in targets:
            place = self._find_place(target, now)
            if place is None:
                return None
            places.append(place)
        return places or None

    def _find_place(self, target: Target, now: float) -> PlaceReport | None:
        reading, requests = self._find_counts(target, now)
        if reading is None or requests is None:
            return None
        seconds = self.work.get_seconds(target.service)
        if seconds is not None:
            seconds *= self._get_pace(target, now)
        age = max(0.0, now - reading.at)
        # by then the requests that it ran have ended
        if age > max(MIN_FULL_SECONDS, seconds or 0.0):
            return None
        slots = max(1, reading.load.slots)
        return PlaceReport(
            instance=target.instance,
            requests=requests,
            slots=slots,
            age=age,
            seconds=seconds,
        )

    def _find_counts(
        self, target: Target, now: float
    ) -> tuple[Reading | None, int | None]:
        name, born = target.instance, target.born
        reading = self._reports.find(name, born)
        return reading, self._reports.count_requests(name, born, now)

    def _estimate_time(self, target: Target, now: float) -> float | None:
        reading, requests = self._find_counts(target, now)
        if reading is None or requests is None:
            return None
        pace = self._get_pace(target, now)
        slots = max(1, reading.load.slots)
        ahead = max(0, requests + 1 - slots) / slots
        return (1.0 + ahead) * pace * self._get_share(target)

    def _get_pace(self, target: Target, now: float) -> float:
        """Return the expected pace; an impossible one draws no herd."""
        pace = self._reports.get_pace(target.instance, target.born, now)
        return min(MAX_PACE, max(MIN_PACE, pace))

    def _estimate_base(self, target: Target) -> float:
        """Return the time without others' work; 0 if nothing was reported."""
        pace = self._reports.get_base_pace(target.instance, target.born)
        return 0.0 if pace is None else pace * self._get_share(target)

    def _get_share(self, target: Target) -> float:
        share = self.work.get_share(target.service)
        return DEFAULT_WORK_SHARE if share is None else share
