"""Tests of what is known of a target after an end without a length."""

import asyncio
import itertools
import os

import pytest

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.endwitness import EndWitness
from chivepier.gateway.serving.endwitness import MAX_ASK_SECONDS
from chivepier.gateway.serving.endwitness import MAX_EXAMINE_SECONDS
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time

# When the table learns of another incarnation, as seen from the question.
NEVER, BEFORE, DURING = "never", "before", "during"
SILENT = (Identity.UNKNOWN, Identity.UNASKED)
# What the first question and all later ones find.
CASES = tuple(itertools.product(Identity, Identity, (NEVER, BEFORE, DURING)))


class Fixture:
    """A witness with a table and answers of a test's choice.

    :param answers: what the questions are answered with, the last one for all
        further ones
    :param restart: when the table learns of another incarnation
    """

    def __init__(self, answers: tuple[Identity, ...], restart: str = NEVER):
        self.asked_at: list[float] = []
        self._answers = answers
        self._restart = restart
        self._current = restart != BEFORE
        self.metrics = Metrics()
        self.witness = EndWitness(
            self,
            self._identify,
            LoopClock(),
            EventLog("e1", os.open(os.devnull, os.O_WRONLY)),
            self.metrics,
        )

    def is_current(self, target) -> bool:
        """Tell whether the table knows of no other incarnation."""
        return self._current

    def is_leaving(self, instance) -> bool:
        """Tell whether an instance has announced that it leaves."""
        return False

    async def _identify(self, target) -> Identity:
        self.asked_at.append(asyncio.get_running_loop().time())
        self._current = self._restart != DURING
        return self._answers[min(len(self.asked_at), len(self._answers)) - 1]

    def examine(self):
        """Examine an end in played time; return the evidence."""

        async def work():
            self.began = asyncio.get_running_loop().time()
            return await self.witness.examine(make_target("a"), "r1")

        return play_time(work())


@pytest.mark.parametrize("first, later, restart", CASES)
def test_end_is_whole_by_word_of_the_incarnation_alone(first, later, restart):
    # Whoever was not heard to have ended vouched for a killed target.
    fixture = Fixture((first, later), restart)
    evidence = fixture.examine()
    told = later if first in SILENT else first
    vouched = told is Identity.SAME and restart == NEVER
    assert evidence.is_vouched is vouched
    if restart == BEFORE:
        assert fixture.asked_at == []
    fixture.metrics.load()
    assert b"chivepier_end_findings_total" in fixture.metrics.render()


@pytest.mark.parametrize("silent", SILENT)
def test_target_that_gives_no_word_is_asked_again_within_a_bound(silent):
    # A target that rests for a moment must not cost its caller a whole stream.
    fixture = Fixture((silent,))
    evidence = fixture.examine()
    assert not evidence.is_vouched
    assert 3 <= len(fixture.asked_at) == evidence.questions <= 6
    assert fixture.asked_at[-1] - fixture.began <= MAX_ASK_SECONDS


def test_question_that_hangs_does_not_outlast_the_bound():
    # New connections were closed at first and hung later on: the last question
    # ran out after the caller had given up.
    fixture = Fixture((Identity.UNKNOWN,))
    identify = fixture.witness._identify

    async def hang_later(target):
        if len(fixture.asked_at) >= 4:
            await asyncio.sleep(1.3)
        return await identify(target)

    fixture.witness._identify = hang_later
    evidence = fixture.examine()
    assert not evidence.is_vouched
    assert evidence.seconds <= MAX_EXAMINE_SECONDS + 0.01


def test_no_word_from_before_an_end_counts_for_it():
    # Each question is asked once the end of its stream was read.
    fixture = Fixture((Identity.UNKNOWN, Identity.SAME))
    assert fixture.examine().is_vouched
    assert all(at > fixture.began for at in fixture.asked_at)


def test_ends_of_one_moment_share_one_question():
    # Many streams that end whole at once must not cost a call each.
    fixture = Fixture((Identity.SAME,))
    target = make_target("a")

    async def examine_together():
        return await asyncio.gather(
            *(fixture.witness.examine(target, "r1") for _ in range(20))
        )

    found = play_time(examine_together())
    assert all(evidence.is_vouched for evidence in found)
    assert len(fixture.asked_at) == 1
