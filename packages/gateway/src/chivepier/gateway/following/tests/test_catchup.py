"""Tests of waiting for what voters know now."""

import asyncio

import pytest

from chivepier.gateway.following.catchup import CatchUp
from chivepier.gateway.following.catchup import GATHER_SECONDS
from chivepier.gateway.following.catchup import WAIT_SECONDS
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time

VOTERS = ("p", "q", "r")
ANSWER_SECONDS = 0.01


class Asked:
    """Voters that answer a moment after they were asked, but for some."""

    def __init__(self, *silent: str):
        self.silent = set(silent)
        self.rounds = 0
        self.asked_at: dict[str, float] = {}
        self._catch_up = CatchUp(self._ask, LoopClock())

    async def wait(self) -> bool:
        """Wait until most voters have answered."""
        return await self._catch_up.wait(self._is_enough)

    def _is_enough(self, began: float) -> bool:
        count = sum(at >= began for at in self.asked_at.values())
        return 2 * count > len(VOTERS)

    def answer(self, voter: str, asked_at: float) -> None:
        """Answer a question that was asked at some time."""
        self.asked_at[voter] = asked_at
        self._catch_up.note_answer()

    def _ask(self) -> None:
        self.rounds += 1
        asyncio.create_task(self._answer(tell_time()))

    async def _answer(self, asked_at: float) -> None:
        await asyncio.sleep(ANSWER_SECONDS)
        for voter in VOTERS:
            if voter not in self.silent:
                self.answer(voter, asked_at)


@pytest.mark.parametrize("silent", range(len(VOTERS) + 1))
def test_most_voters_have_to_answer(silent):
    async def work():
        asked, began = Asked(*VOTERS[:silent]), tell_time()
        heard = await asked.wait()
        assert heard is (silent < 2)
        seconds = tell_time() - began
        expected = GATHER_SECONDS + ANSWER_SECONDS if heard else WAIT_SECONDS
        assert seconds == pytest.approx(expected, abs=0.001)

    play_time(work())


def test_answer_to_an_earlier_question_counts_for_nothing():
    # It may tell of a time before this entry was cut off, or stood still.
    async def work():
        asked, began = Asked(*VOTERS), tell_time()
        waiting = asyncio.create_task(asked.wait())
        await asyncio.sleep(0.1)
        for voter in VOTERS:
            asked.answer(voter, began - ANSWER_SECONDS)
        assert await waiting is False

    play_time(work())


def test_one_question_serves_all_requests_that_came_before_it():
    # After a crash the callers of many streams return at once.
    async def work():
        asked = Asked()
        waits = [asyncio.create_task(asked.wait()) for _ in range(99)]
        assert all(await asyncio.gather(*waits))
        assert asked.rounds == 1
        assert await asked.wait()
        assert asked.rounds == 2

    play_time(work())


def test_request_that_came_after_a_question_waits_for_the_next():
    # What it goes on with may have begun after that one was answered.
    async def work():
        asked = Asked()
        first = asyncio.create_task(asked.wait())
        await asyncio.sleep(GATHER_SECONDS + ANSWER_SECONDS / 2)
        assert asked.rounds == 1
        assert await asked.wait()
        assert first.done() and asked.rounds == 2

    play_time(work())


def test_no_request_waits_for_a_question_of_others_that_stays_unanswered():
    # Each waited for those before it: callers of a cut off entry for seconds.
    async def work():
        asked = Asked(*VOTERS)
        waits = []
        for _ in range(50):
            waits.append(asyncio.create_task(asked.wait()))
            await asyncio.sleep(ANSWER_SECONDS)
        last, began = asyncio.create_task(asked.wait()), tell_time()
        assert await last is False
        assert tell_time() - began <= WAIT_SECONDS + 0.001
        assert not any(await asyncio.gather(*waits))

    play_time(work())
