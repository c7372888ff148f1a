"""Tests of the limit on requests to a cold target over all entries."""

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
from chivepier.gateway.permits import MAX_WINDOW_SECONDS
from chivepier.gateway.permits import SlidingWindowLimiter
from chivepier.gateway.permits import WINDOW_SECONDS
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time
from chivepier.state.testing import RefusingDisk
from chivepier.types import ManualClock

RATE = 10
SERVICE = Service(name="s", connections=10, cold_rate=float(RATE))
# Number of full windows in a test of the limit.
WINDOWS = 3
# A request that has gone round so often goes on for ever.
MAX_ROUNDS = 50


def make_cold(name: str = "cold") -> Target:
    """Make a target that is cold for an hour."""
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


class SendRecorder:
    """Granted sends, each with the time of asking and the permit's expiry."""

    def __init__(self) -> None:
        self.moments: list[tuple[float, float]] = []

    async def send(self, follower, target: Target) -> bool:
        """Take a permit for one send."""
        began = tell_time()
        permit = await follower.permits.acquire(SERVICE, target, Claim())
        if permit is None:
            return False
        self.moments.append((began, permit.expires_at))
        return True

    def check_bound(self) -> None:
        """Check that no window contains more sends than the limit.

        Permits asked for within a window are limited, and each expires, so no
        second contains more sends.
        """
        times = sorted(began for began, _ in self.moments)
        for first in range(len(times) - RATE):
            assert times[first + RATE] - times[first] > 1.0


async def send_in_loop(follower, target: Target, sends: SendRecorder) -> None:
    """Send from one entry in a loop until cancelled."""
    while True:
        await sends.send(follower, target)
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def send_from_all(followers, target: Target, sends: SendRecorder):
    """Send from all entries in a loop within the context."""
    tasks = [
        asyncio.create_task(send_in_loop(f, target, sends)) for f in followers
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_for_permits(sends: SendRecorder, follower) -> None:
    """Wait until the leader grants permits."""
    spare = make_cold("spare")
    while not await sends.send(follower, spare):
        await asyncio.sleep(0.05)
    sends.moments.clear()


@pytest.mark.parametrize(
    ("entries", "round_seconds"),
    ((1, 0.0), (7, 0.0), (75, 0.0), (1, 0.02), (7, 0.02)),
)
def test_all_entries_together_keep_the_cold_limit(
    tmp_path, entries, round_seconds
):
    # Guards against all entries sending to a new target at once, which
    # overloads it while cold, and against permits that expire before slow
    # entries can use them.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        sends, target = SendRecorder(), make_cold()
        await wait_for_permits(sends, followers[0])
        async with send_from_all(followers, target, sends):
            # times out if slow entries get no usable permits
            await wait_until(lambda: len(sends.moments) >= WINDOWS * RATE)
        sends.check_bound()

    play(test, tmp_path, find_delay=lambda now: round_seconds)


def test_no_permits_for_cold_targets_without_a_leader(tmp_path):
    # Without a leader, an entry does not know what the others send.
    async def test(fleet):
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.hub is not None)
        sends = SendRecorder()
        await wait_for_permits(sends, follower)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        names = map(str, itertools.count())
        # another target each time, so that the loop ends with the leader's
        # lease and not with the limit of one target
        while await sends.send(follower, make_cold(next(names))):
            await asyncio.sleep(0.05)
        assert not await sends.send(follower, make_cold(next(names)))

    play(test, tmp_path)


def test_leader_without_a_lease_does_not_ask_itself_again_and_again(tmp_path):
    # Guards against requests for permits that go round at full processor time
    # and fill the memory while no leader is elected.
    async def test(fleet):
        await fleet.write(1)
        leader = fleet.find_leader()
        for address, voter in list(fleet.voters.items()):
            if voter is not leader:
                await fleet.stop(address)
        await wait_until(lambda: not leader.replica.leads())
        assert leader.replica.leader == leader.replica.node
        handle, asked = leader.permits.handle, []

        async def count(request: PermitRequest):
            asked.append(request)
            assert len(asked) < MAX_ROUNDS
            return await handle(request)

        leader.permits.handle = count
        answer = await count(PermitRequest("i1", RATE))
        assert not answer.granted and not answer.has_leader
        assert len(asked) <= 2

    play(test, tmp_path)


