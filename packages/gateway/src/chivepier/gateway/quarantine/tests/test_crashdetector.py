"""Tests of detecting targets that ended while they ran a request."""

import asyncio

import pytest

from chivepier.gateway.quarantine.crashdetector import ALIVE_CHECK_SECONDS
from chivepier.gateway.quarantine.crashdetector import CHECK_SECONDS
from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.crashdetector import LEAVING_GRACE_SECONDS
from chivepier.gateway.quarantine.crashdetector import SUSPECT_WINDOW_SECONDS
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import ManualClock

HEARTBEAT_SECONDS = 1.0


class Fixture:
    """A detector with a table of two targets."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.table = TargetTable(HEARTBEAT_SECONDS)
        self.liveness = self.other_liveness = Liveness.LIVES
        self.reports: list[tuple[str, str]] = []
        self.replaced: bool | None = False
        self.asked = 0
        self.detector = CrashDetector(
            self.table,
            self._probe,
            self._is_replaced,
            self._report,
            self.clock,
        )
        self.announce("a", 1)
        self.announce("b", 1)

    async def _probe(self, target) -> Liveness:
        own = target.instance == "a"
        return self.liveness if own else self.other_liveness

    async def _is_replaced(self, target) -> bool | None:
        self.asked += 1
        return self.replaced

    def _report(self, loss, how) -> None:
        self.reports.append((loss.digest, how))

    def announce(
        self,
        name: str,
        number: int,
        state: TargetState = TargetState.READY,
        **changes,
    ) -> None:
        """Announce a target."""
        fields = {
            "instance": name,
            "service": "s",
            "address": f"{name}:80",
            "zone": "z",
            "state": state,
            "number": number,
            "slots": 4,
            "heard": self.clock.monotonic(),
            "born": 1,
        }
        self.table.put(Target(**{**fields, **changes}))

    def lose(
        self, digest: str = "d", name: str = "a", **changes
    ) -> LostRequest:
        """Report the loss of a request that was just sent."""
        now = self.clock.monotonic()
        fields = {
            "id": "r1",
            "digest": digest,
            "team": "t1",
            "target": self.table.get(name),
            "sent_at": now - 0.1,
            "first_event_at": None,
            "disconnected": True,
            "lost_at": now,
        }
        loss = LostRequest(**{**fields, **changes})
        self.detector.investigate(loss)
        return loss

    async def advance(self, seconds: float) -> None:
        """Advance the clock in small steps and run the tasks in between."""
        for _ in range(round(seconds / 0.25)):
            await self.yield_to_tasks()
            self.clock.advance(0.25)
        await self.yield_to_tasks()

    async def yield_to_tasks(self) -> None:
        """Run all tasks that are ready."""
        for _ in range(5):
            await asyncio.sleep(0)


def run_with_fixture(test) -> None:
    """Run a test coroutine with a new fixture."""

    async def work():
        fixture = Fixture()
        await test(fixture)
        await fixture.detector.close()

    asyncio.run(work())


def test_refused_connection_shows_end():
    async def test(fixture):
        fixture.liveness = Liveness.ENDED
        loss = fixture.lose()
        await fixture.detector.wait_for_probe(loss.target)
        assert fixture.reports == [("d", "refused")]

    run_with_fixture(test)


def test_refusals_of_all_targets_are_not_reported():
    # An entry that was cut off from all targets took each for one that had
    # ended under its request, and sound requests were held back everywhere.
    async def test(fixture):
        fixture.liveness = fixture.other_liveness = Liveness.ENDED
        loss = fixture.lose()
        await fixture.detector.wait_for_probe(loss.target)
        await fixture.advance(1.0)
        assert fixture.reports == []
        fixture.announce("a", 1, born=2)
        assert fixture.reports == [("d", "restarted")]

    run_with_fixture(test)


def test_connection_reset_with_live_target_is_not_reported():
    # All connections of an instance are reset and the lost requests retried
    # elsewhere, but the targets are alive.
    async def test(fixture):
        fixture.lose()
        await fixture.advance(ALIVE_CHECK_SECONDS + 1.0)
        fixture.announce("a", 1, born=2)
        assert fixture.reports == []

    run_with_fixture(test)


def test_other_process_at_the_address_shows_end():
    # A target ended and another process listened at its address at once: a
    # listener counted as life, and a crashing request was never counted.
    async def test(fixture):
        fixture.replaced = True
        fixture.lose()
        await fixture.advance(ALIVE_CHECK_SECONDS + 1.0)
        assert fixture.reports == [("d", "replaced")]

    run_with_fixture(test)


def test_listener_that_vouches_for_nobody_ends_no_watch():
    # The next incarnation was announced after the time in which a listener's
    # target was watched.
    async def test(fixture):
        fixture.replaced = None
        fixture.lose()
        await fixture.advance(CHECK_SECONDS - 1.0)
        fixture.announce("c", 1, address="a:80")
        assert fixture.reports == [("d", "replaced")]
        assert fixture.asked == 1

    run_with_fixture(test)


def test_target_that_answers_by_name_is_asked_once_for_its_losses():
    # One question for each loss would load a target whose connections break.
    async def test(fixture):
        for number in range(5):
            fixture.lose(f"d{number}")
            await fixture.advance(0.5)
        await fixture.advance(CHECK_SECONDS)
        assert fixture.asked == 1 and fixture.reports == []

    run_with_fixture(test)


def test_target_that_leaves_is_not_asked_for():
    # Its announced end would count against a request that was lost before it.
    async def test(fixture):
        fixture.replaced = True
        fixture.lose()
        await fixture.advance(0.5)
        fixture.announce("a", 2, TargetState.LEAVING)
        await fixture.advance(CHECK_SECONDS)
        assert fixture.asked == 0 and fixture.reports == []

    run_with_fixture(test)


def test_next_incarnation_shows_end_of_partitioned_target():
    # Neither the request nor the probe gets an answer: the target ended behind
    # a partition, and announces its next incarnation when that heals.
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        fixture.lose(disconnected=False)
        await fixture.advance(4.0)
        fixture.announce("a", 1, born=2)
        assert fixture.reports == [("d", "restarted")]

    run_with_fixture(test)


def test_other_target_at_same_address_shows_end():
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        fixture.lose()
        await fixture.advance(2.0)
        fixture.announce("c", 1, address="a:80")
        assert fixture.reports == [("d", "replaced")]

    run_with_fixture(test)


def test_successor_that_was_announced_before_the_loss_shows_end():
    # An entry that had stood still read the successor's announcement before
    # it read that the connection had ended, and no further one told it.
    async def test(fixture):
        fixture.replaced = True
        fixture.announce("c", 1, address="a:80", born=2)
        fixture.lose()
        await fixture.advance(ALIVE_CHECK_SECONDS + 0.5)
        assert fixture.reports == [("d", "replaced")]

    run_with_fixture(test)


def test_predecessor_at_the_address_shows_no_end():
    # It stays in the table for some time after it has ended.
    async def test(fixture):
        fixture.announce("c", 1, address="a:80", born=0)
        fixture.lose()
        await fixture.advance(CHECK_SECONDS + 1.0)
        assert fixture.reports == []

    run_with_fixture(test)


def test_late_word_of_the_predecessor_shows_no_end():
    # An announcement that a cut had held up came after its sender had ended:
    # it was taken for the successor's, and a sound request for a crashing one.
    async def test(fixture):
        fixture.announce("a", 2, born=7)
        fixture.lose()
        fixture.announce("c", 1, address="a:80", born=6)
        assert fixture.reports == []

    run_with_fixture(test)


def test_silence_of_one_target_shows_end():
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        fixture.lose()
        for number in range(2, 8):
            await fixture.advance(1.0)
            fixture.announce("b", number)
        assert fixture.reports == [("d", "silent")]

    run_with_fixture(test)


def test_silence_of_all_targets_is_not_reported():
    # An entry partitioned from all voters sees every target fall silent at
    # once, and would suspect every request that is lost then.
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        fixture.lose()
        await fixture.advance(CHECK_SECONDS + 2.0)
        assert fixture.reports == []

    run_with_fixture(test)


def test_request_sent_to_silent_target_is_not_reported():
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        await fixture.advance(2.5)
        fixture.announce("b", 2)
        fixture.lose(disconnected=False)
        for number in range(3, 8):
            await fixture.advance(1.0)
            fixture.announce("b", number)
        assert fixture.reports == []

    run_with_fixture(test)


def test_long_running_stream_is_not_reported():
    async def test(fixture):
        fixture.liveness = Liveness.ENDED
        now = fixture.clock.monotonic()
        fixture.lose(first_event_at=now - SUSPECT_WINDOW_SECONDS - 0.1)
        fixture.lose("early", first_event_at=now - 0.1)
        await fixture.yield_to_tasks()
        assert fixture.reports == [("early", "refused")]

    run_with_fixture(test)


@pytest.mark.parametrize(
    ("seconds", "reports"),
    [(0.25, [("d", "refused")]), (LEAVING_GRACE_SECONDS + 0.5, [])],
)
def test_announced_end_is_not_reported(seconds, reports):
    # A leaving target is stopped two seconds after its notice, and its streams
    # are lost. One that ends right after the notice has another reason.
    async def test(fixture):
        fixture.announce("a", 2, TargetState.LEAVING)
        await fixture.advance(seconds)
        fixture.liveness = Liveness.ENDED
        fixture.lose()
        await fixture.yield_to_tasks()
        assert fixture.reports == reports

    run_with_fixture(test)


def test_end_seen_by_other_entry_counts_for_simultaneous_losses():
    async def test(fixture):
        fixture.liveness = Liveness.UNKNOWN
        fixture.lose("before", disconnected=False)
        await fixture.advance(3.0)
        fixture.lose("with")
        fixture.detector.note_ended(
            Incarnation("a", 1), fixture.clock.monotonic(), "told"
        )
        fixture.lose("after")
        assert fixture.reports == [("with", "told"), ("after", "told")]

    run_with_fixture(test)


def test_checks_terminate():
    async def test(fixture):
        for number in range(20):
            fixture.lose(f"d{number}")
        await fixture.advance(CHECK_SECONDS + 1.0)
        assert not fixture.detector._checks and not fixture.detector._tasks

    run_with_fixture(test)
