"""Who gets the little that a target in need takes."""

import random

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.line import Line
from chivepier.gateway.permits.turn import Turn

# Requests a second that are sent to a target whatever less it names: its
# answers alone tell that it has recovered.
LEAST_RATE = 0.2
# Seconds for which a turn is kept for a claim that goes first, and that may
# not come back.
KEPT_SECONDS = 0.25
# Seconds after which a claim that was refused no longer counts.
CLAIM_SECONDS = 2.0
# Claims that come for each turn, however many entries there are.
CLAIMS_A_TURN = 3.0
# Claims for one turn up to which the first is told just when it is due;
# beyond, the leader's time is worth more than that order.
FEW_CLAIMS = 10
# Seconds after which a claim may be made again in any case.
MOST_WAIT = 2.0
# Seconds after which a target that nobody asked for is forgotten.
KEPT_IDLE_SECONDS = 30.0


class Turns:
    """Gives turns at the rate that a target names, one after the other.

    Turns of one target are the inverse of its rate apart, so that any span
    holds what the rate allows in it, and one more. First goes the most urgent
    class, within a class the team that was served least of late: a team that
    asks ten times as often as another gets no more than it. A claim may be
    given a turn that is still to come, as far ahead as it can wait.

    >>> turns = Turns(random.Random(1))
    >>> turns.claim("i1", 2.0, Claim(), 10.0, led_since=0.0)
    Turn(granted=True, wait=0.0, lapse=0.0)
    >>> turns.claim("i1", 2.0, Claim(patience=0.5), 10.25, led_since=0.0)
    Turn(granted=True, wait=0.25, lapse=0.0)

    :param rng: spreads the claims of many entries
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._lines: dict[str, Line] = {}

    def claim(
        self,
        instance: str,
        rate: float,
        claim: Claim,
        now: float,
        led_since: float,
    ) -> Turn:
        """Give a claim its turn, or say when to ask again.

        :param instance: the target's name
        :param rate: requests a second that it takes
        :param claim: whose request it is
        :param now: monotonic seconds
        :param led_since: since when this node gives turns: what the one
            before it gave at its end is not known here
        """
        line = self._find_line(instance, led_since, now)
        apart = 1.0 / max(rate, LEAST_RATE)
        due = line.last + apart
        if self._is_kept(line, claim, due, now):
            return self._refuse(line, claim, due + KEPT_SECONDS, apart, now)
        if due - now > claim.patience:
            return self._refuse(line, claim, due, apart, now)
        # what was lost while a turn was kept counts for those that wait
        kept = KEPT_SECONDS if line.refused else 0.0
        line.last = max(due, now - kept)
        line.refused = 0
        line.rivals.pop((claim.urgency, claim.team), None)
        line.age_served(now)
        line.served[claim.team] = line.served.get(claim.team, 0.0) + 1.0
        return Turn(True, max(0.0, due - now))

    def count_targets(self) -> int:
        """Return of how many targets anything is kept."""
        return len(self._lines)

    def _find_line(self, instance: str, led_since: float, now: float) -> Line:
        line = self._lines.get(instance)
        if line is None:
            self._expire(now)
            line = Line(last=led_since, asked=now, served_at=now)
            self._lines[instance] = line
        line.last = max(line.last, led_since)
        line.asked = now
        return line

    def _expire(self, now: float) -> None:
        for instance, line in list(self._lines.items()):
            if now - line.asked > KEPT_IDLE_SECONDS:
                del self._lines[instance]

    def _is_kept(
        self, line: Line, claim: Claim, due: float, now: float
    ) -> bool:
        """Tell whether the next turn is kept for a claim that goes first."""
        return now <= due + KEPT_SECONDS and self._has_rival(line, claim, now)

    def _has_rival(self, line: Line, claim: Claim, now: float) -> bool:
        mine = (claim.urgency, line.served.get(claim.team, 0.0))
        return any(
            (urgency, line.served.get(team, 0.0)) < mine
            for (urgency, team), at in line.rivals.items()
            if now - at < CLAIM_SECONDS
        )

    def _refuse(
        self, line: Line, claim: Claim, due: float, apart: float, now: float
    ) -> Turn:
        line.rivals = {
            key: at
            for key, at in line.rivals.items()
            if now - at < CLAIM_SECONDS
        }
        line.rivals[(claim.urgency, claim.team)] = now
        line.refused += 1
        wait = max(0.0, due - now)
        if line.refused > FEW_CLAIMS or self._has_rival(line, claim, now):
            spread = line.refused * apart / CLAIMS_A_TURN
            wait += self._rng.uniform(0.0, spread)
        return Turn(False, min(wait, MOST_WAIT))
