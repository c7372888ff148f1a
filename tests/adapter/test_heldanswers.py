"""Tests of answers that wait for their turn to be parsed."""

import asyncio

import pytest

from adapter import targetconnection
from adapter.parseturns import ParseTurns
from adapter.targetconnection import TargetConnection
from exchange import build_answer

BODY = bytes(range(256)) * 400


class FakeTransport(asyncio.Transport):
    """Takes what is written, and is told to pause and resume."""

    def pause_reading(self) -> None:
        """Read nothing more."""

    def resume_reading(self) -> None:
        """Read again."""

    def is_closing(self) -> bool:
        """Tell that it is open."""
        return False

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


def open_connection() -> TargetConnection:
    """Return a connection over which a call was sent."""
    loop = asyncio.get_running_loop()
    connection = TargetConnection(loop, ParseTurns(loop))
    connection.connection_made(FakeTransport())
    connection.set_response_params()
    connection.note_sent("r1", lambda kind: None)
    return connection


@pytest.mark.parametrize("prompt", (targetconnection.PROMPT_BYTES, 1 << 30))
def test_answer_that_arrived_whole_stands_as_its_connection_is_reset(
    prompt, monkeypatch
):
    # Guards against losing a whole answer to a request that was not all read.
    monkeypatch.setattr(targetconnection, "PROMPT_BYTES", prompt)

    async def work():
        connection = open_connection()
        connection.data_received(build_answer(BODY))
        message, payload = await connection.read()
        # a write of the request's body has failed in the same round
        connection.connection_lost(ConnectionResetError())
        assert await payload.read() == BODY

    asyncio.run(work())


def test_failing_piece_keeps_no_other_connection_from_its_turn():
    # Guards against one error after which no long answer is parsed any more.
    async def work():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        turns, parsed = ParseTurns(loop), asyncio.Event()

        def fail() -> int:
            raise ValueError("as the library might")

        def parse() -> int:
            parsed.set()
            return 1

        turns.add(fail)
        turns.add(parse)
        async with asyncio.timeout(1.0):
            await parsed.wait()

    asyncio.run(work())
