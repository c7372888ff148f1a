"""Tests of the lines about a growing state."""

import json
import tempfile

import attrs

from chivepier.gateway.control.sizewatch import SizeWatch
from chivepier.gateway.eventlog import EventLog
from chivepier.state import StateSizes
from chivepier.types import ManualClock


@attrs.define
class GrowingReplica:
    """A replica whose log takes a given number of bytes."""

    log: int = 0
    storage: "GrowingReplica" = attrs.field(init=False)
    entries: tuple = ()

    def __attrs_post_init__(self):
        self.storage = self

    def measure(self) -> StateSizes:
        """Return the sizes."""
        return StateSizes(log=self.log, recent=0, documents=0, snapshot=0)


def test_growth_is_logged_once_for_each_doubling():
    replica = GrowingReplica()
    with tempfile.TemporaryFile() as lines:
        log = EventLog("v", lines.fileno(), lambda: 0.0)
        watch = SizeWatch(replica, ManualClock(), log)
        for megabytes in (0, 1, 3, 4, 7, 16, 1):
            replica.log = megabytes << 20
            watch.check()
        lines.seek(0)
        sizes = [json.loads(line)["log_bytes"] >> 20 for line in lines]
    assert sizes == [3, 7, 16]
