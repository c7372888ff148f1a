"""Tests of leave to send where the leader answers late."""

import asyncio

import pytest

from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits import Leader
from chivepier.gateway.permits import MOST_PERMIT_SECONDS
from chivepier.gateway.permits import PERMIT_SECONDS
from chivepier.gateway.permits import PermitLedger
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time

KEY = ("i1", 1, 0, "")
MOST = 3
SENDS = 6


class Slow:
    """A leader that answers after a time, and an entry that asks it."""

    def __init__(self, seconds: float):
        self.clock = LoopClock()
        self.seconds = seconds
        self.ledger = PermitLedger()
        self.leader = Leader(self._answer, self.clock)
        self.lapses: list[float] = []
        self.sent: list[float] = []

    async def _answer(self, request: PermitRequest) -> PermitAnswer | None:
        await self.clock.sleep(self.seconds / 2)
        now = self.clock.monotonic()
        granted = self.ledger.grant("i1", MOST, now, request.permit_seconds)
        self.lapses.append(request.permit_seconds)
        await self.clock.sleep(self.seconds / 2)
        return PermitAnswer(granted)

    async def try_send(self) -> None:
        """Send one request, if there is leave for it now."""
        permit = self.leader.take_kept(KEY)
        if permit is None:
            question, answer = await self.leader.ask(
                KEY, PermitRequest("i1", MOST)
            )
            if answer is None or not answer.granted:
                return
            until = question.asked + question.lapse
        else:
            until = permit.until
        now = self.clock.monotonic()
        if now <= until:
            self.sent.append(now)


def run(test, seconds: float) -> None:
    """Run a test's coroutine over a leader that answers so late."""

    async def work():
        async with asyncio.timeout(60):
            await test(Slow(seconds))

    play_time(work())


@pytest.mark.parametrize("seconds", (0.0, 0.15, 0.3, 0.6))
def test_late_leader_lets_less_through_and_not_nothing(seconds):
    # Leave lapsed before it came, each time: a cold target got nothing.
    async def test(slow):
        while len(slow.sent) < SENDS:
            await slow.try_send()
            await asyncio.sleep(0.02)
        for first in slow.sent:
            busy = sum(first <= at < first + 1.0 for at in slow.sent)
            assert busy <= MOST
        assert max(slow.lapses) <= MOST_PERMIT_SECONDS

    run(test, seconds)


def test_leave_is_short_again_once_answers_are_prompt():
    async def test(slow):
        while slow.leader.lapse <= PERMIT_SECONDS:
            await slow.try_send()
        slow.seconds = 0.0
        while slow.leader.lapse > PERMIT_SECONDS:
            await slow.try_send()

    run(test, 0.15)


def test_leave_that_has_lapsed_is_not_kept():
    async def test(slow):
        slow.leader.lapse = 0.2
        await slow.leader.ask(KEY, PermitRequest("i1", MOST))
        while not slow.lapses:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert slow.leader.take_kept(KEY) is None

    run(test, 0.3)
