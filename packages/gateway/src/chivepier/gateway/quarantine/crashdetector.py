"""Finding out whether a target has ended under a request."""

import asyncio
import collections.abc

from chivepier.gateway.quarantine.crashcheck import CrashCheck
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Seconds after its first event in which a request may be the cause; what has
# run for longer was there by chance.
SUSPECT_WINDOW_SECONDS = 2.0
# Seconds after a target's notice from which its end is the one announced.
LEAVING_GRACE_SECONDS = 1.0
# Seconds to wait for a look at a target before a request is sent elsewhere; a
# process that is gone refuses at once.
PROBE_WAIT_SECONDS = 0.15
# Seconds in which the next life of a target, or its silence, shows that it had
# ended.
CHECK_SECONDS = 10.0
# The same where it took a connection after the loss: what was reset was the
# connection, unless the next life was there already.
ALIVE_CHECK_SECONDS = 3.0
# Seconds between two looks whether it has fallen silent.
POLL_SECONDS = 0.25
# Seconds for which a life is known to have ended.
ENDED_TTL_SECONDS = 60.0
# Seconds that a loss may lie before or after an end that others saw.
SAME_CRASH_SECONDS = 1.0
# Seconds after a target's last word in which it may have taken a request. A
# target that has gone dark is sent requests for some seconds more.
MAX_SILENCE_SECONDS = 1.5

Probe = collections.abc.Callable[[Target], collections.abc.Awaitable[Liveness]]
Report = collections.abc.Callable[[LostRequest, str], None]


class CrashDetector:
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
        self._checks: dict[Incarnation, CrashCheck] = {}
        self._ended: dict[Incarnation, tuple[float, str]] = {}
        self._leaving_since: dict[Incarnation, float] = {}
        self._tasks: set[asyncio.Task] = set()
        table.watchers.append(self._handle_announcement)
        table.restart_watchers.append(self._handle_restart)

    def investigate(self, request: LostRequest) -> None:
        """Begin to find out why a request was lost.

        :param loss: as it was seen
        """
        incarnation = Incarnation.of(request.target)
        if not self._may_be_cause(request):
            return
        known = self._table.get(incarnation.instance)
        if known is not None and known.born > incarnation.born:
            self.note_ended(incarnation, request.at, "restarted")
        if incarnation in self._ended:
            self._report_if_related(request, *self._ended[incarnation])
            return
        check = self._checks.get(incarnation)
        if check is None:
            check = CrashCheck(request.target, request.at + CHECK_SECONDS)
            self._checks[incarnation] = check
            check.watch = self._start(self._watch(incarnation, check))
        check.lost.append(request)
        if request.broke and (check.probe is None or check.probe.done()):
            check.probe = self._start(self._run_probe(incarnation, check))

    def note_ended(
        self, incarnation: Incarnation, at: float, how: str
    ) -> None:
        """Take that a target has ended, from whatever showed it.

        :param life: that has ended
        :param at: when that was seen, in monotonic seconds
        :param how: what showed it
        """
        if incarnation in self._ended:
            return
        self._drop_expired(at)
        self._ended[incarnation] = (at, how)
        check = self._checks.pop(incarnation, None)
        if check is None:
            return
        for request in check.lost:
            self._report_if_related(request, at, how)

    async def wait_for_probe(self, target: Target) -> None:
        """Wait for a moment until it is known whether a target has ended.

        Sent elsewhere at once, the request under which a third target has
        just ended would end a fourth.

        :param target: where a request was lost
        """
        check = self._checks.get(Incarnation.of(target))
        if check is not None and check.probe is not None:
            await asyncio.wait({check.probe}, timeout=PROBE_WAIT_SECONDS)

    async def close(self) -> None:
        """Stop all inquiries."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _may_be_cause(self, request: LostRequest) -> bool:
        if (
            request.begun is not None
            and request.at - request.begun > SUSPECT_WINDOW_SECONDS
        ):
            return False
        leaving_since = self._leaving_since.get(Incarnation.of(request.target))
        return (
            leaving_since is None
            or request.at - leaving_since < LEAVING_GRACE_SECONDS
        )

    def _report_if_related(
        self, request: LostRequest, at: float, how: str
    ) -> None:
        simultaneous = abs(request.at - at) <= SAME_CRASH_SECONDS
        match how:
            case "restarted" | "replaced":
                # when it ended isn't known; the inquiry bounds it
                counts = True
            case "silent":
                known = self._table.get(request.target.instance)
                counts = (
                    known is None
                    or request.sent - known.heard < MAX_SILENCE_SECONDS
                )
            case _:
                counts = simultaneous
        if counts:
            self._report(request, how)

    def _start(self, work: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_probe(
        self, incarnation: Incarnation, check: CrashCheck
    ) -> None:
        now = self._clock.monotonic()
        if self._table.zones.is_evacuated(check.target.zone, now):
            # nothing is sent there, not even to see whether it lives
            return
        found = await self._probe(check.target)
        now = self._clock.monotonic()
        match found:
            case Liveness.ENDED:
                self.note_ended(incarnation, now, "refused")
            case Liveness.LIVES:
                check.until = min(check.until, now + ALIVE_CHECK_SECONDS)
            case Liveness.UNKNOWN:
                pass

    async def _watch(
        self, incarnation: Incarnation, check: CrashCheck
    ) -> None:
        while self._checks.get(incarnation) is check:
            now = self._clock.monotonic()
            if now >= check.until:
                del self._checks[incarnation]
            elif self._table.is_silent(check.target, now):
                self.note_ended(incarnation, now, "silent")
            else:
                await self._clock.sleep(POLL_SECONDS)

    def _handle_restart(self, target: Target) -> None:
        now = self._clock.monotonic()
        self.note_ended(Incarnation.of(target), now, "restarted")

    def _handle_announcement(
        self, target: Target, before: TargetState | None
    ) -> None:
        now = self._clock.monotonic()
        if target.state is not TargetState.READY:
            self._leaving_since.setdefault(Incarnation.of(target), now)
            return
        # an address is given to the next target only when the last has ended
        for incarnation, check in list(self._checks.items()):
            same = check.target.address == target.address
            if same and incarnation.instance != target.instance:
                self.note_ended(incarnation, now, "replaced")

    def _drop_expired(self, now: float) -> None:
        for incarnation, (at, _) in list(self._ended.items()):
            if now - at > ENDED_TTL_SECONDS:
                del self._ended[incarnation]
        for incarnation, at in list(self._leaving_since.items()):
            if now - at > ENDED_TTL_SECONDS:
                del self._leaving_since[incarnation]
