"""What is said of commands that were not answered."""

import asyncio
import types

from chivepier.messages import CommandRequest
from chivepier.node.commander import Commander
from chivepier.state import Answer
from chivepier.state import LostLeadError
from chivepier.state import MAX_COMMAND
from chivepier.state import NotLeaderError
from chivepier.types import ErrorKind
from chivepier.types import ManualClock
from chivepier.types import Ran


class Replica:
    """A leader that meets one failure each time."""

    def __init__(self, error: Exception):
        self.error = error

    def leads(self) -> bool:
        """It leads."""
        return True

    async def propose(self, command: bytes) -> Answer:
        """Fail."""
        raise self.error


class Leadership:
    """A leader that waits for members in vain."""

    force = types.SimpleNamespace(lagging=lambda: ["n4"])

    async def wait_in_force(self, version: int) -> None:
        """Give up at once."""
        raise TimeoutError


def make_commander(error: Exception) -> tuple[Commander, ManualClock]:
    """Make a commander beside a leader that fails."""
    clock = ManualClock()
    cluster = types.SimpleNamespace(
        clock=clock, replica=Replica(error), leadership=Leadership()
    )
    return Commander(cluster), clock


async def run(error: Exception, command: bytes = b"c"):
    """Run a command until its time is over."""
    commander, clock = make_commander(error)
    task = asyncio.create_task(commander.run(command, 1.0))
    while not task.done():
        await asyncio.sleep(0)
        clock.advance(0.1)
    return task.result().err_value


def test_command_of_a_lost_lead_is_not_said_not_to_have_run():
    """The leader loses its lead with the command in its log.

    The next leader may commit it; "did not run" was said, and an operator
    or a claimer would have been told a lie.
    """
    assert asyncio.run(run(LostLeadError())).ran is Ran.UNKNOWN


def test_command_that_no_leader_took_did_not_run():
    failure = asyncio.run(run(NotLeaderError("")))
    assert failure.kind is ErrorKind.NO_QUORUM
    assert failure.ran is Ran.NO


def test_forwarded_command_of_a_lost_lead_is_told_apart():
    async def play():
        answers = []
        for error in (LostLeadError(), NotLeaderError("")):
            commander, _ = make_commander(error)
            answers.append(await commander.handle(CommandRequest(b"", False)))
        assert [a.error for a in answers] == ["timeout", "no_quorum"]

    asyncio.run(play())


def test_oversize_command_is_refused_before_it_is_sent():
    failure = asyncio.run(run(LostLeadError(), bytes(MAX_COMMAND + 1)))
    assert failure.kind is ErrorKind.TOO_LARGE
    assert failure.ran is Ran.NO


def test_durable_change_that_is_not_in_force_names_whom_it_waits_for():
    async def play():
        commander, _ = make_commander(LostLeadError())

        async def propose(command):
            return Answer("", "", 7)

        commander._cluster.replica.propose = propose
        done = await commander.run(b"c", 1.0, wait_in_force=True)
        failure = done.err_value
        assert failure.kind is ErrorKind.NOT_IN_FORCE
        assert failure.ran is Ran.YES
        assert "n4" in failure.message

    asyncio.run(play())
