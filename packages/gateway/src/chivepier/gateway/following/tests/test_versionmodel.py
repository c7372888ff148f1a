"""A drawn model of versions, entries, targets, deaths and callers' returns."""

import asyncio
import contextlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chivepier.gateway.following import OriginExchange
from chivepier.gateway.following.tests.fakevoters import Voters
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import FakeCaller
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.types import Ran
from chivepier.types import RequestError

NAMES = ("a", "b", "c", "d")
ENTRIES = 3
LIMIT_SECONDS = 30.0
# Seconds after which a voter that has started again has been told; all steps
# of a stream together take less than targets may be silent.
TOLD_SECONDS = 0.25
VERSIONS = st.lists(
    st.sampled_from(("v1", "v2", "v3")),
    min_size=len(NAMES),
    max_size=len(NAMES),
)
# What is lost after some more events, and the entry that is asked next.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(("entry", "target", "voter")),
        st.integers(0, ENTRIES - 1),
    ),
    min_size=1,
    max_size=5,
)


class Site:
    """Entries that know the same targets and tell the same voters.

    :param versions: version of each target, by its name
    """

    def __init__(self, versions: dict[str, str]):
        self.versions = versions
        self.voters = Voters()
        self.entries = [Parts(*versions) for _ in range(ENTRIES)]
        self.ready = set(versions)
        self._tasks = []
        for parts in self.entries:
            for name, version in versions.items():
                target = make_target(name, software_version=version)
                target.number = 2
                parts.table.put(target)
            self._connect(parts)

    def _connect(self, parts: Parts) -> None:
        continuations = parts.dispatcher.continuations
        exchange = OriginExchange(
            continuations.origins,
            parts.table,
            self.voters,
            lambda: dict(self.voters.epochs),
            LoopClock(),
            parts.dispatcher.log,
        )
        continuations.publish = exchange.publish
        continuations.hold = exchange.hold
        continuations.ask = exchange.ask
        self._tasks.append(asyncio.create_task(exchange.run()))

    def end_target(self, name: str) -> None:
        """Let a target end; every entry learns of it."""
        self.ready.discard(name)
        for parts in self.entries:
            target = make_target(name, software_version=self.versions[name])
            target.number, target.state = 9, TargetState.GONE
            parts.table.put(target)

    def replace_entry(self, number: int) -> None:
        """Replace an entry by one that knows the targets alone."""
        fresh = Parts(*self.versions)
        for target in self.entries[number].table:
            fresh.table.put(target)
        self.entries[number] = fresh
        self._connect(fresh)

    async def close(self) -> None:
        """End what runs."""
        for task in self._tasks:
            task.cancel()
        for parts in self.entries:
            await parts.mover.close()
            await parts.quarantine.close()


class Stream:
    """A stream as its caller has it, over all attempts."""

    def __init__(self) -> None:
        self.numbers: list[int] = []
        self.versions: set[str] = set()
        self.first_attempt: str | None = None
        self._attempts = 0

    def make_attempt(self):
        """Return the next request of the caller."""
        self._attempts += 1
        last = str(self.numbers[-1]) if self.numbers else None
        return make_request(
            "/resume/x",
            id=f"r{self._attempts}",
            last_event=last,
            resumes=self.first_attempt if last else None,
        )

    def take(self, attempt: str, caller: FakeCaller, seen: int) -> int:
        """Add the events that have come since; return how many there are."""
        fresh = caller.numbers[seen:]
        if fresh and not self.numbers:
            self.first_attempt = attempt
        self.numbers += fresh
        return seen + len(fresh)


async def attempt_stream(site: Site, stream: Stream, entry: int, steps):
    """Ask an entry, and play steps until the answer ends or the entry does."""
    parts, request = site.entries[entry], stream.make_attempt()
    had_events = bool(stream.numbers)
    usable = site.ready
    if had_events:
        usable = {n for n in usable if site.versions[n] in stream.versions}
    runs = len(parts.engines.answers)
    caller, task = parts.start(request)
    seen, run = 0, None
    while True:
        if run is None:
            run = await wait_for_run(parts, task, runs)
        if run is None:
            await check_end(task, usable if not seen else set())
            return
        runs, usable = len(parts.engines.answers), set()
        events, lost, _ = steps.pop(0) if steps else (1, "", 0)
        run.make(events)
        await caller.wait_events(seen + events)
        seen = stream.take(request.id, caller, seen)
        if events:
            stream.versions.add(site.versions[run.target])
        if not lost:
            run.end()
            await task
            assert caller.finished
            return
        match lost:
            case "target":
                site.end_target(run.target)
                run.cut()
                run = None
            case "entry":
                # right after an event, with no time to tell anybody
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                site.replace_entry(entry)
                return
            case _:
                site.voters.restart(sorted(site.voters.keepers)[events])
                await asyncio.sleep(TOLD_SECONDS)


async def wait_for_run(
    parts: Parts, task: asyncio.Task, runs: int
) -> FakeAnswer | None:
    """Wait until a request has another run; ``None`` if it has ended."""
    while len(parts.engines.answers) == runs and not task.done():
        await asyncio.sleep(0.01)
    found = parts.engines.answers
    return found[-1] if len(found) > runs else None


async def check_end(task: asyncio.Task, usable: set[str]) -> None:
    """Check a request that got no run: refused truly, or its stream cut."""
    with contextlib.suppress(RequestError):
        await task
        return
    failure = task.exception().failure
    assert failure.ran is not Ran.NO or not usable


@settings(max_examples=80, deadline=None)
@given(VERSIONS, STEPS)
def test_stream_is_of_one_version_and_goes_on_wherever_it_can(versions, steps):
    # Each caller's events come in order, once, of one version; a target of
    # that version is used wherever there is one.
    async def work():
        site, stream = Site(dict(zip(NAMES, versions))), Stream()
        entries = [entry for _, _, entry in steps]
        async with asyncio.timeout(LIMIT_SECONDS):
            for entry in entries:
                await attempt_stream(site, stream, entry, steps)
                if not steps:
                    break
            await site.close()
        assert len(stream.versions) <= 1
        expected = list(range(1, len(stream.numbers) + 1))
        assert stream.numbers == expected

    play_time(work())
