"""Faults that the soak test injects into processes, targets and links."""

import asyncio
import collections.abc
import contextlib
import shutil
import signal
import time
import typing

from soak.answerfaults import AnswerFault
from soak.cluster import CALLER_PORT
from soak.crowdclient import send_shape
from soak.crowds import HEAVY_SHAPES
from soak.crowds import Shape
from soak.crowds import SHAPES
from soak.crowds import VOTER_SHAPES
from soak.faultdraw import FaultDraw
from soak.lateends import LATE_ENDS
from soak.loadreporter import MODES
from soak.nonsense import write_nonsense
from soak.partchecker import PartChecker
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.proxy import SLOW
from soak.resterrors import BREAK_SHARE
from soak.resterrors import RestError
from soak.targetlink import Cut
from soak.targetlink import heal_all

if typing.TYPE_CHECKING:
    from soak.process import Process
    from soak.run import Soak
    from soak.target import SoakTarget

# Seconds without a fault before a planned stop that must not abort requests:
# requests delayed by an earlier fault reach their route's timeout by then.
SETTLE_SECONDS = 3.5
# Versions of the set of faults: a seed that reproduces a failure keeps its
# set, since with another one it would draw other faults.
FIRST_SET, RESTART_SET, COLD_SET, NEED_SET, REST_SET = range(1, 6)
MISREPORT_SET, CUT_SET, VERSION_SET, PART_SET, ANSWER_SET = 6, 7, 8, 9, 10
CROWD_SET, HEAVY_SET, UNHEARD_SET, UNTITLED_SET, NEWEST_SET = range(11, 16)
# Seconds after a link fault in which delayed requests may still arrive.
DELAYED_SECONDS = 1.5
# Seconds after the start of a voter without its data: those in which it is
# usually restored, and those within which it must be, after that.
MIN_RESTORE_SECONDS, MAX_RESTORE_SECONDS = 6.0, 30.0
# Range of the seconds for which entries are cut off, and the share of these
# cuts that leave them no target.
CUT_SECONDS = (0.5, 7.0)
WHOLE_CUT_SHARE = 0.7
# Range of the seconds for which targets crash on a part.
CRASHING_SECONDS = (9.0, 14.0)
# Most crashes in series of a target whose ends arrive late, and ranges of the
# seconds before each, for which it is away, and until it is heard as ever.
MAX_LATE_CRASHES = 3
UNTIL_CRASH_SECONDS, CRASHED_SECONDS = (0.2, 1.0), (0.0, 1.2)
UNHEARD_SECONDS = (0.0, 0.5)
# Range of the seconds for which the ends of a living target arrive late.
LIVING_SECONDS = (0.5, 3.0)
# Share of the times at which all targets err on rests, or once each, and the
# range of the seconds for which they do.
ALL_ERR_SHARE, ONCE_SHARE = 0.6, 0.3
ERRING_SECONDS = (1.0, 5.0)
# Cuts beside targets that err on rests, and ranges of the seconds until each
# begins and for which it lasts.
ERRING_CUTS = 4
UNTIL_CUT_SECONDS, SHORT_CUT_SECONDS = (0.0, 2.5), (0.2, 2.0)
# Clients of a crowd, and the range of the seconds for which it presses.
CROWD_CLIENTS = 30
CROWD_SECONDS = (0.5, 2.0)
CONTROL_PORT = 8748
# Backoffs that targets request, in seconds.
BACKOFF_SECONDS = (0.3, 1.0, 3.0, 8.0)


