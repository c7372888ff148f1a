"""Tests of streams whose version is forgotten while their callers wait."""

import pytest

from chivepier.gateway.config import Repetition
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time

# A route of the pages' example.
TIMEOUT_SECONDS = 39.0


@pytest.mark.parametrize("silence", (29.0, 31.0))
def test_version_whose_targets_were_killed_counts_while_a_caller_waits(
    silence,
):
    # Guards against a stream that goes on at the one version that is left,
    # as the table forgets silent targets sooner than callers give up.
    async def test(parts):
        route = make_route(
            prefix="/resume/",
            repetition=Repetition.RESUMABLE,
            timeout=TIMEOUT_SECONDS,
        )
        parts.configure(version=2, routes=(route,))
        for name, version, silent in (
            ("a", "v1", silence),
            ("b", "v2", 0.0),
        ):
            target = make_target(name, software_version=version)
            target.number = 2
            target.heard = tell_time() - silent
            parts.table.put(target)
            parts.table.get(name).heard = target.heard
        parts.table.expire(tell_time())
        parts.start(
            make_request(
                "/resume/x", id="r2", last_event="2", resumes="elsewhere"
            )
        )
        await wait_until(lambda: parts.read_lines("stream_taken_up"))
        (line,) = parts.read_lines("stream_taken_up")
        assert line["software"] == "", line

    play(test, "b")
