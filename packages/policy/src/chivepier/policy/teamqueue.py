"""One team's waiting requests and what it has used."""

from chivepier.policy.ask import Ask
from chivepier.policy.classqueue import ClassQueue
from chivepier.policy.drainrate import DrainRate
from chivepier.types import Urgency

CLASS_WEIGHTS = {Urgency.URGENT: 16.0, Urgency.NORMAL: 4.0, Urgency.BATCH: 1.0}


class TeamQueue:
    """Virtual time of a team, and of its classes inside its share.

    ``spent`` is tokens served over weight: the team with the least goes
    first.  Inside the team the classes share in the same way with fixed
    weights, so that urgent work goes first and batch work still moves.
    """

    def __init__(self, team: str):
        self.team = team
        self.weight = 1.0
        self.spent = 0.0
        self.held = 0.0
        self.active = 0
        self.popped = False
        self.drain = DrainRate()
        self.booked = 0.0
        self.waiting = 0
        self.classes = {urgency: ClassQueue() for urgency in CLASS_WEIGHTS}
        self._class_spent = dict.fromkeys(CLASS_WEIGHTS, 0.0)
        self._class_time = 0.0

    def push(self, ask: Ask) -> None:
        """Add a request at its class's end."""
        queue = self.classes[ask.urgency]
        if not queue:
            floor = self._class_time
            spent = self._class_spent[ask.urgency]
            self._class_spent[ask.urgency] = max(spent, floor)
        queue[ask.request] = ask
        self.waiting += 1

    def remove(self, ask: Ask) -> None:
        """Take a request out."""
        del self.classes[ask.urgency][ask.request]
        self.waiting -= 1

    def order(self) -> list[Urgency]:
        """Return the classes that wait, the next to be served first."""
        waiting = [u for u, queue in self.classes.items() if queue]
        if len(waiting) > 1:
            waiting.sort(key=lambda u: (self._class_spent[u], -u))
        return waiting

    def charge(self, tokens: float) -> None:
        """Count tokens served, or give back what was not needed."""
        self.spent += tokens / self.weight

    def charge_class(self, urgency: Urgency, tokens: float) -> None:
        """Count a grant inside the team's share."""
        self._class_time = self._class_spent[urgency]
        self._class_spent[urgency] += tokens / CLASS_WEIGHTS[urgency]

    def count_ahead(self, urgency: Urgency) -> int:
        """Count what is served before a newcomer of a class."""
        return sum(
            len(queue) for u, queue in self.classes.items() if u >= urgency
        )
