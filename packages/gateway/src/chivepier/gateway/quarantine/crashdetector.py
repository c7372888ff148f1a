"""Detection of targets that ended while they ran a request."""

import asyncio
import collections.abc
import math

from chivepier.gateway.quarantine.crashcheck import CrashCheck
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Time after its first event in which a request may be the cause; one that has
# run for longer was present by chance.
SUSPECT_WINDOW_SECONDS = 4.0
# Time after a target's leaving notice from which its end is the announced one.
LEAVING_GRACE_SECONDS = 1.0
# Time to wait for a probe of a target before a request is sent elsewhere. If
# the process is gone, the connection is refused at once.
PROBE_WAIT_SECONDS = 0.15
# Time in which the next incarnation of a target, or its silence, can show that
# it had ended.
CHECK_SECONDS = 10.0
# Time after which a target at whose address something listens is asked for by
# its name: by then its next incarnation has mostly announced itself.
ALIVE_CHECK_SECONDS = 3.0
# Other targets that are tried, one by one, before a refusal counts as that of
# a cut.
MAX_COMPARED = 8
# Interval between checks whether the target has fallen silent.
POLL_SECONDS = 0.25
# Time for which ended and leaving incarnations are remembered.
ENDED_TTL_SECONDS = 60.0
# Maximum time between a loss and the end that it is attributed to.
SAME_CRASH_SECONDS = 1.0
# Time after a target's last announcement in which it may have accepted a
# request. One that has fallen silent is sent requests for some seconds more.
MAX_SILENCE_SECONDS = 1.5

Probe = collections.abc.Callable[[Target], collections.abc.Awaitable[Liveness]]
# Whether another process answers at a target's address; ``None`` if not known.
IsReplaced = collections.abc.Callable[
    [Target], collections.abc.Awaitable[bool | None]
]
Report = collections.abc.Callable[[LostRequest, str], None]