def test_new_leader_waits_until_earlier_permits_have_expired(tmp_path):
    # Guards against a new leader that grants a target's limit again, as it
    # does not know the permits granted by its predecessor.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        sends, target = SendRecorder(), make_cold()
        await wait_for_permits(sends, followers[0])
        async with send_from_all(followers, target, sends):
            await wait_until(lambda: len(sends.moments) >= RATE)
            leader = fleet.find_leader()
            address = next(a for a, v in fleet.voters.items() if v is leader)
            before = len(sends.moments)
            await fleet.stop(address)
            await wait_until(lambda: len(sends.moments) > before)
        sends.check_bound()

    play(test, tmp_path)


class FakeLeaderClient:
    """A leader client of a voter that leads since a given time."""

    def __init__(self, since: float | None):
        self._since = since
        self.replica = self

    def leads_since(self) -> float | None:
        """Return the start time of the leadership."""
        return self._since

    async def request(self, request, seconds, handle):
        """Answer locally."""
        return await handle(request)


@pytest.mark.parametrize(
    ("since", "granted"),
    (
        (None, False),
        (10.0, False),
        (10.1 - MAX_WINDOW_SECONDS, False),
        (10.0 - MAX_WINDOW_SECONDS, True),
    ),
)
def test_leader_grants_nothing_while_earlier_permits_are_valid(since, granted):
    clock = ManualClock()
    clock.advance(10.0)
    log = EventLog("v1", os.open(os.devnull, os.O_WRONLY))
    hub = PermitService(FakeLeaderClient(since), clock, log, random.Random(1))
    answer = asyncio.run(hub.handle(PermitRequest("i1", 5)))
    assert answer.granted is granted


def test_ledger_counts_the_window_and_forgets_targets():
    ledger = SlidingWindowLimiter()
    granted = [ledger.acquire("i1", 3, 0.1 * n) for n in range(5)]
    assert granted == [True, True, True, False, False]
    assert ledger.acquire("i2", 1, 0.5)
    assert not ledger.acquire("i1", 3, WINDOW_SECONDS - 0.01)
    assert ledger.acquire("i1", 3, WINDOW_SECONDS + 0.01)
    ledger.acquire("i3", 1, 60.0)
    assert ledger.count_targets() == 1


async def ask_turns(service: PermitService, dues: list[float]) -> None:
    """Ask for all turns that a leader grants at a time, and note them."""
    request = PermitRequest("i1", 0, rate=float(RATE), max_wait=1.0)
    while (answer := await service.handle(request)).granted:
        dues.append(tell_time() + answer.wait)


def test_leader_that_hands_over_leaves_limited_targets_their_rate(tmp_path):
    # Guards against turns that two leaders grant for the same second, as the
    # next one leads before those of the one before have passed.
    async def test(fleet):
        await fleet.write(1)
        await asyncio.sleep(2.0)
        dues: list[float] = []
        leader = fleet.find_leader()
        address = next(a for a, v in fleet.voters.items() if v is leader)
        with RefusingDisk(fleet.find_folder(address)) as disk:
            await ask_turns(leader.permits, dues)
            disk.refuse()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await fleet.write(2)
            await wait_until(lambda: fleet.find_leader() not in (None, leader))
            for _ in range(40):
                await ask_turns(fleet.find_leader().permits, dues)
                await asyncio.sleep(0.05)
            disk.accept()
        dues.sort()
        assert len(dues) > 2 * RATE
        for first in range(len(dues) - RATE - 1):
            assert dues[first + RATE + 1] - dues[first] >= 0.99

    play(test, tmp_path)
