"""Committing commands through whichever voter leads."""

import asyncio

from result import Err
from result import Ok
from result import Result

from chivepier.messages import CommandAnswer
from chivepier.messages import CommandRequest
from chivepier.node.cluster import Cluster
from chivepier.state import Answer
from chivepier.state import LostLeadError
from chivepier.state import MAX_COMMAND
from chivepier.state import NotLeaderError
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.wire import LinkError

ATTEMPT_SECONDS = 5.0
PAUSE_SECONDS = 0.1
# shorter than an operator's whole request, so that the answer says more than
# that the time was over
IN_FORCE_SECONDS = 10.0


class Commander:
    """Sends commands to the leader until one answers.

    Every command may be sent again: a change by its id, a claim by its
    request, the others because a second run changes nothing.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    async def run(
        self, command: bytes, timeout: float, wait_in_force: bool = False
    ) -> Result[Answer, Failure]:
        """Commit a command.

        :param command: an encoded command message
        :param timeout: seconds to keep trying
        :param wait_in_force: answer only once it is in force everywhere
        :returns: the command's answer, or why there is none
        """
        if len(command) > MAX_COMMAND:
            text = f"the change takes more than {MAX_COMMAND} bytes: split it"
            return Err(Failure(ErrorKind.TOO_LARGE, text))
        clock = self._cluster.clock
        deadline = clock.monotonic() + timeout
        sent = False
        while (left := deadline - clock.monotonic()) > 0:
            try:
                answer = await self._attempt(command, left, wait_in_force)
                return _judge(answer)
            except NotLeaderError:
                pass
            except LostLeadError:
                # it may be committed by the next leader: "did not run"
                # would be a lie to whoever claims or changes something
                sent = True
            except LinkError as error:
                sent = sent or error.sent
            except TimeoutError:
                sent = True
            await clock.sleep(PAUSE_SECONDS)
        ran = Ran.UNKNOWN if sent else Ran.NO
        text = "no voters' majority took the command in time"
        return Err(Failure(ErrorKind.NO_QUORUM, text, ran))

    async def _attempt(
        self, command: bytes, left: float, wait_in_force: bool
    ) -> Answer:
        replica = self._cluster.replica
        if replica is not None and replica.leads():
            async with asyncio.timeout(left):
                return await self.run_here(command, wait_in_force)
        leader = self._cluster.find_leader()
        if not leader:
            raise NotLeaderError("")
        limit = left if wait_in_force else min(left, ATTEMPT_SECONDS)

        def moved() -> bool:
            return self._cluster.find_leader() not in ("", leader)

        # a leader that was cut off never answers; its successor does
        async with self._cluster.watch.watch(leader, moved):
            answer = await self._cluster.links.request(
                leader, CommandRequest(command, wait_in_force), limit
            )
        match answer.error:
            case ErrorKind.NO_QUORUM.value:
                raise NotLeaderError("")
            case ErrorKind.TIMEOUT.value:
                raise LostLeadError()
        return Answer(
            answer.error, answer.message, answer.index, answer.result
        )

    async def run_here(self, command: bytes, wait_in_force: bool) -> Answer:
        """Commit a command as the leader.

        :param command: an encoded command message
        :param wait_in_force: return only once it is in force everywhere
        :returns: the command's answer
        :raises NotLeaderError: when this instance does not lead
        :raises LostLeadError: when the lead was lost on the way
        """
        answer = await self._cluster.replica.propose(command)
        if wait_in_force and not answer.error:
            try:
                async with asyncio.timeout(IN_FORCE_SECONDS):
                    await self._cluster.leadership.wait_in_force(answer.index)
            except TimeoutError:
                return self._describe_wait(answer)
        return answer

    def _describe_wait(self, answer: Answer) -> Answer:
        lagging = self._cluster.leadership.force.lagging()
        awaited = ", ".join(lagging) or "leases of before it to run out"
        text = (
            f"version {answer.index} is durable but not yet in force"
            f" everywhere; it waits for {awaited}"
        )
        return Answer(ErrorKind.NOT_IN_FORCE.value, text, answer.index)

    async def handle(self, request: CommandRequest) -> CommandAnswer:
        """Answer a node that forwards a command here.

        :param request: the forwarded command
        :returns: its answer; ``no_quorum`` when this isn't the leader, and
            ``timeout`` when the lead was lost on the way
        """
        replica = self._cluster.replica
        if replica is None:
            return CommandAnswer(
                ErrorKind.NO_QUORUM.value, "not a voter", 0, b""
            )
        try:
            answer = await self.run_here(
                request.command, request.wait_in_force
            )
        except NotLeaderError as error:
            return CommandAnswer(ErrorKind.NO_QUORUM.value, str(error), 0, b"")
        except LostLeadError:
            text = "the lead was lost on the way"
            return CommandAnswer(ErrorKind.TIMEOUT.value, text, 0, b"")
        return CommandAnswer(
            answer.error, answer.message, answer.index, answer.result
        )


def _judge(answer: Answer) -> Result[Answer, Failure]:
    # the change was made: "did not run" would invite another one
    if answer.error == ErrorKind.NOT_IN_FORCE.value:
        kind = ErrorKind.NOT_IN_FORCE
        return Err(Failure(kind, answer.message, Ran.YES))
    return Ok(answer)
