"""Who gets the little that a target in need takes."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.senddecision import SendDecision
from chivepier.gateway.permits.targetschedule import TargetSchedule

# Requests a second that are sent to a target whatever less it names: its
# answers alone tell that it has recovered.
MIN_SENDS_PER_SECOND = 0.2
# Seconds for which a turn is kept for a claim that goes first, and that may
# not come back.
RESERVATION_SECONDS = 0.25
# Seconds after which a claim that was refused no longer counts.
CLAIM_EXPIRY_SECONDS = 2.0
# Claims that come for each turn, however many entries there are.
CLAIMS_PER_TURN = 3.0
# Claims for one turn up to which the first is told just when it is due;
# beyond, the leader's time is worth more than that order.
MAX_UNSPREAD_CLAIMS = 10
# Seconds after which a claim may be made again in any case.
MAX_WAIT_SECONDS = 2.0
# Seconds after which a target that nobody asked for is forgotten.
IDLE_EXPIRY_SECONDS = 30.0


class FairScheduler:
    """Gives turns at the rate that a target names, one after the other.

    Turns of one target are the inverse of its rate apart, so that any span
    holds what the rate allows in it, and one more. First goes the most urgent
    class, within a class the team that was served least of late: a team that
    asks ten times as often as another gets no more than it. A claim may be
    given a turn that is still to come, as far ahead as it can wait.

    >>> scheduler = FairScheduler(random.Random(1))
    >>> scheduler.acquire("i1", 2.0, Claim(), 10.0, led_since=0.0)
    SendDecision(granted=True, wait=0.0, permit_seconds=0.0)
    >>> scheduler.acquire("i1", 2.0, Claim(patience=0.5), 10.25, led_since=0.0)
    SendDecision(granted=True, wait=0.25, permit_seconds=0.0)

    :param rng: spreads the claims of many entries
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._schedules: dict[str, TargetSchedule] = {}

    def acquire(
        self,
        instance: str,
        rate: float,
        claim: Claim,
        now: float,
        led_since: float,
    ) -> SendDecision:
        """Give a claim its turn, or say when to ask again.

        :param instance: the target's name
        :param rate: requests a second that it takes
        :param claim: whose request it is
        :param now: monotonic seconds
        :param led_since: since when this node gives turns: what the one
            before it gave at its end is not known here
        """
        schedule = self._get_schedule(instance, led_since, now)
        interval = 1.0 / max(rate, MIN_SENDS_PER_SECOND)
        due = schedule.last_due + interval
        if self._is_reserved(schedule, claim, due, now):
            return self._refuse(
                schedule, claim, due + RESERVATION_SECONDS, interval, now
            )
        if due - now > claim.patience:
            return self._refuse(schedule, claim, due, interval, now)
        # what was lost while a turn was kept counts for those that wait
        kept = RESERVATION_SECONDS if schedule.refusals else 0.0
        schedule.last_due = max(due, now - kept)
        schedule.refusals = 0
        schedule.recent_refusals.pop((claim.urgency, claim.team), None)
        schedule.decay_served(now)
        schedule.served[claim.team] = (
            schedule.served.get(claim.team, 0.0) + 1.0
        )
        return SendDecision(True, max(0.0, due - now))

    def count_targets(self) -> int:
        """Return of how many targets anything is kept."""
        return len(self._schedules)

    def _get_schedule(
        self, instance: str, led_since: float, now: float
    ) -> TargetSchedule:
        schedule = self._schedules.get(instance)
        if schedule is None:
            self._expire(now)
            schedule = TargetSchedule(
                last_due=led_since, last_claimed_at=now, served_at=now
            )
            self._schedules[instance] = schedule
        schedule.last_due = max(schedule.last_due, led_since)
        schedule.last_claimed_at = now
        return schedule

    def _expire(self, now: float) -> None:
        for instance, schedule in list(self._schedules.items()):
            if now - schedule.last_claimed_at > IDLE_EXPIRY_SECONDS:
                del self._schedules[instance]

    def _is_reserved(
        self, schedule: TargetSchedule, claim: Claim, due: float, now: float
    ) -> bool:
        """Tell whether the next turn is kept for a claim that goes first."""
        return now <= due + RESERVATION_SECONDS and self._has_higher_priority(
            schedule, claim, now
        )

    def _has_higher_priority(
        self, schedule: TargetSchedule, claim: Claim, now: float
    ) -> bool:
        mine = (claim.urgency, schedule.served.get(claim.team, 0.0))
        return any(
            (urgency, schedule.served.get(team, 0.0)) < mine
            for (urgency, team), at in schedule.recent_refusals.items()
            if now - at < CLAIM_EXPIRY_SECONDS
        )

    def _refuse(
        self,
        schedule: TargetSchedule,
        claim: Claim,
        due: float,
        interval: float,
        now: float,
    ) -> SendDecision:
        schedule.recent_refusals = {
            key: at
            for key, at in schedule.recent_refusals.items()
            if now - at < CLAIM_EXPIRY_SECONDS
        }
        schedule.recent_refusals[(claim.urgency, claim.team)] = now
        schedule.refusals += 1
        wait = max(0.0, due - now)
        if (
            schedule.refusals > MAX_UNSPREAD_CLAIMS
            or self._has_higher_priority(schedule, claim, now)
        ):
            spread = schedule.refusals * interval / CLAIMS_PER_TURN
            wait += self._rng.uniform(0.0, spread)
        return SendDecision(False, min(wait, MAX_WAIT_SECONDS))
