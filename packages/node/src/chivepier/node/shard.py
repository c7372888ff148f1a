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
from chivepier.messages import StopOrder
from chivepier.node.directory import Directory
from chivepier.node.permitbook import PermitBook
from chivepier.node.permitrecord import find_holder
from chivepier.node.permitrecord import PermitRecord
from chivepier.node.seentargets import order
from chivepier.policy import Ask
from chivepier.policy import Grant
from chivepier.policy import Held
from chivepier.policy import Policy
from chivepier.policy import Refusal
from chivepier.policy import SharedPolicy
from chivepier.policy import Stop
from chivepier.policy import TargetView
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Urgency

ANNOUNCE_SECONDS = 1.0
MISSED_ANNOUNCEMENTS = 3
REMEMBER_SECONDS = 600.0
REPORT_LAG_SECONDS = 5.0
ORPHAN_SECONDS = 60.0
STOP_AGAIN_SECONDS = 0.5
MOVED_RETRY_SECONDS = 0.2
UNKNOWN_HOLDER = ""


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
        order_stop: collections.abc.Callable[[str, StopOrder], None],
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
        self._order_stop = order_stop
        self._fraction = fraction
        self.policy: Policy = SharedPolicy(clock, numbers)
        self.book = PermitBook()
        self.targets: dict[str, Announcement] = {}
        self._seen: dict[str, float] = {}
        self._newest: dict[str, tuple[float, tuple[int, int]]] = {}
        self._waiting: dict[str, asyncio.Future] = {}
        self._asks: dict[str, PermitRequest] = {}
        self._early: dict[str, PermitRequest] = {}

    def open(self) -> None:
        """Begin to admit: the permits in flight are known."""
        self.opened = True
        for announcement in self.targets.values():
            self._count_unknown(announcement)
        for request in self._early.values():
            self.policy.submit(self._make_ask(request))
        self._early.clear()
        self.settle()

    def close(self) -> None:
        """Stop at once: another node may own the shard from now on."""
        self.closed = True
        for request in list(self._waiting):
            kind = ErrorKind.NOT_READY
            text = "the shard's owner changes"
            self._refuse(Refusal(request, kind, text, MOVED_RETRY_SECONDS))

    # --- targets -----------------------------------------------------------

    def announce(self, announcement: Announcement) -> bool:
        """Take what a target says of itself.

        :param announcement: what the target said
        :returns: false when it is older than what is known
        """
        target = announcement.target
        newest = self._newest.get(target)
        if newest is not None and order(announcement) <= newest[1]:
            # an old run's words, delayed on a link, must not undo a new one
            return False
        now = self._clock.monotonic()
        self._newest[target] = now, order(announcement)
        known = self.targets.get(target)
        self.targets[target] = announcement
        self._seen[target] = now
        self.policy.set_target(_view(announcement, self._fraction))
        if self.opened and known is None:
            self._count_unknown(announcement)
        restarted = (
            known is not None and known.incarnation < announcement.incarnation
        )
        self._end_lost(announcement, restarted)
        self.settle()
        return True

    def expire(self) -> None:
        """Forget the targets that stopped announcing themselves."""
        now = self._clock.monotonic()
        oldest = now - ANNOUNCE_SECONDS * MISSED_ANNOUNCEMENTS
        for target, seen in list(self._seen.items()):
            if seen < oldest:
                del self._seen[target]
                del self.targets[target]
                self.policy.remove_target(target)
        self.settle()

    def watch(self, live: set[str]) -> None:
        """Look after lost permits and orders that may have been lost.

        :param live: ``node.incarnation`` of all members
        """
        now = self._clock.monotonic()
        for target, (seen, _) in list(self._newest.items()):
            if seen < now - REMEMBER_SECONDS:
                del self._newest[target]
        for record in self.book:
            if record.lost_at is None and record.holder not in live:
                record.lost_at = now
            self._watch_record(record, now)

    def _watch_record(self, record: PermitRecord, now: float) -> None:
        if record.lost_at is not None and record.target not in self.targets:
            if now - record.lost_at > ORPHAN_SECONDS:
                self._end(record.permit, PermitOutcome.CANCELLED)
        elif record.stop is not None:
            if now - record.heard > STOP_AGAIN_SECONDS:
                record.heard = now
                self._order_stop(record.entry, record.stop)

    def _count_unknown(self, announcement: Announcement) -> None:
        """Count what a target runs and nobody reported.

        The dead node may have been owner and entry: its generations go on
        for a while, and nobody can name them.
        """
        load = announcement.load
        known = len(self.book.at(announcement.target))
        now = self._clock.monotonic()
        for _ in range(load.running - known):
            permit = next(self._numbers)
            ask = Ask(
                request=f"unknown.{permit}",
                team="",
                template="",
                model=next(iter(announcement.models), ""),
                prompt_tokens=load.used_tokens // load.running,
            )
            self._hold(permit, ask, announcement.target, "", lost_at=now)

    def _end_lost(self, announcement: Announcement, restarted: bool) -> None:
        """Free the permits of dead entries that the target runs no more."""
        now = self._clock.monotonic()
        records = self.book.at(announcement.target)
        lost = [r for r in records if r.lost_at is not None]
        if not lost:
            return
        # a report lags: it may not show what was granted just now, and
        # still show what ended just now
        settled = now - REPORT_LAG_SECONDS
        known = [
            r for r in records if r.lost_at is None and r.granted < settled
        ]
        running = max(0, announcement.load.running - len(known))
        ended = len(lost) if restarted else len(lost) - running
        old = [r for r in lost if restarted or r.lost_at < settled]
        old.sort(key=lambda r: r.lost_at)
        for record in old[: max(0, ended)]:
            self._end(record.permit, PermitOutcome.CANCELLED)

    # --- requests ----------------------------------------------------------

    def request(self, request: PermitRequest) -> asyncio.Future:
        """Take in a request for a permit.

        :param request: what the entry asks
        :returns: a future of the answer
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request] = future
        self._asks[request.request] = request
        if self.opened:
            self.policy.submit(self._make_ask(request))
            self.settle()
        else:
            # the policy would refuse it for want of targets, which are not
            # all known before the shard is taken over
            self._early[request.request] = request
        return future

    def _make_ask(self, request: PermitRequest) -> Ask:
        template = self._directory.find_template(request.template)
        now = self._clock.monotonic()
        return Ask(
            request=request.request,
            team=request.team,
            template=request.template,
            model=request.model,
            adapter=request.adapter,
            urgency=Urgency(request.urgency),
            weight=self._directory.team_weight(request.team),
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix=request.prefix,
            zone=request.zone,
            excluded=frozenset(request.excluded),
            arrived=now,
            deadline=now + request.patience,
            queue_limit=template.queue_limit if template else 1,
        )

    def cancel(self, request: str) -> None:
        """Drop a waiting request, or take back its unused permit.

        :param request: its identifier
        """
        future = self._waiting.pop(request, None)
        self._asks.pop(request, None)
        self._early.pop(request, None)
        if future is not None:
            future.cancel()
        self.policy.cancel(request)
        record = self.book.find(request)
        if record is not None:
            # the grant was on its way when the entry gave up
            self._end(record.permit, PermitOutcome.NOT_RUN)
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
                    self._stop(decision)

    def _grant(self, grant: Grant) -> None:
        future = self._waiting.pop(grant.request, None)
        request = self._asks.pop(grant.request, None)
        if future is None or request is None or future.done():
            self.policy.release(grant.permit, 0, PermitOutcome.NOT_RUN)
            return
        self._write(grant.permit, request, grant.target)
        address = self.targets[grant.target].address
        answer = PermitAnswer(
            grant.permit, grant.target, address, 0, "", "", 0.0
        )
        future.set_result(answer)

    def _write(self, permit: int, request: PermitRequest, target: str):
        now = self._clock.monotonic()
        record = PermitRecord(
            permit=permit,
            request=request.request,
            holder=find_holder(request.request),
            entry=request.entry,
            target=target,
            team=request.team,
            template=request.template,
            granted=now,
            heard=now,
        )
        self.book.add(record)

    def _refuse(self, refusal: Refusal) -> None:
        self._asks.pop(refusal.request, None)
        future = self._waiting.pop(refusal.request, None)
        if future is not None and not future.done():
            answer = PermitAnswer(
                0,
                "",
                "",
                0,
                refusal.kind.value,
                refusal.message,
                refusal.retry_after,
            )
            future.set_result(answer)

    def _stop(self, stop: Stop) -> None:
        record = self.book.get(stop.permit)
        if record is not None and record.stop is None:
            record.stop = StopOrder(
                self.pool, self.number, stop.permit, stop.retry_after
            )
            record.heard = self._clock.monotonic()
            self._order_stop(record.entry, record.stop)

    # --- permits -----------------------------------------------------------

    def _hold(
        self,
        permit: int,
        ask: Ask,
        target: str,
        entry: str,
        tokens: int = 0,
        lost_at: float | None = None,
    ) -> None:
        now = self._clock.monotonic()
        self.policy.adopt(
            Held(
                permit=permit,
                ask=ask,
                target=target,
                granted=now,
                tokens=tokens,
            )
        )
        lost = lost_at is not None
        self.book.add(
            PermitRecord(
                permit=permit,
                request=ask.request,
                holder=UNKNOWN_HOLDER if lost else find_holder(ask.request),
                entry=entry,
                target=target,
                team=ask.team,
                template=ask.template,
                granted=now,
                heard=now,
                lost_at=lost_at,
            )
        )

    def _end(
        self, permit: int, outcome: PermitOutcome, tokens: int = 0
    ) -> None:
        self.book.remove(permit)
        self.policy.release(permit, tokens, outcome)

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
            self._end(report.permit, outcome, report.tokens)
            self.settle()

    def progress(self, report: ProgressReport) -> bool:
        """Note delivered tokens.

        :param report: the entry's report
        :returns: false when it names a permit that isn't known here
        """
        now = self._clock.monotonic()
        known = True
        for permit, tokens in report.tokens:
            record = self.book.get(permit)
            if record is None:
                known = False
                continue
            record.heard = now
            record.lost_at = None
            self.policy.progress(permit, tokens)
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
        now = self._clock.monotonic()
        for plain in permits:
            record = self.book.get(plain.permit)
            if record is not None:
                record.heard = now
                record.lost_at = None
                continue
            template = self._directory.find_template(plain.template)
            ask = Ask(
                request=plain.request,
                team=plain.team,
                template=plain.template,
                model=template.model if template else "",
                urgency=Urgency(plain.urgency),
                weight=self._directory.team_weight(plain.team),
                prompt_tokens=plain.prompt_tokens,
                max_tokens=plain.max_tokens,
            )
            self._hold(plain.permit, ask, plain.target, entry, plain.tokens)

    def reconcile(
        self, holder: str, permits: tuple[InflightPermit, ...], before: float
    ) -> None:
        """Compare the record with the full list of an entry.

        :param holder: ``node.incarnation`` of the entry
        :param permits: all that it has in flight here
        :param before: permits granted earlier than this are in the list,
            or can't be used any more
        """
        listed = {plain.permit for plain in permits}
        for record in self.book:
            if record.holder != holder or record.permit in listed:
                continue
            if record.granted < before:
                # its release was lost with a link
                self._end(record.permit, PermitOutcome.CANCELLED)
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
        return PermitAnswer(permit, target, address, 0, "", "", 0.0)

    def _resume_unknown(
        self, request: PermitRequest, target: str, tokens: int
    ) -> int:
        permit = next(self._numbers)
        ask = self._make_ask(request)
        self._hold(permit, ask, target, request.entry, tokens)
        lost = [r for r in self.book.at(target) if r.lost_at is not None]
        same = [
            r
            for r in lost
            if (r.team, r.template) == (request.team, request.template)
        ]
        for record in (same or lost)[:1]:
            self._end(record.permit, PermitOutcome.CANCELLED)
        return permit

    def silent_holders(self, oldest: float) -> set[str]:
        """Return the live holders of permits not heard of for a while.

        :param oldest: monotonic seconds
        """
        return {
            r.holder
            for r in self.book
            if r.lost_at is None and r.heard < oldest
        }


def _view(announcement: Announcement, fraction: float) -> TargetView:
    return TargetView(
        target=announcement.target,
        address=announcement.address,
        zone=announcement.zone,
        models=frozenset(m.partition("@")[0] for m in announcement.models),
        adapters=frozenset(announcement.adapters),
        capacity_tokens=int(announcement.capacity_tokens * fraction),
        max_streams=max(1, int(announcement.max_streams * fraction)),
        leaving=announcement.leaving,
        running=announcement.load.running,
        waiting=announcement.load.waiting,
        used_tokens=announcement.load.used_tokens,
        preemptions=announcement.load.preemptions,
        cached=frozenset(announcement.cached),
    )