class Faults:
    """Draws faults at random and injects them, one after the other.

    :param soak: the run whose processes, targets and proxies get the faults
    :param fault_set: version of the set of faults to draw from
    """

    def __init__(self, soak: "Soak", fault_set: int):
        self._soak = soak
        self._rng = soak.rng
        self.names: list[str] = []
        kinds = (
            self.kill,
            self.freeze,
            self.stop,
            self.stop_entry,
            self.spoil,
            self.harm_links,
            self.kill_all,
            self.wipe,
            self.hang_up,
        )
        if fault_set > FIRST_SET:
            kinds += (self.restart_target, self.write_nonsense)
        self._cold = fault_set > RESTART_SET
        if self._cold:
            kinds += (self.evacuate, self.turn_cold)
        if fault_set > COLD_SET:
            kinds += (self.need, self.need)
        if fault_set > NEED_SET:
            kinds += (self.rest, self.rest, self.leave)
        if fault_set > REST_SET:
            kinds += (self.misreport, self.misreport)
        if fault_set > MISREPORT_SET:
            kinds += (self.cut_off, self.cut_off)
        if fault_set > CUT_SET:
            kinds += (self.drop_lengths, self.drop_lengths)
            kinds += (self.change_version, self.change_version)
            kinds += (self.wipe_in_blackout,)
        if fault_set > VERSION_SET:
            kinds += (self.crash_on_part,)
        if fault_set > PART_SET:
            kinds += (self.misanswer, self.misanswer)
        if fault_set > ANSWER_SET:
            kinds += (self.crowd, self.bear_again, self.bear_again)
        if fault_set > CROWD_SET:
            kinds += (self.heavy_crowd,)
        if fault_set > HEAVY_SET:
            kinds += (self.crash_late, self.crash_late, self.delay_ends)
        if fault_set > UNTITLED_SET:
            kinds += (self.err_on_rests, self.err_on_rests)
            kinds += (self.err_within, self.err_within)
            kinds += (self.err_behind_cuts, self.err_behind_cuts)
        self._answer_faults = list(AnswerFault)
        if fault_set <= UNHEARD_SET:
            self._answer_faults.remove(AnswerFault.UNTITLED)
        self._draw = FaultDraw(self._rng, kinds)
        self._versions = 1
        self._evacuation: asyncio.Task | None = None
        # faults in the background that break off what entries relay
        self._breaking: set[asyncio.Task] = set()
        # targets whose ends arrive late
        self._unheard: set["SoakTarget"] = set()
        self._background: set[asyncio.Task] = set()

    def keep_only(self, *names: str) -> None:
        """Restrict the faults: inject each once, then draw among them.

        :param names: names of methods of this class
        """
        kinds = tuple(getattr(self, name) for name in names)
        self._draw.keep_only(kinds)

    async def inject(self, seconds: float) -> None:
        """Inject faults one after the other for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._restart_ended()
            fault = self._draw.draw()
            self.names.append(fault.__name__)
            await fault()
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    def _restart_ended(self) -> None:
        """Restart processes that ended without a fault, as a violation."""
        for process in (*self._soak.voters, *self._soak.entries):
            if not process.alive:
                text = f"{process.name} ended unexpectedly"
                self._soak.checker.violations.append(text)
                process.start()

    async def finish(self) -> None:
        """Wait for the faults that run in the background."""
        if self._evacuation is not None:
            await self._evacuation
        await asyncio.gather(*self._background)

    async def evacuate(self) -> None:
        """Evacuate a zone in the background; one zone at a time."""
        if self._evacuation is not None and not self._evacuation.done():
            return
        target = self._rng.choice(self._soak.targets)
        work = self._soak.evacuations.evacuate_for(
            self._soak.session, target.zone, self._rng.uniform(0.5, 12.0)
        )
        self._evacuation = asyncio.create_task(work)

    async def turn_cold(self) -> None:
        """Make a target cold; its next heartbeat announces it."""
        target = self._rng.choice(self._soak.targets)
        target.turn_cold(self._rng.uniform(2.0, 4.0))

    async def need(self) -> None:
        """Let targets announce rate limits for a while, in the background."""
        count = self._rng.randint(1, len(self._soak.targets))
        for target in self._rng.sample(self._soak.targets, count):
            if target.limit is None:
                self._begin(self._name_limits(target))

    async def drop_lengths(self) -> None:
        """Let targets answer without a length, and break some streams off."""
        count = self._rng.randint(1, len(self._soak.targets))
        for target in self._rng.sample(self._soak.targets, count):
            if not target.framing.lengthless:
                self._breaking.add(self._begin(self._drop_lengths_of(target)))

    async def _drop_lengths_of(self, target: "SoakTarget") -> None:
        target.framing.lengthless = True
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        target.framing.lengthless = False

    async def misreport(self) -> None:
        """Let each target report its load in a manner of its own."""
        for target in self._soak.targets:
            target.load.mode = self._rng.choice(MODES)

    async def misanswer(self) -> None:
        """Let targets spoil a part of their answers and refusals."""
        count = self._rng.randint(1, len(self._soak.targets))
        for target in self._rng.sample(self._soak.targets, count):
            if not target.answer_faults.kinds:
                self._begin(self._spoil_answers_of(target))

    async def _spoil_answers_of(self, target: "SoakTarget") -> None:
        kinds = self._answer_faults
        count = self._rng.randint(1, len(kinds))
        target.answer_faults.kinds = tuple(self._rng.sample(kinds, count))
        target.answer_faults.share = self._rng.uniform(0.1, 0.6)
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        target.answer_faults.kinds = ()

    async def crash_on_part(self) -> None:
        """Let targets crash on one part of prompts, while others fail, too."""
        self._breaking.add(self._begin(self._send_crashing_part()))

    async def _send_crashing_part(self) -> None:
        soak = self._soak
        part = f"{self._rng.getrandbits(32):08x}"
        checker = PartChecker(part, soak.is_excused)
        for target in soak.targets:
            target.crashing_part = checker
        end = time.monotonic() + self._rng.uniform(*CRASHING_SECONDS)
        while time.monotonic() < end:
            await soak.send_part(part)
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))
        for target in soak.targets:
            target.crashing_part = None
        soak.checker.violations += checker.find_violations()
        soak.part_crashes += len(checker.crashes)

    def _begin(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Run a fault in the background."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def crowd(self) -> None:
        """Let clients outside the limits press a port, in the background."""
        self._begin_crowd({CALLER_PORT: SHAPES, CONTROL_PORT: SHAPES})

    async def heavy_crowd(self) -> None:
        """Let clients have a process hold much for each of them."""
        self._begin_crowd(
            {CALLER_PORT: HEAVY_SHAPES, CONTROL_PORT: VOTER_SHAPES}
        )

    def _begin_crowd(self, shapes: dict[int, dict[str, Shape]]) -> None:
        """Let a crowd press one of two ports with one of its shapes."""
        entry = self._rng.choice(self._soak.entries)
        voter = self._rng.choice(self._soak.voters)
        process, port = self._rng.choice(
            ((entry, CALLER_PORT), (voter, CONTROL_PORT))
        )
        shape = shapes[port][self._rng.choice(list(shapes[port]))]
        self._begin(self._press(process.ip, port, shape.make_repeatable()))

    async def _press(self, ip: str, port: int, shape: Shape) -> None:
        clients = [
            asyncio.create_task(send_shape(ip, port, shape))
            for _ in range(CROWD_CLIENTS)
        ]
        await asyncio.sleep(self._rng.uniform(*CROWD_SECONDS))
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def bear_again(self) -> None:
        """Start a target again at its address while entries stand still."""
        target = self._rng.choice(self._soak.targets)
        count = self._rng.randint(0, len(self._soak.entries))
        entries = self._rng.sample(self._soak.entries, count)
        target.framing.lengthless = True
        await asyncio.sleep(self._rng.uniform(0.1, 0.5))
        with contextlib.ExitStack() as stack:
            for entry in entries:
                stack.enter_context(self._soak.exempt(entry))
                entry.signal(signal.SIGSTOP)
            await target.restart(0.0, target.software_version)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            for entry in entries:
                entry.signal(signal.SIGCONT)
        target.framing.lengthless = False

    async def crash_late(self) -> None:
        """Let targets crash, of which entries hear late, in the background."""
        count = self._rng.randint(1, len(self._soak.targets) - 1)
        for target in self._rng.sample(self._soak.targets, count):
            if target not in self._unheard:
                self._breaking.add(self._begin(self._crash_late(target)))

    async def _crash_late(self, target: "SoakTarget") -> None:
        self._unheard.add(target)
        for _ in range(self._rng.randint(1, MAX_LATE_CRASHES)):
            target.framing.lengthless = True
            await asyncio.sleep(self._rng.uniform(*UNTIL_CRASH_SECONDS))
            with self._delay_ends_of(target):
                await target.crash_for(self._rng.uniform(*CRASHED_SECONDS))
                await asyncio.sleep(self._rng.uniform(*UNHEARD_SECONDS))
        target.framing.lengthless = False
        self._unheard.remove(target)

    async def delay_ends(self) -> None:
        """Let the ends of a target's answers come late, as it lives on."""
        target = self._rng.choice(self._soak.targets)
        if target not in self._unheard:
            self._breaking.add(self._begin(self._delay_living(target)))

    async def _delay_living(self, target: "SoakTarget") -> None:
        self._unheard.add(target)
        target.framing.lengthless = True
        with self._delay_ends_of(target):
            await asyncio.sleep(self._rng.uniform(*LIVING_SECONDS))
        target.framing.lengthless = False
        self._unheard.remove(target)

    @contextlib.contextmanager
    def _delay_ends_of(
        self, target: "SoakTarget"
    ) -> collections.abc.Iterator[None]:
        """Let what a target ends be heard late on its entries' links."""
        late = self._rng.choice(LATE_ENDS)
        with contextlib.ExitStack() as stack:
            for links in self._soak.links.values():
                for link in links:
                    if link in target.proxies:
                        stack.enter_context(link.delay_ends(late))
            yield

    async def rest(self) -> None:
        """Let targets reject requests and request backoff for a while."""
        count = self._rng.randint(1, len(self._soak.targets))
        for target in self._rng.sample(self._soak.targets, count):
            if not target.signals.overloaded:
                self._begin(self._ask_for_rest(target))

    async def _ask_for_rest(self, target: "SoakTarget") -> None:
        target.signals.overloaded = True
        target.signals.rest = self._rng.choice(BACKOFF_SECONDS)
        await asyncio.sleep(self._rng.uniform(0.3, 6.0))
        target.signals.overloaded = False

    async def leave(self) -> None:
        """Let a target announce only in answers that it leaves, then end."""
        # The first target stays: without any live target, entries keep using
        # all of them.
        target = self._rng.choice(self._soak.targets[1:])
        if not target.signals.is_leaving:
            target.signals.is_leaving = True
            self._begin(self._end_leaver(target))

    async def _end_leaver(self, target: "SoakTarget") -> None:
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        if target.signals.is_leaving:
            await target.restart(self._rng.uniform(0.0, 1.0))

    async def _name_limits(self, target: "SoakTarget") -> None:
        for _ in range(self._rng.randint(1, 2)):
            target.announce_limit(self._rng.choice((0.0, 0.7, 1.5, 4.0)))
            await asyncio.sleep(self._rng.uniform(2.0, 9.0))
        target.announce_limit(None)

    async def kill(self) -> None:
        """Kill a process and restart it within a second."""
        process = self._rng.choice((*self._soak.voters, *self._soak.entries))
        with self._soak.exempt(process):
            process.end()
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            process.start()

    async def freeze(self) -> None:
        """Pause a process with SIGSTOP."""
        process = self._rng.choice((*self._soak.voters, *self._soak.entries))
        with self._soak.exempt(process):
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            process.signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Stop a process with SIGTERM, and restart it after its end."""
        process = self._rng.choice((*self._soak.voters, *self._soak.entries))
        process.signal(signal.SIGTERM)
        while process.alive:
            await asyncio.sleep(0.05)
        with self._soak.exempt(process):
            process.start()

    async def stop_entry(self) -> None:
        """Stop an entry without other faults; it must abort no request."""
        # a target that crashes, or breaks streams off, ends what is relayed
        await asyncio.gather(*self._breaking)
        await asyncio.sleep(SETTLE_SECONDS)
        entry = self._rng.choice(self._soak.entries)
        self._soak.stopping_entry = entry
        entry.signal(signal.SIGTERM)
        while entry.alive:
            await asyncio.sleep(0.05)
        # Let callers notice the end of requests sent just before the stop.
        await asyncio.sleep(0.2)
        self._soak.stopping_entry = None
        with self._soak.exempt(entry):
            entry.start()

    async def hang_up(self) -> None:
        """Make a process reload its settings with SIGHUP."""
        process = self._rng.choice((*self._soak.voters, *self._soak.entries))
        while process.alive and not process.handles_signal(signal.SIGHUP):
            await asyncio.sleep(0.01)
        process.signal(signal.SIGHUP)

    async def spoil(self) -> None:
        """Let a target reset, ignore or reject requests for a moment."""
        target = self._rng.choice(self._soak.targets)
        target.fault_mode = self._rng.choice(("reset", "silent", "shed"))
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        target.fault_mode = ""

    async def harm_links(self) -> None:
        """Delay, reset or silence the connections to one target."""
        proxy = self._rng.choice(self._soak.proxies)
        fault_mode = self._rng.choice((SLOW, LOST_SENT, LOST_ANSWERS, "reset"))
        self.names[-1] += f":{fault_mode}"
        with self._soak.exempt(
            *self._soak.entries, extra_seconds=DELAYED_SECONDS
        ):
            if fault_mode == "reset":
                proxy.reset()
                return
            proxy.fault_mode = fault_mode
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            proxy.fault_mode = ""

    async def cut_off(self) -> None:
        """Cut some entries off from all targets, or from some of them."""
        soak, rng = self._soak, self._rng
        entries = rng.sample(
            soak.entries, rng.randint(1, len(soak.entries) - 1)
        )
        whole = rng.random() < WHOLE_CUT_SHARE
        shape = rng.choice(list(Cut))
        self.names[-1] += f":{shape.value}:{len(entries)}:{whole}"
        links = [
            link
            for entry in entries
            for link in soak.links[entry.ip]
            if whole or rng.random() < 0.5
        ]
        with soak.exempt(*entries, extra_seconds=DELAYED_SECONDS):
            began = time.monotonic()
            for link in links:
                link.cut(shape)
            await asyncio.sleep(rng.uniform(*CUT_SECONDS))
            if whole:
                soak.check_first_tries(entries, began)
            await heal_all(links)

    async def err_on_rests(self) -> None:
        """Let targets answer for rests of streams with errors."""
        for target in self._draw_erring():
            target.rest_errors.kinds = self._draw_rest_errors()
            target.rest_errors.once = self._rng.random() < ONCE_SHARE
            self._breaking.add(self._begin(self._break_streams(target, False)))

    async def err_within(self) -> None:
        """Let errors be written into streams, as by proxies of targets."""
        for target in self._draw_erring():
            self._breaking.add(self._begin(self._break_streams(target, True)))

    def _draw_erring(self) -> list["SoakTarget"]:
        """Return some targets, or all, but those that err already."""
        targets, count = self._soak.targets, len(self._soak.targets)
        if self._rng.random() >= ALL_ERR_SHARE:
            count = self._rng.randint(1, count)
        chosen = self._rng.sample(targets, count)
        return [t for t in chosen if not t.rest_errors.break_share]

    def _draw_rest_errors(self) -> tuple[RestError, ...]:
        kinds = list(RestError)
        count = self._rng.randint(1, len(kinds))
        return tuple(self._rng.sample(kinds, count))

    async def _break_streams(self, target: "SoakTarget", inner: bool) -> None:
        target.rest_errors.break_share = BREAK_SHARE
        target.rest_errors.breaks_by_error = inner
        await asyncio.sleep(self._rng.uniform(*ERRING_SECONDS))
        target.rest_errors.clear()

    async def err_behind_cuts(self) -> None:
        """Let targets err on rests, as entries lose them in overlapping cuts.

        The rests go over other entries, where one is left.
        """
        await self.err_on_rests()
        cuts = (self._cut_beside_errors() for _ in range(ERRING_CUTS))
        await asyncio.gather(*cuts)

    async def _cut_beside_errors(self) -> None:
        soak, rng = self._soak, self._rng
        entry, shape = rng.choice(soak.entries), rng.choice(list(Cut))
        await asyncio.sleep(rng.uniform(*UNTIL_CUT_SECONDS))
        links = [link for link in soak.links[entry.ip] if not link.is_cut]
        if not links:
            return
        with soak.exempt(entry, extra_seconds=DELAYED_SECONDS):
            for link in links:
                link.cut(shape)
            await asyncio.sleep(rng.uniform(*SHORT_CUT_SECONDS))
            await heal_all(links)

    async def kill_all(self) -> None:
        """Kill all processes at once, and restart them with their data."""
        processes = (*self._soak.voters, *self._soak.entries)
        with self._soak.exempt(*processes):
            for process in processes:
                process.end()
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            for process in processes:
                process.start()

    async def wipe(self) -> None:
        """Delete the data of one voter, and wait until it is restored."""
        voter = self._rng.choice(self._soak.voters)
        await self._await_all_voters()
        voter.end()
        self._delete_data(voter)
        voter.start()
        await self._await_restored(voter)

    async def wipe_in_blackout(self) -> None:
        """Delete the data of one voter as all processes lose power."""
        processes = (*self._soak.voters, *self._soak.entries)
        voter = self._rng.choice(self._soak.voters)
        await self._await_all_voters()
        with self._soak.exempt(*processes):
            for process in processes:
                process.end()
            self._delete_data(voter)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            for process in processes:
                process.start()
        await self._await_restored(voter)

    def _delete_data(self, voter: "Process") -> None:
        folder = self._soak.folder / f"data-{voter.name}"
        shutil.rmtree(folder, ignore_errors=True)

    async def _await_restored(self, voter: "Process") -> None:
        # Only one voter may be without its data at a time: a second loss is
        # more than the cluster bears, and a slow start takes longer.
        await asyncio.sleep(MIN_RESTORE_SECONDS)
        await self._wait_for_data(voter)

    async def _await_all_voters(self) -> None:
        # One that has not caught up counts as lost, and had perhaps no data
        # yet: another loss would be the second at the same time.
        for voter in self._soak.voters:
            await self._wait_for_data(voter)

    async def _wait_for_data(self, voter: "Process") -> None:
        """Wait until a voter answers reads, for which it knows a leader."""
        end = time.monotonic() + MAX_RESTORE_SECONDS
        control = f"{voter.ip}:8748"
        while await self._soak.check_config(control) is None:
            if time.monotonic() > end:
                text = f"{voter.name} answers no reads, has got no data"
                self._soak.checker.violations.append(text)
                return
            await asyncio.sleep(0.1)

    async def restart_target(self) -> None:
        """Restart a target under its name; its running requests are lost."""
        # The first target stays: without any live target, entries keep using
        # all of them.
        target = self._rng.choice(self._soak.targets[1:])
        await target.restart(self._rng.uniform(0.0, 1.0))
        if self._cold:
            target.turn_cold(2.0)

    async def change_version(self) -> None:
        """Restart targets with other software, one after the other."""
        self._versions += 1
        version = f"v{self._versions}"
        count = self._rng.randint(1, len(self._soak.targets) - 1)
        for target in self._rng.sample(self._soak.targets[1:], count):
            await target.restart(self._rng.uniform(0.0, 0.5), version)
            if self._cold:
                target.turn_cold(2.0)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    async def write_nonsense(self) -> None:
        """Send invalid announcements, also under the names of targets."""
        await write_nonsense(self._soak, self._rng)
