"""Fair scheduling of sends to rate-limited targets."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.senddecision import SendDecision
from chivepier.gateway.permits.targetschedule import TargetSchedule

# Minimum rate at which requests are sent to a target, even if it announces a
# lower one: only its responses can show that it has recovered.
MIN_SENDS_PER_SECOND = 0.2
# Seconds for which a turn is reserved for a refused claim of higher priority;
# that claim may never be repeated.
RESERVATION_SECONDS = 0.25
# Seconds after which a refused claim no longer reserves a turn.
CLAIM_EXPIRY_SECONDS = 2.0
# Target number of claims per turn, whatever the number of entries: the retry
# times of refused claims are spread accordingly.
CLAIMS_PER_TURN = 3.0
# Number of refusals for one turn up to which the claim of highest priority
# gets the exact time of that turn. Beyond it all retry times are spread: the
# load on the leader matters more than the order.
MAX_UNSPREAD_CLAIMS = 10
# Maximum seconds until a refused claim may be repeated.
MAX_WAIT_SECONDS = 2.0
# Seconds without a claim after which a target's schedule is dropped.
IDLE_EXPIRY_SECONDS = 30.0


class FairScheduler:
    """Grants turns to send at the rate limit that a target announced.

    Consecutive turns of a target are 1 / rate seconds apart, so any interval
    contains at most rate * interval + 1 of them. The most urgent class goes
    first; within a class, the team with the fewest recent turns goes first, so
    a team that claims ten times as often as another gets no more turns. A
    claim may be granted a future turn within its ``max_wait``.

    >>> scheduler = FairScheduler(random.Random(1))
    >>> scheduler.acquire("i1", 2.0, Claim(), 10.0, led_since=0.0)
    SendDecision(granted=True, wait=0.0, permit_seconds=0.0)
    >>> scheduler.acquire("i1", 2.0, Claim(max_wait=0.5), 10.25, led_since=0.0)
    SendDecision(granted=True, wait=0.25, permit_seconds=0.0)

    :param rng: random source that spreads the retries of many entries
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
        """Grant a claim the next turn, or return when to repeat it.

        :param instance: name of the target
        :param rate: rate limit of the target, in requests per second
        :param claim: the claim of the request
        :param now: current monotonic time, in seconds
        :param led_since: monotonic time at which this node became the
            leader; the last turns of its predecessor are not known here
        """
        schedule = self._get_schedule(instance, led_since, now)
        interval = 1.0 / max(rate, MIN_SENDS_PER_SECOND)
        due = schedule.last_due + interval
        if self._is_reserved(schedule, claim, due, now):
            return self._refuse(
                schedule, claim, due + RESERVATION_SECONDS, interval, now
            )
        if due - now > claim.max_wait:
            return self._refuse(schedule, claim, due, interval, now)
        # time lost on a reservation does not delay the turns after it
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
        """Return the number of targets that have a schedule."""
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
        """Tell whether the turn is reserved for a higher-priority claim."""
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
