"""Refusing at once what would wait too long."""

import math

from chivepier.policy.ask import Ask
from chivepier.policy.limits import Limits
from chivepier.policy.refusal import Refusal
from chivepier.policy.sharing import Sharing
from chivepier.policy.teamqueue import TeamQueue
from chivepier.types import ErrorKind
from chivepier.types import Urgency

LEAST_QUEUE = 4
LEAST_RETRY = 0.5
MOST_RETRY = 30.0
LATE = 1.3


class Refusing:
    """Predicts waits from the measured drain rate of each team's queue.

    The predicted wait is what is ahead over the drain rate.  A refused
    caller is told to come back when the queue will have served those told
    before it: else all would come back at once and be refused again.
    """

    def __init__(self, sharing: Sharing, limits: Limits):
        self._sharing = sharing
        self._limits = limits

    def check(self, ask: Ask, now: float) -> Refusal | None:
        """Refuse a newcomer that can't make it.

        :param ask: the request, not yet queued
        :param now: the time, in seconds
        :returns: the refusal, or ``None`` to queue it
        """
        team = self._sharing.find(ask)
        if team.waiting >= self._team_limit(team, ask.queue_limit):
            return self.refuse(ask, team, "the team's queue is full", now)
        if team.waiting < LEAST_QUEUE or not self._sharing.has_granted:
            return None
        wait = self.predict(team, ask, now)
        if wait <= min(self._limits.waits[ask.urgency], ask.deadline - now):
            return None
        text = f"the wait would be {wait:.1f} s"
        return self.refuse(ask, team, text, now)

    def _team_limit(self, team: TeamQueue, limit: int) -> float:
        return max(LEAST_QUEUE, limit * self._sharing.share(team))

    def predict(self, team: TeamQueue, ask: Ask, now: float) -> float:
        """Return the wait of one that joins a class's queue, in seconds."""
        ahead = team.count_ahead(ask.urgency)
        return (ahead + 1) / self._sharing.rate(team, now)

    def trim(self, now: float) -> list[Refusal]:
        """Refuse what waits too long, newest first.

        Capacity can shrink under a queue that was in bounds: when targets
        leave, those at its end are told now and not at their deadline.

        :param now: the time, in seconds
        :returns: the refusals; the requests are out of the queue
        """
        found = []
        for team in list(self._sharing.queued.values()):
            found += self._trim_team(team, now)
        return found

    def _trim_team(self, team: TeamQueue, now: float) -> list[Refusal]:
        found = []
        for urgency, queue in team.classes.items():
            bound = self._find_bound(urgency)
            while len(queue) > LEAST_QUEUE and bound < math.inf:
                wait = self.predict(team, queue.tail(), now)
                if wait <= bound:
                    break
                found.append(self._drop(team, queue.tail(), now))
            while queue and _is_late(queue.head(), now, bound):
                found.append(self._drop(team, queue.head(), now))
        return found

    def _find_bound(self, urgency: Urgency) -> float:
        # an owner that took over has no drain rate yet: it would refuse all
        # that waits
        if not self._sharing.has_granted:
            return math.inf
        return LATE * self._limits.waits[urgency]

    def _drop(self, team: TeamQueue, ask: Ask, now: float) -> Refusal:
        self._sharing.remove(ask, now)
        return self.refuse(ask, team, "the queue drains too slowly", now)

    def refuse(
        self, ask: Ask, team: TeamQueue, text: str, now: float
    ) -> Refusal:
        """Build a refusal that says when to come back.

        :param ask: the request
        :param team: its team
        :param text: why
        :param now: the time, in seconds
        :returns: the refusal
        """
        rate = max(self._sharing.rate(team, now), 1 / MOST_RETRY)
        ready = now + team.count_ahead(ask.urgency) / rate
        booked = max(team.booked, ready) + 1 / rate
        team.booked = min(booked, now + MOST_RETRY)
        hint = min(MOST_RETRY, max(LEAST_RETRY, booked - now))
        return Refusal(ask.request, ErrorKind.OVERLOADED, text, hint)


def _is_late(ask: Ask, now: float, bound: float) -> bool:
    return now > ask.deadline or now - ask.arrived > bound
