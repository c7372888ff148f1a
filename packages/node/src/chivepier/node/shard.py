"""One shard of a pool, at its owner."""

import asyncio
import collections.abc
import itertools

from chivepier.messages import Announcement
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.messages import StopOrder
from chivepier.node.directory import Directory
from chivepier.policy import Ask
from chivepier.policy import Grant
from chivepier.policy import LeastInflight
from chivepier.policy import Policy
from chivepier.policy import Refusal
from chivepier.policy import Stop
from chivepier.policy import TargetView
from chivepier.types import Clock
from chivepier.types import Urgency

ANNOUNCE_SECONDS = 1.0
MISSED_ANNOUNCEMENTS = 3


class Shard:
    """Admits requests to the targets of one shard.

    The policy decides; this class keeps who waits for which decision, and
    which targets are still announcing themselves.
    """

    def __init__(
        self,
        pool: str,
        number: int,
        clock: Clock,
        directory: Directory,
        order_stop: collections.abc.Callable[[str, StopOrder], None],
    ):
        self.pool = pool
        self.number = number
        self._clock = clock
        self._directory = directory
        self.policy: Policy = LeastInflight(clock, itertools.count(1))
        self.targets: dict[str, Announcement] = {}
        self._seen: dict[str, float] = {}
        self._waiting: dict[str, asyncio.Future] = {}
        self._order_stop = order_stop
        self._entries: dict[str, str] = {}
        self._granted: dict[int, str] = {}

    def announce(self, announcement: Announcement) -> bool:
        """Take what a target says of itself.

        :param announcement: what the target said
        :returns: false when it is older than what is known
        """
        known = self.targets.get(announcement.target)
        if known is not None and _order(announcement) <= _order(known):
            # an old run's words, delayed on a link, must not undo a new one
            return False
        self.targets[announcement.target] = announcement
        self._seen[announcement.target] = self._clock.monotonic()
        self.policy.set_target(_view(announcement))
        self.settle()
        return True

    def expire(self) -> None:
        """Forget the targets that stopped announcing themselves."""
        oldest = self._clock.monotonic()
        oldest -= ANNOUNCE_SECONDS * MISSED_ANNOUNCEMENTS
        for target, seen in list(self._seen.items()):
            if seen < oldest:
                del self._seen[target]
                del self.targets[target]
                self.policy.remove_target(target)
        self.settle()

    def request(self, request: PermitRequest) -> asyncio.Future:
        """Take in a request for a permit.

        :param request: what the entry asks
        :returns: a future of the answer
        """
        template = self._directory.find_template(request.template)
        now = self._clock.monotonic()
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request] = future
        self._entries[request.request] = request.entry
        ask = Ask(
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
        self.policy.submit(ask)
        self.settle()
        return future

    def cancel(self, request: str) -> None:
        """Drop a waiting request.

        :param request: its identifier
        """
        future = self._waiting.pop(request, None)
        self._entries.pop(request, None)
        if future is not None:
            future.cancel()
        self.policy.cancel(request)

    def release(self, report: ReleaseReport) -> None:
        """Take back a permit.

        :param report: the entry's report
        """
        outcome = PermitOutcome(report.outcome)
        self._granted.pop(report.permit, None)
        self.policy.release(report.permit, report.tokens, outcome)
        self.settle()

    def settle(self) -> None:
        """Carry out what the policy decides now."""
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
        if future is None or future.done():
            self.policy.release(grant.permit, 0, PermitOutcome.NOT_RUN)
            return
        self._granted[grant.permit] = self._entries.pop(grant.request)
        announcement = self.targets[grant.target]
        answer = PermitAnswer(
            grant.permit, grant.target, announcement.address, 0, "", "", 0.0
        )
        future.set_result(answer)

    def _stop(self, stop: Stop) -> None:
        entry = self._granted.get(stop.permit)
        if entry is not None:
            order = StopOrder(
                self.pool, self.number, stop.permit, stop.retry_after
            )
            self._order_stop(entry, order)

    def _refuse(self, refusal: Refusal) -> None:
        self._entries.pop(refusal.request, None)
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


def _order(announcement: Announcement) -> tuple[int, int]:
    return announcement.incarnation, announcement.sequence


def _view(announcement: Announcement) -> TargetView:
    return TargetView(
        target=announcement.target,
        address=announcement.address,
        zone=announcement.zone,
        models=frozenset(m.partition("@")[0] for m in announcement.models),
        adapters=frozenset(announcement.adapters),
        capacity_tokens=announcement.capacity_tokens,
        max_streams=announcement.max_streams,
        leaving=announcement.leaving,
        running=announcement.load.running,
        waiting=announcement.load.waiting,
        used_tokens=announcement.load.used_tokens,
        preemptions=announcement.load.preemptions,
        cached=frozenset(announcement.cached),
    )
