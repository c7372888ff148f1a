"""Tests of what is known of a target after an end without a length."""

import asyncio
import itertools
import os

import pytest

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.endwitness import EndWitness
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.types import SystemClock

# When the table learns of another incarnation, as seen from the question.
NEVER, BEFORE, DURING = "never", "before", "during"
CASES = tuple(
    itertools.product(
        Identity, (True, False), (NEVER, BEFORE, DURING), (True, False)
    )
)


class Fixture:
    """A witness with a table, an answer and connections of a test's choice.

    :param identity: what the question is answered with
    :param connected: whether another connection is open
    :param restart: when the table learns of another incarnation
    """

    def __init__(self, identity: Identity, connected: bool, restart: str):
        self.asked = 0
        self._identity = identity
        self._restart = restart
        self._current = restart != BEFORE
        self.witness = EndWitness(
            self,
            self._identify,
            lambda target: connected,
            SystemClock(),
            EventLog("e1", os.open(os.devnull, os.O_WRONLY)),
        )

    def is_current(self, target) -> bool:
        """Tell whether the table knows of no other incarnation."""
        return self._current

    async def _identify(self, target) -> Identity:
        self.asked += 1
        self._current = self._restart != DURING
        return self._identity


@pytest.mark.parametrize("identity, connected, restart, broken", CASES)
def test_only_an_incarnation_that_is_known_to_have_lived_vouches(
    identity, connected, restart, broken
):
    # Whoever listened at the address by then vouched for a stream that its
    # killed predecessor had not finished; so did nobody.
    fixture = Fixture(identity, connected, restart)
    target = make_target("a")
    if broken:
        fixture.witness.note_break(target)
    evidence = asyncio.run(fixture.witness.examine(target, "r1"))
    lived = identity is Identity.SAME or (
        identity is Identity.UNKNOWN and connected and not broken
    )
    assert evidence.shows_life is (lived and restart == NEVER)
    assert fixture.asked == (restart != BEFORE)


def test_ends_of_one_moment_share_one_question():
    # Many streams that end whole at once must not cost a call each.
    fixture = Fixture(Identity.SAME, False, NEVER)
    target = make_target("a")

    async def examine_twice():
        return await asyncio.gather(
            *(fixture.witness.examine(target, "r1") for _ in range(20))
        )

    found = asyncio.run(examine_twice())
    assert all(evidence.shows_life for evidence in found)
    assert fixture.asked == 1
