"""One shard of a pool, at its owner."""

import asyncio
import collections.abc

from chivepier.messages import Announcement
from chivepier.messages import InflightPermit
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.node.announcedtargets import AnnouncedTargets
from chivepier.node.asks import make_ask
from chivepier.node.asks import restore_ask
from chivepier.node.directory import Directory
from chivepier.node.heldpermits import HeldPermits
from chivepier.node.lostpermits import LostPermits
from chivepier.node.permitanswers import make_grant
from chivepier.node.permitanswers import make_refusal
from chivepier.node.permitrecord import find_holder
from chivepier.node.stoporders import OrderStop
from chivepier.node.stoporders import StopOrders
from chivepier.node.targetview import make_view
from chivepier.node.waitingrequests import WaitingRequests
from chivepier.policy import Ask
from chivepier.policy import Grant
from chivepier.policy import Policy
from chivepier.policy import Refusal
from chivepier.policy import SharedPolicy
from chivepier.policy import Stop
from chivepier.types import Clock
from chivepier.types import ErrorKind

MOVED_RETRY_SECONDS = 0.2


class Shard:
    """Admits requests to the targets of one shard.

    The policy decides; this class keeps who waits for which decision, who
    holds which permit, and which targets are still announcing themselves.
    Until :meth:`open` it takes everything in and grants nothing: the
    earlier owner's permits are not all known yet.

    :param epoch: the membership epoch that must be in force first
    :param era: of the freshness lease under which it is owned
    :param numbers: permit numbers that no other owner gives
    :param may_admit: whether this node owns the shard right now
    :param order_stop: sends an order to an entry's peer address
    :param fraction: the part of each target's capacity that may be used
    """

    def __init__(
        self,
        pool: str,
        number: int,
        clock: Clock,
        directory: Directory,
        *,
        epoch: int,
        era: int,
        numbers: collections.abc.Iterator[int],
        may_admit: collections.abc.Callable[["Shard"], bool],
        order_stop: OrderStop,
        fraction: float = 1.0,
    ):
        self.pool = pool
        self.number = number
        self.epoch = epoch
        self.era = era
        self.opened = False
        self.closed = False
        self._clock = clock
        self._directory = directory
        self._numbers = numbers
        self._may_admit = may_admit
        self._fraction = fraction
        self.policy: Policy = SharedPolicy(clock, numbers)
        self._announced = AnnouncedTargets(clock)
        self.targets = self._announced.current
        self._waiting = WaitingRequests()
        self._held = HeldPermits(clock, self.policy)
        self.book = self._held.book
        self._lost = LostPermits(clock, numbers, self._held, self.targets)
        self._stops = StopOrders(pool, number, clock, self.book, order_stop)

    def open(self) -> None:
        """Begin to admit: the permits in flight are known."""
        self.opened = True
        for announcement in self.targets.values():
            self._lost.count_unknown(announcement)
        for request in self._waiting:
            self.policy.submit(self._make_ask(request))
        self.settle()

    def close(self) -> None:
        """Stop at once: another node may own the shard from now on."""
        self.closed = True
        for request in self._waiting:
            kind = ErrorKind.NOT_READY
            text = "the shard's owner changes"
            self._refuse(
                Refusal(request.request, kind, text, MOVED_RETRY_SECONDS)
            )

    # --- targets -----------------------------------------------------------

    def announce(self, announcement: Announcement) -> bool:
        """Take what a target says of itself.

        :param announcement: what the target said
        :returns: false when it is older than what is known
        """
        known = self.targets.get(announcement.target)
        if not self._announced.take(announcement):
            return False
        self.policy.set_target(make_view(announcement, self._fraction))
        if self.opened and known is None:
            self._lost.count_unknown(announcement)
        restarted = (
            known is not None and known.incarnation < announcement.incarnation
        )
        self._lost.end_finished(announcement, restarted)
        self.settle()
        return True

    def expire(self) -> None:
        """Forget the targets that stopped announcing themselves."""
        for target in self._announced.drop_silent():
            self.policy.remove_target(target)
        self.settle()

    def watch(self, live: set[str]) -> None:
        """Look after lost permits and orders that may have been lost.

        :param live: ``node.incarnation`` of all members
        """
        self._announced.forget()
        self._lost.watch(live)
        for record in self.book:
            if not self._lost.is_orphan(record):
                self._stops.repeat(record)

    # --- requests ----------------------------------------------------------

    def request(self, request: PermitRequest) -> asyncio.Future:
        """Take in a request for a permit.

        :param request: what the entry asks
        :returns: a future of the answer
        """
        future = self._waiting.add(request)
        # before the shard is taken over not all targets are known, and the
        # policy would refuse it for want of them: open() submits it
        if self.opened:
            self.policy.submit(self._make_ask(request))
            self.settle()
        return future

    def _make_ask(self, request: PermitRequest) -> Ask:
        return make_ask(request, self._directory, self._clock.monotonic())

    def cancel(self, request: str) -> None:
        """Drop a waiting request, or take back its unused permit.

        :param request: its identifier
        """
        self._waiting.cancel(request)
        self.policy.cancel(request)
        record = self.book.find(request)
        if record is not None:
            # the grant was on its way when the entry gave up
            self._held.end(record.permit, PermitOutcome.NOT_RUN)
            self.settle()

    def settle(self) -> None:
        """Carry out what the policy decides now."""
        if not self.opened or not self._may_admit(self):
            return
        for decision in self.policy.decide():
            match decision:
                case Grant():
                    self._grant(decision)
                case Refusal():
                    self._refuse(decision)
                case Stop():
                    self._stops.give(decision)

    def _grant(self, grant: Grant) -> None:
        permit, target = grant.permit, grant.target
        waiting = self._waiting.pop(grant.request)
        if waiting is None:
            self.policy.release(permit, 0, PermitOutcome.NOT_RUN)
            return
        request = waiting.request
        self._held.record(permit, request, target, request.entry)
        address = self.targets[target].address
        waiting.future.set_result(make_grant(permit, target, address))

    def _refuse(self, refusal: Refusal) -> None:
        waiting = self._waiting.pop(refusal.request)
        if waiting is not None:
            answer = make_refusal(
                refusal.kind, refusal.message, refusal.retry_after
            )
            waiting.future.set_result(answer)

    # --- permits -----------------------------------------------------------

    def release(self, report: ReleaseReport) -> None:
        """Take back a permit; a second report of it changes nothing.

        :param report: the entry's report
        """
        record = self.book.get(report.permit)
        if record is None:
            return
        # an entry whose caller went on elsewhere may end its part first:
        # the generation, and its memory, are the new holder's by then
        if report.entry in (record.holder, record.entry):
            outcome = PermitOutcome(report.outcome)
            self._held.end(report.permit, outcome, report.tokens)
            self.settle()

    def progress(self, report: ProgressReport) -> bool:
        """Note delivered tokens.

        :param report: the entry's report
        :returns: false when it names a permit that isn't known here
        """
        known = True
        for permit, tokens in report.tokens:
            if self._held.hear(permit):
                self.policy.progress(permit, tokens)
            else:
                known = False
        return known

    def confirm(self, permit: int) -> bool:
        """Tell whether a permit may still be used.

        :param permit: its number
        :returns: whether it counts here and its target stays
        """
        record = self.book.get(permit)
        if record is None or not self.opened or not self._may_admit(self):
            return False
        target = self.targets.get(record.target)
        if target is None or target.leaving:
            return False
        record.heard = self._clock.monotonic()
        return True

    def adopt(
        self, holder: str, entry: str, permits: tuple[InflightPermit, ...]
    ) -> None:
        """Count what an entry has in flight.

        :param holder: ``node.incarnation`` of the entry
        :param entry: its peer address
        :param permits: what it reports
        """
        for inflight in permits:
            if self._held.hear(inflight.permit):
                continue
            self._held.hold(
                inflight.permit,
                restore_ask(inflight, self._directory),
                inflight.target,
                entry,
                inflight.tokens,
            )

    def reconcile(
        self, holder: str, permits: tuple[InflightPermit, ...], before: float
    ) -> None:
        """Compare the record with the full list of an entry.

        :param holder: ``node.incarnation`` of the entry
        :param permits: all that it has in flight here
        :param before: permits granted earlier than this are in the list,
            or can't be used any more
        """
        self._held.end_unlisted(holder, permits, before)
        self.settle()

    def resume(
        self,
        request: PermitRequest,
        target: str,
        tokens: int,
        permit: int = 0,
    ) -> PermitAnswer:
        """Count a generation that an entry resumed, and count it once.

        A permit that is still known passes to the entry, whether or not its
        first holder lives.  Without it, say after a change of owners, a new
        one takes the place of one that was lost at the same target.

        :param request: the resuming entry's request
        :param target: where the generation runs
        :param tokens: how far it is
        :param permit: the number under which it was started, 0 if unknown
        :returns: the permit
        """
        record = self.book.get(permit)
        if record is None or record.target != target:
            permit = self._resume_unknown(request, target, tokens)
        else:
            record.holder = find_holder(request.request)
            record.entry = request.entry
            record.heard = self._clock.monotonic()
            record.lost_at = None
            self.policy.progress(permit, tokens)
        known = self.targets.get(target)
        address = known.address if known is not None else ""
        return make_grant(permit, target, address)

    def _resume_unknown(
        self, request: PermitRequest, target: str, tokens: int
    ) -> int:
        permit = next(self._numbers)
        ask = self._make_ask(request)
        self._held.hold(permit, ask, target, request.entry, tokens)
        self._lost.replace(request, target)
        return permit

    def silent_holders(self, oldest: float) -> set[str]:
        """Return the live holders of permits not heard of for a while.

        :param oldest: monotonic seconds
        """
        return self._held.find_silent(oldest)
