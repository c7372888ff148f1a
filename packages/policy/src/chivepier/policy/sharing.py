"""Who is served next."""

import collections
import heapq
import itertools

from chivepier.policy.ask import Ask
from chivepier.policy.drainrate import DrainRate
from chivepier.policy.teamqueue import TeamQueue

CREDIT_TOKENS = 4000.0
MAX_IDLE_TEAMS = 1024


class Sharing:
    """Weighted fair queueing of teams by tokens served.

    A team that begins to wait starts at the virtual time of the last grant
    less a bounded credit: what others borrowed while it was idle is theirs,
    and what it may claim back at once is limited.
    """

    def __init__(self) -> None:
        self.teams: collections.OrderedDict[str, TeamQueue]
        self.teams = collections.OrderedDict()
        self.waiting: dict[str, Ask] = {}
        self.granted = DrainRate()
        self.has_granted = False
        self._time = 0.0
        self._active_weight = 0.0
        self.queued: dict[str, TeamQueue] = {}
        self.active: dict[str, TeamQueue] = {}
        self._level = 0.0
        self._heap: list[tuple[float, int, TeamQueue]] = []
        self._order = itertools.count()

    def find(self, ask: Ask) -> TeamQueue:
        """Return a request's team, new where it is not known."""
        team = self.teams.get(ask.team)
        if team is None:
            team = self.teams[ask.team] = TeamQueue(ask.team)
            team.spent = self._time
            self._forget_idle()
        if team.weight != ask.weight and ask.weight > 0:
            if team.active:
                self._active_weight += ask.weight - team.weight
            team.weight = ask.weight
        return team

    def _forget_idle(self) -> None:
        # however many teams come by, memory is bounded by those active
        for name in list(itertools.islice(self.teams, 2)):
            if len(self.teams) <= MAX_IDLE_TEAMS:
                return
            if self.teams[name].active:
                self.teams.move_to_end(name)
            else:
                del self.teams[name]

    def push(self, ask: Ask, now: float) -> None:
        """Queue a request."""
        team = self.find(ask)
        self._tick(team, now)
        if not team.waiting:
            least = self._time - CREDIT_TOKENS / team.weight
            team.spent = max(team.spent, least)
            self.requeue(team)
        self._change(team, 1, 0.0)
        team.push(ask)
        self.queued[team.team] = team
        self.waiting[ask.request] = ask

    def remove(self, ask: Ask, now: float) -> TeamQueue:
        """Take a request out of its queue."""
        team = self.teams[ask.team]
        self._tick(team, now)
        team.remove(ask)
        if not team.waiting:
            del self.queued[team.team]
        del self.waiting[ask.request]
        self._change(team, -1, 0.0)
        return team

    def grant(self, ask: Ask, tokens: float, now: float) -> None:
        """Count a grant and charge its expected tokens."""
        team = self.remove(ask, now)
        self._time = max(self._time, team.spent)
        team.drain.count()
        self.granted.count()
        self.has_granted = True
        team.charge(tokens)
        team.charge_class(ask.urgency, tokens)

    def hold(self, ask: Ask, tokens: float) -> None:
        """Count memory that a team begins to hold."""
        self._change(self.find(ask), 1, tokens)

    def drop(self, ask: Ask, tokens: float) -> None:
        """Count memory that a team gives back."""
        self._change(self.find(ask), -1, -tokens)

    def _change(self, team: TeamQueue, count: int, tokens: float) -> None:
        before = team.active
        team.active += count
        team.held += tokens
        if bool(before) != bool(team.active):
            self._note_active(team)

    def _note_active(self, team: TeamQueue) -> None:
        if team.active:
            self.active[team.team] = team
            self._active_weight += team.weight
        else:
            del self.active[team.team]
            self._active_weight -= team.weight
            # sums of floats drift; a team without requests holds nothing
            team.held = 0.0

    def _tick(self, team: TeamQueue, now: float) -> None:
        team.drain.tick(now, team.waiting)
        self.granted.tick(now, 1)

    def share(self, team: TeamQueue) -> float:
        """Return a team's part of the weight of all active teams."""
        others = self._active_weight - (team.weight if team.active else 0.0)
        return team.weight / (team.weight + max(0.0, others))

    def measure(self) -> None:
        """Find the most memory that a team holds, by weight."""
        self._level = max(
            (team.held / team.weight for team in self.active.values()),
            default=0.0,
        )

    def lean(self, team: TeamQueue) -> float:
        """Tell how near a team is to holding the most by weight.

        :param team: the team
        :returns: 0 for a team that holds nothing, 1 for the one that holds
            the most
        """
        if self._level <= 0.0:
            return 0.0
        held = max(0.0, team.held / team.weight)
        return 1.0 if held >= self._level else held / self._level

    def rate(self, team: TeamQueue, now: float) -> float:
        """Return the requests a second that leave a team's queue."""
        self._tick(team, now)
        lent = self.granted.rate(1.0) * self.share(team)
        return team.drain.rate(lent)

    def requeue(self, team: TeamQueue) -> None:
        """Put a team into the order of service."""
        item = team.spent, next(self._order), team
        heapq.heappush(self._heap, item)

    def pop(self) -> TeamQueue | None:
        """Take the waiting team that spent least out of the order."""
        while self._heap:
            spent, _, team = heapq.heappop(self._heap)
            if not team.waiting or team.popped:
                continue
            if spent < team.spent:
                self.requeue(team)
                continue
            team.popped = True
            return team
        return None

    def give_back(self, team: TeamQueue) -> None:
        """Return a team that was taken out."""
        team.popped = False
        if team.waiting:
            self.requeue(team)
