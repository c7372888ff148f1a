"""Tests of what is noted of targets' words beside their answers."""

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
from chivepier.gateway.serving import Remarks
from chivepier.gateway.serving.remarks import MOST_UNREAD
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import TargetTable
from chivepier.types import ManualClock


class Noted:
    """Remarks with a log and counters that can be read."""

    def __init__(self):
        self._lines = tempfile.TemporaryFile()
        self.metrics = Metrics()
        log = EventLog("e1", self._lines.fileno(), lambda: 0.0)
        self.limits = LimitTable("e1")
        self.rests = BackoffTable(random.Random(1))
        self.clock = ManualClock()
        self.table = TargetTable(1.0)
        self.leavers = LeavingTargets(self.table)
        self.remarks = Remarks(
            self.limits,
            self.rests,
            self.leavers,
            self.table,
            self.clock,
            log,
            self.metrics,
        )

    def take(self, **words) -> None:
        """Note an answer of one target."""
        facts, target = AnswerFacts(**words), make_target("i1")
        self.remarks.take(target, facts, self.remarks.find_word(target))

    def read_lines(self) -> list[dict]:
        """Return what was logged."""
        self._lines.seek(0)
        return [json.loads(line) for line in self._lines]


def test_each_change_of_a_limit_is_believed():
    noted = Noted()
    news = []
    noted.limits.watchers.append(lambda word, before: news.append(word.rate))
    for limit in (RateLimit(1.5), RateLimit(1.5), RateLimit(1.0), NoLimit()):
        noted.take(limit=limit)
        noted.take(limit=limit)
    assert news == [1.5, 1.0, None]


def test_limit_that_is_no_number_changes_no_belief():
    noted = Noted()
    noted.take(limit=RateLimit(1.5))
    noted.take(limit=InvalidLimit())
    assert noted.limits.find_rate("i1", 0) == 1.5
    (line,) = noted.read_lines()
    assert line["event"] == "header_unread"


def test_unread_header_is_logged_once_and_counted():
    noted = Noted()
    for _ in range(3):
        noted.take(unread=("Server-Wish",))
    (line,) = noted.read_lines()
    assert line["event"] == "header_unread"
    assert line["header"] == "server-wish"
    counted = b'chivepier_unread_headers_total{header="server-wish"} 3.0'
    assert counted in noted.metrics.render()


def test_targets_can_make_up_any_number_of_headers():
    noted = Noted()
    noted.take(unread=tuple(f"x-{n}" for n in range(2 * MOST_UNREAD)))
    assert noted.metrics.render().count(b"headers_total{") == MOST_UNREAD


def test_rest_is_logged_once_and_counted_each_time():
    noted = Noted()
    for _ in range(3):
        noted.take(rest=RequestedBackoff(3.0))
    (line,) = noted.read_lines()
    assert (line["event"], line["seconds"]) == ("rest_asked", 3.0)
    counted = b'chivepier_rests_total{service="llm"} 3.0'
    assert counted in noted.metrics.render()


def test_rest_that_is_no_number_is_told():
    noted = Noted()
    noted.take(rest=InvalidBackoff())
    noted.take(rest=NoBackoff())
    (line,) = noted.read_lines()
    assert line["header"] == "rest that is no number"
    assert not noted.rests


def test_another_instance_at_the_address_asks_for_itself():
    noted = Noted()
    noted.take(rest=RequestedBackoff(3.0), other_instance="i2")
    assert not noted.rests


def test_target_that_leaves_is_logged_once():
    noted = Noted()
    noted.table.put(make_target("i1"))
    for _ in range(3):
        noted.take(leaving=True)
    (line,) = noted.read_lines()
    assert (line["event"], line["target"]) == ("leaving_told", "i1")
    assert noted.table.is_leaving("i1")


def test_another_instance_at_the_address_says_that_it_leaves_itself():
    noted = Noted()
    noted.table.put(make_target("i1"))
    noted.table.put(make_target("i2"))
    noted.take(leaving=True, other_instance="i2")
    assert noted.table.is_leaving("i2") and not noted.table.is_leaving("i1")
    noted.take(leaving=True, other_instance="")
    assert not noted.table.is_leaving("i1")
