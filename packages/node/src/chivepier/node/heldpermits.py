"""The permits that count against one shard's targets."""

from chivepier.messages import InflightPermit
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.node.permitbook import PermitBook
from chivepier.node.permitrecord import find_holder
from chivepier.node.permitrecord import PermitRecord
from chivepier.policy import Ask
from chivepier.policy import Held
from chivepier.policy import Policy
from chivepier.types import Clock

UNKNOWN_HOLDER = ""


class HeldPermits:
    """Keeps the book of permits and the policy's count in step.

    A permit that one of them misses would leave room at a target unused for
    good, or hand the same room out twice.

    :ivar book: the records
    """

    def __init__(self, clock: Clock, policy: Policy):
        self._clock = clock
        self._policy = policy
        self.book = PermitBook()

    def record(
        self,
        permit: int,
        asked: Ask | PermitRequest,
        target: str,
        entry: str,
        lost_at: float | None = None,
    ) -> None:
        """Write down a permit that the policy counts.

        :param permit: its number
        :param asked: what it was given for
        :param target: where the request runs
        :param entry: peer address of the holder
        :param lost_at: monotonic seconds, for a permit of unknown holder
        """
        now = self._clock.monotonic()
        lost = lost_at is not None
        record = PermitRecord(
            permit=permit,
            request=asked.request,
            holder=UNKNOWN_HOLDER if lost else find_holder(asked.request),
            entry=entry,
            target=target,
            team=asked.team,
            template=asked.template,
            granted=now,
            heard=now,
            lost_at=lost_at,
        )
        self.book.add(record)

    def hold(
        self,
        permit: int,
        ask: Ask,
        target: str,
        entry: str,
        tokens: int = 0,
        lost_at: float | None = None,
    ) -> None:
        """Count a permit that the policy did not give.

        :param permit: its number
        :param ask: what it was given for
        :param target: where the request runs
        :param entry: peer address of the holder
        :param tokens: delivered so far
        :param lost_at: monotonic seconds, for a permit of unknown holder
        """
        held = Held(
            permit=permit,
            ask=ask,
            target=target,
            granted=self._clock.monotonic(),
            tokens=tokens,
        )
        self._policy.adopt(held)
        self.record(permit, ask, target, entry, lost_at)

    def end(
        self, permit: int, outcome: PermitOutcome, tokens: int = 0
    ) -> None:
        """Count a permit no more.

        :param permit: its number
        :param outcome: how its request ended
        :param tokens: delivered in all
        """
        self.book.remove(permit)
        self._policy.release(permit, tokens, outcome)

    def hear(self, permit: int) -> bool:
        """Note that a permit's holder named it.

        :param permit: its number
        :returns: false when it isn't known here
        """
        record = self.book.get(permit)
        if record is None:
            return False
        record.heard = self._clock.monotonic()
        record.lost_at = None
        return True

    def end_unlisted(
        self, holder: str, permits: tuple[InflightPermit, ...], before: float
    ) -> None:
        """End what an entry holds here and its full list leaves out.

        :param holder: ``node.incarnation`` of the entry
        :param permits: all that it has in flight here
        :param before: permits granted earlier than this are in the list,
            or can't be used any more
        """
        listed = {inflight.permit for inflight in permits}
        for record in self.book:
            if record.holder != holder or record.permit in listed:
                continue
            if record.granted < before:
                # its release was lost with a link
                self.end(record.permit, PermitOutcome.CANCELLED)

    def find_silent(self, oldest: float) -> set[str]:
        """Return the live holders of permits not heard of for a while.

        :param oldest: monotonic seconds
        :returns: ``node.incarnation`` of each
        """
        return {
            r.holder
            for r in self.book
            if r.lost_at is None and r.heard < oldest
        }
