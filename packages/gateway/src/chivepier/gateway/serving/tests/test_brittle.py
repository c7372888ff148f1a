"""Tests of requests to targets that bear few refusals."""

import random

import pytest

from chivepier.gateway.limits import BrittleTable
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import BrittleAdmission
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportedLoad


class AdmissionFixture:
    """The admission of one entry to the target ``t``.

    :param entries: number of entries
    """

    def __init__(self, entries: int):
        self.table = BrittleTable()
        self.reports = ReportBoard()
        self.own = 1
        self.target = make_target("t", "s")
        self.admission = BrittleAdmission(
            self.table,
            self.reports,
            lambda instance: self.own,
            lambda: entries,
            random.Random(1),
        )
        self.table.record("s", "t", 3.0, 10.0)

    def report(self, running: int, waiting: int, now: float) -> None:
        """Record a report of the target, which has two slots."""
        load = ReportedLoad(
            running=running, waiting=waiting, slots=2, pace=1.0
        )
        self.reports.record("t", 0, load, now)

    def has_place(self, now: float) -> bool:
        """Tell whether a request may be sent."""
        return self.admission.has_place(self.target, now)


def test_only_free_slots_of_a_brittle_target_are_used():
    fixture = AdmissionFixture(7)
    fixture.report(2, 0, 10.0)
    fixture.reports.note_start("t", 10.01)
    assert not fixture.has_place(10.01)
    fixture.report(1, 0, 10.1)
    fixture.reports.note_start("t", 10.11)
    assert fixture.has_place(10.11)
    fixture.reports.note_start("t", 10.12)
    assert not fixture.has_place(10.12)


def test_target_that_is_not_brittle_is_not_bounded():
    fixture = AdmissionFixture(7)
    fixture.report(2, 9, 10.0)
    fixture.table.record("s", "t", None, 10.0)
    assert fixture.has_place(10.0)


def test_entries_without_a_report_do_not_send_all_at_once():
    # Each of many entries sent one request to a target that was just back.
    fixtures = [AdmissionFixture(40) for _ in range(40)]
    for number, fixture in enumerate(fixtures):
        fixture.admission._rng = random.Random(number)
    sent = sum(fixture.has_place(10.0) for fixture in fixtures)
    assert sent <= 3


def test_word_of_one_target_counts_for_one_that_has_just_started():
    table = BrittleTable()
    table.record("s", "a", 3.0, 1.0)
    table.record("s", "b", 5.0, 1.0)
    assert table.find("s", "new", 2.0) == 3.0
    assert table.find("other", "new", 2.0) is None
    assert table.find("s", "new", 60.0) is None


@pytest.mark.parametrize("entries", (1, 7, 191))
def test_refusals_of_all_entries_stay_within_what_a_target_bears(entries):
    # Each entry alone kept to what the target bears, and all together did not.
    pause = BrittleTable().find_pause(3.0, entries)
    assert entries / pause <= 3.0 or pause == 30.0


def test_refusal_of_a_brittle_target_is_followed_by_a_pause():
    async def test(parts):
        parts.engines.refusal = AnswerFacts(
            not_run=True, turned_away=True, max_refusals=2.0
        )
        parts.engines.refuse |= {"w-x", "w-y"}
        await fail(parts, make_request("/plain/a"))
        sends = len(parts.engines.orders)
        assert sends == 2
        now = parts.dispatcher.clock.monotonic()
        for name in ("w-x", "w-y"):
            assert parts.backoffs.find_delay(name, 0, now)

    play(test, "x", "y")
