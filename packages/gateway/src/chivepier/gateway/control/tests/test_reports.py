"""Tests of relaying what targets report of their load."""

import attrs

from chivepier.gateway.control.reportrelay import ReportRelay
from chivepier.gateway.control.reportstore import MAX_REPORTS_PER_MESSAGE
from chivepier.gateway.control.reportstore import MAX_TARGETS
from chivepier.gateway.control.reportstore import REPORTS_PER_SECOND
from chivepier.gateway.control.reportstore import ReportStore
from chivepier.gateway.control.tests.fleet import make_log
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets import ReportedLoad
from chivepier.gateway.targets import ReportOutcome
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time
from chivepier.types import ManualClock
from chivepier.wire.frame import dump_frame
from chivepier.wire.frame import load_frame

REPORT = TargetReport("t", 1, 100, 2, 0, 6, 170)
LOAD = ReportedLoad(running=2, waiting=0, slots=6, pace=1.7)


class FakeChannel:
    """Keeps what is sent to a follower."""

    def __init__(self):
        self.sent: list[TargetReport] = []

    def send(self, notice: LoadNotice) -> None:
        """Keep the reports of a notice."""
        self.sent += notice.reports

    def send_prepared(self, part: tuple) -> None:
        """Keep the reports of a notice that was packed for several."""
        (load_part,) = load_frame(dump_frame([part]))
        self.send(load_part[-1])


def test_reports_reach_all_entries_with_their_age(tmp_path):
    """Guards against reports that end at the entry or zone that got them."""

    async def test(fleet):
        followers = [
            await fleet.follow(f"e{number}", zone)
            for number, zone in enumerate(("z0", "z0", "z1", "z2"))
        ]
        for follower in followers:
            await wait_until(lambda f=follower: f.hub is not None)
            follower.table.put(make("t", heard=tell_time()))
        first, *others = (follower.reports for follower in followers)
        at = tell_time()
        first.record("t", 0, LOAD, at)
        for board in others:
            await wait_until(lambda b=board: b.find("t", 0) is not None)
            reading = board.find("t", 0)
            assert reading.load == LOAD and at - 0.002 < reading.at < at + 0.02
        await fleet.stop(fleet.seeds[0])
        await wait_until(lambda: followers[0].hub in fleet.seeds[1:])

        def find_newer():
            first.record("t", 0, LOAD, tell_time())
            return others[2].find("t", 0).at > at + 0.1

        await wait_until(find_newer)

    play(test, tmp_path)


def test_without_reports_notices_are_those_of_before(tmp_path):
    """Guards against traffic where no target reports its load."""

    async def test(fleet):
        one, two = await fleet.follow("e1", "z0"), await fleet.follow("e2")
        await wait_until(lambda: one.hub and two.hub)
        notices = []
        merge = two.following._loads.merge
        two.following._loads.merge = lambda notice: (
            notices.append(notice),
            merge(notice),
        )
        one.board.adjust_own("i1", runs=1, tokens=500)
        await wait_until(lambda: two.tokens("i1") == 500)
        assert notices and not any(notice.reports for notice in notices)
        assert all(n.records or n.queues or n.whole for n in notices)

    play(test, tmp_path)


def test_wrong_reports_end_nothing(tmp_path):
    """Guards against a target hidden by a forged start, and a dead relay."""

    async def test(fleet):
        one, two = await fleet.follow("e1", "z0"), await fleet.follow("e2")
        await wait_until(lambda: one.hub and two.hub)
        for follower in (one, two):
            follower.table.put(make("t", heard=tell_time()))
        reports = (
            attrs.evolve(REPORT, age_ms=-1),
            attrs.evolve(REPORT, born=10**15),
            attrs.evolve(REPORT, instance="unknown"),
        )
        one.links.post(one.hub, LoadNotice((), reports=reports))

        def find_again():
            one.reports.record("t", 0, LOAD, tell_time())
            return two.reports.find("t", 0)

        await wait_until(find_again)
        assert two.reports.find("unknown", 1) is None

    play(test, tmp_path)


def test_reports_go_to_others_only():
    """Guards against reports that go round, or come back as younger ones."""
    relay = ReportRelay(ManualClock(), make_log("v"))
    one, two = FakeChannel(), FakeChannel()
    near = attrs.evolve(REPORT, instance="near")
    far = attrs.evolve(REPORT, instance="far")
    assert relay.receive((near,), one) and relay.receive_digest((far,))
    assert not relay.receive((near,), two)
    relay.publish([one, two])
    assert one.sent == [far]
    assert two.sent == [far, near]
    assert relay.take_digest() == (near,)
    relay.publish([one, two])
    assert len(one.sent + two.sent) == 3 and relay.take_digest() == ()


def test_only_the_newest_of_a_target_is_taken_and_grows_older():
    """Guards against late, crossed and repeated reports on their way."""
    store = ReportStore()
    for change, outcome in (
        ({}, ReportOutcome.NEW),
        ({}, ReportOutcome.OUTDATED),
        ({"age_ms": 40, "running": 4}, ReportOutcome.NEW),
        ({"age_ms": 0, "born": 0}, ReportOutcome.OUTDATED),
        ({"age_ms": 1001, "instance": "late"}, ReportOutcome.OUTDATED),
        ({"age_ms": 0, "slots": 0}, ReportOutcome.INVALID),
    ):
        assert store.put(attrs.evolve(REPORT, **change), None, 5.0) is outcome
    (held,) = store.take(5.2)
    assert held.pack(5.25) == attrs.evolve(REPORT, age_ms=290, running=4)
    store.put(attrs.evolve(REPORT, age_ms=0), None, 5.3)
    assert store.take(6.4) == []


def test_reports_a_second_are_bounded_at_any_number_of_targets():
    """Guards against messages that grow with 12,000 targets' answers."""
    store, taken = ReportStore(), []
    for step in range(1, 101):
        now = 100 + step / 50
        for number in range(120):
            name = f"t{(number + 120 * step) % 12_000}"
            store.put(attrs.evolve(REPORT, instance=name), None, now)
        taken.append(len(store.take(now)))
        assert len(store._newest) <= MAX_TARGETS
    assert max(taken) <= MAX_REPORTS_PER_MESSAGE
    assert sum(taken) <= 2 * REPORTS_PER_SECOND + MAX_REPORTS_PER_MESSAGE
