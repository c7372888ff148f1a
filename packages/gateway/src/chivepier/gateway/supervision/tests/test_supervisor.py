"""Tests of parts that fail."""

import asyncio
import json
import os

import pytest

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.supervision import Supervisor
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time


class Part:
    """Fails so many times, and then goes on until it is cancelled."""

    def __init__(self, error: BaseException | None = None, times: int = 0):
        self._error = error
        self._times = times
        self.starts = 0
        self.ended = False

    async def run(self) -> None:
        """Fail, or go on."""
        self.starts += 1
        if self.starts <= self._times:
            raise self._error
        try:
            await asyncio.Event().wait()
        finally:
            self.ended = True


@pytest.fixture
def lines(tmp_path):
    """Yield a log and what reads its lines."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)

    def read() -> list[dict]:
        return [json.loads(line) for line in path.read_text().splitlines()]

    yield EventLog("n1", descriptor), read
    os.close(descriptor)


@pytest.mark.parametrize(
    "error",
    (RuntimeError("unexpected"), asyncio.CancelledError()),
    ids=type,
)
def test_part_that_has_failed_begins_again(lines, error):
    # Guards against a process that goes on without one of its parts.
    log, read = lines
    counted = []
    part = Part(error, times=3)

    async def work():
        Supervisor(LoopClock(), log, counted.append).keep("p", part.run)
        await asyncio.sleep(2.0)
        assert part.starts == 4 and not part.ended

    play_time(work())
    assert counted == ["p"] * 3
    (line,) = read()
    assert line["event"] == "part_failed" and line["part"] == "p"
    assert line["error"] == repr(error) and "run" in line["calls"][-1]


def test_part_that_fails_for_ever_takes_few_lines(lines):
    # Guards against a log that one failing part fills.
    log, read = lines
    part = Part(RuntimeError("x" * 10_000), times=10_000)

    async def work():
        Supervisor(LoopClock(), log).keep("p", part.run)
        await asyncio.sleep(60.0)

    play_time(work())
    assert 100 < part.starts < 400
    assert len(read()) <= 7
    assert read()[-1]["failures"] > 100
    assert all(len(line["error"]) < 400 for line in read())


def test_cancelled_part_ends(lines):
    # Guards against a process that can't be left.
    log, read = lines
    part = Part()

    async def work():
        task = Supervisor(LoopClock(), log).keep("p", part.run)
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    play_time(work())
    assert part.ended and part.starts == 1 and not read()


def test_cancelled_part_ends_in_its_pause(lines):
    # Guards against the same between two runs.
    log, _ = lines
    part = Part(RuntimeError("unexpected"), times=10)

    async def work():
        task = Supervisor(LoopClock(), log).keep("p", part.run)
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    play_time(work())
    assert part.starts == 1


def test_failure_of_what_runs_once_is_written(lines):
    # Guards against an error that nobody hears.
    log, read = lines

    async def work():
        supervisor = Supervisor(LoopClock(), log)
        task = supervisor.start("p", Part(ValueError("odd"), times=1).run())
        with pytest.raises(ValueError):
            await task

    play_time(work())
    (line,) = read()
    assert line["part"] == "p" and line["error"] == "ValueError('odd')"
