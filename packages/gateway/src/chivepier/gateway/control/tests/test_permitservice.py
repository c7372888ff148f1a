"""Tests of how much all entries together send to a cold target."""

import asyncio
import contextlib
import itertools
import os
import random

import pytest

from chivepier.gateway.config import Service
from chivepier.gateway.control.permitservice import PermitService
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import MOST_WINDOW_SECONDS
from chivepier.gateway.permits import PermitLedger
from chivepier.gateway.permits import WINDOW_SECONDS
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time
from chivepier.types import ManualClock

RATE = 10
SERVICE = Service(name="s", connections=10, cold_rate=float(RATE))
# Windows that are filled in a test of the bound.
WINDOWS = 3


def make_cold(name: str = "cold") -> Target:
    """Make a target that has just started."""
    now = tell_time()
    return Target(
        instance=name,
        service="s",
        address="127.0.0.1:9",
        zone="z0",
        state=TargetState.READY,
        number=1,
        slots=8,
        heard=now,
        warm_at=now + 3600.0,
    )


class Sends:
    """Everything that entries would send, with the latest moment of each."""

    def __init__(self) -> None:
        self.moments: list[tuple[float, float]] = []

    async def send(self, follower, target: Target) -> bool:
        """Take leave for one send."""
        began = tell_time()
        permit = await follower.permits.take(SERVICE, target, Claim())
        if permit is None:
            return False
        self.moments.append((began, permit.until))
        return True

    def check_bound(self) -> None:
        """Let no window hold more than a target bears.

        What was asked for within a window is bounded, and each permit
        lapses; so no second of sends holds more.
        """
        times = sorted(began for began, _ in self.moments)
        for first in range(len(times) - RATE):
            assert times[first + RATE] - times[first] > 1.0


async def press(follower, target: Target, sends: Sends) -> None:
    """Let one entry want to send again and again, until cancelled."""
    while True:
        await sends.send(follower, target)
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def press_all(followers, target: Target, sends: Sends):
    """Let all entries want to send again and again meanwhile."""
    tasks = [asyncio.create_task(press(f, target, sends)) for f in followers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def warm_up(sends: Sends, follower) -> None:
    """Return once the leader permits anything."""
    spare = make_cold("spare")
    while not await sends.send(follower, spare):
        await asyncio.sleep(0.05)
    sends.moments.clear()


@pytest.mark.parametrize(
    ("entries", "round_seconds"),
    ((1, 0.0), (7, 0.0), (75, 0.0), (1, 0.02), (7, 0.02)),
)
def test_all_entries_together_keep_to_the_bound(
    tmp_path, entries, round_seconds
):
    # Each entry saw a target with room that had just started, and all sent
    # there at once: it crashed at a rate well above what it bears cold.
    # Leave lapsed before slow entries could use it: nobody sent anything.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        sends, target = Sends(), make_cold()
        await warm_up(sends, followers[0])
        async with press_all(followers, target, sends):
            # entries that get no leave, however slow they are, fail this
            await wait_until(lambda: len(sends.moments) >= WINDOWS * RATE)
        sends.check_bound()

    play(test, tmp_path, find_delay=lambda now: round_seconds)


def test_entry_without_a_leader_sends_nothing_to_cold_targets(tmp_path):
    # Cut off, an entry knows nothing of what the others send.
    async def test(fleet):
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.hub is not None)
        sends = Sends()
        await warm_up(sends, follower)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        names = map(str, itertools.count())
        # another target each time: it is for the leader that it ends, whose
        # lease may last for a moment more, and not for the bound
        while await sends.send(follower, make_cold(next(names))):
            await asyncio.sleep(0.05)
        assert not await sends.send(follower, make_cold(next(names)))

    play(test, tmp_path)


def test_new_leader_waits_until_permits_of_the_last_have_lapsed(tmp_path):
    # The leader had given away all that a target bears, and was lost; the
    # next one knew nothing of that and gave it away again at once.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        sends, target = Sends(), make_cold()
        await warm_up(sends, followers[0])
        async with press_all(followers, target, sends):
            await wait_until(lambda: len(sends.moments) >= RATE)
            leader = fleet.find_leader()
            address = next(a for a, v in fleet.voters.items() if v is leader)
            before = len(sends.moments)
            await fleet.stop(address)
            await wait_until(lambda: len(sends.moments) > before)
        sends.check_bound()

    play(test, tmp_path)


class Lead:
    """A voter that leads since a moment."""

    def __init__(self, since: float | None):
        self._since = since
        self.replica = self

    def leads_since(self) -> float | None:
        """Return when it began to lead."""
        return self._since

    async def request(self, request, seconds, handle):
        """Answer here."""
        return await handle(request)


@pytest.mark.parametrize(
    ("since", "granted"),
    (
        (None, False),
        (10.0, False),
        (10.1 - MOST_WINDOW_SECONDS, False),
        (10.0 - MOST_WINDOW_SECONDS, True),
    ),
)
def test_leader_permits_nothing_while_the_last_ones_permits_count(
    since, granted
):
    clock = ManualClock()
    clock.advance(10.0)
    log = EventLog("v1", os.open(os.devnull, os.O_WRONLY))
    hub = PermitService(Lead(since), clock, log, random.Random(1))
    answer = asyncio.run(hub.handle(PermitRequest("i1", 5)))
    assert answer.granted is granted


def test_ledger_counts_the_window_and_forgets_targets():
    ledger = PermitLedger()
    granted = [ledger.grant("i1", 3, 0.1 * n) for n in range(5)]
    assert granted == [True, True, True, False, False]
    assert ledger.grant("i2", 1, 0.5)
    assert not ledger.grant("i1", 3, WINDOW_SECONDS - 0.01)
    assert ledger.grant("i1", 3, WINDOW_SECONDS + 0.01)
    ledger.grant("i3", 1, 60.0)
    assert ledger.count_targets() == 1
