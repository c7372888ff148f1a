"""Tests of recording what answer headers report of targets."""

import json
import random
import tempfile

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import InvalidBackoff
from chivepier.gateway.limits import InvalidLimit
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import HeaderRecorder
from chivepier.gateway.serving.headerrecorder import MAX_UNKNOWN_HEADERS
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.targets import InvalidReport
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import ReportedLoad
from chivepier.gateway.targets import TargetTable
from chivepier.types import ManualClock


class RecorderFixture:
    """A header recorder whose log and counters can be read."""

    def __init__(self):
        self._lines = tempfile.TemporaryFile()
        self.metrics = Metrics()
        log = EventLog("e1", self._lines.fileno(), lambda: 0.0)
        self.limits = LimitTable("e1")
        self.backoffs = BackoffTable(random.Random(1))
        self.clock = ManualClock()
        self.table = TargetTable(1.0)
        self.leaving_targets = LeavingTargets(self.table)
        self.recorder = HeaderRecorder(
            self.limits,
            self.backoffs,
            self.leaving_targets,
            self.table,
            self.clock,
            log,
            self.metrics,
        )

    def record(self, **words) -> None:
        """Record the head of an answer of one target."""
        facts, target = AnswerFacts(**words), make_target("i1")
        self.recorder.record(target, facts, self.recorder.find_limit(target))

    def read_lines(self) -> list[dict]:
        """Return the logged lines."""
        self._lines.seek(0)
        return [json.loads(line) for line in self._lines]


def test_each_change_of_a_limit_is_recorded():
    fixture = RecorderFixture()
    news = []
    fixture.limits.watchers.append(lambda word, before: news.append(word.rate))
    for limit in (RateLimit(1.5), RateLimit(1.5), RateLimit(1.0), NoLimit()):
        fixture.record(limit=limit)
        fixture.record(limit=limit)
    assert news == [1.5, 1.0, None]


def test_invalid_limit_keeps_the_known_one():
    fixture = RecorderFixture()
    fixture.record(limit=RateLimit(1.5))
    fixture.record(limit=InvalidLimit())
    assert fixture.limits.find_rate("i1", 0) == 1.5
    (line,) = fixture.read_lines()
    assert line["event"] == "header_unread"


def test_unknown_header_is_logged_once_and_counted():
    fixture = RecorderFixture()
    for _ in range(3):
        fixture.record(unknown_headers=("Server-Wish",))
    (line,) = fixture.read_lines()
    assert line["event"] == "header_unread"
    assert line["header"] == "server-wish"
    counted = b'chivepier_unread_headers_total{header="server-wish"} 3.0'
    assert counted in fixture.metrics.render()


def test_number_of_counted_unknown_headers_is_limited():
    fixture = RecorderFixture()
    fixture.record(
        unknown_headers=tuple(f"x-{n}" for n in range(2 * MAX_UNKNOWN_HEADERS))
    )
    assert (
        fixture.metrics.render().count(b"headers_total{")
        == MAX_UNKNOWN_HEADERS
    )


def test_rest_is_logged_once_and_counted_each_time():
    fixture = RecorderFixture()
    for _ in range(3):
        fixture.record(backoff=RequestedBackoff(3.0))
    (line,) = fixture.read_lines()
    assert (line["event"], line["seconds"]) == ("rest_asked", 3.0)
    counted = b'chivepier_rests_total{service="llm"} 3.0'
    assert counted in fixture.metrics.render()


def test_invalid_rest_is_logged_and_not_recorded():
    fixture = RecorderFixture()
    fixture.record(backoff=InvalidBackoff())
    fixture.record(backoff=NoBackoff())
    (line,) = fixture.read_lines()
    assert line["header"] == "rest that is no number"
    assert not fixture.backoffs


def test_rest_of_another_instance_at_the_address_is_ignored():
    fixture = RecorderFixture()
    fixture.record(backoff=RequestedBackoff(3.0), other_instance="i2")
    assert not fixture.backoffs


def test_reports_are_counted_and_an_invalid_one_is_logged_once():
    """Guards against loads that nobody reads, and nobody misses."""
    fixture = RecorderFixture()
    for load in (ReportedLoad(running=1, waiting=0, slots=6), InvalidReport()):
        fixture.record(load=load)
        fixture.record(load=load)
    (line,) = fixture.read_lines()
    assert line["header"] == "load that is no load"
    for source in (b"own", b"invalid"):
        counted = b'target_reports_total{source="%s"} 2.0' % source
        assert counted in fixture.metrics.render()


def test_target_that_leaves_is_logged_once():
    fixture = RecorderFixture()
    fixture.table.put(make_target("i1"))
    for _ in range(3):
        fixture.record(leaving=True)
    (line,) = fixture.read_lines()
    assert (line["event"], line["target"]) == ("leaving_told", "i1")
    assert fixture.table.is_leaving("i1")


def test_leaving_of_another_instance_is_recorded_for_that_instance():
    fixture = RecorderFixture()
    fixture.table.put(make_target("i1"))
    fixture.table.put(make_target("i2"))
    fixture.record(leaving=True, other_instance="i2")
    assert fixture.table.is_leaving("i2") and not fixture.table.is_leaving(
        "i1"
    )
    fixture.record(leaving=True, other_instance="")
    assert not fixture.table.is_leaving("i1")
