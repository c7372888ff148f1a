"""Finding out whether a target has ended under a request."""

import asyncio
import collections.abc

from chivepier.gateway.quarantine.inquiry import Inquiry
from chivepier.gateway.quarantine.life import Life
from chivepier.gateway.quarantine.loss import Loss
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds after its first event in which a request may be the cause; what has
# run for longer was there by chance.
EARLY_SECONDS = 2.0
# Seconds after a target's notice from which its end is the one announced.
NOTICE_SECONDS = 1.0
# Seconds to wait for a look at a target before a request is sent elsewhere; a
# process that is gone refuses at once.
SETTLE_SECONDS = 0.15
# Seconds in which the next life of a target, or its silence, shows that it had
# ended.
FOUND_SECONDS = 10.0
# The same where it took a connection after the loss: what was reset was the
# connection, unless the next life was there already.
LIVED_SECONDS = 3.0
# Seconds between two looks whether it has fallen silent.
LOOK_SECONDS = 0.25
# Seconds for which a life is known to have ended.
KNOWN_SECONDS = 60.0
# Seconds that a loss may lie before or after an end that others saw.
SAME_SECONDS = 1.0
# Seconds after a target's last word in which it may have taken a request. A
# target that has gone dark is sent requests for some seconds more.
WORD_SECONDS = 1.5

Probe = collections.abc.Callable[[Target], collections.abc.Awaitable[Liveness]]
Report = collections.abc.Callable[[Loss, str], None]


class LossJudge:
    """Reports the losses whose target has ended.

    A connection breaks for many reasons: a reset on the way, a target that
    fails a part of what it gets, a cut. A request is suspected only where
    the target is gone: nothing listens there any more, its next life is
    announced, or it alone falls silent. An end that was announced, and one
    long after the request had begun, are not held against it.

    :param table: the targets; tells of their next lives
    :param probe: looks whether a target lives
    :param report: is given each loss with what showed the end
    :param clock: monotonic time
    """

    def __init__(
        self,
        table: TargetTable,
        probe: Probe,
        report: Report,
        clock: Clock,
    ):
        self._table = table
        self._probe = probe
        self._report = report
        self._clock = clock
        self._inquiries: dict[Life, Inquiry] = {}
        self._ended: dict[Life, tuple[float, str]] = {}
        self._left: dict[Life, float] = {}
        self._tasks: set[asyncio.Task] = set()
        table.watchers.append(self._note_target)
        table.restart_watchers.append(self._note_restart)

    def note(self, loss: Loss) -> None:
        """Begin to find out why a request was lost.

        :param loss: as it was seen
        """
        life = Life.of(loss.target)
        if not self._may_be_cause(loss):
            return
        known = self._table.get(life.instance)
        if known is not None and known.born > life.born:
            self.note_ended(life, loss.at, "restarted")
        if life in self._ended:
            self._report_if_same(loss, *self._ended[life])
            return
        inquiry = self._inquiries.get(life)
        if inquiry is None:
            inquiry = Inquiry(loss.target, loss.at + FOUND_SECONDS)
            self._inquiries[life] = inquiry
            inquiry.watch = self._start(self._watch(life, inquiry))
        inquiry.losses.append(loss)
        if loss.broke and (inquiry.look is None or inquiry.look.done()):
            inquiry.look = self._start(self._look(life, inquiry))

    def note_ended(self, life: Life, at: float, how: str) -> None:
        """Take that a target has ended, from whatever showed it.

        :param life: that has ended
        :param at: when that was seen, in monotonic seconds
        :param how: what showed it
        """
        if life in self._ended:
            return
        self._forget(at)
        self._ended[life] = (at, how)
        inquiry = self._inquiries.pop(life, None)
        if inquiry is None:
            return
        for loss in inquiry.losses:
            self._report_if_same(loss, at, how)

    async def settle(self, target: Target) -> None:
        """Wait for a moment until it is known whether a target has ended.

        Sent elsewhere at once, the request under which a third target has
        just ended would end a fourth.

        :param target: where a request was lost
        """
        inquiry = self._inquiries.get(Life.of(target))
        if inquiry is not None and inquiry.look is not None:
            await asyncio.wait({inquiry.look}, timeout=SETTLE_SECONDS)

    async def close(self) -> None:
        """Stop all inquiries."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _may_be_cause(self, loss: Loss) -> bool:
        if loss.begun is not None and loss.at - loss.begun > EARLY_SECONDS:
            return False
        left = self._left.get(Life.of(loss.target))
        return left is None or loss.at - left < NOTICE_SECONDS

    def _report_if_same(self, loss: Loss, at: float, how: str) -> None:
        seen_at_once = abs(loss.at - at) <= SAME_SECONDS
        match how:
            case "restarted" | "replaced":
                # when it ended isn't known; the inquiry bounds it
                counts = True
            case "silent":
                known = self._table.get(loss.target.instance)
                counts = (
                    known is None or loss.sent - known.heard < WORD_SECONDS
                )
            case _:
                counts = seen_at_once
        if counts:
            self._report(loss, how)

    def _start(self, work: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _look(self, life: Life, inquiry: Inquiry) -> None:
        now = self._clock.monotonic()
        if self._table.zones.is_evacuated(inquiry.target.zone, now):
            # nothing is sent there, not even to see whether it lives
            return
        found = await self._probe(inquiry.target)
        now = self._clock.monotonic()
        match found:
            case Liveness.ENDED:
                self.note_ended(life, now, "refused")
            case Liveness.LIVES:
                inquiry.until = min(inquiry.until, now + LIVED_SECONDS)
            case Liveness.UNKNOWN:
                pass

    async def _watch(self, life: Life, inquiry: Inquiry) -> None:
        while self._inquiries.get(life) is inquiry:
            now = self._clock.monotonic()
            if now >= inquiry.until:
                del self._inquiries[life]
            elif self._table.is_silent(inquiry.target, now):
                self.note_ended(life, now, "silent")
            else:
                await self._clock.sleep(LOOK_SECONDS)

    def _note_restart(self, target: Target) -> None:
        now = self._clock.monotonic()
        self.note_ended(Life.of(target), now, "restarted")

    def _note_target(self, target: Target, before: TargetState | None) -> None:
        now = self._clock.monotonic()
        if target.state is not TargetState.READY:
            self._left.setdefault(Life.of(target), now)
            return
        # an address is given to the next target only when the last has ended
        for life, inquiry in list(self._inquiries.items()):
            same = inquiry.target.address == target.address
            if same and life.instance != target.instance:
                self.note_ended(life, now, "replaced")

    def _forget(self, now: float) -> None:
        for life, (at, _) in list(self._ended.items()):
            if now - at > KNOWN_SECONDS:
                del self._ended[life]
        for life, at in list(self._left.items()):
            if now - at > KNOWN_SECONDS:
                del self._left[life]
