"""An entry's leave to send to cold targets."""

import collections.abc

from chivepier.gateway.config import Service
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.targets import Target
from chivepier.gateway.zones import Zones
from chivepier.types import Clock

# Seconds after a refusal in which the same target isn't asked for again: it
# is cold for a second or more, and its window moves on by then.
REFUSED_SECONDS = 0.1

# Seconds after a question without an answer in which none is asked: voters
# that are cut apart elect a leader in about a second, and each question holds
# up its request.
UNANSWERED_SECONDS = 0.5

# Asks for one send to an instance that bears so many in a second; nothing
# where no answer came.
Ask = collections.abc.Callable[
    [str, int], collections.abc.Awaitable[bool | None]
]


class Permits:
    """Asks the leader for each send to a cold target.

    A cold target crashes when all entries together send it more than it
    bears, and an entry does not know what the others send. Weighed: an
    equal part for each entry, which is less than one send a second where
    there are more entries than sends, so that none may send at all or all
    may send at once; a few entries chosen for each target, which differ
    while entries know of different others. The leader is one at any time,
    and what it permits lapses before it is permitted again. Without a
    leader, entries send nothing to cold targets and use the warm ones.

    :param zones: which zones were taken back, and when
    :param bound: of all entries together
    :param ask: asks for one send to an instance
    :param clock: monotonic time
    :param log: what this process believes
    :param metrics: counts answers
    """

    def __init__(
        self,
        zones: Zones,
        bound: ColdBound,
        ask: Ask,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._zones = zones
        self._bound = bound
        self._ask = ask
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._refused: dict[str, float] = {}
        self._unanswered_until = float("-inf")

    def is_cold(self, service: Service, target: Target, now: float) -> bool:
        """Tell whether a target may bear less than usual.

        Targets of a zone that was evacuated may have become cold meanwhile:
        what they said before it was taken back shows nothing of that.

        :param service: the target's
        :param target: as this node knows it
        :param now: monotonic seconds
        """
        if service.cold_rate <= 0:
            return False
        if now < target.warm_at:
            return True
        readmitted = self._zones.find_readmitted(target.zone)
        return readmitted is not None and target.said < readmitted

    async def take(self, service: Service, target: Target) -> Permit | None:
        """Return leave to send one request to a target now.

        :param service: the target's
        :param target: where it is to be sent
        :returns: ``None`` where it must not be sent
        """
        now = self._clock.monotonic()
        if not self.is_cold(service, target, now):
            return Permit()
        if now < max(
            self._unanswered_until, self._refused.get(target.instance, 0.0)
        ):
            return None
        granted = await self._ask(
            target.instance, self._bound.count(service.cold_rate)
        )
        if granted:
            self._metrics.note_permit("granted")
            self._refused.pop(target.instance, None)
            return Permit(now + PERMIT_SECONDS)
        if granted is None:
            self._metrics.note_permit("unanswered")
            end = self._clock.monotonic() + UNANSWERED_SECONDS
            self._unanswered_until = end
        else:
            self._metrics.note_permit("refused")
        self._note_refused(target)
        return None

    def _note_refused(self, target: Target) -> None:
        now = self._clock.monotonic()
        if target.instance not in self._refused:
            self._log.info(
                "cold_target_left_out",
                target=target.instance,
                warm_s=round(max(0.0, target.warm_at - now), 3),
                said_s=round(now - target.said, 3),
            )
        self._refused[target.instance] = now + REFUSED_SECONDS
        for instance, until in list(self._refused.items()):
            if now > until + 1.0:
                del self._refused[instance]