class CrashDetector:
    """Reports the lost requests whose target has ended.

    Connections break for many reasons: resets on the way, targets that fail
    some of their requests, network partitions. A request is suspected only if
    the target is gone: connections to it are refused, its address or its name
    is announced by another incarnation, another process answers there, or it
    alone falls silent. A listener at its address is no sign of its life.
    Announced ends, and ends long after the first event, do not count against
    a request.

    :param table: targets; notifies of restarts and announcements
    :param probe: checks whether anything listens at a target's address
    :param is_replaced: asks for the target by its name
    :param report: called with each lost request and the evidence of the end
    :param clock: monotonic clock
    """

    def __init__(
        self,
        table: TargetTable,
        probe: Probe,
        is_replaced: IsReplaced,
        report: Report,
        clock: Clock,
    ):
        self._table = table
        self._probe = probe
        self._is_replaced = is_replaced
        self._report = report
        self._clock = clock
        self._checks: dict[Incarnation, CrashCheck] = {}
        self._ended: dict[Incarnation, tuple[float, str]] = {}
        self._leaving_since: dict[Incarnation, float] = {}
        self._tasks: set[asyncio.Task] = set()
        table.watchers.append(self._handle_announcement)
        table.restart_watchers.append(self._handle_restart)

    def investigate(self, request: LostRequest) -> None:
        """Start to check whether the target of a lost request has ended.

        :param request: the lost request
        """
        incarnation = Incarnation.of(request.target)
        if not self._may_be_cause(request):
            return
        known = self._table.get(incarnation.instance)
        if known is not None and known.born > incarnation.born:
            self.note_ended(incarnation, request.lost_at, "restarted")
        if incarnation in self._ended:
            self._report_if_related(request, *self._ended[incarnation])
            return
        check = self._checks.get(incarnation)
        if check is None:
            check = CrashCheck(request.target, request.lost_at + CHECK_SECONDS)
            self._checks[incarnation] = check
            check.watch = self._start(self._watch(incarnation, check))
        check.lost.append(request)
        if request.disconnected and (
            check.probe is None or check.probe.done()
        ):
            check.probe = self._start(self._run_probe(incarnation, check))

    def note_ended(
        self, incarnation: Incarnation, at: float, how: str
    ) -> None:
        """Record that a target has ended, and report the related losses.

        :param incarnation: incarnation that has ended
        :param at: when the end was noticed, in monotonic seconds
        :param how: evidence of the end
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

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation is known to have ended recently."""
        return incarnation in self._ended

    def list_ended(self, since: float) -> set[Incarnation]:
        """Return the incarnations that are known to have ended.

        :param since: time from which on ends count, in monotonic seconds; at
            most a minute is remembered
        """
        return {life for life, (at, _) in self._ended.items() if at >= since}

    async def wait_for_probe(self, target: Target) -> None:
        """Wait briefly for the result of probing a target.

        If it were sent elsewhere at once, a request under which a third
        target has just ended would end a fourth.

        :param target: target at which a request was lost
        """
        check = self._checks.get(Incarnation.of(target))
        if check is not None and check.probe is not None:
            await asyncio.wait({check.probe}, timeout=PROBE_WAIT_SECONDS)

    async def close(self) -> None:
        """Cancel all checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _may_be_cause(self, request: LostRequest) -> bool:
        if (
            request.first_event_at is not None
            and request.lost_at - request.first_event_at
            > SUSPECT_WINDOW_SECONDS
        ):
            return False
        leaving_since = self._leaving_since.get(Incarnation.of(request.target))
        return (
            leaving_since is None
            or request.lost_at - leaving_since < LEAVING_GRACE_SECONDS
        )

    def _report_if_related(
        self, request: LostRequest, at: float, how: str
    ) -> None:
        simultaneous = abs(request.lost_at - at) <= SAME_CRASH_SECONDS
        match how:
            case "restarted" | "replaced":
                # the time of the end is unknown; the check's timeout bounds it
                counts = True
            case "silent":
                known = self._table.get(request.target.instance)
                counts = (
                    known is None
                    or request.sent_at - known.heard < MAX_SILENCE_SECONDS
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
            # evacuated zones get no traffic, not even probes
            return
        found = await self._probe(check.target)
        now = self._clock.monotonic()
        match found:
            case Liveness.ENDED if await self._reaches_others(check.target):
                self.note_ended(incarnation, now, "refused")
            case Liveness.ENDED:
                # refused on the way: voters tell whether it has ended
                return
            case Liveness.LIVES:
                # the target, or what took its address
                if check.ask_at is None:
                    check.ask_at = now + ALIVE_CHECK_SECONDS
            case Liveness.UNKNOWN:
                pass

    async def _reaches_others(self, target: Target) -> bool:
        """Tell whether a refusal is the target's, and not of a cut of ours.

        :returns: whether another target can be connected to; also if there is
            none
        """
        others = sorted(
            (
                other
                for other in self._table
                if other.state is TargetState.READY
                and other.instance != target.instance
            ),
            # those that answer first: of the same service, heard of late
            key=lambda other: (other.service != target.service, -other.heard),
        )
        for other in others[:MAX_COMPARED]:
            if await self._probe(other) is Liveness.LIVES:
                return True
        return not others

    async def _watch(
        self, incarnation: Incarnation, check: CrashCheck
    ) -> None:
        while self._checks.get(incarnation) is check:
            now = self._clock.monotonic()
            if now >= check.until:
                del self._checks[incarnation]
            elif self._table.is_silent(check.target, now):
                self.note_ended(incarnation, now, "silent")
            elif check.ask_at is not None and now >= check.ask_at:
                check.ask_at = math.inf
                await self._ask(incarnation, check)
            else:
                await self._clock.sleep(POLL_SECONDS)

    async def _ask(self, incarnation: Incarnation, check: CrashCheck) -> None:
        """Ask for a target by its name, at whose address something listens.

        If nothing vouches for it, its next announcement may still tell.
        """
        announced = incarnation in self._leaving_since
        replaced = not announced and await self._is_replaced(check.target)
        if self._checks.get(incarnation) is not check:
            return
        if replaced:
            now = self._clock.monotonic()
            self.note_ended(incarnation, now, "replaced")
        elif replaced is False:
            # only the connection was lost, or the end was announced
            del self._checks[incarnation]

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
        # an address is reused only after the previous target has ended
        for incarnation, check in list(self._checks.items()):
            same = check.target.address == target.address
            # a late announcement of the one before is none of the next
            earlier = 0 < target.born < incarnation.born
            if (
                same
                and not earlier
                and incarnation.instance != target.instance
            ):
                self.note_ended(incarnation, now, "replaced")

    def _drop_expired(self, now: float) -> None:
        for incarnation, (at, _) in list(self._ended.items()):
            if now - at > ENDED_TTL_SECONDS:
                del self._ended[incarnation]
        for incarnation, at in list(self._leaving_since.items()):
            if now - at > ENDED_TTL_SECONDS:
                del self._leaving_since[incarnation]
