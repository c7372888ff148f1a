"""Tests of permits from a leader that responds late."""

import asyncio

import pytest

from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits import MAX_PERMIT_SECONDS
from chivepier.gateway.permits import PERMIT_SECONDS
from chivepier.gateway.permits import PermitClient
from chivepier.gateway.permits import SlidingWindowLimiter
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time

KEY = ("i1", 1, 0, "")
MOST = 3
SENDS = 6


class SlowLeader:
    """A leader that responds after a delay, and an entry that asks it."""

    def __init__(self, seconds: float):
        self.clock = LoopClock()
        self.seconds = seconds
        self.limiter = SlidingWindowLimiter()
        self.leader = PermitClient(self._answer, self.clock)
        self.permit_lifetimes: list[float] = []
        self.sent: list[float] = []

    async def _answer(self, request: PermitRequest) -> PermitAnswer | None:
        await self.clock.sleep(self.seconds / 2)
        now = self.clock.monotonic()
        granted = self.limiter.acquire("i1", MOST, now, request.permit_seconds)
        self.permit_lifetimes.append(request.permit_seconds)
        await self.clock.sleep(self.seconds / 2)
        return PermitAnswer(granted)

    async def try_send(self) -> None:
        """Send one request if a permit is available now."""
        permit = self.leader.take_unused(KEY)
        if permit is None:
            pending, answer = await self.leader.ask(
                KEY, PermitRequest("i1", MOST)
            )
            if answer is None or not answer.granted:
                return
            until = pending.asked_at + pending.permit_seconds
        else:
            until = permit.expires_at
        now = self.clock.monotonic()
        if now <= until:
            self.sent.append(now)


def run(test, seconds: float) -> None:
    """Run a test coroutine with a leader that responds after a delay."""

    async def work():
        async with asyncio.timeout(60):
            await test(SlowLeader(seconds))

    play_time(work())


@pytest.mark.parametrize("seconds", (0.0, 0.15, 0.3, 0.6))
def test_late_leader_reduces_sends_but_does_not_stop_them(seconds):
    # Every permit expired before it arrived, so a cold target got no requests.
    async def test(rig):
        while len(rig.sent) < SENDS:
            await rig.try_send()
            await asyncio.sleep(0.02)
        for first in rig.sent:
            busy = sum(first <= at < first + 1.0 for at in rig.sent)
            assert busy <= MOST
        assert max(rig.permit_lifetimes) <= MAX_PERMIT_SECONDS

    run(test, seconds)


def test_permits_are_short_again_once_answers_are_prompt():
    async def test(rig):
        while rig.leader.permit_seconds <= PERMIT_SECONDS:
            await rig.try_send()
        rig.seconds = 0.0
        while rig.leader.permit_seconds > PERMIT_SECONDS:
            await rig.try_send()

    run(test, 0.15)


def test_expired_permit_is_not_stored():
    async def test(rig):
        rig.leader.permit_seconds = 0.2
        await rig.leader.ask(KEY, PermitRequest("i1", MOST))
        while not rig.permit_lifetimes:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert rig.leader.take_unused(KEY) is None

    run(test, 0.3)
