"""Tests of what an entry says of the age of its configuration."""

import json
import os

from chivepier.gateway.config import Configuration
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Currency
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import Doubt
from chivepier.gateway.serving import ServingState
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time


def test_doubts_are_told_apart_and_written_once_each():
    # Guards against refusals of which the log does not tell the reason.
    async def test():
        reader, writer = os.pipe()
        state, clock = ServingState(), LoopClock()
        currency = Currency(state, clock, EventLog("e1", writer), Metrics())
        found = []

        def report():
            currency.report()
            currency.report()
            found.append(state.find_doubt())

        report()
        state.adopt(RouteIndex(Configuration(version=3)))
        report()
        currency.note_answer(True, tell_time())
        report()
        currency.note_version(5, "v2")
        currency.note_version(4, "v1")
        report()
        assert found == [
            Doubt.NO_CONFIGURATION,
            Doubt.NO_WORD,
            None,
            Doubt.NEWER_TOLD,
        ]
        lines = [json.loads(x) for x in os.read(reader, 9999).splitlines()]
        assert [line["event"] for line in lines] == [
            "configuration_doubted",
            "configuration_current",
            "configuration_doubted",
        ]
        assert lines[-1]["level"] == "warn"
        assert (lines[-1]["announced"], lines[-1]["by"]) == (5, "v2")

    play_time(test())
